//! Endpoints fail a share of the calls, quickly.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use crate::conditions::ServerFault;
use serde::{Deserialize, Serialize};

/// Endpoints fail a share of the calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Errors {
    /// Share of the calls that fail.
    pub share: f64,
}

impl FaultKind for Errors {
    fn check(&self) -> CheckResult {
        check_share("what.errors.share", self.share)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Fails(self.share))
    }
}
