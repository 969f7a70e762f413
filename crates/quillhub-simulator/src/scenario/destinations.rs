//! Destinations by kind: their endpoints, the time that their calls take, and their rate limits.

use super::default_one;
use rand::Rng;
use rand_distr::{Distribution, Exp, Gamma, LogNormal, Pareto};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Destinations of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destinations {
    /// Its name.
    pub kind: String,
    /// How many destinations there are of this kind.
    #[serde(default = "default_count")]
    pub count: usize,
    /// Of each destination.
    #[serde(default = "default_count")]
    pub endpoints: usize,
    /// Calls that an endpoint works on at once, and that wait there; what comes beyond is rejected as full.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Calls that wait at an endpoint for a worker.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// The time that a call takes.
    pub service: Service,
    /// Some are slower than others: by even chance up to so many times, or a part as long.
    #[serde(default = "default_one")]
    pub spread: f64,
    /// What instances may send, where that is limited.
    #[serde(rename = "limit")]
    pub rate_limit: Option<RateLimitSpec>,
    /// Whether each endpoint has a limit, and returns, by itself.
    #[serde(rename = "routes_apart", default)]
    pub separate_routes: bool,
    /// Connections that an endpoint takes, idle ones counted.
    #[serde(rename = "connections")]
    pub max_connections: Option<usize>,
    /// Share of the messages' traffic that goes to this kind, against the other kinds' shares.
    #[serde(default = "default_one")]
    pub weight: f64,
    /// Within the kind the k-th busiest gets 1/k^skew of what the busiest gets; 0 spreads evenly.
    #[serde(default)]
    pub skew: f64,
    /// Whether answers hold a report on the limit, as it was up to `report_age` ago.
    #[serde(rename = "reports", default)]
    pub sends_load_reports: bool,
    /// How old what a report tells may be.
    #[serde(rename = "report_age", default, with = "humantime_serde")]
    pub load_report_age: Duration,
}

/// A law of chance for the time that a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Law {
    /// Always the mean.
    Constant,
    /// Exponential.
    Exponential,
    /// Log-normal.
    LogNormal,
    /// Gamma.
    Gamma,
    /// A heavy tail.
    Pareto,
}

/// The time that a call takes at an endpoint of usual pace.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The mean time.
    #[serde(with = "humantime_serde")]
    pub mean: Duration,
    /// The law.
    #[serde(default = "default_law")]
    pub law: Law,
    /// Standard deviation over mean, for the laws that take one; over 0.
    #[serde(default = "default_cv")]
    pub cv: f64,
}

impl Service {
    /// One time drawn.
    pub fn draw(&self, rng: &mut impl Rng) -> Duration {
        let mean = self.mean.as_secs_f64().max(1e-6);
        let (cv, law) = (self.cv, "the law's figures were checked");
        let s = match self.law {
            Law::Constant => return self.mean,
            Law::Exponential => Exp::new(1.0 / mean).expect(law).sample(rng),
            Law::LogNormal => LogNormal::from_mean_cv(mean, cv).expect(law).sample(rng),
            Law::Gamma => Gamma::new(1.0 / (cv * cv), mean * cv * cv).expect(law).sample(rng),
            Law::Pareto => {
                // The shape that has this cv, and the scale that has this mean.
                let shape = 1.0 + (1.0 + 1.0 / (cv * cv)).sqrt();
                Pareto::new(mean * (shape - 1.0) / shape, shape).expect(law).sample(rng)
            }
        };
        Duration::from_secs_f64(s.clamp(1e-6, 3_600.0))
    }
}

/// What all instances together may send a route.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct LimitOf", deny_unknown_fields)]
pub struct RateLimitSpec {
    /// Calls a second.
    pub per_s: f64,
    /// Counted in spans that begin one after the other; absent, a plain rate with a burst of one second.
    #[serde(rename = "span", default, with = "humantime_serde")]
    pub window: Option<Duration>,
    /// Share of the refusals that tell how long to wait.
    #[serde(default)]
    #[serde(rename = "tells")]
    pub retry_after_share: f64,
    /// Whether refused calls use it up too, down to as much below nothing as it holds.
    #[serde(default)]
    #[serde(rename = "refused_count")]
    pub counts_rejected: bool,
}

fn default_cv() -> f64 {
    0.5
}

fn default_count() -> usize {
    1
}

fn default_workers() -> usize {
    8
}

fn default_queue() -> usize {
    64
}

fn default_law() -> Law {
    Law::LogNormal
}
