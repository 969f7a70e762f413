//! Opening a connection takes so much longer.

use super::{Planned, Strike};
use crate::server::Trouble;
use crate::world::World;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handshake {
    #[serde(with = "humantime_serde")]
    pub more: Duration,
}

impl Strike for Handshake {
    fn begin(&self, number: usize, planned: &Planned, world: &mut World) {
        world.strike(number, &planned.whom, Trouble::Handshake(self.more));
    }
}
