//! Partial snapshot: service discovery sends a snapshot in which a share of the target's endpoints is missing, and the
//! complete one when the fault ends.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use serde::{Deserialize, Serialize};

/// Parameters of a partial snapshot of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Partial", deny_unknown_fields)]
pub struct PartialSnapshot {
    /// Probability with which each endpoint of the target is left out, from 0 to 1.
    pub share: f64,
}

impl FaultKind for PartialSnapshot {
    fn check(&self) -> CheckResult {
        check_share("what.partial.share", self.share)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::PartialSnapshot(self.share)
    }
}
