//! So many times as many notices come: a flash crowd, or a hot caller where it names one stream.

use super::{Planned, Strike, Wrong, over_zero};
use crate::world::World;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crowd {
    pub factor: f64,
    /// Only this one of the day's streams, from 0; absent, all.
    #[serde(default)]
    pub stream: Option<usize>,
}

impl Strike for Crowd {
    fn check(&self) -> Wrong {
        over_zero("what.crowd.factor", self.factor)
    }

    fn begin(&self, number: usize, _: &Planned, world: &mut World) {
        world.crowd(number, self.stream, self.factor);
    }

    fn end(&self, number: usize, world: &mut World) {
        world.crowd_leaves(number);
    }
}
