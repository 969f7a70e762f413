//! The register is out of reach, or so much later than usual; what changes then is told when it is back.

use super::{Does, Planned, Strike};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Register {
    /// So much later; absent, it is out of reach.
    #[serde(default, with = "humantime_serde")]
    pub late: Option<Duration>,
}

impl Strike for Register {
    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Register(self.late)
    }
}
