//! Hang fault: endpoints accept connections and calls but respond to none; a random part of the calls is executed.

use super::{FaultKind, Injection, ScheduledFault};
use crate::active_faults::ServerFault;

/// Hang fault, which has no parameters.
pub(crate) struct Hang;

impl FaultKind for Hang {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Hangs)
    }
}
