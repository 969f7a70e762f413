//! Retry budgets: retries are bounded by a share of first attempts, so that they cannot multiply an overload.

use crate::ms;
use std::collections::VecDeque;
use std::time::Duration;

/// Span over which first attempts and retries are compared: the design page's.
const SPAN: Duration = ms(10_000);
/// Retries for each first attempt: the design page's.
const RETRY_SHARE: f64 = 0.1;
/// Retries a second besides: the design page's.
const RETRIES_PER_SECOND: f64 = 1.0;
/// Retries in all while nothing is delivered on the route: the article's one quick retry.
const RETRIES_UNANSWERED: f64 = 1.0;
/// Retries after rejections that a delivery earns and a rejection costs: none are left once half are rejected.
const CREDIT_PER_DELIVERY: f64 = 0.25;
/// What an instance may retry after rejections before it has delivered anything.
const FIRST_CREDIT: f64 = 1.0;
/// What one retry takes.
const RETRY: f64 = 1.0;

/// The attempts of one second.
struct SecondOfAttempts {
    second: u64,
    first_attempts: u32,
    retries: u32,
}

/// The attempts of the span that is looked at.
struct Totals {
    /// The first second that counts.
    since: u64,
    first_attempts: u32,
    retries: u32,
}

/// Attempts on one route of late, by second; old seconds leave with each count.
#[derive(Default)]
pub(crate) struct RetryBudget {
    seconds: VecDeque<SecondOfAttempts>,
}

impl RetryBudget {
    pub(super) fn on_attempt(&mut self, now: Duration, is_retry: bool) {
        let second = now.as_secs();
        self.seconds.retain(|attempts| attempts.second + SPAN.as_secs() > second);
        if self.seconds.back().is_none_or(|attempts| attempts.second != second) {
            self.seconds.push_back(SecondOfAttempts { second, first_attempts: 0, retries: 0 });
        }
        let last = self.seconds.back_mut().expect("a second was pushed if there was none");
        if is_retry {
            last.retries += 1;
        } else {
            last.first_attempts += 1;
        }
    }

    fn totals(&self, now: Duration) -> Totals {
        let live = self.seconds.iter().filter(|attempts| attempts.second + SPAN.as_secs() > now.as_secs());
        let since = live.clone().next().map_or(now.as_secs(), |first| first.second);
        let none = Totals { since, first_attempts: 0, retries: 0 };
        live.fold(none, |sum, attempts| Totals {
            since,
            first_attempts: sum.first_attempts + attempts.first_attempts,
            retries: sum.retries + attempts.retries,
        })
    }

    /// Attempts a second of late, over `span` at least.
    pub(super) fn attempt_rate(&self, now: Duration, span: Duration) -> f64 {
        let Totals { since, first_attempts, retries } = self.totals(now);
        let seconds = (now.as_secs() - since + 1) as f64;
        f64::from(first_attempts + retries) / seconds.max(span.as_secs_f64())
    }

    /// Whether one more retry is within the budget; `unanswered` while the route's attempts fail with no delivery
    /// between.
    ///
    /// Against the sum of many instances' retries at a destination that returns. May hold back a message that was
    /// lost twice.
    pub(super) fn allows(&self, now: Duration, unanswered: bool) -> bool {
        let totals = self.totals(now);
        let besides = if unanswered { RETRIES_UNANSWERED } else { RETRIES_PER_SECOND * SPAN.as_secs_f64() };
        f64::from(totals.retries) < RETRY_SHARE * f64::from(totals.first_attempts) + besides
    }
}

/// Retries after rejections, over all destinations: earned by deliveries where rejections have a cost.
///
/// Against limits that rejected calls use up: the sum of all instances' retries takes the capacity of first attempts.
/// May end a message that a retry would have saved.
pub(crate) struct RetryCredit {
    earned: f64,
    /// What rejections cost; 0 if nothing.
    rejection_cost: f64,
}

impl RetryCredit {
    pub(super) fn new() -> Self {
        Self { earned: FIRST_CREDIT, rejection_cost: 0.0 }
    }

    pub(crate) fn set_rejection_cost(&mut self, cost: f64) {
        self.rejection_cost = cost;
    }

    pub(super) fn on_delivery(&mut self) {
        self.earned = (self.earned + CREDIT_PER_DELIVERY).min(RETRIES_PER_SECOND * SPAN.as_secs_f64());
    }

    pub(super) fn on_rejection(&mut self) {
        self.earned = (self.earned - CREDIT_PER_DELIVERY).max(0.0);
    }

    /// Whether a message that was rejected may be retried.
    pub(super) fn allows(&self) -> bool {
        self.rejection_cost <= 0.0 || self.earned >= RETRY
    }

    pub(super) fn spend(&mut self) {
        self.earned -= self.earned.min(RETRY);
    }
}

#[cfg(test)]
#[path = "tests/retry_budget.rs"]
mod tests;
