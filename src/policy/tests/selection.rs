use crate::policy::test_support::*;
use crate::{Dispatcher, RetrySafety, ms};
use std::collections::BTreeSet;

/// Guards against sending all calls to one slow endpoint because only its connection is open (incident iaa78c2).
#[test]
fn attempts_are_spread_over_endpoints_with_a_slight_preference_for_the_own_zone() {
    let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
    let attempts: Vec<_> = (1..=4).flat_map(|id| submit(&mut dispatcher, id, None)).collect();
    assert_eq!(attempts, ["attempt 1 a", "attempt 2 a", "attempt 3 b", "attempt 4 b"]);
    let mut other = Dispatcher::new(7, 2, "z");
    other.set_limits(Some(8), Some(100), None);
    other.add_service_class("standard", class_of(RetrySafety::Idempotent, 1.0));
    ["a", "b", "c"].iter().for_each(|name| other.endpoint_updated(endpoint_of(name, "x")));
    let attempts: BTreeSet<_> = (1..=3).flat_map(|id| submit(&mut other, id, None)).collect();
    assert_eq!(attempts.len(), 3);
    let in_flight = |name: &&str| endpoint(&other, name).concurrency.in_flight();
    assert!(["a", "b", "c"].iter().all(|name| in_flight(name) == 1));
}

/// Guards against lost responses marking healthy destinations as slow: with a fifth of the responses lost, each
/// destination had a call in flight for a long time, and all of them were considered slow.
#[test]
fn a_long_call_indicates_a_slow_destination_unless_later_calls_are_delivered_in_typical_time() {
    for (delivered_at, duration, slow) in [(5, 300, true), (60, 300, false), (60, 1_300, true)] {
        let mut dispatcher = dispatcher_for(RetrySafety::Idempotent);
        let destination = dispatcher.state.destinations.get_mut(&DESTINATION).unwrap();
        let latency = destination.latency.entry(0).or_default();
        [300, 300, duration].iter().for_each(|duration| latency.on_delivery(ms(5), ms(*duration)));
        endpoint_mut(&mut dispatcher, "a").health.set_last_delivery(ms(delivered_at));
        let attempt = attempt_at("a", ms(10));
        dispatcher.advance_to(ms(20));
        assert!(!dispatcher.state.indicates_slow_destination(&attempt), "not in flight for long");
        dispatcher.advance_to(ms(1_300));
        let found = dispatcher.state.indicates_slow_destination(&attempt);
        assert_eq!(found, slow, "delivered at {delivered_at} after {duration}");
    }
}
