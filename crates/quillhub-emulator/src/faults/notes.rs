//! Notes between couriers are lost, or come so much later.

use super::{Does, Planned, Strike, Wrong, share};
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Notes {
    /// Share of the notes lost.
    #[serde(default)]
    pub lost: f64,
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
