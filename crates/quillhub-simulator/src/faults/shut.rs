//! Destinations are shut: every call is rejected unseen, with a retry-after or without.

use super::{FaultKind, Injection, ScheduledFault};
use crate::conditions::ServerFault;
use serde::{Deserialize, Serialize};

/// Destinations are shut.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shut {
    /// Whether answers tell when it opens.
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
