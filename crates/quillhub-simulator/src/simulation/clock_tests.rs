//! Order of events, and reuse of slots.

use super::*;

#[test]
fn events_are_ordered_by_time_and_then_by_scheduling() {
    // Guards against events of the same time in an arbitrary order, which would make runs irreproducible.
    let mut clock = Clock::new();
    let second = Duration::from_secs(1);
    for (at, event) in [(second * 2, 'c'), (second, 'a'), (second * 2, 'd'), (second, 'b')] {
        clock.schedule(at, event);
    }
    let events: Vec<_> = std::iter::from_fn(|| clock.advance()).collect();
    assert_eq!((events, clock.now()), (vec!['a', 'b', 'c', 'd'], second * 2));
}

#[test]
fn slots_are_reused() {
    // Guards against memory that grows with the number of events of a run.
    let mut clock = Clock::new();
    for event in 0..100 {
        clock.schedule(Duration::from_secs(event), event);
        assert_eq!(clock.advance(), Some(event));
    }
    assert_eq!((clock.slots.len(), clock.next_time()), (1, None));
}
