//! The way from one zone to another takes so much longer.

use super::{FaultKind, Injection, ScheduledFault};
use crate::conditions::PathFault;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The way from one zone to another takes longer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    /// How much longer one way takes.
    #[serde(rename = "more", with = "humantime_serde")]
    pub added_delay: Duration,
    /// The zone that it goes from; absent, any.
    #[serde(default)]
    pub from: Option<String>,
    /// The zone that it goes to; absent, any.
    #[serde(default)]
    pub to: Option<String>,
}

impl FaultKind for Delay {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Paths { from: &self.from, to: &self.to, kind: PathFault::Slower(self.added_delay) }
    }
}
