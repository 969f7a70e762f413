//! Differences of pairs of runs, against noise between seeds.

use super::*;

fn runs(earned: impl Fn(u64) -> f64) -> Vec<Kept> {
    let one = |seed| Kept {
        experiment: "x".into(),
        version: String::new(),
        text: String::new(),
        variant: String::new(),
        decider: "module".into(),
        seed,
        hash: String::new(),
        breaches: 0,
        first_breach: None,
        figures: [("earned".into(), earned(seed))].into(),
        course: BTreeMap::new(),
    };
    (0..20).map(one).collect()
}

fn of(first: &[Kept], second: &[Kept]) -> Difference {
    let (first, second): (Vec<_>, Vec<_>) = (first.iter().collect(), second.iter().collect());
    compare(&first, &second).1.remove(0)
}

#[test]
fn a_small_difference_in_every_pair_is_told_from_noise_between_seeds() {
    let noisy = |seed: u64| (seed * 7_919 % 20) as f64 / 20.0;
    let base = runs(noisy);
    let better = of(&base, &runs(|seed| noisy(seed) + 0.01 + 0.002 * (seed % 3) as f64));
    assert!(better.is_one() && (better.difference - 0.012).abs() < 0.001, "{better:?}");
    let shuffled = of(&base, &runs(|seed| noisy((seed + 5) % 20)));
    assert!(!shuffled.is_one(), "{shuffled:?}");
    assert!(told(("a", "b"), 20, &[shuffled]).contains("no difference"));
}

#[test]
fn two_pairs_tell_nothing() {
    let base = runs(|_| 0.5);
    let two = of(&base[..2], &runs(|_| 0.9));
    assert_eq!(two.interval, None);
}
