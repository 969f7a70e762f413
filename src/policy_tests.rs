use super::*;

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

#[test]
fn gaps_grow_to_their_cap_and_vary_by_chance() {
    let mut rng = rng();
    let mut longest = |k| (0..400).map(|_| gap(&mut rng, k, BASE, CAP)).max().unwrap();
    assert!(longest(1) <= BASE && longest(1) > BASE.mul_f64(0.9));
    assert!(longest(2) <= BASE * 3 && longest(2) > BASE * 2);
    assert!(longest(60) <= CAP && longest(60) > CAP.mul_f64(0.9));
}
