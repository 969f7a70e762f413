//! Crash fault: instances die when the fault begins and restart when it ends, with or without their state directories.

use super::{FaultKind, Injection, ScheduledFault};
use serde::{Deserialize, Serialize};

/// Parameters of a crash of instances, which restart when the fault ends.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// `true` if instances lose their state directory, if they have one; `false` by default.
    #[serde(default)]
    #[serde(rename = "folder_lost")]
    pub state_directory_lost: bool,
}

impl FaultKind for Crash {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Crash { state_directory_lost: self.state_directory_lost }
    }
}
