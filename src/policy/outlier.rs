//! Outlier detection: the health of endpoints, the failure streaks of routes, and the schedule of health checks.

use super::backoff::equal_jitter;
use super::latency::MIN_ATTEMPT_TIMEOUT;
use super::rate_limit::MAX_RATE_LIMIT_REJECTION_PERIOD;
use super::slow_start::SlowStart;
use crate::ms;
use rand_pcg::Pcg64Mcg;
use std::fmt;
use std::time::Duration;

/// Consecutive failures, as of a call and its retry, after which a route is suspect and its calls need slow-start
/// budget.
const SUSPECT_FAILURES: u32 = 2;
/// Consecutive rejections from which on each counts as a failure of the route: a rate limit seldom rejects so many in a
/// row.
pub(super) const MIN_REJECTION_STREAK: u32 = 3;
/// Weight, in the failing share, of a response that reports an error: four in a row eject an endpoint. A delivery
/// lowers the share by the same weight.
pub(super) const FAILURE_WEIGHT: f64 = 0.2;
/// Weight of a failed connection, of a timeout, or of a rejection after the route has rejected calls for longer than
/// [`MAX_RATE_LIMIT_REJECTION_PERIOD`]: two in a row eject an endpoint.
pub(super) const MAJOR_FAILURE_WEIGHT: f64 = 0.35;
/// Weight of a rejection, of a connection reset, or of a call without a response while others were answered: seven in a
/// row eject an endpoint.
pub(super) const MINOR_FAILURE_WEIGHT: f64 = 0.1;
/// Weight of a retry-after longer than [`MAX_RATE_LIMIT_REJECTION_PERIOD`], which ejects an endpoint at once.
pub(super) const LONG_RETRY_AFTER_WEIGHT: f64 = 1.0;
/// Failing share above which an endpoint is ejected; failures count in it by their weights.
const EJECTION_FAILING_SHARE: f64 = 0.5;
/// Maximum failing share of an endpoint that starts to warm up, so high that one or two further failures eject it
/// again.
const MAX_RECOVERY_FAILING_SHARE: f64 = 0.4;
/// Calls in flight that are added to the load of an endpoint with a failing share of 1, and in proportion below it, so
/// that a retry prefers another endpoint.
const MAX_LOAD_PENALTY_CALLS: f64 = 4.0;
/// Upper bound of the delay before the next health check, unless `MAX_CHECK_INTERVAL_AFTER_POSSIBLE_EXECUTION` applies.
const MAX_CHECK_INTERVAL: Duration = ms(1_000);
/// Upper bound of the delay before the next health check after a failed call whose message may have been executed; each
/// such call may lose its message.
const MAX_CHECK_INTERVAL_AFTER_POSSIBLE_EXECUTION: Duration = ms(1_500);
/// Calls per second that all instances together may always make at a destination's endpoints that are ejected or whose
/// route is suspect, even if slow start allows less.
const MIN_CHECKS_PER_S: f64 = 1.0;

/// Health of an endpoint, as assessed by one gateway instance; variants are ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// The endpoint receives calls up to its limits.
    Healthy,
    /// The endpoint has recovered, and its load is increased gradually.
    WarmingUp {
        /// Time of the recovery, or of the last failure after it.
        since: Duration,
    },
    /// The endpoint receives only health checks.
    Ejected,
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Healthy => "healthy",
            Self::WarmingUp { .. } => "warming up",
            Self::Ejected => "ejected",
        })
    }
}

impl Health {
    /// Returns `true` if the two are different variants; the start of a warm-up makes no difference.
    pub(super) fn differs_from(self, other: Self) -> bool {
        std::mem::discriminant(&self) != std::mem::discriminant(&other)
    }
}

/// Health of one endpoint, with the failures and deliveries that determine it.
pub(super) struct EndpointHealth {
    status: Health,
    /// Moving average, from 0 to 1, of failed calls; each failure counts by its weight.
    failing_share: f64,
    last_failure: Duration,
    last_delivery: Duration,
}

impl EndpointHealth {
    pub(super) fn new(status: Health) -> Self {
        Self { status, failing_share: 0.0, last_failure: Duration::ZERO, last_delivery: Duration::ZERO }
    }

    pub(super) fn status(&self) -> Health {
        self.status
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.status == Health::Ejected
    }

    pub(super) fn last_failure(&self) -> Duration {
        self.last_failure
    }

    /// Returns `true` if a call was delivered after `since`.
    pub(super) fn delivered_since(&self, since: Duration) -> bool {
        self.last_delivery > since
    }

    /// Returns the calls in flight that are added to the endpoint's load for its failing share.
    pub(super) fn load_penalty(&self) -> i64 {
        (self.failing_share * MAX_LOAD_PENALTY_CALLS) as i64
    }

    /// Records a failure: raises the failing share by `weight`, from 0 to 1, and ejects the endpoint if the share is
    /// too high; otherwise restarts a warm-up.
    pub(super) fn on_failure(&mut self, now: Duration, weight: f64) {
        self.failing_share += (1.0 - self.failing_share) * weight;
        self.last_failure = now;
        if self.failing_share > EJECTION_FAILING_SHARE {
            self.status = Health::Ejected;
        } else if let Health::WarmingUp { since } = &mut self.status {
            *since = now;
        }
    }

    /// Records a delivery: lowers the failing share, and starts the warm-up of an ejected endpoint.
    pub(super) fn on_delivery(&mut self, now: Duration) {
        self.failing_share *= 1.0 - FAILURE_WEIGHT;
        self.last_delivery = now;
        if self.is_ejected() {
            self.start_warm_up(now);
        }
    }

    /// Returns `true` if a call was last delivered neither after `since` nor within the minimum attempt timeout before
    /// `now`.
    pub(super) fn is_unresponsive(&self, now: Duration, since: Duration) -> bool {
        !self.delivered_since(since) && self.last_delivery + MIN_ATTEMPT_TIMEOUT <= now
    }

    /// Starts a warm-up at `now`, whatever the status was before.
    pub(super) fn start_warm_up(&mut self, now: Duration) {
        self.failing_share = self.failing_share.min(MAX_RECOVERY_FAILING_SHARE);
        self.status = Health::WarmingUp { since: now };
    }

    /// Returns the share of its full rate that the endpoint may receive at `time`.
    ///
    /// An endpoint that is not warming up gets the share at the start of a warm-up, which applies if it is ejected or
    /// its route is suspect. Ends a warm-up whose full length has passed without a failure: the endpoint is healthy
    /// then.
    pub(super) fn update_allowed_share(&mut self, time: Duration, slow_start: SlowStart) -> f64 {
        match self.status {
            Health::WarmingUp { since } if time >= since + slow_start.warm_up => {
                self.status = Health::Healthy
            }
            Health::WarmingUp { since } => return slow_start.share(time.saturating_sub(since)),
            Health::Healthy | Health::Ejected => {}
        }
        slow_start.share(Duration::ZERO)
    }

    /// Returns the minimum rate of calls per second to this endpoint that one of `instances` may always make, for
    /// health checks; the rate is divided among the `endpoints` of the destination. It is 0 during a warm-up.
    pub(super) fn min_check_rate(&self, instances: u32, endpoints: usize) -> f64 {
        if matches!(self.status, Health::WarmingUp { .. }) {
            return 0.0;
        }
        MIN_CHECKS_PER_S / f64::from(instances) / endpoints as f64
    }
}

/// Failures and rejections on a route since a call was last delivered.
#[derive(Default)]
pub(super) struct FailureStreak {
    failures: u32,
    /// Time of the first failure or rejection, if any.
    started_at: Option<Duration>,
    /// `true` after a rejection on a route that has not reported a rate limit.
    had_rejection_without_reported_limit: bool,
}

impl FailureStreak {
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    pub(super) fn has_failures(&self) -> bool {
        self.failures > 0
    }

    pub(super) fn add_failures(&mut self, count: u32) {
        self.failures += count;
    }

    /// Adds enough failures at once to make the route suspect.
    pub(super) fn mark_suspect(&mut self) {
        self.failures += SUSPECT_FAILURES;
    }

    /// Sets the start of the streak to `now`, unless it has started already.
    pub(super) fn begin(&mut self, now: Duration) {
        self.started_at = self.started_at.or(Some(now));
    }

    /// Records a rejection on a route that has not reported a rate limit, and returns `true` if it is the first.
    pub(super) fn on_rejection_without_reported_limit(&mut self) -> bool {
        !std::mem::replace(&mut self.had_rejection_without_reported_limit, true)
    }

    /// Returns `true` if the streak started more than [`MAX_RATE_LIMIT_REJECTION_PERIOD`] ago.
    fn is_long(&self, now: Duration) -> bool {
        self.started_at.is_some_and(|started_at| started_at + MAX_RATE_LIMIT_REJECTION_PERIOD < now)
    }

    /// Returns `true` if calls failed more than once in a streak that started more than
    /// [`MAX_RATE_LIMIT_REJECTION_PERIOD`] ago.
    pub(super) fn is_outage(&self, now: Duration) -> bool {
        self.failures >= SUSPECT_FAILURES && self.is_long(now)
    }

    /// Returns `true` if the route is suspect: after two failures, or if a call was rejected without a reported rate
    /// limit in a streak that started more than [`MAX_RATE_LIMIT_REJECTION_PERIOD`] ago.
    ///
    /// Counting the rejections covers instances that call too seldom to observe two failures. May hold back calls that
    /// a rate limit would have accepted.
    pub(super) fn is_suspect(&self, now: Duration) -> bool {
        self.failures >= SUSPECT_FAILURES || self.had_rejection_without_reported_limit && self.is_long(now)
    }
}

/// Schedule of the health checks of a route's ejected endpoints.
#[derive(Default)]
pub(super) struct HealthChecks {
    /// Health checks and failures since the last recovery; the delay grows with them.
    count: u32,
    /// Earliest time of the next health check.
    next: Duration,
}

impl HealthChecks {
    pub(super) fn next(&self) -> Duration {
        self.next
    }

    /// Makes health checks due at once, as the other endpoints of the route may have recovered together with the one
    /// that delivered a call.
    pub(super) fn on_recovery(&mut self, now: Duration) {
        self.count = 0;
        self.next = now;
    }

    /// Schedules the next health check after one has started.
    pub(super) fn on_check(&mut self, now: Duration, rng: &mut Pcg64Mcg) {
        self.count += 1;
        self.next = now + equal_jitter(rng, self.count, MAX_CHECK_INTERVAL);
    }

    /// Postpones the next health check after a failed call to an ejected endpoint; it is never moved to an earlier
    /// time.
    pub(super) fn on_failure(&mut self, now: Duration, known_not_executed: bool, rng: &mut Pcg64Mcg) {
        self.count += 1;
        let cap =
            if known_not_executed { MAX_CHECK_INTERVAL } else { MAX_CHECK_INTERVAL_AFTER_POSSIBLE_EXECUTION };
        self.next = self.next.max(now + equal_jitter(rng, self.count, cap));
    }
}

#[cfg(test)]
#[path = "tests/outlier.rs"]
mod tests;
