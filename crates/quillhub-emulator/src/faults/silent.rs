//! Nothing comes back from endpoints, not even for a new connection: a black hole, not a refusal.

use super::{Planned, Strike};
use crate::server::Trouble;
use crate::world::World;

pub(crate) struct Silent;

impl Strike for Silent {
    fn begin(&self, number: usize, planned: &Planned, world: &mut World) {
        world.strike(number, &planned.whom, Trouble::Silent);
    }
}
