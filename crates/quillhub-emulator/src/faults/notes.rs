//! Notes between couriers are lost, or come so much later.

use super::{Does, Planned, Strike, Wrong, share};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Notes {
    /// Share of the notes lost.
    #[serde(default)]
    pub lost: f64,
    /// How much later those come that are not lost.
    #[serde(default, with = "humantime_serde")]
    pub late: Duration,
}

impl Strike for Notes {
    fn check(&self) -> Wrong {
        share("what.notes.lost", self.lost)
    }

    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Notes { lost: self.lost, late: self.late }
    }
}
