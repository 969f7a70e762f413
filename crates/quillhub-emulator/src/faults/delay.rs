//! The way from one zone to another takes so much longer.

use super::{Planned, Strike};
use crate::network::How;
use crate::world::World;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    #[serde(with = "humantime_serde")]
    pub more: Duration,
    /// Zones that it goes from and to; absent, any.
    #[serde(default)]
    pub from: Option<String>,
    #[serde(default)]
    pub to: Option<String>,
}

impl Strike for Delay {
    fn begin(&self, number: usize, _: &Planned, world: &mut World) {
        world.spoil(number, &self.from, &self.to, How::Slower(self.more));
    }
}
