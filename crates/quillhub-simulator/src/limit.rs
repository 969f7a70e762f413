//! What a route takes from all couriers together, as the receiver counts it.

use crate::day::LimitOf;
use quillhub::LoadReport;
use std::time::Duration;

/// The count of one route; holds no more than its last span.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    of: LimitOf,
    /// Calls that may still come: in this span, or saved up by the rate.
    left: f64,
    since: Duration,
    /// As of when it was last told, for reports that lag.
    told: (Duration, f64),
}

impl Limit {
    pub(crate) fn new(of: LimitOf) -> Self {
        let mut limit = Self { of, left: 0.0, since: Duration::ZERO, told: (Duration::ZERO, 1.0) };
        limit.left = limit.most();
        limit
    }

    fn most(&self) -> f64 {
        match self.of.span {
            Some(span) => (self.of.per_s * span.as_secs_f64()).floor(),
            None => self.of.per_s.max(1.0), // a burst of one second
        }
    }

    fn fill(&mut self, now: Duration) {
        match self.of.span {
            Some(span) => {
                let begun = span * (now.as_nanos() / span.as_nanos()) as u32;
                if begun > self.since {
                    let owed = self.left.min(0.0); // what was refused and counts is made up for by the next span
                    (self.left, self.since) = (self.most() + owed, begun);
                }
            }
            None => {
                let more = self.of.per_s * (now - self.since).as_secs_f64();
                (self.left, self.since) = ((self.left + more).min(self.most()), now);
            }
        }
    }

    /// Counts one call, or says after which wait there is room again.
    pub(crate) fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        // A hair under one counts as one: shares of a second do not add up to the last bit.
        if self.left >= 1.0 - 1e-9 {
            self.left -= 1.0;
            return Ok(());
        }
        if self.of.refused_count {
            self.left = (self.left - 1.0).max(-self.most());
        }
        Err(match self.of.span {
            Some(span) => self.since + span - now,
            None => Duration::from_secs_f64((1.0 - self.left) / self.of.per_s),
        })
    }

    pub(crate) fn per_s(&self) -> f64 {
        self.of.per_s
    }

    pub(crate) fn tells(&self) -> f64 {
        self.of.tells
    }

    /// Whether a call would be let in.
    pub(crate) fn has_room(&mut self, now: Duration) -> usize {
        self.fill(now);
        (self.left.max(0.0) + 1e-9) as usize
    }

    /// The share left and the limit, as they were up to `age` ago.
    pub(crate) fn load_report(&mut self, now: Duration, age: Duration) -> LoadReport {
        if now >= self.told.0 + age {
            self.fill(now);
            self.told = (now, (self.left / self.most()).clamp(0.0, 1.0));
        }
        LoadReport { remaining_share: self.told.1, rate_limit: self.of.per_s }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn taken(limit: &mut Limit, from_ms: u64, to_ms: u64) -> usize {
        (from_ms..to_ms).filter(|at| limit.take(Duration::from_millis(*at)).is_ok()).count()
    }

    #[test]
    fn a_span_takes_its_count_and_tells_its_end() {
        let of = LimitOf { per_s: 5.0, span: Some(Duration::from_secs(2)), tells: 1.0, refused_count: false };
        let mut limit = Limit::new(of);
        assert_eq!(taken(&mut limit, 0, 1_999), 10);
        assert_eq!(limit.take(Duration::from_millis(1_900)), Err(Duration::from_millis(100)));
        assert_eq!(
            limit.load_report(Duration::from_millis(1_900), Duration::ZERO),
            LoadReport { remaining_share: 0.0, rate_limit: 5.0 }
        );
        assert_eq!(limit.take(Duration::from_secs(2)), Ok(()));
    }

    #[test]
    fn where_refused_calls_count_a_limit_that_is_overrun_lets_nothing_in() {
        let of = LimitOf { per_s: 4.0, span: None, tells: 0.0, refused_count: true };
        let mut limit = Limit::new(of);
        let mut let_in = |per_s: u64, from: u64| {
            let at = (0..per_s * 10).map(|nth| Duration::from_millis(from + nth * 1_000 / per_s));
            at.filter(|at| limit.take(*at).is_ok()).count()
        };
        assert!(let_in(10, 0) < 8);
        assert_eq!(let_in(10, 10_000), 0);
        assert!(let_in(3, 20_000) > 10);
    }

    #[test]
    fn a_rate_saves_up_one_second_and_tells_when_the_next_fits() {
        let mut limit = Limit::new(LimitOf { per_s: 4.0, span: None, tells: 1.0, refused_count: false });
        assert_eq!(taken(&mut limit, 0, 1_000), 7); // four saved up, three earned before the second is over
        let wait = limit.take(Duration::from_millis(1_000)).and(limit.take(Duration::from_millis(1_000)));
        let wait = wait.unwrap_err();
        assert!(limit.take(Duration::from_millis(1_000) + wait).is_ok());
    }
}
