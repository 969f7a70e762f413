//! Instances die at once and come back at the fault's end, with their state directory or without it.

use super::{FaultKind, Injection, ScheduledFault};
use serde::{Deserialize, Serialize};

/// Instances die at once, and start again at the fault's end.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Whether the state directory is lost, where instances have one.
    #[serde(default)]
    #[serde(rename = "folder_lost")]
    pub state_directory_lost: bool,
}

impl FaultKind for Crash {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Crash { state_directory_lost: self.state_directory_lost }
    }
}
