use super::*;
use crate::policy::test_support::*;
use crate::{Dispatcher, RetrySafety};

/// Returns the maximum time from one poll to the next if polls fail `fails_after` their start.
pub(crate) fn max_poll_interval(fails_after: Duration) -> Duration {
    MAX_POLL_INTERVAL.max(fails_after + MAX_FIRST_RETRY_DELAY)
}

/// Returns `true` if polls are limited by the maximum interval rather than by `period`.
pub(crate) fn reaches_max_interval(period: Duration) -> bool {
    period >= MAX_POLL_INTERVAL
}

/// Guards against missing all later changes after a watch has failed.
#[test]
fn discovery_is_polled_again_after_a_delay_when_its_watch_fails() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.set_discovery(true, ListedRateAccuracy::Absent);
    assert_eq!(actions(&mut dispatcher), ["watch"]);
    dispatcher.endpoint_list_ended(None, true);
    dispatcher.endpoint_list_failed();
    assert!(actions(&mut dispatcher).is_empty());
    dispatcher.advance_to(dispatcher.state.now + MAX_FIRST_RETRY_DELAY);
    assert_eq!(actions(&mut dispatcher), ["watch"]);
}

/// Guards against calls to endpoints that do not accept them, and against ignoring an endpoint that is listed again.
#[test]
fn a_draining_or_missing_endpoint_receives_no_attempt_until_it_is_available_again() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.endpoint_updated(EndpointUpdate { state: EndpointState::Draining, ..endpoint_of("a", "x") });
    dispatcher.endpoint_list_ended(Some(&BTreeSet::from(["a".into()])), true);
    assert!(submit(&mut dispatcher, 1, None).is_empty());
    dispatcher.endpoint_updated(endpoint_of("b", "y"));
    assert_eq!(actions(&mut dispatcher), ["attempt 1 b"]);
}

/// Guards against rejecting messages for a destination as unknown while its endpoints are being replaced, or before the
/// first endpoint list is received.
#[test]
fn a_destination_is_known_until_long_after_it_was_last_listed() {
    let mut dispatcher = Dispatcher::new(7, 2, "x");
    assert!(dispatcher.knows_destination(9), "there is no list yet");
    dispatcher.endpoint_updated(endpoint_of("a", "x"));
    dispatcher.endpoint_list_ended(None, true);
    assert!(dispatcher.knows_destination(9) && !dispatcher.knows_destination(8));
    dispatcher.endpoint_list_ended(Some(&BTreeSet::new()), true);
    assert!(dispatcher.knows_destination(9));
    dispatcher.endpoint_updated(EndpointUpdate { destination: 8, ..endpoint_of("b", "x") });
    dispatcher.advance_to(KNOWN_DESTINATION_RETENTION);
    dispatcher.endpoint_list_ended(None, true);
    assert!(dispatcher.knows_destination(8) && !dispatcher.knows_destination(9));
}

/// Guards against calls for a destination at an endpoint that now belongs to another one: its id stayed listed under both.
#[test]
fn an_endpoint_that_is_listed_under_another_destination_leaves_the_first() {
    for is_complete in [false, true] {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        for name in ["a", "b"] {
            let moved = EndpointUpdate { destination: DESTINATION + 1, ..endpoint_of(name, "x") };
            dispatcher.endpoint_updated(moved);
        }
        let names = ["a", "b"].map(String::from).into();
        dispatcher.endpoint_list_ended(is_complete.then_some(&names), true);
        assert!(!dispatcher.state.destinations.contains_key(&DESTINATION), "complete: {is_complete}");
        assert_eq!(dispatcher.state.destinations[&(DESTINATION + 1)].available_endpoints(), 2);
        assert_eq!(dispatcher.state.endpoint_destinations.len(), 2);
        let started = submit(&mut dispatcher, 1, None);
        assert!(started.iter().all(|action| !action.starts_with("attempt")), "{started:?}");
        dispatcher.endpoint_list_ended(Some(&Default::default()), true);
        assert!(dispatcher.state.endpoint_destinations.is_empty(), "a table that grows with each endpoint");
    }
}
