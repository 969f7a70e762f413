use super::*;
use crate::policy::test_support::*;
use crate::{AttemptOutcome, RetrySafety};

impl RetryBudget {
    /// First attempts of late.
    pub(crate) fn first_attempts(&self, now: Duration) -> u32 {
        self.totals(now).first_attempts
    }
}

#[test]
fn retries_stay_under_a_share_of_first_attempts_and_come_back_with_time() {
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
    assert_eq!(allowed, 20); // a tenth of a hundred, and ten in ten seconds
    assert!(!budget.allows(ms(9_900), false) && budget.allows(ms(10_900), false));
}

/// akureyri-afhending-later, big-1: 232 instances with a message or two each pushed a destination over at its return.
#[test]
fn one_quick_retry_is_allowed_while_nothing_is_delivered() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    let allows = |dispatcher: &crate::Dispatcher, now| {
        let route = route(dispatcher);
        route.retry_budget.allows(now, route.streak.has_failures())
    };
    for (at, allowed) in [(1, true), (2, false)] {
        judge(&mut dispatcher, &attempt_at("a", ms(at)), AttemptOutcome::ConnectFailed);
        assert_eq!(allows(&dispatcher, ms(at)), allowed);
        route_mut(&mut dispatcher).retry_budget.on_attempt(ms(at), true);
    }
    judge(&mut dispatcher, &attempt_at("b", ms(3)), AttemptOutcome::Delivered);
    assert!(allows(&dispatcher, ms(4)));
}

/// tunis-lac, big-1: 41% of all calls were rejected, and their retries took the capacity of first attempts.
#[test]
fn retries_after_rejections_are_earned_by_deliveries_where_rejections_have_a_cost() {
    let attempted = |cost: f64, earned: f64| {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        dispatcher.set_rejection_cost(cost);
        submit(&mut dispatcher, 1, None);
        dispatcher.attempt_ended(ended(1, 0, rejected()));
        dispatcher.state.shared.retry_credit.earned = earned;
        dispatcher.advance_to(ms(9_000));
        (actions(&mut dispatcher).len(), dispatcher.state.shared.retry_credit.earned)
    };
    assert_eq!(
        [attempted(0.05, 0.9), attempted(0.05, 1.5), attempted(0.0, 0.9)],
        [(0, 0.9), (1, 0.5), (1, 0.0)]
    );
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    let outcomes = [(AttemptOutcome::Delivered, 1.25), (rejected(), 1.0), (AttemptOutcome::Failed, 1.0)];
    for (outcome, earned) in outcomes {
        judge(&mut dispatcher, &attempt_at("a", ms(1)), outcome);
        assert_eq!(dispatcher.state.shared.retry_credit.earned, earned);
    }
}
