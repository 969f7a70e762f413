//! Retry behaviour of clients.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Retry behaviour of clients for rejected messages, and the detection of dead instances by the load balancer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Max number of times that a client submits a rejected message again; 3 by default.
    #[serde(rename = "tries")]
    pub max_retries: u32,
    /// Max delay before a message is submitted again, 1 s by default. The delay is drawn between half of it and all of
    /// it, and is at least the retry-after of the rejection.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "wait")]
    pub max_backoff: Duration,
    /// Time for which the load balancer keeps sending messages to an instance that died; 2 s by default.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "notices_dead")]
    pub failure_detection_delay: Duration,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            max_retries: 3,
            max_backoff: Duration::from_secs(1),
            failure_detection_delay: Duration::from_secs(2),
        }
    }
}
