//! The destinations struck get so many times their share of all messages; how many come stays as it was.

use super::{FaultKind, Injection, ScheduledFault, Wrong, over_zero};
use serde::{Deserialize, Serialize};

/// Some destinations get more than their share of the messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Hot", deny_unknown_fields)]
pub struct HotDestinations {
    /// How many times their share they get.
    pub factor: f64,
}

impl FaultKind for HotDestinations {
    fn check(&self) -> Wrong {
        over_zero("what.hot.factor", self.factor)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::HotDestinations(self.factor)
    }
}
