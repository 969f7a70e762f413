//! Stale connections: a share of the idle connections is broken, which an instance detects only when it reuses one.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use crate::active_faults::ServerFault;
use serde::{Deserialize, Serialize};

/// Parameters of stale connections.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stale {
    /// Share of the idle connections that are broken, from 0 to 1.
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
