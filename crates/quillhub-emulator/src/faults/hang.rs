//! Endpoints take calls and answer none; some of these run all the same.

use super::{Planned, Strike};
use crate::server::Trouble;
use crate::world::World;

pub(crate) struct Hang;

impl Strike for Hang {
    fn begin(&self, number: usize, planned: &Planned, world: &mut World) {
        world.strike(number, &planned.whom, Trouble::Hangs);
    }
}
