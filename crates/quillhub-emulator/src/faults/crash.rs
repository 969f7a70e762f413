//! Couriers die at once and come back at the trouble's end, with their folder or without it.

use super::{Planned, Strike};
use crate::world::World;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Whether the folder is lost, where couriers have one.
    #[serde(default)]
    pub folder_lost: bool,
}

impl Strike for Crash {
    fn begin(&self, number: usize, planned: &Planned, world: &mut World) {
        for courier in world.couriers_struck(number, &planned.whom) {
            world.kill(courier, self.folder_lost, planned.at + planned.lasts);
        }
    }
}
