//! Notes between couriers are lost, or come so much later.

use super::{Planned, Strike, Wrong, share};
use crate::world::World;
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

    fn begin(&self, number: usize, _: &Planned, world: &mut World) {
        world.notes_troubled(number, self.lost, self.late);
    }

    fn end(&self, number: usize, world: &mut World) {
        world.notes_back(number);
    }
}
