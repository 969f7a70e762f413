//! Service discovery tells a whole list in which a share of the endpoints is missing, and the true one at its end.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use serde::{Deserialize, Serialize};

/// Service discovery tells a list that is not whole.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Partial", deny_unknown_fields)]
pub struct PartialSnapshot {
    /// Share of the endpoints that the list leaves out.
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
