//! The destinations struck get so many times their share of all notices; how many come stays as it was.

use super::{Does, Planned, Strike, Wrong, over_zero};
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hot {
    /// How many times their share they get.
    pub factor: f64,
}

impl Strike for Hot {
    fn check(&self) -> Wrong {
        over_zero("what.hot.factor", self.factor)
    }

    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Heat(self.factor)
    }
}
