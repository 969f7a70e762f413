//! The order of events, and the reuse of slots.

use super::*;

#[test]
fn events_come_by_instant_and_then_in_the_order_of_scheduling() {
    let mut clock = Clock::new();
    let second = Duration::from_secs(1);
    for (at, event) in [(second * 2, 'c'), (second, 'a'), (second * 2, 'd'), (second, 'b')] {
        clock.schedule(at, event);
    }
    let events: Vec<_> = std::iter::from_fn(|| clock.advance()).collect();
    assert_eq!((events, clock.now()), (vec!['a', 'b', 'c', 'd'], second * 2));
}

#[test]
fn slots_are_used_again() {
    let mut clock = Clock::new();
    for event in 0..100 {
        clock.schedule(Duration::from_secs(event), event);
        assert_eq!(clock.advance(), Some(event));
    }
    assert_eq!((clock.slots.len(), clock.next_time()), (1, None));
}
