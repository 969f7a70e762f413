use super::*;
use crate::policy::outlier::FailureStreak;
use crate::policy::test_support::*;
use crate::{Dispatcher, EndpointUpdate, RetrySafety, ms};

/// Without the gossip, each instance would notice a recovery only through its own health checks. Gossip that is
/// malformed, of another version, or about an unknown destination or route must not change any health.
#[test]
fn recovery_gossip_warms_up_the_ejected_endpoints_of_its_route_and_other_gossip_is_ignored() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    let eject = |dispatcher: &mut Dispatcher| {
        ["a", "b"].iter().for_each(|name| endpoint_mut(dispatcher, name).health.set_status(Health::Ejected));
    };
    eject(&mut dispatcher);
    let gossip = gossip::encode_recovery(9, "");
    let later_version = [&[gossip[0] + 1], &gossip[1..]].concat();
    for ignored in [
        &[][..],
        &gossip[..1],
        &gossip[..5],
        &later_version,
        &gossip::encode_recovery(8, ""),
        &gossip::encode_recovery(9, "a"),
        b"\x01........\xff",
    ] {
        dispatcher.gossip_received(ignored);
        assert_eq!(endpoint(&dispatcher, "a").health.status(), Health::Ejected, "{ignored:?}");
    }
    dispatcher.gossip_received(&gossip);
    assert_eq!(endpoint(&dispatcher, "b").health.status(), Health::WarmingUp { since: ms(1) });
    dispatcher.allow_gossip(true);
    eject(&mut dispatcher);
    process_outcome(&mut dispatcher, &attempt_at("a", ms(1)), AttemptOutcome::Delivered);
    assert!(actions(&mut dispatcher).contains(&format!("broadcast {gossip:?}")));
}

/// Occasional connection resets make a route suspect while its endpoints keep delivering. Gossip from an instance whose
/// calls are answered must not put such endpoints into a warm-up, which would limit them for no reason.
#[test]
fn recovery_gossip_ends_suspicion_and_warms_up_only_endpoints_without_recent_deliveries() {
    for (now, status) in [(1_000, Health::Healthy), (2_100, Health::WarmingUp { since: ms(2_100) })] {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        endpoint_mut(&mut dispatcher, "a").health.set_last_delivery(ms(100));
        route_mut(&mut dispatcher).streak.add_failures(FailureStreak::FAILURES_UNTIL_SUSPECT);
        dispatcher.advance_to(ms(now));
        dispatcher.gossip_received(&gossip::encode_recovery(9, ""));
        assert_eq!(endpoint(&dispatcher, "a").health.status(), status);
        assert!(!route(&dispatcher).streak.is_suspect(dispatcher.state.now));
    }
}

/// A retry-after or the draining of the endpoint may arrive while the connection of an attempt is being established.
#[test]
fn no_request_is_sent_during_a_retry_after_or_to_a_draining_endpoint() {
    let mut dispatcher = dispatcher_for(DEDUPLICATED);
    submit(&mut dispatcher, 1, None);
    submit(&mut dispatcher, 2, None);
    let may_send_request =
        |dispatcher: &Dispatcher, id, attempt, now_ms| dispatcher.may_send_request(id, attempt, ms(now_ms));
    assert!(may_send_request(&dispatcher, 1, 0, 1) && may_send_request(&dispatcher, 2, 0, 1));
    assert!(!may_send_request(&dispatcher, 1, 1, 1));
    dispatcher.attempt_ended(ended(2, 0, rejected_with_retry_after(ms(500))));
    assert!(!may_send_request(&dispatcher, 1, 0, 500) && may_send_request(&dispatcher, 1, 0, 501));
    dispatcher.endpoint_updated(EndpointUpdate { state: EndpointState::Draining, ..endpoint_of("a", "x") });
    assert!(!may_send_request(&dispatcher, 1, 0, 501));
}

/// A network partition delays the establishment of connections until it heals. Requests sent over them then would
/// arrive after the deduplication windows of the first attempts have passed, and be executed twice.
#[test]
fn no_request_is_sent_after_the_deduplication_window_the_deadline_or_the_final_outcome() {
    for (retry_safety, allowed_after_window) in [(DEDUPLICATED, false), (RetrySafety::Idempotent, true)] {
        let mut dispatcher = dispatcher_for(retry_safety);
        submit(&mut dispatcher, 1, None);
        dispatcher.advance_to(ms(2_000));
        dispatcher.attempt_ended(ended(1, 0, AttemptOutcome::TimedOut));
        dispatcher.advance_to(ms(5_400));
        assert_eq!(actions(&mut dispatcher).len(), 1);
        assert!(dispatcher.may_send_request(1, 1, ms(5_501)), "a typical call ends within the window");
        assert_eq!(dispatcher.may_send_request(1, 1, ms(5_502)), allowed_after_window, "{retry_safety:?}");
        assert!(!dispatcher.may_send_request(1, 1, ms(9_999)), "too late for the deadline");
        dispatcher.finish(1);
        assert!(!dispatcher.may_send_request(1, 1, ms(5_401)));
    }
}
