//! Differences of paired runs, and the noise between seeds that must not count as one.

use super::*;

fn runs(earned: impl Fn(u64) -> f64) -> Vec<RunRecord> {
    let run = |seed| RunRecord {
        experiment: "x".into(),
        version: String::new(),
        text_hash: String::new(),
        variant: String::new(),
        decider: "module".into(),
        seed,
        hash: String::new(),
        breaches: 0,
        first_breach: None,
        figures: [("earned".into(), earned(seed))].into(),
        time_series: BTreeMap::new(),
    };
    (0..20).map(run).collect()
}

fn earned_difference(first: &[RunRecord], second: &[RunRecord]) -> Difference {
    let (first, second): (Vec<_>, Vec<_>) = (first.iter().collect(), second.iter().collect());
    compare(&first, &second).1.remove(0)
}

#[test]
fn a_small_difference_in_every_pair_is_significant_and_noise_between_seeds_is_not() {
    let noisy = |seed: u64| (seed * 7_919 % 20) as f64 / 20.0;
    let base = runs(noisy);
    let better = earned_difference(&base, &runs(|seed| noisy(seed) + 0.01 + 0.002 * (seed % 3) as f64));
    assert!(better.is_significant() && (better.difference - 0.012).abs() < 0.001, "{better:?}");
    let shuffled = earned_difference(&base, &runs(|seed| noisy((seed + 5) % 20)));
    assert!(!shuffled.is_significant(), "{shuffled:?}");
    assert!(format_differences(("a", "b"), 20, &[shuffled]).contains("no significant difference"));
}

#[test]
fn two_pairs_give_no_confidence_interval() {
    let base = runs(|_| 0.5);
    let two = earned_difference(&base[..2], &runs(|_| 0.9));
    assert_eq!(two.interval, None);
}
