//! Nothing comes back from endpoints, not even for a new connection: a black hole, not a refusal.

use super::{FaultKind, Injection, ScheduledFault};
use crate::conditions::ServerFault;

pub(crate) struct Silent;

impl FaultKind for Silent {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Silent)
    }
}
