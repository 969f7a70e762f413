//! Couriers die at once and come back at the trouble's end, with their folder or without it.

use super::{Does, Planned, Strike};
use serde::{Deserialize, Serialize};

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Whether the folder is lost, where couriers have one.
    #[serde(default)]
    pub folder_lost: bool,
}

impl Strike for Crash {
    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Crash { folder_lost: self.folder_lost }
    }
}
