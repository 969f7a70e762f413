//! The destinations struck get so many times their share of all messages; how many come stays as it was.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_positive};
use serde::{Deserialize, Serialize};

/// Some destinations get more than their share of the messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Hot", deny_unknown_fields)]
pub struct HotDestinations {
    /// How many times their share they get.
    pub factor: f64,
}

impl FaultKind for HotDestinations {
    fn check(&self) -> CheckResult {
        check_positive("what.hot.factor", self.factor)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::HotDestinations(self.factor)
    }
}
