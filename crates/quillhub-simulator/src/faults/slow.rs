//! Slow fault: calls take a multiple of their usual time at endpoints.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_positive};
use crate::active_faults::ServerFault;
use serde::{Deserialize, Serialize};

/// Parameters of slow endpoints.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slow {
    /// Factor by which the service time is multiplied; greater than 0.
    pub factor: f64,
}

impl FaultKind for Slow {
    fn check(&self) -> CheckResult {
        check_positive("what.slow.factor", self.factor)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Slow(self.factor))
    }
}
