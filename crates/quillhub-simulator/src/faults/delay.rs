//! Network delay: traffic from one zone to another takes longer.

use super::{FaultKind, Injection, ScheduledFault};
use crate::active_faults::PathFault;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of a one-way network delay between zones.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    /// Additional one-way delay.
    #[serde(rename = "more", with = "humantime_serde")]
    pub added_delay: Duration,
    /// Zone that the traffic comes from; any by default.
    #[serde(default)]
    pub from: Option<String>,
    /// Zone that the traffic goes to; any by default.
    #[serde(default)]
    pub to: Option<String>,
}

impl FaultKind for Delay {
    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Paths { from: &self.from, to: &self.to, kind: PathFault::Slower(self.added_delay) }
    }
}
