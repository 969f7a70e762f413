//! Network between instances and endpoints.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Delays of the network, and costs and timeouts of connections.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way delay within a zone, without jitter; 1 ms by default.
    #[serde(rename = "within", with = "humantime_serde")]
    pub intra_zone_delay: Duration,
    /// One-way delay between two zones, without jitter; 4 ms by default.
    #[serde(rename = "between", with = "humantime_serde")]
    pub inter_zone_delay: Duration,
    /// Max jitter as a share of the delay, 0.2 by default; the jitter is added and uniformly distributed.
    pub jitter: f64,
    /// Time to establish a connection in addition to one round trip; 2 ms by default.
    #[serde(with = "humantime_serde")]
    pub handshake: Duration,
    /// Time after which an attempt to connect fails; 2 s by default.
    #[serde(rename = "connecting", with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Time after which endpoints close an idle connection; 10 s by default.
    #[serde(rename = "idle_close", with = "humantime_serde")]
    pub idle_timeout: Duration,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            intra_zone_delay: Duration::from_millis(1),
            inter_zone_delay: Duration::from_millis(4),
            jitter: 0.2,
            handshake: Duration::from_millis(2),
            connect_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(10),
        }
    }
}
