//! Calls take so many times as long at endpoints.

use super::{Planned, Strike, Wrong, over_zero};
use crate::server::Trouble;
use crate::world::World;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slow {
    pub factor: f64,
}

impl Strike for Slow {
    fn check(&self) -> Wrong {
        over_zero("what.slow.factor", self.factor)
    }

    fn begin(&self, number: usize, planned: &Planned, world: &mut World) {
        world.strike(number, &planned.whom, Trouble::Slow(self.factor));
    }
}
