//! Rate limit of a route, which counts the calls of all gateway instances together.

use crate::scenario::RateLimitSpec;
use quillhub::LoadReport;
use std::time::Duration;

/// Rate limit of one route: a fixed window if the scenario sets one, and otherwise a token bucket with a burst of
/// one second.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    spec: RateLimitSpec,
    /// Calls still allowed: in the current window, or by the tokens in the bucket. Negative after rejected calls that
    /// count against the limit.
    remaining: f64,
    updated_at: Duration,
    /// Time and remaining share of the last report, which is repeated until it exceeds the report age.
    reported: (Duration, f64),
}

impl RateLimit {
    pub(crate) fn new(spec: RateLimitSpec) -> Self {
        let mut limit =
            Self { spec, remaining: 0.0, updated_at: Duration::ZERO, reported: (Duration::ZERO, 1.0) };
        limit.remaining = limit.max_remaining();
        limit
    }

    fn max_remaining(&self) -> f64 {
        match self.spec.window {
            Some(window) => (self.spec.per_s * window.as_secs_f64()).floor(),
            None => self.spec.per_s.max(1.0), // burst of one second, at least one call
        }
    }

    fn refill(&mut self, now: Duration) {
        match self.spec.window {
            Some(window) => {
                let window_start = window * (now.as_nanos() / window.as_nanos()) as u32;
                if window_start > self.updated_at {
                    let debt = self.remaining.min(0.0); // rejected calls that count reduce the next window
                    (self.remaining, self.updated_at) = (self.max_remaining() + debt, window_start);
                }
            }
            None => {
                let refill = self.spec.per_s * (now - self.updated_at).as_secs_f64();
                (self.remaining, self.updated_at) =
                    ((self.remaining + refill).min(self.max_remaining()), now);
            }
        }
    }

    /// Counts one call. If it exceeds the limit, returns the time until another call is allowed.
    pub(crate) fn acquire(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        // The tolerance absorbs rounding errors of the fractional refills.
        if self.remaining >= 1.0 - 1e-9 {
            self.remaining -= 1.0;
            return Ok(());
        }
        if self.spec.counts_rejected {
            self.remaining = (self.remaining - 1.0).max(-self.max_remaining());
        }
        Err(match self.spec.window {
            Some(window) => self.updated_at + window - now,
            None => Duration::from_secs_f64((1.0 - self.remaining) / self.spec.per_s),
        })
    }

    pub(crate) fn per_s(&self) -> f64 {
        self.spec.per_s
    }

    pub(crate) fn retry_after_share(&self) -> f64 {
        self.spec.retry_after_share
    }

    /// Returns the number of calls that the limit allows at once.
    pub(crate) fn free_capacity(&mut self, now: Duration) -> usize {
        self.refill(now);
        (self.remaining.max(0.0) + 1e-9) as usize
    }

    /// Returns the remaining share and the limit, from a reading that is at most `age` old.
    pub(crate) fn load_report(&mut self, now: Duration, age: Duration) -> LoadReport {
        if now >= self.reported.0 + age {
            self.refill(now);
            self.reported = (now, (self.remaining / self.max_remaining()).clamp(0.0, 1.0));
        }
        LoadReport { remaining_share: self.reported.1, rate_limit: self.spec.per_s }
    }
}

#[cfg(test)]
#[path = "rate_limit_tests.rs"]
mod tests;
