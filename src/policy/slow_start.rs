//! Slow start: what a destination that was out, is suspected or is warming up may get, by the sum of all instances.

use super::backoff::time_to_earn;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Share of the ramp that each message handed in earns: more may be asked for than the ramp takes.
const SHARE_PER_MESSAGE: f64 = 0.9;
/// Calls a second that a destination of unknown rate is taken for while it warms up: little.
pub(super) const ASSUMED_WARM_RATE_PER_S: f64 = 1.0;
/// Part of the allowed overload that the ramp uses: the rest is for health checks and for other instances' parts.
const OVERLOAD_PART: f64 = 0.75;
/// The ramp's end in multiples of the warm part of the known rate: capacity lies over a limit, by a half or so.
const MOST_OVERLOAD: f64 = 1.6;
/// The least warm-up time that a ramp divides by, in seconds.
const LEAST_WARM_UP: f64 = 0.001;
/// What one attempt takes of a budget.
const ATTEMPT: f64 = 1.0;

/// What the settings say of a destination that returns.
#[derive(Clone, Copy)]
pub(crate) struct SlowStart {
    /// How far over its capacity of now a returning destination may be loaded.
    pub(crate) overload_factor: f64,
    /// The share of its capacity that it begins with.
    pub(crate) initial_share: f64,
    /// How long it takes to full capacity.
    pub(crate) warm_up: Duration,
}

impl SlowStart {
    /// Of what a warm destination takes, what it may get `age` after its return: a little over what it can do by then.
    pub(super) fn share(&self, age: Duration) -> f64 {
        let warmth = (age.as_secs_f64() / self.warm_up.as_secs_f64().max(LEAST_WARM_UP)).min(1.0);
        let capacity = self.initial_share + (1.0 - self.initial_share) * warmth;
        (self.overload_factor * OVERLOAD_PART).min(MOST_OVERLOAD) * capacity
    }
}

/// Attempts that one endpoint may get while it is not healthy, earned in two ways of which the larger counts: by the
/// messages handed in for it, and by time as this instance's part of its known rate.
pub(crate) struct SlowStartBudget {
    by_messages: f64,
    by_time: f64,
    refilled: Duration,
}

impl SlowStartBudget {
    /// The part earned by messages begins at a random point under one: of many instances with little work each, some
    /// send at once.
    pub(super) fn new(chance: f64, now: Duration) -> Self {
        Self { by_messages: chance, by_time: 0.0, refilled: now }
    }

    /// Begins anew at a random point. Against a herd of all instances that begin to earn in one instant.
    pub(super) fn randomize(&mut self, rng: &mut Pcg64Mcg) {
        let chance = rng.random();
        self.by_messages = chance;
        self.by_time = chance;
    }

    /// The same, and time counts from `now` on.
    pub(super) fn restart(&mut self, rng: &mut Pcg64Mcg, now: Duration) {
        self.randomize(rng);
        self.refilled = now;
    }

    pub(super) fn is_ready(&self) -> bool {
        self.by_messages >= ATTEMPT || self.by_time >= ATTEMPT
    }

    pub(super) fn spend(&mut self) {
        self.by_messages = (self.by_messages - ATTEMPT).max(0.0);
        self.by_time = (self.by_time - ATTEMPT).max(0.0);
    }

    /// Nothing is earned up to `until`, as long as a Retry-After is in force.
    pub(super) fn skip_to(&mut self, until: Duration) {
        self.refilled = self.refilled.max(until);
    }

    /// The middle of the time since the last refill: as the ramp is straight, its mean share.
    pub(super) fn middle(&self, now: Duration) -> Duration {
        (now + self.refilled) / 2
    }

    /// Earns at `rate` calls a second since the last refill; the time until the next attempt may go.
    pub(super) fn refill(&mut self, now: Duration, rate: f64) -> Duration {
        self.by_time = (self.by_time + rate * (now - self.refilled).as_secs_f64()).min(ATTEMPT);
        self.refilled = now;
        if self.is_ready() { Duration::ZERO } else { time_to_earn(ATTEMPT - self.by_time, rate) }
    }

    /// One message was handed in for the destination; `part` of it falls to this endpoint, which may get `share`.
    pub(super) fn on_message(&mut self, share: f64, part: f64) {
        self.by_messages = (self.by_messages + share * SHARE_PER_MESSAGE * part).min(ATTEMPT);
    }
}

#[cfg(test)]
#[path = "tests/slow_start.rs"]
mod tests;
