//! Discovery fault: service discovery is unreachable or delayed. Changes during an outage are sent at its end.

use super::{FaultKind, Injection, ScheduledFault};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of an outage or a delay of service discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Register", deny_unknown_fields)]
pub struct DiscoveryOutage {
    /// Additional delay of changes; by default, service discovery is unreachable.
    #[serde(default, with = "humantime_serde")]
    #[serde(rename = "late")]
    pub delay: Option<Duration>,
}

impl FaultKind for DiscoveryOutage {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Discovery(self.delay)
    }
}
