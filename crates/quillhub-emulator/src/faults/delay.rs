//! The way from one zone to another takes so much longer.

use super::{Does, Planned, Strike};
use crate::trouble::How;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The fault's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    /// How much longer one way takes.
    #[serde(with = "humantime_serde")]
    pub more: Duration,
    /// Zones that it goes from and to; absent, any.
    #[serde(default)]
    pub from: Option<String>,
    /// The zone that it goes to; absent, any.
    #[serde(default)]
    pub to: Option<String>,
}

impl Strike for Delay {
    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Spoil { from: &self.from, to: &self.to, how: How::Slower(self.more) }
    }
}
