//! The network between instances and endpoints.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Delays, and what connections cost.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way inside a zone.
    #[serde(with = "humantime_serde")]
    pub within: Duration,
    /// One way between two zones.
    #[serde(with = "humantime_serde")]
    pub between: Duration,
    /// Up to such a share of the delay more, by even chance.
    pub jitter: f64,
    /// What a new connection costs besides a way there and back.
    #[serde(with = "humantime_serde")]
    pub handshake: Duration,
    /// A connection not up by then counts as failed.
    #[serde(with = "humantime_serde")]
    pub connecting: Duration,
    /// Endpoints close connections idle for so long.
    #[serde(with = "humantime_serde")]
    pub idle_close: Duration,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            within: Duration::from_millis(1),
            between: Duration::from_millis(4),
            jitter: 0.2,
            handshake: Duration::from_millis(2),
            connecting: Duration::from_secs(2),
            idle_close: Duration::from_secs(10),
        }
    }
}
