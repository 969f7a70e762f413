use super::*;
use crate::policy::test_support::*;
use crate::{Dispatcher, RetrySafety};

/// The longest time from one poll to the next: of polls that fail at once, and of one that fails after so long.
pub(crate) fn longest_between_polls(fails_after: Duration) -> Duration {
    POLL_WITHIN.max(fails_after + FIRST_GAP)
}

/// Whether a period is so long that polls go by the bound.
pub(crate) fn is_beyond_bound(period: Duration) -> bool {
    period >= POLL_WITHIN
}

#[test]
fn a_discovery_that_fails_is_polled_again_after_a_gap() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.set_discovery(true, ListedRateAccuracy::Absent);
    assert_eq!(actions(&mut dispatcher), ["watch"]);
    dispatcher.endpoint_list_ended(None, true);
    dispatcher.endpoint_list_failed();
    assert!(actions(&mut dispatcher).is_empty());
    dispatcher.advance_to(dispatcher.state.now + FIRST_GAP);
    assert_eq!(actions(&mut dispatcher), ["watch"]);
}

#[test]
fn a_draining_or_missing_endpoint_gets_nothing_and_one_that_comes_back_is_used() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    dispatcher.endpoint_updated(EndpointUpdate { state: EndpointState::Draining, ..endpoint_of("a", "x") });
    dispatcher.endpoint_list_ended(Some(&BTreeSet::from(["a".into()])), true);
    assert!(submit(&mut dispatcher, 1, None).is_empty());
    dispatcher.endpoint_updated(endpoint_of("b", "y"));
    assert_eq!(actions(&mut dispatcher), ["attempt 1 b"]);
}

#[test]
fn a_destination_exists_from_its_first_listing_until_long_after_its_last() {
    let mut dispatcher = Dispatcher::new(7, 2, "x");
    assert!(dispatcher.knows_destination(9), "there is no list yet");
    dispatcher.endpoint_updated(endpoint_of("a", "x"));
    dispatcher.endpoint_list_ended(None, true);
    assert!(dispatcher.knows_destination(9) && !dispatcher.knows_destination(8));
    dispatcher.endpoint_list_ended(Some(&BTreeSet::new()), true);
    assert!(dispatcher.knows_destination(9));
    dispatcher.endpoint_updated(EndpointUpdate { destination: 8, ..endpoint_of("b", "x") });
    dispatcher.advance_to(FORGET);
    dispatcher.endpoint_list_ended(None, true);
    assert!(dispatcher.knows_destination(8) && !dispatcher.knows_destination(9));
}
