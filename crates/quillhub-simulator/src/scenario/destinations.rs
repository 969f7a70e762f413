//! Kinds of destinations: their endpoints, service times and rate limits.

use super::default_one;
use rand::Rng;
use rand_distr::{Distribution, Exp, Gamma, LogNormal, Pareto};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Kind of destinations, and the settings that all its destinations share.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Destinations", deny_unknown_fields)]
pub struct DestinationKind {
    /// Name of the kind, unique in the scenario.
    pub kind: String,
    /// Number of destinations of this kind; 1 by default.
    #[serde(default = "default_count")]
    pub count: usize,
    /// Number of endpoints per destination; 1 by default.
    #[serde(default = "default_count")]
    pub endpoints: usize,
    /// Max number of calls that an endpoint executes at a time; 8 by default.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Max number of calls that wait at an endpoint for a worker, 64 by default; further ones are rejected.
    #[serde(rename = "queue", default = "default_max_queued")]
    pub max_queued: usize,
    /// Distribution of the time that a call takes.
    pub service: ServiceTime,
    /// Max factor by which a destination is slower or faster than usual, drawn log-uniformly for each; 1, the default,
    /// for equal destinations.
    #[serde(default = "default_one")]
    pub spread: f64,
    /// Rate limit of each route, if any.
    #[serde(rename = "limit")]
    pub rate_limit: Option<RateLimitSpec>,
    /// `true` if each endpoint is a route, with its own rate limit and recovery; by default, a destination is one
    /// route.
    #[serde(rename = "routes_apart", default)]
    pub separate_routes: bool,
    /// Max number of connections per endpoint, including idle ones; unlimited by default.
    #[serde(rename = "connections")]
    pub max_connections: Option<usize>,
    /// Weight of this kind in the distribution of messages over the kinds; 1 by default.
    #[serde(default = "default_one")]
    pub weight: f64,
    /// Exponent of the skew within the kind: the k-th busiest destination receives 1/k^skew times as many messages as
    /// the busiest. 0, the default, distributes evenly.
    #[serde(default)]
    pub skew: f64,
    /// `true` if responses carry a load report; `false` by default.
    #[serde(rename = "reports", default)]
    pub sends_load_reports: bool,
    /// Max age of the state in a load report; zero by default.
    #[serde(rename = "report_age", default, with = "humantime_serde")]
    pub load_report_age: Duration,
}

/// Probability distribution of the time that a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "enum Law", rename_all = "lowercase")]
pub enum ServiceTimeDistribution {
    /// Always the mean time.
    Constant,
    /// Exponential distribution; `cv` has no effect.
    Exponential,
    /// Log-normal distribution.
    LogNormal,
    /// Gamma distribution.
    Gamma,
    /// Pareto distribution, which has a heavy tail.
    Pareto,
}

/// Time that a call takes at an endpoint of usual speed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Service", deny_unknown_fields)]
pub struct ServiceTime {
    /// Mean time.
    #[serde(with = "humantime_serde")]
    pub mean: Duration,
    /// Distribution of the time; log-normal by default.
    #[serde(default = "default_law")]
    pub law: ServiceTimeDistribution,
    /// Coefficient of variation (standard deviation divided by mean) for log-normal, gamma and Pareto; greater than 0,
    /// and 0.5 by default.
    #[serde(default = "default_cv")]
    pub cv: f64,
}

impl ServiceTime {
    /// Draws a service time, which is between 1 µs and 1 h unless the distribution is constant.
    pub fn draw(&self, rng: &mut impl Rng) -> Duration {
        let mean = self.mean.as_secs_f64().max(1e-6);
        let (cv, checked) = (self.cv, "the parameters of the distribution were checked");
        let secs = match self.law {
            ServiceTimeDistribution::Constant => return self.mean,
            ServiceTimeDistribution::Exponential => Exp::new(1.0 / mean).expect(checked).sample(rng),
            ServiceTimeDistribution::LogNormal => {
                LogNormal::from_mean_cv(mean, cv).expect(checked).sample(rng)
            }
            ServiceTimeDistribution::Gamma => {
                Gamma::new(1.0 / (cv * cv), mean * cv * cv).expect(checked).sample(rng)
            }
            ServiceTimeDistribution::Pareto => {
                // The shape follows from the coefficient of variation, and the scale from the mean.
                let shape = 1.0 + (1.0 + 1.0 / (cv * cv)).sqrt();
                Pareto::new(mean * (shape - 1.0) / shape, shape).expect(checked).sample(rng)
            }
        };
        Duration::from_secs_f64(secs.clamp(1e-6, 3_600.0))
    }
}

/// Rate limit of a route, for the calls of all instances together.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct LimitOf", deny_unknown_fields)]
pub struct RateLimitSpec {
    /// Limit in calls per second.
    pub per_s: f64,
    /// Length of the consecutive windows in which calls are counted; by default, the limit is a token bucket with a
    /// burst of one second.
    #[serde(rename = "span", default, with = "humantime_serde")]
    pub window: Option<Duration>,
    /// Share of the rejections that carry a retry-after, from 0 to 1; 0 by default.
    #[serde(default)]
    #[serde(rename = "tells")]
    pub retry_after_share: f64,
    /// `true` if rejected calls count against the limit too, up to a debt of one burst or window; `false` by default.
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

fn default_max_queued() -> usize {
    64
}

fn default_law() -> ServiceTimeDistribution {
    ServiceTimeDistribution::LogNormal
}
