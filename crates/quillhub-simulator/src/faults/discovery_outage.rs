//! Service discovery is out of reach, or so much later than usual; changes meanwhile are sent when it is back.

use super::{FaultKind, Injection, ScheduledFault};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Service discovery is out of reach, or late.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Register", deny_unknown_fields)]
pub struct DiscoveryOutage {
    /// So much later; absent, it is out of reach.
    #[serde(default, with = "humantime_serde")]
    #[serde(rename = "late")]
    pub delay: Option<Duration>,
}

impl FaultKind for DiscoveryOutage {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Discovery(self.delay)
    }
}
