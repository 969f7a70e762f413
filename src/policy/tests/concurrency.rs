use super::*;

/// Guards against calls that pile up at an endpoint that does not respond, which happens if a call that indicates an
/// outage leaves the limit as it was, and against a limit that never recovers.
#[test]
fn a_call_that_indicates_an_outage_halves_the_concurrency_limit_and_a_delivery_raises_it() {
    let mut concurrency = ConcurrencyLimit { limit: 4.0, in_flight: 4 };
    assert_eq!(concurrency.free_permits(), 0);
    concurrency.release(true);
    assert_eq!((concurrency.limit, concurrency.free_permits()), (2.0, -1));
    concurrency.release(false);
    assert!(concurrency.limit > 2.0 && concurrency.free_permits() == 0);
}

/// Guards against one destination, or several that fail together, using up all slots, and against a share that rounds
/// down to no slot at all.
#[test]
fn one_destination_uses_only_a_share_of_the_slots_and_so_do_all_impaired_ones_together() {
    let shares = |max| (Slots::new(max).for_destination(), Slots::new(max).for_impaired());
    assert_eq!([shares(14), shares(3), shares(1)], [(10, 7), (2, 1), (1, 1)]);
}
