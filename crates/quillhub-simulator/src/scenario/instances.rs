//! Gateway instances, and the load balancer in front of them.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the gateway instances, and of the load balancer that distributes messages to them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Couriers", deny_unknown_fields, default)]
pub struct Instances {
    /// Number of instances; 1 by default.
    pub count: u32,
    /// Max number of attempts in flight per instance; 64 by default.
    pub slots: usize,
    /// Max number of pending messages per instance; 1000 by default.
    #[serde(rename = "room")]
    pub queue_capacity: usize,
    /// Max number of attempts per message; 12 by default.
    #[serde(rename = "most_sends")]
    pub max_attempts: u32,
    /// Max retry-after that an instance sends with a rejection; 4 s by default.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "longest_wait")]
    pub max_retry_after: Duration,
    /// Names of the zones, to which instances and endpoints are assigned in turn; a single one by default.
    pub zones: Vec<String>,
    /// Exponent of the load balancer's skew: the k-th instance receives 1/k^skew times as many messages as the first.
    /// 0, the default, distributes evenly.
    pub skew: f64,
    /// `true`, the default, if instances have a state directory, from which they recover pending messages after a
    /// crash.
    #[serde(rename = "folder")]
    pub state_directory: bool,
    /// `true` if instances may send gossip about recovered destinations; `false` by default.
    #[serde(rename = "notes")]
    pub gossip: bool,
    /// Share of gossip messages that are lost, from 0 to 1; 0 by default.
    #[serde(rename = "notes_lost")]
    pub lost_gossip_share: f64,
    /// `true`, the default, if an attempt is checked once more before its first byte is sent, as the quillhub
    /// process does on real connections.
    #[serde(rename = "last_look")]
    pub checks_before_first_byte: bool,
}

impl Default for Instances {
    fn default() -> Self {
        Self {
            count: 1,
            slots: 64,
            queue_capacity: 1_000,
            max_attempts: 12,
            max_retry_after: Duration::from_secs(4),
            zones: vec!["east".into()],
            skew: 0.0,
            state_directory: true,
            gossip: false,
            lost_gossip_share: 0.0,
            checks_before_first_byte: true,
        }
    }
}
