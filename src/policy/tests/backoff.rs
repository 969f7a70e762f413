use super::*;
use crate::policy::test_support::rng;

/// Delays without growth would keep up the load on a failing destination, and equal delays would make all instances
/// retry at the same time.
#[test]
fn backoff_delays_grow_up_to_their_cap_and_are_random() {
    let mut rng = rng();
    let mut longest_delay =
        |failures| (0..400).map(|_| full_jitter(&mut rng, failures, BASE_DELAY, MAX_DELAY)).max().unwrap();
    assert!(longest_delay(1) <= BASE_DELAY && longest_delay(1) > BASE_DELAY.mul_f64(0.9));
    assert!(longest_delay(2) <= BASE_DELAY * 3 && longest_delay(2) > BASE_DELAY * 2);
    assert!(longest_delay(60) <= MAX_DELAY && longest_delay(60) > MAX_DELAY.mul_f64(0.9));
}
