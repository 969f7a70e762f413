//! Endpoints refuse connections; those that stood are reset, and what ran there is cut off.

use super::{FaultKind, Injection, ScheduledFault};
use crate::conditions::ServerFault;

pub(crate) struct Refuse;

impl FaultKind for Refuse {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Refuses)
    }
}
