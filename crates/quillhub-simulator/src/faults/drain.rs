//! Drain fault: endpoints drain one after the other, evenly spread over the fault's duration, and are removed later.
//!
//! Each endpoint may be replaced by one with a new id, at a new address or at the same one.

use super::{FaultKind, Injection, ScheduledFault};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of a drain of endpoints.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Time from the begin of an endpoint's drain until it is removed from the endpoint list; 2 s by default.
    #[serde(default = "default_gone_after", with = "humantime_serde")]
    pub gone_after: Duration,
    /// `true`, the default, if a new endpoint replaces each that drains, from the begin of the drain.
    #[serde(default = "default_replaced")]
    pub replaced: bool,
    /// `true` if the replacement has the address of the endpoint that drains, where calls to the old id still arrive;
    /// `false` by default.
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
