use super::*;

#[test]
fn permits_are_taken_by_attempts_halved_by_losses_and_earned_by_deliveries() {
    let mut concurrency = ConcurrencyLimit { limit: 4.0, in_flight: 4 };
    assert_eq!(concurrency.available(), 0);
    concurrency.release(true);
    assert_eq!((concurrency.limit, concurrency.available()), (2.0, -1));
    concurrency.release(false);
    assert!(concurrency.limit > 2.0 && concurrency.available() == 0);
}

#[test]
fn one_destination_and_all_impaired_ones_have_a_share_of_the_slots() {
    let shares = |most| (Slots::new(most).for_destination(), Slots::new(most).for_impaired());
    assert_eq!([shares(14), shares(3), shares(1)], [(10, 7), (2, 1), (1, 1)]);
}
