//! The network between instances and endpoints.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Delays, and what connections cost.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way inside a zone.
    #[serde(rename = "within", with = "humantime_serde")]
    pub intra_zone_delay: Duration,
    /// One way between two zones.
    #[serde(rename = "between", with = "humantime_serde")]
    pub inter_zone_delay: Duration,
    /// Up to such a share of the delay more, by even chance.
    pub jitter: f64,
    /// What a new connection costs besides a way there and back.
    #[serde(with = "humantime_serde")]
    pub handshake: Duration,
    /// A connection not up by then counts as failed.
    #[serde(rename = "connecting", with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Endpoints close connections idle for so long.
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
