//! Latency: recent durations of calls, and the attempt timeouts derived from them.

use crate::ms;
use std::collections::VecDeque;
use std::time::Duration;

/// Typical duration assumed for calls without recent samples.
pub(super) const ASSUMED_LATENCY: Duration = ms(500);
/// Maximum number of samples, whose median is the typical duration: odd, so that there is one middle sample, and large
/// enough that a short slow period does not become typical at once.
const MAX_SAMPLES: usize = 31;
/// Age at which a sample no longer represents the present latency.
const MAX_SAMPLE_AGE: Duration = ms(40_000);
/// Attempt timeout in multiples of the longest recent call; the tail of a healthy destination's latency ends below it.
const TIMEOUT_FACTOR: f64 = 2.0;
/// Minimum attempt timeout while slots are free; leaves time for a handshake and for queueing at the endpoint.
pub(super) const MIN_ATTEMPT_TIMEOUT: Duration = ms(2_000);
/// Number of samples below which the latency of a destination is not considered known, as they have no useful median.
const MIN_SAMPLES: usize = 3;
/// Share of isolated losses from which on the minimum attempt timeout is proportional to the free slots; also the
/// weight of one call in the moving share.
const HIGH_LOSS_SHARE: f64 = 0.05;
/// Maximum number of doublings of the attempt timeout after consecutive timeouts.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// Multiple of the typical duration above which a call is slow.
const SLOW_FACTOR: f64 = 4.0;

/// Share of the shortest recent duration below which a response came sooner than the endpoint can have answered.
const EARLY_SHARE: f64 = 0.5;

/// Number of samples from which on their shortest duration is close to the shortest possible one.
const MIN_SAMPLES_OF_EARLY: usize = 10;

/// Duration of one delivered call.
#[derive(Clone, Copy)]
struct Sample {
    delivered_at: Duration,
    duration: Duration,
    /// `true` if it was shorter than a call can be, judged by those before it.
    is_early: bool,
}

/// Recent durations of the delivered calls of one service class, at one destination or at all destinations.
#[derive(Default)]
pub(super) struct LatencyWindow {
    samples: VecDeque<Sample>,
    median: Option<Duration>,
    consecutive_timeouts: u32,
}

impl LatencyWindow {
    pub(super) fn on_delivery(&mut self, now: Duration, duration: Duration) {
        let is_early = self.is_early(duration);
        self.samples.push_back(Sample { delivered_at: now, duration, is_early });
        self.samples.retain(|sample| sample.delivered_at + MAX_SAMPLE_AGE > now);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        let mut sorted: Vec<_> = self.samples.iter().map(|sample| sample.duration).collect();
        sorted.sort();
        self.median = Some(sorted[sorted.len() / 2]);
        self.consecutive_timeouts = 0;
    }

    pub(super) fn on_timeout(&mut self) {
        self.consecutive_timeouts += 1;
    }

    /// Returns the median duration of recent calls, or [`ASSUMED_LATENCY`] if there are none.
    pub(super) fn typical(&self, now: Duration) -> Duration {
        let recent = self.samples.back().is_some_and(|sample| sample.delivered_at + MAX_SAMPLE_AGE > now);
        self.median.filter(|_| recent).unwrap_or(ASSUMED_LATENCY)
    }

    /// Returns the duration of the call that was delivered last, if any.
    pub(super) fn last_duration(&self) -> Option<Duration> {
        self.samples.back().map(|sample| sample.duration)
    }

    /// Returns `true` if a response after `duration` came sooner than the recent ones allow: it may be a copy that the
    /// endpoint wrote before it received the call. Early ones among the recent ones, and few ones, show nothing.
    pub(super) fn is_early(&self, duration: Duration) -> bool {
        let possible = self.samples.iter().filter(|sample| !sample.is_early).map(|sample| sample.duration);
        let has_enough_samples = possible.clone().count() >= MIN_SAMPLES_OF_EARLY;
        has_enough_samples && possible.min().is_some_and(|shortest| duration < shortest.mul_f64(EARLY_SHARE))
    }

    /// Returns [`TIMEOUT_FACTOR`] times the longest recent duration, which the calls of a healthy destination stay
    /// below.
    pub(super) fn tail_bound(&self) -> Duration {
        let longest = self.samples.iter().map(|sample| sample.duration).max();
        longest.unwrap_or(ASSUMED_LATENCY).mul_f64(TIMEOUT_FACTOR)
    }

    /// Returns the timeout of an attempt, which doubles with consecutive timeouts so that a slow destination has time
    /// to respond.
    ///
    /// While the window has few samples, the minimum timeout is at least `fallback_tail_bound`, usually that of the
    /// service class over all destinations. The minimum timeout is scaled by `min_timeout_share`, which is below 1 if
    /// slots are short.
    pub(super) fn attempt_timeout(&self, fallback_tail_bound: Duration, min_timeout_share: f64) -> Duration {
        let has_few_samples = self.samples.len() < MIN_SAMPLES;
        let min_timeout =
            if has_few_samples { fallback_tail_bound.max(MIN_ATTEMPT_TIMEOUT) } else { MIN_ATTEMPT_TIMEOUT };
        let timeout = self.tail_bound().max(min_timeout.mul_f64(min_timeout_share));
        timeout * 2u32.pow(self.consecutive_timeouts.min(MAX_TIMEOUT_DOUBLINGS))
    }
}

/// Returns `true` if a call that takes `duration` is slow, where calls typically take `typical`.
pub(super) fn is_slow(duration: Duration, typical: Duration) -> bool {
    duration > typical.mul_f64(SLOW_FACTOR)
}

/// Approximate share of isolated losses: calls that got no response while others at their endpoint did.
///
/// Prevents calls whose responses are lost from holding all slots, by shortening the attempt timeout. May time out a
/// call to a destination that becomes slow at the same time.
#[derive(Default)]
pub(super) struct IsolatedLosses {
    share: f64,
}

impl IsolatedLosses {
    pub(super) fn on_delivery(&mut self) {
        self.share *= 1.0 - HIGH_LOSS_SHARE;
    }

    pub(super) fn on_isolated_timeout(&mut self) {
        self.share += HIGH_LOSS_SHARE;
    }

    /// Returns the share of the minimum attempt timeout that applies while `free_slot_share` of the slots is free: 1
    /// without losses, and down to `free_slot_share` as they become frequent.
    pub(super) fn min_timeout_share(&self, free_slot_share: f64) -> f64 {
        free_slot_share.max(1.0 - self.share / HIGH_LOSS_SHARE)
    }
}

#[cfg(test)]
#[path = "tests/latency.rs"]
mod tests;
