//! Endpoints drain, one after the other over the fault's time, and are gone a while after; each may be replaced by
//! one with a new id, at an address of its own or at the old one.

use super::{FaultKind, Injection, ScheduledFault};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Endpoints drain one after the other.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// From the drain of one endpoint to its end.
    #[serde(default = "default_gone_after", with = "humantime_serde")]
    pub gone_after: Duration,
    /// Whether a new endpoint takes its place.
    #[serde(default = "default_replaced")]
    pub replaced: bool,
    /// Whether the new one stands at the old one's address, where calls to the old id still arrive.
    #[serde(default)]
    pub same_address: bool,
}

fn default_gone_after() -> Duration {
    Duration::from_secs(2)
}

fn default_replaced() -> bool {
    true
}

impl FaultKind for Drain {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Drain(self)
    }
}
