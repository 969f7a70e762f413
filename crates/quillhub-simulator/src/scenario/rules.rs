//! Settings of the six rules that the auditor checks.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Thresholds and times of the rules, and of the recovery of destinations.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Returns", deny_unknown_fields, default)]
pub struct RuleSettings {
    /// Time for which an instance may still start attempts at an endpoint that it knows to be draining; 250 ms by
    /// default.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "grace")]
    pub drain_grace: Duration,
    /// Share of its capacity that a destination has at the end of an outage, from 0 to 1; 0.2 by default.
    #[serde(rename = "start")]
    pub initial_share: f64,
    /// Time from the end of an outage until full capacity, which grows linearly in between; 10 s by default.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Multiple of its capacity above which a recovering destination is overloaded; 2 by default. If the calls of one
    /// window of `overload_tolerance` exceed this multiple, the destination fails and stays down.
    #[serde(rename = "factor")]
    pub overload_factor: f64,
    /// Length of the window in which the calls to a recovering destination are counted; 3 s by default.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "push")]
    pub overload_tolerance: Duration,
    /// Pause of an ordering key after an attempt that may still be executed, such as a timeout, reset or cancellation;
    /// 700 ms by default.
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
