//! A share of the kept connections is dead, which shows only when one is used.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use crate::conditions::ServerFault;
use serde::{Deserialize, Serialize};

/// A share of the kept connections is dead.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stale {
    /// Share of the kept connections that are dead.
    pub share: f64,
}

impl FaultKind for Stale {
    fn check(&self) -> CheckResult {
        check_share("what.stale.share", self.share)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Stale(self.share))
    }
}
