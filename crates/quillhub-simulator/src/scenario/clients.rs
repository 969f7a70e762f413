//! What clients do with messages that did not get through.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What clients do with a message that did not get through.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Times that a rejected message is submitted again.
    #[serde(rename = "tries")]
    pub retries: u32,
    /// Longest wait before a retry, drawn from half of it on; the retry-after of a rejection is a floor.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "wait")]
    pub backoff: Duration,
    /// For so long the front goes on sending to an instance that died.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "notices_dead")]
    pub failure_detection_delay: Duration,
}

impl Default for Clients {
    fn default() -> Self {
        Self { retries: 3, backoff: Duration::from_secs(1), failure_detection_delay: Duration::from_secs(2) }
    }
}
