//! Streams of submitted messages: rates, arrival patterns and destinations.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Arrival pattern of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "law", rename_all = "lowercase", deny_unknown_fields)]
pub enum Pattern {
    /// Poisson process: exponentially distributed, independent intervals.
    Poisson,
    /// Constant intervals of `1 / per_s` seconds.
    Even,
    /// Bursts of messages to a single destination, at the times of a Poisson process.
    Bursts {
        /// Mean number of messages in a burst, at least 1.
        #[serde(rename = "of")]
        mean_size: f64,
    },
    /// Poisson process with a rate that follows a cosine wave between `1 - depth` and `1 + depth` times `per_s`, from
    /// the lowest rate at the start of the run.
    Daily {
        /// Period of the wave.
        #[serde(rename = "every", with = "humantime_serde")]
        period: Duration,
        /// Amplitude of the wave as a share of the rate, from 0 to 1.
        depth: f64,
    },
    /// Arrivals at constant intervals in the active part of each period, and no arrivals outside it; the mean rate stays
    /// `per_s`.
    Part {
        /// Length of a period.
        #[serde(rename = "every", with = "humantime_serde")]
        period: Duration,
        /// Start of the active part within each period; the active part ends with the period.
        #[serde(rename = "from", with = "humantime_serde")]
        active_from: Duration,
    },
}

/// Open-loop stream of messages: arrivals do not depend on the outcomes of earlier messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Arrivals", deny_unknown_fields)]
pub struct StreamSpec {
    /// Mean rate, in messages per second.
    pub per_s: f64,
    /// Arrival pattern; Poisson by default.
    #[serde(default = "default_pattern")]
    pub pattern: Pattern,
    /// Name of the service class; by default, each message has a random one of the scenario's.
    #[serde(rename = "grade")]
    pub service_class: Option<String>,
    /// Kind of the destinations; by default, all kinds by their weight.
    #[serde(rename = "to")]
    pub destination_kind: Option<String>,
    /// Name of the tenant whose quota applies, if any.
    pub tenant: Option<String>,
    /// Number of different ordering keys; 0, the default, for messages without one.
    #[serde(rename = "keys", default)]
    pub ordering_keys: u64,
    /// Number, from 1, of the only instance that receives the stream, as that of a sidecar; by default, the load
    /// balancer distributes the messages.
    #[serde(rename = "courier")]
    pub instance: Option<u32>,
    /// Start of the stream, as time since the start of the run; zero by default.
    #[serde(default, with = "humantime_serde")]
    pub from: Duration,
    /// End of the stream, as time since the start of the run; by default, the end of the scenario.
    #[serde(default, with = "humantime_serde")]
    pub until: Option<Duration>,
}

fn default_pattern() -> Pattern {
    Pattern::Poisson
}
