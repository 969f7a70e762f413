//! Refuse fault: endpoints refuse new connections, reset established ones, and abort the calls in progress.

use super::{FaultKind, Injection, ScheduledFault};
use crate::active_faults::ServerFault;

/// Refuse fault, which has no parameters.
pub(crate) struct Refuse;

impl FaultKind for Refuse {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Refuses)
    }
}
