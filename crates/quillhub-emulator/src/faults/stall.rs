//! Couriers stand still: what happens meanwhile they learn at the trouble's end, all at once.

use super::{Planned, Strike};
use crate::world::World;

pub(crate) struct Stall;

impl Strike for Stall {
    fn begin(&self, number: usize, planned: &Planned, world: &mut World) {
        for courier in world.couriers_struck(number, &planned.whom) {
            world.stall(courier, planned.at + planned.lasts);
        }
    }
}
