//! Rate limits: a route gets no more calls than its known limit, and rests after rejections.

use super::backoff::{BASE, CAP, full_jitter, time_to_earn};
use super::slow_start::FIRST_WARM_UP_RATE;
use crate::{LoadReport, ms};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// What the limit allows in this span may go at once: limits are counted over a second or so.
const BURST: Duration = ms(700);
/// What a rejection leaves of the rate that this instance sent at.
const ADAPTIVE_CUT: f64 = 0.6;
/// Growth of the adaptive rate with each delivery, times the share of the limit that is left.
const ADAPTIVE_GROWTH: f64 = 0.5;
/// The share taken to be left where none is reported.
const UNREPORTED_SHARE: f64 = 0.2;
/// The least adaptive rate, in equal parts of the limit: the sum of all instances is then under it.
const LEAST_PART: f64 = 0.5;
/// The limit that this least rate goes by where none is known, in calls a second.
const UNKNOWN_LIMIT: f64 = 1.0;
/// How far a listed rate may be off, either way; concurrency limits do the rest.
const LISTED_SLACK: f64 = 1.5;
/// Rejecting for longer than a limit's span, a second or two, is being shut.
pub(super) const SHUT: Duration = ms(2_500);

/// A listed rate as the token bucket and the slow start take it.
#[derive(Clone, Copy)]
pub(super) struct RateEstimate {
    /// Taken for too low: what the bucket allows.
    pub(super) limit: Option<f64>,
    /// Taken for too high, where the list is approximate: what the slow start goes by.
    pub(super) safe_rate: Option<f64>,
}

impl RateEstimate {
    /// Of a listed rate, if there is one that means something.
    pub(super) fn of_listed(rate: Option<f64>, is_approximate: bool) -> Self {
        Self {
            limit: rate.map(|rate| rate * LISTED_SLACK),
            safe_rate: rate.map(|rate| if is_approximate { rate / LISTED_SLACK } else { rate }),
        }
    }
}

/// This instance's token bucket for one route, with an adaptive rate (additive increase, multiplicative decrease)
/// below the known limit.
pub(crate) struct TokenBucket {
    estimate: RateEstimate,
    adaptive_rate: Option<f64>,
    tokens: f64,
    refilled: Duration,
}

impl TokenBucket {
    pub(super) fn new(estimate: RateEstimate, now: Duration) -> Self {
        Self { estimate, adaptive_rate: None, tokens: 1.0, refilled: now }
    }

    pub(super) fn set_estimate(&mut self, estimate: RateEstimate) {
        self.estimate = estimate;
    }

    /// A limit that the route itself reported.
    pub(super) fn set_reported_limit(&mut self, limit: f64) {
        self.estimate = RateEstimate { limit: Some(limit), safe_rate: Some(limit) };
    }

    /// Calls a second that the route takes when warm; what a destination of unknown rate is taken for otherwise.
    pub(super) fn safe_rate(&self) -> f64 {
        self.estimate.safe_rate.unwrap_or(FIRST_WARM_UP_RATE)
    }

    fn rate(&self) -> Option<f64> {
        self.adaptive_rate.into_iter().chain(self.estimate.limit).reduce(f64::min)
    }

    /// Against limits that rejected calls use up too: `sent` calls a second by this instance were too much.
    fn cut(&mut self, sent: f64, instances: u32) {
        let least = self.estimate.limit.unwrap_or(UNKNOWN_LIMIT) * LEAST_PART / f64::from(instances);
        let current = self.adaptive_rate.map_or(sent, |rate| rate.min(sent));
        self.adaptive_rate = Some((current * ADAPTIVE_CUT).max(least));
    }

    /// A call was delivered; `remaining_share` of the limit is left, where that is reported.
    pub(super) fn on_delivery(&mut self, remaining_share: Option<f64>) {
        let growth = 1.0 + ADAPTIVE_GROWTH * remaining_share.unwrap_or(UNREPORTED_SHARE);
        let grown = self.adaptive_rate.map(|rate| rate * growth);
        self.adaptive_rate = grown.filter(|rate| *rate < self.estimate.limit.unwrap_or(f64::INFINITY));
    }

    pub(super) fn refill(&mut self, now: Duration) {
        if let Some(rate) = self.rate() {
            let most = (rate * BURST.as_secs_f64()).max(1.0);
            self.tokens = (self.tokens + rate * (now - self.refilled).as_secs_f64()).min(most);
        }
        self.refilled = now;
    }

    /// The time until the next call may go.
    pub(super) fn time_to_next(&self) -> Duration {
        let lacking = self.rate().filter(|_| self.tokens < 1.0);
        lacking.map_or(Duration::ZERO, |rate| time_to_earn(1.0 - self.tokens, rate))
    }

    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// One rejection, as the route's rate limit sees it.
#[derive(Clone, Copy)]
pub(super) struct Rejection {
    pub(super) now: Duration,
    /// When the rejected attempt started.
    pub(super) started: Duration,
    pub(super) retry_after: Duration,
    /// Attempts a second that this instance sent of late.
    pub(super) attempt_rate: f64,
    pub(super) instances: u32,
}

/// The rate limit of one route: its token bucket, and the pauses after rejections.
pub(crate) struct RouteLimit {
    pub(super) bucket: TokenBucket,
    /// Whether a response has reported the limit.
    reported: bool,
    /// The end of what Retry-After asked for.
    retry_after: Duration,
    /// The end of the pause, Retry-After and its random extension included.
    paused_until: Duration,
    /// Rejections since the last delivery, and when the first of them came.
    rejections: u32,
    first_rejection: Duration,
    /// Pauses since the last delivery, and when the last of them began.
    pauses: u32,
    last_pause: Duration,
}

impl RouteLimit {
    pub(super) fn new(bucket: TokenBucket) -> Self {
        Self {
            bucket,
            reported: false,
            retry_after: Duration::ZERO,
            paused_until: Duration::ZERO,
            rejections: 0,
            first_rejection: Duration::ZERO,
            pauses: 0,
            last_pause: Duration::ZERO,
        }
    }

    pub(super) fn is_reported(&self) -> bool {
        self.reported
    }

    /// The end of the Retry-After in force.
    pub(super) fn retry_after(&self) -> Duration {
        self.retry_after
    }

    pub(super) fn rejections(&self) -> u32 {
        self.rejections
    }

    /// Takes in the load report of a response.
    pub(super) fn on_report(&mut self, report: Option<LoadReport>) {
        if let Some(report) = report.filter(|report| report.rate_limit > 0.0) {
            self.bucket.set_reported_limit(report.rate_limit);
            self.reported = true;
        }
    }

    /// A rate of the endpoint list; a reported limit goes before it.
    pub(super) fn on_listed_rate(&mut self, estimate: RateEstimate) {
        if !self.reported {
            self.bucket.set_estimate(estimate);
        }
    }

    pub(super) fn on_delivery(&mut self, remaining_share: Option<f64>) {
        self.rejections = 0;
        self.pauses = 0;
        self.bucket.on_delivery(remaining_share);
    }

    /// Pauses the route, and cuts its rate.
    ///
    /// Against a herd of all that were rejected or told to wait together, where no response tells of the sum: a
    /// Retry-After ends at random up to as long again, the bucket's next token is due within twice its gap. May leave
    /// capacity unused after a wait.
    pub(super) fn on_rejection(&mut self, rejection: Rejection, rng: &mut Pcg64Mcg) {
        let Rejection { now, retry_after, .. } = rejection;
        let chance = if self.reported { 1.0 } else { 2.0 * rng.random::<f64>() };
        self.bucket.tokens = self.bucket.tokens.min(0.0);
        if self.rejections == 0 {
            self.first_rejection = now;
        }
        self.rejections += 1;
        // Attempts that were in flight together and are rejected make one pause.
        if rejection.started >= self.last_pause {
            self.pauses += 1;
            self.last_pause = now;
            self.bucket.cut(rejection.attempt_rate, rejection.instances);
            self.bucket.tokens = 1.0 - chance;
            let pause = full_jitter(rng, self.pauses, BASE, CAP);
            self.paused_until = self.paused_until.max(now + pause);
        }
        self.retry_after = self.retry_after.max(now + retry_after);
        let extension = if self.reported { 0.0 } else { chance / 2.0 };
        self.paused_until = self.paused_until.max(self.retry_after + retry_after.mul_f64(extension));
    }

    /// Whether Retry-After asks for longer than a limit's span.
    pub(super) fn is_shut(&self, now: Duration) -> bool {
        self.retry_after > now + SHUT
    }

    /// Whether rejections with no delivery between have lasted for longer than a limit's span.
    pub(super) fn rejects_for_long(&self, now: Duration) -> bool {
        now > self.first_rejection + SHUT
    }

    /// When the next call may go, as far as the limit is concerned.
    pub(super) fn opens(&self, now: Duration) -> Duration {
        self.retry_after.max(self.paused_until).max(now + self.bucket.time_to_next())
    }
}

#[cfg(test)]
#[path = "tests/rate_limit.rs"]
mod tests;
