//! The gateway instances, and the front that deals messages out to them.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The instances, and the front that deals messages out to them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Couriers", deny_unknown_fields, default)]
pub struct Instances {
    /// How many there are.
    pub count: u32,
    /// Calls out at once.
    pub slots: usize,
    /// Messages pending at once.
    #[serde(rename = "room")]
    pub capacity: usize,
    /// Attempts for one message at most.
    #[serde(rename = "most_sends")]
    pub max_attempts: u32,
    /// Longest retry-after of a rejection.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "longest_wait")]
    pub max_retry_after: Duration,
    /// Instances and endpoints are dealt out to these in turn.
    pub zones: Vec<String>,
    /// The front sends the k-th instance 1/k^skew of what it sends the first; 0 spreads evenly.
    pub skew: f64,
    /// Whether pending messages outlast an instance's death.
    #[serde(rename = "folder")]
    pub state_directory: bool,
    /// Whether instances may tell each other of returns.
    #[serde(rename = "notes")]
    pub gossip: bool,
    /// Share of gossip lost.
    #[serde(rename = "notes_lost")]
    pub gossip_loss: f64,
    /// Whether a call is looked at once more before its first byte, as on sockets.
    #[serde(rename = "last_look")]
    pub checks_before_first_byte: bool,
}

impl Default for Instances {
    fn default() -> Self {
        Self {
            count: 1,
            slots: 64,
            capacity: 1_000,
            max_attempts: 12,
            max_retry_after: Duration::from_secs(4),
            zones: vec!["east".into()],
            skew: 0.0,
            state_directory: true,
            gossip: false,
            gossip_loss: 0.0,
            checks_before_first_byte: true,
        }
    }
}
