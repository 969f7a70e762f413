//! Destinations are shut: every call is turned away unseen, with the wait told or without.

use super::{FaultKind, Injection, ScheduledFault};
use crate::conditions::ServerFault;
use serde::{Deserialize, Serialize};

/// Destinations are shut.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shut {
    /// Whether answers tell when it opens.
    #[serde(default)]
    pub tells: bool,
}

impl FaultKind for Shut {
    fn injection(&self, scheduled: &ScheduledFault) -> Injection<'_> {
        Injection::Servers(ServerFault::Shut { until: self.tells.then(|| scheduled.at + scheduled.lasts) })
    }
}
