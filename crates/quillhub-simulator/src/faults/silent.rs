//! Silent fault: endpoints answer no packet, so calls and connection attempts time out instead of being refused.

use super::{FaultKind, Injection, ScheduledFault};
use crate::active_faults::ServerFault;

/// Silent fault, which has no parameters.
pub(crate) struct Silent;

impl FaultKind for Silent {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Silent)
    }
}
