//! Opening a connection takes so much longer.

use super::{FaultKind, Injection, ScheduledFault};
use crate::conditions::ServerFault;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Opening a connection takes longer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handshake {
    /// How much longer opening a connection takes.
    #[serde(rename = "more", with = "humantime_serde")]
    pub added_delay: Duration,
}

impl FaultKind for Handshake {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Handshake(self.added_delay))
    }
}
