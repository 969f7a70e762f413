//! Destinations are shut: every call is turned away unseen, with the wait told or without.

use super::{Planned, Strike};
use crate::server::Trouble;
use crate::world::World;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shut {
    /// Whether answers tell when it opens.
    #[serde(default)]
    pub tells: bool,
}

impl Strike for Shut {
    fn begin(&self, number: usize, planned: &Planned, world: &mut World) {
        let until = self.tells.then(|| planned.at + planned.lasts);
        world.strike(number, &planned.whom, Trouble::Shut { until });
    }
}
