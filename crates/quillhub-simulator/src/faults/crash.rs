//! Couriers die at once and come back at the fault's end, with their folder or without it.

use super::{FaultKind, Injection, ScheduledFault};
use serde::{Deserialize, Serialize};

/// Couriers die at once, and start again at the fault's end.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Whether the folder is lost, where couriers have one.
    #[serde(default)]
    pub folder_lost: bool,
}

impl FaultKind for Crash {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Crash { folder_lost: self.folder_lost }
    }
}
