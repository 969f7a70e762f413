//! Gossip between instances is lost, or come so much later.

use super::{CheckResult, FaultKind, Injection, ScheduledFault, check_share};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Gossip between instances is lost, or late.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Notes", deny_unknown_fields)]
pub struct Gossip {
    /// Share of the gossip lost.
    #[serde(default)]
    pub lost: f64,
    /// How much later those come that are not lost.
    #[serde(default, with = "humantime_serde")]
    #[serde(rename = "late")]
    pub delay: Duration,
}

impl FaultKind for Gossip {
    fn check(&self) -> CheckResult {
        check_share("what.notes.lost", self.lost)
    }

    fn injection(&self, _: &ScheduledFault) -> Injection<'_> {
        Injection::Gossip { lost: self.lost, delay: self.delay }
    }
}
