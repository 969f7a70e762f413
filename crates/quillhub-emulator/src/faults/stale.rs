//! A share of the kept connections is dead, which shows only when one is used.

use super::{Planned, Strike, Wrong, share};
use crate::server::Trouble;
use crate::world::World;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stale {
    pub share: f64,
}

impl Strike for Stale {
    fn check(&self) -> Wrong {
        share("what.stale.share", self.share)
    }

    fn begin(&self, number: usize, planned: &Planned, world: &mut World) {
        world.strike(number, &planned.whom, Trouble::Stale(self.share));
    }
}
