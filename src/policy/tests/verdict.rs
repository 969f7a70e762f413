use super::*;
use crate::policy::outlier::FailureStreak;
use crate::policy::test_support::*;
use crate::{Dispatcher, EndpointUpdate, RetrySafety, ms};

#[test]
fn gossip_of_a_return_starts_the_warm_up_of_an_ejected_route_and_other_gossip_is_passed_over() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    let eject = |dispatcher: &mut Dispatcher| {
        ["a", "b"].iter().for_each(|name| endpoint_mut(dispatcher, name).health.set_status(Health::Ejected));
    };
    eject(&mut dispatcher);
    let gossip = gossip::encode_recovery(9, "");
    let later_version = [&[gossip[0] + 1], &gossip[1..]].concat();
    for odd in [
        &[][..],
        &gossip[..1],
        &gossip[..5],
        &later_version,
        &gossip::encode_recovery(8, ""),
        &gossip::encode_recovery(9, "a"),
        b"\x01........\xff",
    ] {
        dispatcher.gossip_received(odd);
        assert_eq!(endpoint(&dispatcher, "a").health.status(), Health::Ejected, "{odd:?}");
    }
    dispatcher.gossip_received(&gossip);
    assert_eq!(endpoint(&dispatcher, "b").health.status(), Health::WarmingUp { since: ms(1) });
    dispatcher.allow_gossip(true);
    eject(&mut dispatcher);
    judge(&mut dispatcher, &attempt_at("a", ms(1)), AttemptOutcome::Delivered);
    assert!(actions(&mut dispatcher).contains(&format!("broadcast {gossip:?}")));
}

/// Calls were reset here and there; gossip that others are answered made endpoints warm up that delivered all along.
#[test]
fn gossip_ends_a_suspicion_and_warms_up_no_endpoint_that_delivered_just_now() {
    for (now, status) in [(1_000, Health::Healthy), (2_100, Health::WarmingUp { since: ms(2_100) })] {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        endpoint_mut(&mut dispatcher, "a").health.set_last_delivery(ms(100));
        route_mut(&mut dispatcher).streak.add_failures(FailureStreak::SUSPECT);
        dispatcher.advance_to(ms(now));
        dispatcher.gossip_received(&gossip::encode_recovery(9, ""));
        assert_eq!(endpoint(&dispatcher, "a").health.status(), status);
        assert!(!route(&dispatcher).streak.is_suspect(dispatcher.state.now));
    }
}

#[test]
fn an_attempt_does_not_begin_once_its_destination_asks_to_wait_or_its_endpoint_drains() {
    let mut dispatcher = dispatcher_for(DEDUPLICATED);
    submit(&mut dispatcher, 1, None);
    submit(&mut dispatcher, 2, None);
    let may_send_request =
        |dispatcher: &Dispatcher, id, attempt, at| dispatcher.may_send_request(id, attempt, ms(at));
    assert!(may_send_request(&dispatcher, 1, 0, 1) && may_send_request(&dispatcher, 2, 0, 1));
    assert!(!may_send_request(&dispatcher, 1, 1, 1));
    dispatcher.attempt_ended(ended(2, 0, rejected_for(ms(500))));
    assert!(!may_send_request(&dispatcher, 1, 0, 500) && may_send_request(&dispatcher, 1, 0, 501));
    dispatcher.endpoint_updated(EndpointUpdate { state: EndpointState::Draining, ..endpoint_of("a", "x") });
    assert!(!may_send_request(&dispatcher, 1, 0, 501));
}

/// The fleet's split day: connections that a partitioned zone held up came up when it was healed, and their calls went
/// out after the idempotency keys of the first attempts were forgotten.
#[test]
fn an_attempt_does_not_begin_once_its_key_is_forgotten_or_its_message_finished() {
    for (retry_safety, late) in [(DEDUPLICATED, false), (RetrySafety::Idempotent, true)] {
        let mut dispatcher = dispatcher_for(retry_safety);
        submit(&mut dispatcher, 1, None);
        dispatcher.advance_to(ms(2_000));
        dispatcher.attempt_ended(ended(1, 0, AttemptOutcome::TimedOut));
        dispatcher.advance_to(ms(5_400));
        assert_eq!(actions(&mut dispatcher).len(), 1);
        assert!(dispatcher.may_send_request(1, 1, ms(5_501)), "a typical call ends within the window");
        assert_eq!(dispatcher.may_send_request(1, 1, ms(5_502)), late, "{retry_safety:?}");
        assert!(!dispatcher.may_send_request(1, 1, ms(9_999)), "too late for its client");
        dispatcher.finish(1);
        assert!(!dispatcher.may_send_request(1, 1, ms(5_401)));
    }
}
