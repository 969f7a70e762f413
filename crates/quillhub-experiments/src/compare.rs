//! Compares runs of two state directories, or of two deciders, paired by day and seed: the mean difference of each figure and
//! an interval for it by bootstrap.

use crate::results::{Kept, mean};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Means drawn for an interval, and the share of them inside it.
const DRAWS: usize = 10_000;
const INSIDE: f64 = 0.95;
/// Any will do: it only makes the same call give the same answer.
const SEED: u64 = 1;
/// Pairs under which an interval says nothing.
const LEAST_PAIRS: usize = 3;

/// The difference of one figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The name of the figure.
    pub figure: String,
    /// Its mean over the first runs.
    pub first: f64,
    /// Its mean over the second runs.
    pub second: f64,
    /// The mean of the differences by pair.
    pub difference: f64,
    /// Where the difference lies with 95% confidence; nothing with too few pairs.
    pub interval: Option<(f64, f64)>,
}

impl Difference {
    /// Whether the pairs tell of a difference at all.
    pub fn is_one(&self) -> bool {
        self.interval.is_some_and(|(low, high)| low > 0.0 || high < 0.0)
    }
}

/// Means of samples drawn with replacement: their middle part.
pub fn bootstrap(values: &[f64]) -> (f64, f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let count = values.len();
    let mut means: Vec<_> = (0..DRAWS)
        .map(|_| (0..count).map(|_| values[rng.random_range(0..count)]).sum::<f64>() / count as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    let cut = ((1.0 - INSIDE) / 2.0 * DRAWS as f64) as usize;
    (means[cut], means[DRAWS - 1 - cut])
}

/// All figures that both sides have, for the pairs that both sides have; with the number of pairs.
pub fn compare(first: &[&Kept], second: &[&Kept]) -> (usize, Vec<Difference>) {
    let by_pair: BTreeMap<_, _> = second.iter().map(|run| ((run.variant.as_str(), run.seed), *run)).collect();
    let pairs: Vec<_> = first
        .iter()
        .filter_map(|run| Some((*run, *by_pair.get(&(run.variant.as_str(), run.seed))?)))
        .collect();
    let names = pairs.first().map(|(run, _)| run.figures.keys().cloned().collect()).unwrap_or(Vec::new());
    let mut differences = Vec::new();
    for figure in names {
        let both: Vec<_> = pairs
            .iter()
            .filter_map(|(a, b)| Some((*a.figures.get(&figure)?, *b.figures.get(&figure)?)))
            .collect();
        let side = |of: &dyn Fn(&(f64, f64)) -> f64| both.iter().map(of).collect::<Vec<_>>();
        let each = side(&|pair| pair.1 - pair.0);
        let interval = (each.len() >= LEAST_PAIRS).then(|| bootstrap(&each));
        let (first, second) = (mean(&side(&|p| p.0)).0, mean(&side(&|p| p.1)).0);
        differences.push(Difference { figure, first, second, difference: mean(&each).0, interval });
    }
    (pairs.len(), differences)
}

/// The differences in words, a line each.
pub fn told(names: (&str, &str), pairs: usize, differences: &[Difference]) -> String {
    let mut text = format!("{} against {}, {pairs} pairs by day and seed\n", names.1, names.0);
    for d in differences {
        let verdict = match d.interval {
            None => "too few pairs to tell".into(),
            Some((low, high)) if d.is_one() => format!("{low:+.4} to {high:+.4}"),
            Some((low, high)) => format!("no difference ({low:+.4} to {high:+.4})"),
        };
        let (figure, first, second, difference) = (&d.figure, d.first, d.second, d.difference);
        text.push_str(&format!("{figure:18} {first:10.4} {second:10.4}  {difference:+10.4}  {verdict}\n"));
    }
    text
}

#[cfg(test)]
#[path = "compare_tests.rs"]
mod tests;
