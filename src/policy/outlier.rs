//! Outlier detection: which endpoints are ejected, which are suspect, and when they are checked again.

use super::backoff::equal_jitter;
use super::latency::LEAST_TIMEOUT;
use super::rate_limit::SHUT;
use super::slow_start::SlowStart;
use crate::ms;
use rand_pcg::Pcg64Mcg;
use std::fmt;
use std::time::Duration;

/// Failures in a row that make a route suspect, on a slow-start budget: a call and its retry.
const SUSPECT_FAILURES: u32 = 2;
/// Rejections in a row from which each counts as a failure: seldom a limit.
pub(super) const REJECTION_STREAK: u32 = 3;
/// Weight of an answered failure in the failing share: four eject an endpoint.
pub(super) const FAILURE_WEIGHT: f64 = 0.2;
/// Weight of a failed connection or a timeout: two eject it.
pub(super) const SILENCE_WEIGHT: f64 = 0.35;
/// Weight of a rejection, a reset, or a call lost while others were answered: seven eject it.
pub(super) const WEAK_WEIGHT: f64 = 0.1;
/// Weight of being shut: it ejects at once.
pub(super) const SHUT_WEIGHT: f64 = 1.0;
/// Failing share over which an endpoint is ejected: most calls fail.
const EJECTION_SHARE: f64 = 0.5;
/// Failing share of an endpoint just back: another failure or two and it is ejected again.
const RETURN_SHARE: f64 = 0.4;
/// Calls in flight that a failing share of 1 counts for in the selection: a retry goes elsewhere first.
const SUSPICION_LOAD: f64 = 4.0;
/// Longest gap between health checks that cannot have been executed.
const CHECK_GAP: Duration = ms(1_000);
/// Longest gap between those that may have been: each can cost its message.
const COSTLY_CHECK_GAP: Duration = ms(1_500);
/// Health checks a second of all instances together at one ejected endpoint: the design page's.
const CHECKS_PER_SECOND: f64 = 1.0;

/// What an instance takes an endpoint for: as healthy as it sorts low.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// It takes calls as its limits allow.
    Healthy,
    /// It has returned, and its load grows.
    WarmingUp {
        /// The return, or the last failure since.
        since: Duration,
    },
    /// It gets health checks only.
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
    /// Whether two states differ in kind.
    pub(super) fn differs_from(self, other: Self) -> bool {
        std::mem::discriminant(&self) != std::mem::discriminant(&other)
    }
}

/// What is known of one endpoint's health.
pub(crate) struct EndpointHealth {
    status: Health,
    /// The share of calls that fail, weighed by what each failure tells.
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

    /// Whether a call was delivered after `since`.
    pub(super) fn delivered_since(&self, since: Duration) -> bool {
        self.last_delivery > since
    }

    /// The failing share in calls in flight, for the selection.
    pub(super) fn suspicion_load(&self) -> i64 {
        (self.failing_share * SUSPICION_LOAD) as i64
    }

    pub(super) fn on_failure(&mut self, now: Duration, weight: f64) {
        self.failing_share += (1.0 - self.failing_share) * weight;
        self.last_failure = now;
        if self.failing_share > EJECTION_SHARE {
            self.status = Health::Ejected;
        } else if let Health::WarmingUp { since } = &mut self.status {
            *since = now;
        }
    }

    pub(super) fn on_delivery(&mut self, now: Duration) {
        self.failing_share *= 1.0 - FAILURE_WEIGHT;
        self.last_delivery = now;
        if self.is_ejected() {
            self.start_warm_up(now);
        }
    }

    /// Whether nothing was delivered since `began`, nor within the least attempt timeout.
    pub(super) fn is_silent(&self, now: Duration, began: Duration) -> bool {
        !self.delivered_since(began) && self.last_delivery + LEAST_TIMEOUT <= now
    }

    pub(super) fn start_warm_up(&mut self, now: Duration) {
        self.failing_share = self.failing_share.min(RETURN_SHARE);
        self.status = Health::WarmingUp { since: now };
    }

    /// The share of its warm rate that it may get at `at`. One that was warming up for the whole time without a
    /// failure is healthy.
    pub(super) fn allowed_share(&mut self, at: Duration, slow_start: SlowStart) -> f64 {
        match self.status {
            Health::WarmingUp { since } if at >= since + slow_start.warm_up => self.status = Health::Healthy,
            Health::WarmingUp { since } => return slow_start.share(at.saturating_sub(since)),
            Health::Healthy | Health::Ejected => {}
        }
        slow_start.share(Duration::ZERO)
    }

    /// Health checks a second that one of `instances` may make at least, spread over `endpoints`.
    pub(super) fn least_check_rate(&self, instances: u32, endpoints: usize) -> f64 {
        if matches!(self.status, Health::WarmingUp { .. }) {
            return 0.0;
        }
        CHECKS_PER_SECOND / f64::from(instances) / endpoints as f64
    }
}

/// What went wrong on a route since a call was last delivered.
#[derive(Default)]
pub(crate) struct FailureStreak {
    failures: u32,
    /// Since when calls fail or are rejected.
    since: Option<Duration>,
    /// Whether one of these was rejected where no response tells of the limit.
    rejected_without_limit: bool,
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

    /// Enough failures at once to make the route suspect.
    pub(super) fn add_suspicion(&mut self) {
        self.failures += SUSPECT_FAILURES;
    }

    /// A call failed or was rejected.
    pub(super) fn begin(&mut self, now: Duration) {
        self.since = self.since.or(Some(now));
    }

    /// A rejection where no response tells of the limit; whether it is the first.
    pub(super) fn on_rejection_without_limit(&mut self) -> bool {
        !std::mem::replace(&mut self.rejected_without_limit, true)
    }

    /// Whether nothing was delivered for longer than a limit's span.
    fn lasts(&self, now: Duration) -> bool {
        self.since.is_some_and(|since| since + SHUT < now)
    }

    /// Whether calls failed more than once, for longer than a limit's span.
    pub(super) fn is_outage(&self, now: Duration) -> bool {
        self.failures >= SUSPECT_FAILURES && self.lasts(now)
    }

    /// Whether the route is suspect.
    ///
    /// Rejections count once they last, where no response tells of a limit. Against instances that call too seldom to
    /// see two failures. May hold back calls that a limit would take.
    pub(super) fn is_suspect(&self, now: Duration) -> bool {
        self.failures >= SUSPECT_FAILURES || self.rejected_without_limit && self.lasts(now)
    }
}

/// When the ejected endpoints of a route are checked again.
#[derive(Default)]
pub(crate) struct HealthChecks {
    count: u32,
    next: Duration,
}

impl HealthChecks {
    pub(super) fn next(&self) -> Duration {
        self.next
    }

    /// An ejected endpoint answered: its siblings may be back too.
    pub(super) fn on_return(&mut self, now: Duration) {
        self.count = 0;
        self.next = now;
    }

    pub(super) fn on_check(&mut self, now: Duration, rng: &mut Pcg64Mcg) {
        self.count += 1;
        self.next = now + equal_jitter(rng, self.count, CHECK_GAP);
    }

    /// A call at an ejected endpoint failed.
    pub(super) fn on_failure(&mut self, now: Duration, never_executed: bool, rng: &mut Pcg64Mcg) {
        self.count += 1;
        let cap = if never_executed { CHECK_GAP } else { COSTLY_CHECK_GAP };
        self.next = self.next.max(now + equal_jitter(rng, self.count, cap));
    }
}

#[cfg(test)]
#[path = "tests/outlier.rs"]
mod tests;
