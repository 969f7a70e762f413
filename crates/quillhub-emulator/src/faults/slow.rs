//! Calls take so many times as long at endpoints.

use super::{Does, Planned, Strike, Wrong, over_zero};
use crate::trouble::Trouble;
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slow {
    /// How many times as long calls take.
    pub factor: f64,
}

impl Strike for Slow {
    fn check(&self) -> Wrong {
        over_zero("what.slow.factor", self.factor)
    }

    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Strike(Trouble::Slow(self.factor))
    }
}
