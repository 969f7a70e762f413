//! Opening a connection takes so much longer.

use super::{Does, Planned, Strike};
use crate::trouble::Trouble;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handshake {
    /// How much longer opening a connection takes.
    #[serde(with = "humantime_serde")]
    pub more: Duration,
}

impl Strike for Handshake {
    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Strike(Trouble::Handshake(self.more))
    }
}
