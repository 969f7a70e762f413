//! Shut fault: destinations reject every call without executing it, with or without a retry-after.

use super::{FaultKind, Injection, ScheduledFault};
use crate::active_faults::ServerFault;
use serde::{Deserialize, Serialize};

/// Parameters of destinations that reject all calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shut {
    /// `true` if rejections carry the time until the fault's end as their retry-after; `false` by default.
    #[serde(default)]
    #[serde(rename = "tells")]
    pub sends_retry_after: bool,
}

impl FaultKind for Shut {
    fn injection(&self, scheduled: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Shut {
            until: self.sends_retry_after.then(|| scheduled.start + scheduled.duration),
        })
    }
}
