//! The figures by which the six rules are judged.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The figures of the rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Returns", deny_unknown_fields, default)]
pub struct RuleSettings {
    /// Nothing new goes to an endpoint so long after its drain was known.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "grace")]
    pub drain_grace: Duration,
    /// A destination just back starts at this share of its capacity and is warm after `warm_up`.
    #[serde(rename = "start")]
    pub initial_share: f64,
    /// From a destination's return until it is warm; its capacity grows evenly until then.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Sent more than this many times what it can do for `overload_tolerance`, it fails and stays down.
    #[serde(rename = "factor")]
    pub overload_factor: f64,
    /// How long it stands more than that.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "push")]
    pub overload_tolerance: Duration,
    /// An ordering key pauses so long after a timeout, reset or cancellation.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "key_rest")]
    pub ordering_pause: Duration,
}

impl Default for RuleSettings {
    fn default() -> Self {
        Self {
            drain_grace: Duration::from_millis(250),
            initial_share: 0.2,
            warm_up: Duration::from_secs(10),
            overload_factor: 2.0,
            overload_tolerance: Duration::from_secs(3),
            ordering_pause: Duration::from_millis(700),
        }
    }
}
