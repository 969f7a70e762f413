use super::*;
use crate::policy::test_support::rng;

#[test]
fn gaps_grow_to_their_cap_and_vary_at_random() {
    let mut rng = rng();
    let mut longest = |failures| (0..400).map(|_| full_jitter(&mut rng, failures, BASE, CAP)).max().unwrap();
    assert!(longest(1) <= BASE && longest(1) > BASE.mul_f64(0.9));
    assert!(longest(2) <= BASE * 3 && longest(2) > BASE * 2);
    assert!(longest(60) <= CAP && longest(60) > CAP.mul_f64(0.9));
}
