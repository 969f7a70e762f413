//! The register is out of reach, or so much later than usual; what changes then is told when it is back.

use super::{Planned, Strike};
use crate::world::World;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Register {
    /// So much later; absent, it is out of reach.
    #[serde(default, with = "humantime_serde")]
    pub late: Option<Duration>,
}

impl Strike for Register {
    fn begin(&self, number: usize, _: &Planned, world: &mut World) {
        world.register_troubled(number, self.late);
    }

    fn end(&self, number: usize, world: &mut World) {
        world.register_back(number);
    }
}
