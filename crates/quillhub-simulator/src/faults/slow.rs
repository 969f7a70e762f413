//! Calls take so many times as long at endpoints.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_positive};
use crate::conditions::ServerFault;
use serde::{Deserialize, Serialize};

/// Calls take longer at endpoints.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slow {
    /// How many times as long calls take.
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
