//! What a route takes from all instances together, as the receiver counts it.

use crate::scenario::RateLimitSpec;
use quillhub::LoadReport;
use std::time::Duration;

/// The count of one route; holds no more than its last span.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    of: RateLimitSpec,
    /// Calls that may still come: in this span, or saved up by the rate.
    left: f64,
    since: Duration,
    /// The share left when it was last read, for reports that lag.
    reported: (Duration, f64),
}

impl RateLimit {
    pub(crate) fn new(of: RateLimitSpec) -> Self {
        let mut limit = Self { of, left: 0.0, since: Duration::ZERO, reported: (Duration::ZERO, 1.0) };
        limit.left = limit.most();
        limit
    }

    fn most(&self) -> f64 {
        match self.of.window {
            Some(span) => (self.of.per_s * span.as_secs_f64()).floor(),
            None => self.of.per_s.max(1.0), // a burst of one second
        }
    }

    fn fill(&mut self, now: Duration) {
        match self.of.window {
            Some(span) => {
                let begun = span * (now.as_nanos() / span.as_nanos()) as u32;
                if begun > self.since {
                    let debt = self.left.min(0.0); // what was refused and counts is made up for by the next span
                    (self.left, self.since) = (self.most() + debt, begun);
                }
            }
            None => {
                let more = self.of.per_s * (now - self.since).as_secs_f64();
                (self.left, self.since) = ((self.left + more).min(self.most()), now);
            }
        }
    }

    /// Counts one call, or says after which wait the next one fits.
    pub(crate) fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        // A hair under one counts as one: shares of a second do not add up to the last bit.
        if self.left >= 1.0 - 1e-9 {
            self.left -= 1.0;
            return Ok(());
        }
        if self.of.counts_rejected {
            self.left = (self.left - 1.0).max(-self.most());
        }
        Err(match self.of.window {
            Some(span) => self.since + span - now,
            None => Duration::from_secs_f64((1.0 - self.left) / self.of.per_s),
        })
    }

    pub(crate) fn per_s(&self) -> f64 {
        self.of.per_s
    }

    pub(crate) fn retry_after_share(&self) -> f64 {
        self.of.retry_after_share
    }

    /// Whether a call would be let in.
    pub(crate) fn free_capacity(&mut self, now: Duration) -> usize {
        self.fill(now);
        (self.left.max(0.0) + 1e-9) as usize
    }

    /// The share left and the limit, as they were up to `age` ago.
    pub(crate) fn load_report(&mut self, now: Duration, age: Duration) -> LoadReport {
        if now >= self.reported.0 + age {
            self.fill(now);
            self.reported = (now, (self.left / self.most()).clamp(0.0, 1.0));
        }
        LoadReport { remaining_share: self.reported.1, rate_limit: self.of.per_s }
    }
}

#[cfg(test)]
#[path = "rate_limit_tests.rs"]
mod tests;
