//! Handshake fault: opening a connection to an endpoint takes longer.

use super::{FaultKind, Injection, ScheduledFault};
use crate::active_faults::ServerFault;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of slow connection handshakes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handshake {
    /// Additional time to open a connection.
    #[serde(rename = "more", with = "humantime_serde")]
    pub added_delay: Duration,
}

impl FaultKind for Handshake {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Handshake(self.added_delay))
    }
}
