//! Instances stand still: what happens meanwhile they learn at the fault's end, all at once.

use super::{FaultKind, Injection, ScheduledFault};

pub(crate) struct Stall;

impl FaultKind for Stall {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Stall
    }
}
