//! Backoff: random delays before the next retry, poll or health check.
//!
//! The delays grow exponentially with the number of failures up to a cap. They are random so that attempts that failed
//! together are not repeated together.

use crate::ms;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Upper bound of the delay after the first failure, about the duration of a call.
pub(super) const BASE_DELAY: Duration = ms(200);
/// Factor by which the upper bound of the delay grows with each failure.
const MULTIPLIER: f64 = 3.0;
/// Upper bound of the delay before retries, polls and calls after a rejection, well below the deadlines of messages in
/// practice.
pub(super) const MAX_DELAY: Duration = ms(4_000);
/// Failures after which the delay grows no further, so that its exponential stays finite.
const MAX_GROWTH_STEPS: u32 = 40;

/// Minimum and maximum, in seconds, of the time returned by [`time_to_earn`]; the maximum keeps a rate near zero from
/// overflowing a [`Duration`].
const EARNING_TIME_BOUNDS_SECS: std::ops::RangeInclusive<f64> = 0.001..=3_600.0;

/// Returns the delay after failure number `failures`, counted from 1: uniformly distributed between zero and an upper
/// bound that grows from `base` to `cap`.
pub(super) fn full_jitter(rng: &mut Pcg64Mcg, failures: u32, base: Duration, cap: Duration) -> Duration {
    let growth = MULTIPLIER.powi(failures.saturating_sub(1).min(MAX_GROWTH_STEPS) as i32);
    let max_secs = base.as_secs_f64() * growth;
    cap.min(Duration::from_secs_f64(max_secs.min(cap.as_secs_f64()))).mul_f64(rng.random())
}

/// Returns a delay of half of `cap` plus half of the [`full_jitter`] after failure number `failures`, so that
/// consecutive health checks are at least half of `cap` apart.
pub(super) fn equal_jitter(rng: &mut Pcg64Mcg, failures: u32, cap: Duration) -> Duration {
    cap / 2 + full_jitter(rng, failures, BASE_DELAY, cap) / 2
}

/// Returns the time in which `amount` is earned at `rate_per_s`, clamped to [`EARNING_TIME_BOUNDS_SECS`].
pub(super) fn time_to_earn(amount: f64, rate_per_s: f64) -> Duration {
    Duration::from_secs_f64(
        (amount / rate_per_s).clamp(*EARNING_TIME_BOUNDS_SECS.start(), *EARNING_TIME_BOUNDS_SECS.end()),
    )
}

#[cfg(test)]
#[path = "tests/backoff.rs"]
mod tests;
