//! The destinations struck get so many times their share of all notices; how many come stays as it was.

use super::{FaultKind, Injection, ScheduledFault, Wrong, over_zero};
use serde::{Deserialize, Serialize};

/// Some destinations get more than their share of the messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hot {
    /// How many times their share they get.
    pub factor: f64,
}

impl FaultKind for Hot {
    fn check(&self) -> Wrong {
        over_zero("what.hot.factor", self.factor)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Heat(self.factor)
    }
}
