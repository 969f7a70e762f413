//! Slow start: limits the load on a destination that is recovering or suspect, summed over all instances.

use super::backoff::time_to_earn;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Attempts that each accepted message earns, as a share of the load currently allowed; below 1 since messages may
/// arrive faster than the recovery ramp allows.
const EARNED_PER_MESSAGE: f64 = 0.9;
/// Rate assumed for a warm destination of unknown rate, low so as not to overload a destination that recovers.
pub(super) const ASSUMED_WARM_RATE_PER_S: f64 = 1.0;
/// Share of the allowed overload that the recovery ramp uses; the rest is left for health checks and for the other
/// instances.
const OVERLOAD_SHARE: f64 = 0.75;
/// Maximum of the recovery ramp in multiples of the known rate of the warm destination; the capacity of a destination
/// exceeds its rate limit by about a half.
const MAX_OVERLOAD_FACTOR: f64 = 1.6;
/// Minimum warm-up time in the ramp's division, which keeps it defined when the configured time is zero.
const MIN_WARM_UP_SECS: f64 = 0.001;
/// Cost of one attempt; also the maximum of each part of a budget.
const ATTEMPT_COST: f64 = 1.0;

/// Settings for slow start of recovering destinations.
#[derive(Clone, Copy)]
pub(crate) struct SlowStart {
    /// Load that a recovering destination withstands, in multiples of its current capacity.
    pub(crate) overload_factor: f64,
    /// Share of its full capacity that a destination has when it recovers.
    pub(crate) initial_share: f64,
    /// Time from the recovery to full capacity, during which the capacity grows linearly.
    pub(crate) warm_up: Duration,
}

impl SlowStart {
    /// Returns the load, as a share of what a warm destination may receive, that is allowed `age` after a recovery: its
    /// capacity at that time, times [`OVERLOAD_SHARE`] of the overload factor, up to [`MAX_OVERLOAD_FACTOR`].
    pub(super) fn share(&self, age: Duration) -> f64 {
        let progress = (age.as_secs_f64() / self.warm_up.as_secs_f64().max(MIN_WARM_UP_SECS)).min(1.0);
        let capacity = self.initial_share + (1.0 - self.initial_share) * progress;
        (self.overload_factor * OVERLOAD_SHARE).min(MAX_OVERLOAD_FACTOR) * capacity
    }
}

/// Budget of attempts at one endpoint while it is not healthy or its route is suspect.
///
/// An attempt may start as soon as it is earned in one of two ways: by messages accepted for the destination, or by
/// time at this instance's part of the endpoint's known rate.
pub(super) struct SlowStartBudget {
    by_messages: f64,
    by_time: f64,
    refilled_at: Duration,
}

impl SlowStartBudget {
    /// Creates a budget whose part earned by messages starts at `random_fraction`, below 1, so that some of many
    /// instances with few messages each send at once.
    pub(super) fn new(random_fraction: f64, now: Duration) -> Self {
        Self { by_messages: random_fraction, by_time: 0.0, refilled_at: now }
    }

    /// Sets both parts of the budget to a random fraction of an attempt.
    ///
    /// Prevents instances that start to earn at the same time from sending at the same time.
    pub(super) fn randomize(&mut self, rng: &mut Pcg64Mcg) {
        let random_fraction = rng.random();
        self.by_messages = random_fraction;
        self.by_time = random_fraction;
    }

    /// Sets the budget to a random fraction of an attempt, and earns by time from `now` on.
    pub(super) fn restart(&mut self, rng: &mut Pcg64Mcg, now: Duration) {
        self.randomize(rng);
        self.refilled_at = now;
    }

    pub(super) fn is_ready(&self) -> bool {
        self.by_messages >= ATTEMPT_COST || self.by_time >= ATTEMPT_COST
    }

    pub(super) fn spend(&mut self) {
        self.by_messages = (self.by_messages - ATTEMPT_COST).max(0.0);
        self.by_time = (self.by_time - ATTEMPT_COST).max(0.0);
    }

    /// Excludes the time up to `until` from earning, for a retry-after that is or was in force.
    pub(super) fn skip_earning_until(&mut self, until: Duration) {
        self.refilled_at = self.refilled_at.max(until);
    }

    /// Returns the midpoint of the time since the last refill, at which the linear ramp has its mean share.
    pub(super) fn midpoint_since_refill(&self, now: Duration) -> Duration {
        (now + self.refilled_at) / 2
    }

    /// Adds what was earned by time, at `rate` attempts per second, since the last refill, and returns the time until
    /// an attempt is earned.
    pub(super) fn refill(&mut self, now: Duration, rate: f64) -> Duration {
        self.by_time = (self.by_time + rate * (now - self.refilled_at).as_secs_f64()).min(ATTEMPT_COST);
        self.refilled_at = now;
        if self.is_ready() { Duration::ZERO } else { time_to_earn(ATTEMPT_COST - self.by_time, rate) }
    }

    /// Adds what a message accepted for the destination earns: this endpoint's part of the message is `endpoint_share`,
    /// and its allowed load is `allowed_share`.
    pub(super) fn on_message(&mut self, allowed_share: f64, endpoint_share: f64) {
        self.by_messages =
            (self.by_messages + allowed_share * EARNED_PER_MESSAGE * endpoint_share).min(ATTEMPT_COST);
    }
}

#[cfg(test)]
#[path = "tests/slow_start.rs"]
mod tests;
