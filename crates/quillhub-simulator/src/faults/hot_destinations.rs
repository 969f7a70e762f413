//! Hot destinations: the target's destinations receive more than their usual share of the messages, at an unchanged
//! total rate.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_positive};
use serde::{Deserialize, Serialize};

/// Parameters of a shift of messages towards some destinations.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Hot", deny_unknown_fields)]
pub struct HotDestinations {
    /// Factor by which the weight of each of the destinations is multiplied; greater than 0.
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
