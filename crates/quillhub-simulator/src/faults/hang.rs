//! Endpoints take calls and answer none; some of these run all the same.

use super::{FaultKind, Injection, ScheduledFault};
use crate::conditions::ServerFault;

pub(crate) struct Hang;

impl FaultKind for Hang {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Hangs)
    }
}
