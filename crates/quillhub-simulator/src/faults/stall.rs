//! Stall fault: instances handle no events, and receive all events of that time at once when the fault ends.

use super::{FaultKind, Injection, ScheduledFault};

/// Stall fault, which has no parameters.
pub(crate) struct Stall;

impl FaultKind for Stall {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Stall
    }
}
