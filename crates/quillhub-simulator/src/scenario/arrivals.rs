//! The streams of messages: how many come, when, and for whom.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// When the messages of a stream come.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "law", rename_all = "lowercase", deny_unknown_fields)]
pub enum Pattern {
    /// Each at any instant, whatever the others do.
    Poisson,
    /// One after each `1/per_s`.
    Even,
    /// Clumps for one destination: `of` at once on average.
    Bursts {
        /// Messages that come at once, on average.
        #[serde(rename = "of")]
        mean_size: f64,
    },
    /// A wave round `per_s`, from `1 - depth` to `1 + depth` times it.
    Daily {
        /// The length of one wave.
        #[serde(rename = "every", with = "humantime_serde")]
        period: Duration,
        /// How far the wave goes up and down, as a share of the rate.
        depth: f64,
    },
    /// Evenly, but only in the part of each `every` that begins at `from`.
    Part {
        /// The length of one span.
        #[serde(rename = "every", with = "humantime_serde")]
        period: Duration,
        /// Where in each span its part begins.
        #[serde(rename = "from", with = "humantime_serde")]
        active_from: Duration,
    },
}

/// One open-loop stream of messages: it comes whatever became of those before.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// Messages a second, on average.
    pub per_s: f64,
    /// When they come.
    #[serde(default = "default_pattern")]
    pub pattern: Pattern,
    /// Its service class; absent, all service classes in turn.
    #[serde(rename = "grade")]
    pub service_class: Option<String>,
    /// Kind of its destinations; absent, all by weight.
    #[serde(rename = "to")]
    pub destination_kind: Option<String>,
    /// Its tenant, and the number of ordering keys in use.
    pub tenant: Option<String>,
    /// How many ordering keys are in use; 0 for none.
    #[serde(rename = "keys", default)]
    pub ordering_keys: u64,
    /// A sidecar's stream: all goes to the instance of this number.
    #[serde(rename = "courier")]
    pub instance: Option<u32>,
    /// When the stream begins.
    #[serde(default, with = "humantime_serde")]
    pub from: Duration,
    /// Absent, until the scenario's end.
    #[serde(default, with = "humantime_serde")]
    pub until: Option<Duration>,
}

fn default_pattern() -> Pattern {
    Pattern::Poisson
}
