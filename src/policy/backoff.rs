//! Backoff: how long to wait before the next retry, poll or health check.
//!
//! Gaps grow with each failure up to a cap, and are drawn at random so that what failed together does not come back
//! together.

use crate::ms;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Upper end of the first gap: about one call. The design page's starting value.
pub(super) const BASE: Duration = ms(200);
/// Growth from one gap's upper end to the next's: the article's.
const MULTIPLIER: f64 = 3.0;
/// Upper end of the longest gap: well inside the deadlines seen in practice. The design page's.
pub(super) const CAP: Duration = ms(4_000);
/// Failures after which the gap grows no further, so that its power stays finite.
const MOST_GROWTH: u32 = 40;

/// Bounds of the time until a budget that is earned at a rate is large enough, in seconds.
const EARNING_TIME: std::ops::RangeInclusive<f64> = 0.001..=3_600.0;

/// The wait after failure number `failures`, counted from 1: drawn evenly from zero to a growing upper end.
pub(super) fn full_jitter(rng: &mut Pcg64Mcg, failures: u32, base: Duration, cap: Duration) -> Duration {
    let growth = MULTIPLIER.powi(failures.saturating_sub(1).min(MOST_GROWTH) as i32);
    let end = base.as_secs_f64() * growth;
    cap.min(Duration::from_secs_f64(end.min(cap.as_secs_f64()))).mul_f64(rng.random())
}

/// The same with half of the cap for certain, so that health checks never come in a bunch.
pub(super) fn equal_jitter(rng: &mut Pcg64Mcg, failures: u32, cap: Duration) -> Duration {
    cap / 2 + full_jitter(rng, failures, BASE, cap) / 2
}

/// The time in which `rate` a second adds up to `wanted`.
pub(super) fn time_to_earn(wanted: f64, rate: f64) -> Duration {
    Duration::from_secs_f64((wanted / rate).clamp(*EARNING_TIME.start(), *EARNING_TIME.end()))
}

#[cfg(test)]
#[path = "tests/backoff.rs"]
mod tests;
