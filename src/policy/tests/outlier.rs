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
    /// As many failures as make a route suspect.
    pub(crate) const SUSPECT: u32 = SUSPECT_FAILURES;
}

impl HealthChecks {
    pub(crate) fn set_next(&mut self, next: Duration) {
        self.next = next;
    }
}

#[test]
fn an_ejection_ends_in_a_warm_up_and_that_ends_after_its_time() {
    let slow_start = SlowStart { overload_factor: 2.0, initial_share: 0.2, warm_up: ms(10_000) };
    let mut health = EndpointHealth::new(Health::Healthy);
    health.on_failure(ms(1), SILENCE_WEIGHT);
    assert_eq!(health.status(), Health::Healthy);
    health.on_failure(ms(2), SILENCE_WEIGHT);
    assert_eq!(health.status(), Health::Ejected);
    health.on_delivery(ms(100));
    assert_eq!(health.status(), Health::WarmingUp { since: ms(100) });
    health.allowed_share(ms(10_100), slow_start);
    assert_eq!(health.status(), Health::Healthy);
}

#[test]
fn a_failure_while_warming_up_starts_the_ramp_again() {
    let mut health = EndpointHealth::new(Health::WarmingUp { since: ms(1) });
    health.failing_share = 0.1;
    health.on_failure(ms(5_000), FAILURE_WEIGHT);
    assert_eq!(health.status(), Health::WarmingUp { since: ms(5_000) });
}

/// incident rules-3: few calls saw the rejections, and the wait's end released all that had waited.
#[test]
fn a_route_that_rejects_for_longer_than_a_limits_span_returns_warming_up() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    submit(&mut dispatcher, 1, None);
    dispatcher.attempt_ended(ended(1, 0, rejected_for(ms(4_000))));
    for endpoint in dispatcher.state.destinations[&DESTINATION].endpoints.values() {
        let status = endpoint.health.status();
        assert_eq!(status, Health::Ejected, "its sibling too: the wait is the whole destination's");
    }
    // isafjordur-utsending-later, ha7c03b: what each of 66 instances had saved up during the wait went at its end.
    (2..40).for_each(|id| assert!(submit(&mut dispatcher, id, None).is_empty()));
    let mut endpoints = dispatcher.state.destinations[&DESTINATION].endpoints.values();
    assert!(!endpoints.any(|endpoint| endpoint.budget.is_ready()));
}

/// incident ide3163: one call in six got no response, and endpoints that answered the rest were ejected.
#[test]
fn calls_lost_while_others_are_delivered_are_no_outage() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    endpoint_mut(&mut dispatcher, "a").health.set_last_delivery(ms(50));
    for at in 1..=4 {
        judge(&mut dispatcher, &attempt_at("a", ms(at)), AttemptOutcome::TimedOut);
    }
    assert_eq!(endpoint(&dispatcher, "a").health.status(), Health::Healthy);
    for (now, status) in [(80, Health::Healthy), (2_100, Health::Ejected)] {
        dispatcher.advance_to(ms(now));
        for at in 60..=61 {
            judge(&mut dispatcher, &attempt_at("a", ms(at)), AttemptOutcome::TimedOut);
        }
        assert_eq!(endpoint(&dispatcher, "a").health.status(), status, "at {now}");
    }
}

/// incident i3b06b2: rejections above a limit in the first seconds made healthy endpoints count as ejected.
#[test]
fn a_few_rejections_in_turn_are_a_limit_and_no_outage() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    for id in 1..=5 {
        dispatcher.advance_to(ms(id * 100));
        judge(&mut dispatcher, &attempt_at("a", ms(id * 100)), rejected());
    }
    assert_eq!(endpoint(&dispatcher, "a").health.status(), Health::Healthy);
    assert!(route(&dispatcher).limit.paused_until() > ms(500), "but its route pauses");
}

/// incident i639774: four calls in ten were reset, and endpoints that delivered the rest were ejected.
#[test]
fn resets_between_deliveries_are_no_outage_and_failed_connections_are_one() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    let mut status_after = |at, outcome| {
        dispatcher.advance_to(ms(at + 9));
        judge(&mut dispatcher, &attempt_at("a", ms(at)), outcome);
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

/// isafjordur-utsending-later: a destination without a limit was shut; 190 instances saw two rejections each.
#[test]
fn rejections_without_a_limit_make_a_route_suspect_and_those_above_a_limit_do_not() {
    let report = |rate_limit| Some(LoadReport { remaining_share: 0.0, rate_limit });
    for (load_report, expected) in [(report(0.0), true), (report(4.0), false), (None, false)] {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        let attempt = attempt_at("a", ms(1));
        (0..2).for_each(|_| judge_with_report(&mut dispatcher, &attempt, rejected(), load_report));
        let suspect = route(&dispatcher).streak.is_suspect(dispatcher.state.now);
        let healthy = endpoint(&dispatcher, "a").health.status() == Health::Healthy;
        assert_eq!(!healthy || suspect, expected, "{load_report:?}");
    }
}

/// glenmuir-claims, 194 instances: a destination failed, one of its endpoints was replaced by a new one, and all
/// instances took that for healthy.
#[test]
fn a_new_endpoint_of_a_destination_that_is_out_or_warming_up_begins_as_its_siblings_are() {
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
