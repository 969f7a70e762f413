//! Endpoints refuse connections; those that stood are reset, and what ran there is cut off.

use super::{Planned, Strike};
use crate::server::Trouble;
use crate::world::World;

pub(crate) struct Refuse;

impl Strike for Refuse {
    fn begin(&self, number: usize, planned: &Planned, world: &mut World) {
        world.strike(number, &planned.whom, Trouble::Refuses);
    }
}
