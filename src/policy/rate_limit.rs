//! Rate limits: bound the calls to a route by its known limit, and pause the route after rejections.

use super::backoff::{BASE_DELAY, MAX_DELAY, full_jitter, time_to_earn};
use super::slow_start::ASSUMED_WARM_RATE_PER_S;
use crate::{LoadReport, ms};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Period whose tokens may accumulate for a burst; destinations measure their limits over a second or so.
const BURST_PERIOD: Duration = ms(700);
/// Factor applied at a rejection to the adaptive rate or, if lower, to the recent attempt rate of this instance.
const ADAPTIVE_DECREASE_FACTOR: f64 = 0.6;
/// Growth of the adaptive rate with each delivery, as a share of the rate and per remaining share of the limit: the
/// rate grows by half if the whole limit is left.
const ADAPTIVE_GROWTH_SHARE: f64 = 0.5;
/// Remaining share of the limit that is assumed for a response without a load report.
const ASSUMED_REMAINING_SHARE: f64 = 0.2;
/// Minimum adaptive rate as a share of this instance's equal part of the limit, below 1 so that all instances together
/// stay under the limit.
const MIN_RATE_SHARE: f64 = 0.5;
/// Limit from which the minimum adaptive rate is derived if no limit is known.
const ASSUMED_LIMIT_PER_S: f64 = 1.0;
/// Factor by which a listed rate may be too low or too high; raises the limit of the token bucket even if the rates are
/// exact; the concurrency limits guard against larger errors.
const LISTED_RATE_ERROR_FACTOR: f64 = 1.5;
/// Longest period for which a rate limit, measured over a second or two, rejects calls without a delivery in between.
/// Failures and rejections that last longer, or a longer retry-after, count as an outage.
pub(super) const MAX_RATE_LIMIT_REJECTION_PERIOD: Duration = ms(2_500);

/// Estimates of a route's rate, in calls per second, for the token bucket and for slow start.
#[derive(Clone, Copy)]
pub(super) struct RateEstimate {
    /// Rate that the token bucket allows, above the listed rate as that may be too low; `None` if no rate is known.
    pub(super) limit: Option<f64>,
    /// Rate from which slow start derives its budgets, below the listed rate if that is approximate; `None` if no rate
    /// is known.
    pub(super) safe_rate: Option<f64>,
}

impl RateEstimate {
    /// Creates the estimate for the rate in the endpoint list, if there is one and the list's rates are meaningful.
    pub(super) fn from_listed(rate: Option<f64>, is_approximate: bool) -> Self {
        Self {
            limit: rate.map(|rate| rate * LISTED_RATE_ERROR_FACTOR),
            safe_rate: rate.map(|rate| if is_approximate { rate / LISTED_RATE_ERROR_FACTOR } else { rate }),
        }
    }
}

/// Token bucket of this instance for one route.
///
/// After rejections it is refilled at an adaptive rate below the known limit, which each further rejection lowers and
/// each delivery raises by a factor.
pub(super) struct TokenBucket {
    estimate: RateEstimate,
    /// Refill rate after rejections, in tokens per second; `None` if rejections do not lower it.
    adaptive_rate: Option<f64>,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    pub(super) fn new(estimate: RateEstimate, now: Duration) -> Self {
        Self { estimate, adaptive_rate: None, tokens: 1.0, refilled_at: now }
    }

    pub(super) fn set_estimate(&mut self, estimate: RateEstimate) {
        self.estimate = estimate;
    }

    /// Replaces the estimate by a limit that the route itself reported, in calls per second.
    fn set_reported_limit(&mut self, limit: f64) {
        self.estimate = RateEstimate { limit: Some(limit), safe_rate: Some(limit) };
    }

    /// Returns the rate, in calls per second, that the route is assumed to sustain when warm.
    pub(super) fn safe_rate(&self) -> f64 {
        self.estimate.safe_rate.unwrap_or(ASSUMED_WARM_RATE_PER_S)
    }

    /// Returns the refill rate in tokens per second, or `None` if calls are not limited.
    fn rate(&self) -> Option<f64> {
        self.adaptive_rate.into_iter().chain(self.estimate.limit).reduce(f64::min)
    }

    /// Lowers the adaptive rate after a rejection; `sent_per_s` is the recent rate of this instance's calls.
    ///
    /// Prevents all instances together from using up a limit that counts rejected calls too. May leave capacity unused
    /// until deliveries have raised the rate again.
    fn cut_rate(&mut self, sent_per_s: f64, instances: u32) {
        let min_rate =
            self.estimate.limit.unwrap_or(ASSUMED_LIMIT_PER_S) * MIN_RATE_SHARE / f64::from(instances);
        let current = self.adaptive_rate.map_or(sent_per_s, |rate| rate.min(sent_per_s));
        self.adaptive_rate = Some((current * ADAPTIVE_DECREASE_FACTOR).max(min_rate));
    }

    /// Raises the adaptive rate after a delivery, and drops it once it reaches the known limit; `remaining_share` is
    /// the reported share of the limit that is left.
    pub(super) fn on_delivery(&mut self, remaining_share: Option<f64>) {
        let growth = 1.0 + ADAPTIVE_GROWTH_SHARE * remaining_share.unwrap_or(ASSUMED_REMAINING_SHARE);
        let grown = self.adaptive_rate.map(|rate| rate * growth);
        self.adaptive_rate = grown.filter(|rate| *rate < self.estimate.limit.unwrap_or(f64::INFINITY));
    }

    /// Adds the tokens earned since the last refill.
    pub(super) fn refill(&mut self, now: Duration) {
        if let Some(rate) = self.rate() {
            let max_tokens = (rate * BURST_PERIOD.as_secs_f64()).max(1.0);
            self.tokens = (self.tokens + rate * (now - self.refilled_at).as_secs_f64()).min(max_tokens);
        }
        self.refilled_at = now;
    }

    /// Returns the time until a token is available, or zero if there is one or calls are not limited.
    fn time_to_next_token(&self) -> Duration {
        let rate_if_empty = self.rate().filter(|_| self.tokens < 1.0);
        rate_if_empty.map_or(Duration::ZERO, |rate| time_to_earn(1.0 - self.tokens, rate))
    }

    /// Takes the token of a call that is started.
    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Rejected attempt, as reported to the rate limit of its route.
#[derive(Clone, Copy)]
pub(super) struct Rejection {
    pub(super) now: Duration,
    /// Start of the rejected attempt.
    pub(super) started: Duration,
    /// Delay that the response requested; zero if none.
    pub(super) retry_after: Duration,
    /// Recent attempts per second of this instance on the route.
    pub(super) attempts_per_s: f64,
    pub(super) instances: u32,
}

/// Rate limit of one route: its token bucket, and its pauses after rejections.
pub(super) struct RouteLimit {
    pub(super) bucket: TokenBucket,
    /// `true` once a response has reported the limit.
    is_reported: bool,
    /// Latest end of the retry-after periods requested so far.
    retry_after_end: Duration,
    /// Latest end of the pauses, including each retry-after and its random extension.
    paused_until: Duration,
    /// Rejections since the last delivery.
    rejections: u32,
    /// Time of the first rejection since the last delivery.
    first_rejection: Duration,
    /// Pauses since the last delivery; their random length grows with the number.
    pauses: u32,
    /// Start of the last pause.
    last_pause_started: Duration,
}

impl RouteLimit {
    pub(super) fn new(bucket: TokenBucket) -> Self {
        Self {
            bucket,
            is_reported: false,
            retry_after_end: Duration::ZERO,
            paused_until: Duration::ZERO,
            rejections: 0,
            first_rejection: Duration::ZERO,
            pauses: 0,
            last_pause_started: Duration::ZERO,
        }
    }

    pub(super) fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Returns the latest end of the retry-after periods requested so far, which may have passed.
    pub(super) fn retry_after_end(&self) -> Duration {
        self.retry_after_end
    }

    pub(super) fn rejections(&self) -> u32 {
        self.rejections
    }

    /// Adopts the limit in the load report of a response, if there is one.
    pub(super) fn on_load_report(&mut self, report: Option<LoadReport>) {
        if let Some(report) = report.filter(|report| report.rate_limit > 0.0) {
            self.bucket.set_reported_limit(report.rate_limit);
            self.is_reported = true;
        }
    }

    /// Adopts the rate in the endpoint list, unless a response has reported the limit.
    pub(super) fn on_listed_rate(&mut self, estimate: RateEstimate) {
        if !self.is_reported {
            self.bucket.set_estimate(estimate);
        }
    }

    pub(super) fn on_delivery(&mut self, remaining_share: Option<f64>) {
        self.rejections = 0;
        self.pauses = 0;
        self.bucket.on_delivery(remaining_share);
    }

    /// Pauses the route and lowers its rate.
    ///
    /// Prevents instances that were rejected together from retrying together. Load reports include the calls of all
    /// instances. Without a reported limit, a retry-after is therefore extended at random by up to its own length, and
    /// the bucket's next token is due at random within twice the usual interval. May leave capacity unused after a
    /// pause.
    pub(super) fn on_rejection(&mut self, rejection: Rejection, rng: &mut Pcg64Mcg) {
        let Rejection { now, retry_after, .. } = rejection;
        let delay_factor = if self.is_reported { 1.0 } else { 2.0 * rng.random::<f64>() };
        self.bucket.tokens = self.bucket.tokens.min(0.0);
        if self.rejections == 0 {
            self.first_rejection = now;
        }
        self.rejections += 1;
        // Rejected attempts that were in flight together cause only one pause.
        if rejection.started >= self.last_pause_started {
            self.pauses += 1;
            self.last_pause_started = now;
            self.bucket.cut_rate(rejection.attempts_per_s, rejection.instances);
            self.bucket.tokens = 1.0 - delay_factor;
            let pause = full_jitter(rng, self.pauses, BASE_DELAY, MAX_DELAY);
            self.paused_until = self.paused_until.max(now + pause);
        }
        self.retry_after_end = self.retry_after_end.max(now + retry_after);
        let extension = if self.is_reported { 0.0 } else { delay_factor / 2.0 };
        self.paused_until = self.paused_until.max(self.retry_after_end + retry_after.mul_f64(extension));
    }

    /// Respects a retry-after in a response that arrived too late to end an attempt.
    pub(super) fn on_late_retry_after(&mut self, now: Duration, retry_after: Duration) {
        self.retry_after_end = self.retry_after_end.max(now + retry_after);
    }

    /// Returns `true` if the rest of the retry-after is longer than [`MAX_RATE_LIMIT_REJECTION_PERIOD`].
    pub(super) fn has_long_retry_after(&self, now: Duration) -> bool {
        self.retry_after_end > now + MAX_RATE_LIMIT_REJECTION_PERIOD
    }

    /// Returns `true` if the first rejection since the last delivery was more than [`MAX_RATE_LIMIT_REJECTION_PERIOD`]
    /// ago.
    pub(super) fn has_long_rejection_series(&self, now: Duration) -> bool {
        now > self.first_rejection + MAX_RATE_LIMIT_REJECTION_PERIOD
    }

    /// Returns the earliest time at which the rate limit allows the next call.
    pub(super) fn next_call_at(&self, now: Duration) -> Duration {
        self.retry_after_end.max(self.paused_until).max(now + self.bucket.time_to_next_token())
    }
}

#[cfg(test)]
#[path = "tests/rate_limit.rs"]
mod tests;
