use super::*;
use crate::policy::test_support::*;
use crate::{AttemptOutcome, EndpointUpdate, LoadReport, RetrySafety};

impl EndpointHealth {
    pub(crate) fn set_status(&mut self, status: Health) {
        self.status = status;
    }

    pub(crate) fn set_last_delivery(&mut self, at: Duration) {
        self.last_delivery = at;
    }
}

impl FailureStreak {
    /// Number of failures that make a route suspect.
    pub(crate) const FAILURES_UNTIL_SUSPECT: u32 = SUSPECT_FAILURES;
}

impl HealthChecks {
    pub(crate) fn set_next(&mut self, next: Duration) {
        self.next = next;
    }
}

/// Without a warm-up, an endpoint would receive its full load at the first delivery after an ejection; without an end
/// of the warm-up, it would stay limited forever.
#[test]
fn an_ejected_endpoint_warms_up_after_a_delivery_and_is_healthy_after_the_warm_up() {
    let slow_start = SlowStart { overload_factor: 2.0, initial_share: 0.2, warm_up: ms(10_000) };
    let mut health = EndpointHealth::new(Health::Healthy);
    health.on_failure(ms(1), MAJOR_FAILURE_WEIGHT);
    assert_eq!(health.status(), Health::Healthy);
    health.on_failure(ms(2), MAJOR_FAILURE_WEIGHT);
    assert_eq!(health.status(), Health::Ejected);
    health.on_delivery(ms(100));
    assert_eq!(health.status(), Health::WarmingUp { since: ms(100) });
    health.update_allowed_share(ms(10_100), slow_start);
    assert_eq!(health.status(), Health::Healthy);
}

/// An endpoint that fails while it warms up is overloaded; its load must not keep growing.
#[test]
fn a_failure_during_a_warm_up_restarts_it() {
    let mut health = EndpointHealth::new(Health::WarmingUp { since: ms(1) });
    health.failing_share = 0.1;
    health.on_failure(ms(5_000), FAILURE_WEIGHT);
    assert_eq!(health.status(), Health::WarmingUp { since: ms(5_000) });
}

/// Guards against a burst at the end of a long retry-after (incident rules-3): only a few calls of each instance are
/// rejected by a route during an outage. If its endpoints stayed healthy, or budgets accumulated during the
/// retry-after, all messages that wait for its end would be sent at once.
#[test]
fn a_long_retry_after_ejects_the_endpoints_of_its_route_and_accumulates_no_budget() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    submit(&mut dispatcher, 1, None);
    dispatcher.attempt_ended(ended(1, 0, rejected_with_retry_after(ms(4_000))));
    for endpoint in dispatcher.state.destinations[&DESTINATION].endpoints.values() {
        let status = endpoint.health.status();
        assert_eq!(status, Health::Ejected, "the retry-after is in force for all endpoints of the route");
    }
    // At 66 instances, the budget that each had accumulated during the retry-after was spent together at its end.
    (2..40).for_each(|id| assert!(submit(&mut dispatcher, id, None).is_empty()));
    let mut endpoints = dispatcher.state.destinations[&DESTINATION].endpoints.values();
    assert!(!endpoints.any(|endpoint| endpoint.budget.is_ready()));
}

/// Guards against treating isolated losses as an outage: with one call in six lost on the network, endpoints that
/// answered all other calls were ejected (incident ide3163).
#[test]
fn timeouts_while_other_calls_are_delivered_do_not_eject_an_endpoint() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    endpoint_mut(&mut dispatcher, "a").health.set_last_delivery(ms(50));
    for at in 1..=4 {
        process_outcome(&mut dispatcher, &attempt_at("a", ms(at)), AttemptOutcome::TimedOut);
    }
    assert_eq!(endpoint(&dispatcher, "a").health.status(), Health::Healthy);
    for (now, status) in [(80, Health::Healthy), (2_100, Health::Ejected)] {
        dispatcher.advance_to(ms(now));
        for at in 60..=61 {
            process_outcome(&mut dispatcher, &attempt_at("a", ms(at)), AttemptOutcome::TimedOut);
        }
        assert_eq!(endpoint(&dispatcher, "a").health.status(), status, "at {now}");
    }
}

/// Rejections by a rate limit in the first seconds must not be treated as an outage, which would eject healthy
/// endpoints (incident i3b06b2).
#[test]
fn a_few_rejections_pause_a_route_and_do_not_eject_its_endpoint() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    for id in 1..=5 {
        dispatcher.advance_to(ms(id * 100));
        process_outcome(&mut dispatcher, &attempt_at("a", ms(id * 100)), rejected());
    }
    assert_eq!(endpoint(&dispatcher, "a").health.status(), Health::Healthy);
    assert!(route(&dispatcher).limit.paused_until() > ms(500), "the route is paused");
}

/// Guards against treating connection resets as an outage: with four connections in ten reset, endpoints that delivered
/// all other calls were ejected (incident i639774).
#[test]
fn resets_between_deliveries_do_not_eject_an_endpoint_but_failed_connections_do() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    let mut status_after = |at, outcome| {
        dispatcher.advance_to(ms(at + 9));
        process_outcome(&mut dispatcher, &attempt_at("a", ms(at)), outcome);
        endpoint(&dispatcher, "a").health.status()
    };
    for at in (0..5_000).step_by(100) {
        let outcome =
            if at % 500 < 200 { AttemptOutcome::ConnectionReset } else { AttemptOutcome::Delivered };
        assert_eq!(status_after(at, outcome), Health::Healthy);
    }
    status_after(6_000, AttemptOutcome::ConnectFailed);
    assert_eq!(status_after(6_100, AttemptOutcome::ConnectFailed), Health::Ejected);
}

/// Guards against missing an outage: at 190 instances, each sees only two rejections by a destination that has an
/// outage and no rate limit. They must suffice to make its route suspect there, unlike rejections by a rate limit.
#[test]
fn two_rejections_make_a_route_suspect_only_if_it_reports_that_it_has_no_limit() {
    let report = |rate_limit| Some(LoadReport { remaining_share: 0.0, rate_limit });
    for (load_report, expected) in [(report(0.0), true), (report(4.0), false), (None, false)] {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        let attempt = attempt_at("a", ms(1));
        (0..2).for_each(|_| process_outcome_with_report(&mut dispatcher, &attempt, rejected(), load_report));
        let suspect = route(&dispatcher).streak.is_suspect(dispatcher.state.now);
        let healthy = endpoint(&dispatcher, "a").health.status() == Health::Healthy;
        assert_eq!(!healthy || suspect, expected, "{load_report:?}");
    }
}

/// Guards against a replaced endpoint receiving all calls to a failed destination: all 194 instances treated the new
/// endpoint as healthy, and sent their calls to it.
#[test]
fn a_new_endpoint_starts_with_the_best_health_of_its_siblings() {
    let warming_up = Health::WarmingUp { since: ms(7) };
    for (first, second, expected) in [
        (Health::Ejected, Health::Ejected, Health::Ejected),
        (Health::Ejected, warming_up, warming_up),
        (warming_up, Health::Healthy, Health::Healthy),
        (Health::Healthy, Health::Ejected, Health::Healthy),
    ] {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        endpoint_mut(&mut dispatcher, "a").health.set_status(first);
        endpoint_mut(&mut dispatcher, "b").health.set_status(second);
        dispatcher.endpoint_updated(EndpointUpdate { kind: "", ..endpoint_of("c", "x") });
        assert_eq!(endpoint(&dispatcher, "c").health.status(), expected);
    }
}
