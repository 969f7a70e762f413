//! The destinations struck get so many times their share of all notices; how many come stays as it was.

use super::{Planned, Strike, Wrong, over_zero};
use crate::world::World;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hot {
    pub factor: f64,
}

impl Strike for Hot {
    fn check(&self) -> Wrong {
        over_zero("what.hot.factor", self.factor)
    }

    fn begin(&self, number: usize, planned: &Planned, world: &mut World) {
        world.heat(number, &planned.whom, self.factor);
    }

    fn end(&self, number: usize, world: &mut World) {
        world.cool(number);
    }
}
