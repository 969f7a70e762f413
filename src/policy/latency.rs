//! Latency: how long calls take of late, and from it the attempt timeout.

use crate::ms;
use std::collections::VecDeque;
use std::time::Duration;

/// A typical call where nothing recent is known: the design page's.
pub(super) const UNKNOWN_CALL: Duration = ms(500);
/// Calls whose median is typical: odd; a slow spell does not become typical at once.
const SAMPLES: usize = 31;
/// Age at which a sample says nothing of now.
const RECENT: Duration = ms(40_000);
/// Attempt timeout in multiples of the longest recent call: the tail of a healthy destination ends before it.
const TIMEOUT_FACTOR: f64 = 2.0;
/// The least attempt timeout while slots are free: time for a handshake and a queue.
pub(super) const LEAST_TIMEOUT: Duration = ms(2_000);
/// Samples below which a destination is little known: no median before.
const FEW: usize = 3;
/// Share of calls lost one by one from which the least attempt timeout goes by the free slots.
const MANY_LOSSES: f64 = 0.05;
/// Doublings of the attempt timeout after timeouts in a row, so that a slow destination gets to answer.
const MOST_DOUBLINGS: u32 = 3;
/// Typical calls after which one in flight marks its destination as slow.
const SLOW_FACTOR: f64 = 4.0;

/// The duration of one delivered call.
#[derive(Clone, Copy)]
struct Sample {
    at: Duration,
    duration: Duration,
}

/// Recent durations of the delivered calls of one destination and service class; bounded in number.
#[derive(Default)]
pub(crate) struct LatencyWindow {
    samples: VecDeque<Sample>,
    median: Option<Duration>,
    timeouts_in_a_row: u32,
}

impl LatencyWindow {
    pub(super) fn on_delivery(&mut self, now: Duration, duration: Duration) {
        self.samples.push_back(Sample { at: now, duration });
        self.samples.retain(|sample| sample.at + RECENT > now);
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
        let mut sorted: Vec<_> = self.samples.iter().map(|sample| sample.duration).collect();
        sorted.sort();
        self.median = Some(sorted[sorted.len() / 2]);
        self.timeouts_in_a_row = 0;
    }

    pub(super) fn on_timeout(&mut self) {
        self.timeouts_in_a_row += 1;
    }

    /// How long a call typically takes.
    pub(super) fn typical(&self, now: Duration) -> Duration {
        let recent = self.samples.back().is_some_and(|sample| sample.at + RECENT > now);
        self.median.filter(|_| recent).unwrap_or(UNKNOWN_CALL)
    }

    /// The duration of the call that was delivered last.
    pub(super) fn last_duration(&self) -> Option<Duration> {
        self.samples.back().map(|sample| sample.duration)
    }

    /// A duration that healthy calls of this kind stay below.
    pub(super) fn tail_bound(&self) -> Duration {
        let longest = self.samples.iter().map(|sample| sample.duration).max();
        longest.unwrap_or(UNKNOWN_CALL).mul_f64(TIMEOUT_FACTOR)
    }

    /// How long an attempt may take: longer after each timeout in a row, so that a slow destination gets to answer.
    ///
    /// `elsewhere`, what calls of its class take at other destinations, counts while little is known here;
    /// `least_share` is the part of the least timeout that the free slots leave room for.
    pub(super) fn attempt_timeout(&self, elsewhere: Duration, least_share: f64) -> Duration {
        let little_known = self.samples.len() < FEW;
        let least = if little_known { elsewhere.max(LEAST_TIMEOUT) } else { LEAST_TIMEOUT };
        let timeout = self.tail_bound().max(least.mul_f64(least_share));
        timeout * 2u32.pow(self.timeouts_in_a_row.min(MOST_DOUBLINGS))
    }
}

/// Whether `duration` is that of a slow call where one typically takes `typical`.
pub(super) fn is_slow(duration: Duration, typical: Duration) -> bool {
    duration > typical.mul_f64(SLOW_FACTOR)
}

/// About the share of calls that got no response while others at their endpoint did.
///
/// Against lost responses that hold all slots. May give up a call at a destination that turns slow in the midst of
/// that.
#[derive(Default)]
pub(crate) struct IsolatedLosses {
    share: f64,
}

impl IsolatedLosses {
    pub(super) fn on_delivery(&mut self) {
        self.share *= 1.0 - MANY_LOSSES;
    }

    pub(super) fn on_isolated_timeout(&mut self) {
        self.share += MANY_LOSSES;
    }

    /// The share of the least attempt timeout that counts while `free` of the slots are free.
    pub(super) fn least_timeout_share(&self, free: f64) -> f64 {
        free.max(1.0 - self.share / MANY_LOSSES)
    }
}

#[cfg(test)]
#[path = "tests/latency.rs"]
mod tests;
