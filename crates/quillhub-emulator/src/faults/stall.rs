//! Couriers stand still: what happens meanwhile they learn at the trouble's end, all at once.

use super::{Does, Planned, Strike};

pub(crate) struct Stall;

impl Strike for Stall {
    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Stall
    }
}
