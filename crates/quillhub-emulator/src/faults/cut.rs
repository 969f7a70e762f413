//! The way from one zone to another is cut, in that direction only: nothing arrives, and nobody is told.

use super::{Planned, Strike};
use crate::network::How;
use crate::world::World;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// Zones that it goes from and to; absent, any.
    #[serde(default)]
    pub from: Option<String>,
    #[serde(default)]
    pub to: Option<String>,
}

impl Strike for Cut {
    fn begin(&self, number: usize, _: &Planned, world: &mut World) {
        world.spoil(number, &self.from, &self.to, How::Cut);
    }
}
