//! Retry budgets: limit retries to a share of the first attempts, so that they cannot multiply an overload.

use crate::ms;
use std::collections::VecDeque;
use std::time::Duration;

/// Period before the present within which first attempts and retries are counted.
const WINDOW: Duration = ms(10_000);
/// Retries allowed per first attempt.
const RETRY_SHARE: f64 = 0.1;
/// Retries per second allowed in addition, so that a route with few first attempts can still be retried.
const RETRIES_PER_S: f64 = 1.0;
/// Retries per window allowed in addition while nothing is delivered on the route: a single quick retry.
const RETRIES_WITHOUT_DELIVERY: f64 = 1.0;
/// Credit for retries after rejections that a delivery earns and a rejection costs; it runs out once half of the calls
/// are rejected.
const CREDIT_STEP: f64 = 0.25;
/// Credit for retries after rejections that an instance starts with, before it has delivered anything.
const INITIAL_CREDIT: f64 = 1.0;
/// Credit that one retry costs.
const RETRY_COST: f64 = 1.0;

/// Number of attempts started within one second of the clock.
struct AttemptCounts {
    /// Second on the clock of the instance, counted from 0.
    second: u64,
    first_attempts: u32,
    retries: u32,
}

/// Sum of the attempts within the window.
struct Totals {
    /// First second in the window with an attempt, or the current second if there is none.
    first_second: u64,
    first_attempts: u32,
    retries: u32,
}

/// Retry budget of one route: its recent attempts by second. Seconds older than the window are dropped when an attempt
/// is added.
#[derive(Default)]
pub(super) struct RetryBudget {
    seconds: VecDeque<AttemptCounts>,
}

impl RetryBudget {
    pub(super) fn on_attempt(&mut self, now: Duration, is_retry: bool) {
        let second = now.as_secs();
        self.seconds.retain(|attempts| attempts.second + WINDOW.as_secs() > second);
        if self.seconds.back().is_none_or(|attempts| attempts.second != second) {
            self.seconds.push_back(AttemptCounts { second, first_attempts: 0, retries: 0 });
        }
        let last = self.seconds.back_mut().expect("the current second was appended if it was missing");
        if is_retry {
            last.retries += 1;
        } else {
            last.first_attempts += 1;
        }
    }

    fn totals(&self, now: Duration) -> Totals {
        let recent =
            self.seconds.iter().filter(|attempts| attempts.second + WINDOW.as_secs() > now.as_secs());
        let first_second = recent.clone().next().map_or(now.as_secs(), |first| first.second);
        let zero = Totals { first_second, first_attempts: 0, retries: 0 };
        recent.fold(zero, |sum, attempts| Totals {
            first_second,
            first_attempts: sum.first_attempts + attempts.first_attempts,
            retries: sum.retries + attempts.retries,
        })
    }

    /// Returns the recent attempts per second, averaged over at least `min_period`.
    pub(super) fn attempts_per_s(&self, now: Duration, min_period: Duration) -> f64 {
        let Totals { first_second, first_attempts, retries } = self.totals(now);
        let seconds = (now.as_secs() - first_second + 1) as f64;
        f64::from(first_attempts + retries) / seconds.max(min_period.as_secs_f64())
    }

    /// Returns `true` if the budget allows one more retry; `is_failing` is `true` if an attempt on the route has failed
    /// since the last delivery.
    ///
    /// Prevents the retries of many instances from overloading a recovering destination. May hold back a message that
    /// was lost twice.
    pub(super) fn allows(&self, now: Duration, is_failing: bool) -> bool {
        let totals = self.totals(now);
        let extra_retries =
            if is_failing { RETRIES_WITHOUT_DELIVERY } else { RETRIES_PER_S * WINDOW.as_secs_f64() };
        f64::from(totals.retries) < RETRY_SHARE * f64::from(totals.first_attempts) + extra_retries
    }
}

/// Credit for retries after rejections, over all destinations. Deliveries earn it and rejections reduce it; it is
/// checked only if rejected calls have a cost.
///
/// Prevents the retries of all instances from taking the capacity of first attempts under limits that count rejected
/// calls too. May give up a message that a retry would have delivered.
pub(crate) struct RetryCredit {
    balance: f64,
    /// Cost of rejected calls, in points, from the settings; only its sign is used: the credit is not checked if the
    /// cost is 0.
    rejection_cost: f64,
}

impl RetryCredit {
    pub(super) fn new() -> Self {
        Self { balance: INITIAL_CREDIT, rejection_cost: 0.0 }
    }

    pub(crate) fn set_rejection_cost(&mut self, cost: f64) {
        self.rejection_cost = cost;
    }

    pub(super) fn on_delivery(&mut self) {
        self.balance = (self.balance + CREDIT_STEP).min(RETRIES_PER_S * WINDOW.as_secs_f64());
    }

    pub(super) fn on_rejection(&mut self) {
        self.balance = (self.balance - CREDIT_STEP).max(0.0);
    }

    /// Returns `true` if a message that was rejected may be retried.
    pub(super) fn allows(&self) -> bool {
        self.rejection_cost <= 0.0 || self.balance >= RETRY_COST
    }

    pub(super) fn spend(&mut self) {
        self.balance -= self.balance.min(RETRY_COST);
    }
}

#[cfg(test)]
#[path = "tests/retry_budget.rs"]
mod tests;
