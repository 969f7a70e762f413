use super::*;
use crate::policy::test_support::*;
use crate::{AttemptOutcome, RetrySafety};

impl RetryBudget {
    /// Returns the number of first attempts within the window.
    pub(crate) fn first_attempts(&self, now: Duration) -> u32 {
        self.totals(now).first_attempts
    }
}

/// Unlimited retries would multiply the load of a destination that is overloaded already.
#[test]
fn retries_are_limited_to_a_share_of_first_attempts_within_the_window() {
    let mut budget = RetryBudget::default();
    (0..100).for_each(|_| budget.on_attempt(ms(500), false));
    let allowed = (0..100)
        .take_while(|_| {
            budget.allows(ms(900), false) && {
                budget.on_attempt(ms(900), true);
                true
            }
        })
        .count();
    assert_eq!(allowed, 20); // a tenth of a hundred first attempts, and ten for the window of ten seconds
    assert!(!budget.allows(ms(9_900), false) && budget.allows(ms(10_900), false));
}

/// Guards against retries that overload a recovering destination, as 232 instances did that each retried one or two
/// messages just as it recovered.
#[test]
fn one_quick_retry_is_allowed_while_nothing_is_delivered() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    let allows = |dispatcher: &crate::Dispatcher, now| {
        let route = route(dispatcher);
        route.retry_budget.allows(now, route.streak.has_failures())
    };
    for (now_ms, allowed) in [(1, true), (2, false)] {
        process_outcome(&mut dispatcher, &attempt_at("a", ms(now_ms)), AttemptOutcome::ConnectFailed);
        assert_eq!(allows(&dispatcher, ms(now_ms)), allowed);
        route_mut(&mut dispatcher).retry_budget.on_attempt(ms(now_ms), true);
    }
    process_outcome(&mut dispatcher, &attempt_at("b", ms(3)), AttemptOutcome::Delivered);
    assert!(allows(&dispatcher, ms(4)));
}

/// Guards against retries that take the capacity of first attempts: with 41% of all calls rejected, the retries of
/// rejected messages did so.
#[test]
fn retries_after_rejections_need_credit_from_deliveries_if_rejections_have_a_cost() {
    let attempts_and_balance = |cost: f64, balance: f64| {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        dispatcher.set_rejection_cost(cost);
        submit(&mut dispatcher, 1, None);
        dispatcher.attempt_ended(ended(1, 0, rejected()));
        dispatcher.state.shared.retry_credit.balance = balance;
        dispatcher.advance_to(ms(9_000));
        (actions(&mut dispatcher).len(), dispatcher.state.shared.retry_credit.balance)
    };
    assert_eq!(
        [attempts_and_balance(0.05, 0.9), attempts_and_balance(0.05, 1.5), attempts_and_balance(0.0, 0.9)],
        [(0, 0.9), (1, 0.5), (1, 0.0)]
    );
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    let outcomes = [(AttemptOutcome::Delivered, 1.25), (rejected(), 1.0), (AttemptOutcome::Failed, 1.0)];
    for (outcome, balance) in outcomes {
        process_outcome(&mut dispatcher, &attempt_at("a", ms(1)), outcome);
        assert_eq!(dispatcher.state.shared.retry_credit.balance, balance);
    }
}
