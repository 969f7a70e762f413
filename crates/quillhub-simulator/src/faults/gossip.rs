//! Gossip fault: gossip between instances is lost or delayed.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of lost or delayed gossip.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Notes", deny_unknown_fields)]
pub struct Gossip {
    /// Share of the gossip messages that are lost, from 0 to 1; 0 by default.
    #[serde(default)]
    pub lost: f64,
    /// Additional delay of gossip messages that are not lost; zero by default.
    #[serde(default, with = "humantime_serde")]
    #[serde(rename = "late")]
    pub delay: Duration,
}

impl FaultKind for Gossip {
    fn check(&self) -> CheckResult {
        check_share("what.notes.lost", self.lost)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Gossip { lost_share: self.lost, delay: self.delay }
    }
}
