//! Compares the runs of two results directories or of two deciders, paired by variant and seed: the mean difference of
//! each figure and its confidence interval by bootstrap.

use crate::results::{RunRecord, mean_and_deviation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Number of means that are resampled for a confidence interval.
const BOOTSTRAP_SAMPLES: usize = 10_000;
/// Share of the resampled means inside the confidence interval.
const CONFIDENCE: f64 = 0.95;
/// Seed of the resampling; a fixed one makes results reproducible.
const BOOTSTRAP_SEED: u64 = 1;
/// Minimum number of pairs for a confidence interval.
const MIN_PAIRS: usize = 3;

/// Difference of one figure between two sides.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Name of the figure.
    pub figure: String,
    /// Mean of the figure over the first side's runs.
    pub first: f64,
    /// Mean of the figure over the second side's runs.
    pub second: f64,
    /// Mean of the differences, second minus first, over all pairs.
    pub difference: f64,
    /// Confidence interval of the difference at the level `CONFIDENCE`; `None` with fewer than `MIN_PAIRS` pairs.
    pub interval: Option<(f64, f64)>,
}

impl Difference {
    /// Returns `true` if the confidence interval excludes 0.
    pub fn is_significant(&self) -> bool {
        self.interval.is_some_and(|(low, high)| low > 0.0 || high < 0.0)
    }
}

/// Returns the confidence interval, at the level [`CONFIDENCE`], of the mean of `values`, by resampling with
/// replacement.
fn bootstrap(values: &[f64]) -> (f64, f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(BOOTSTRAP_SEED);
    let count = values.len();
    let mut means: Vec<_> = (0..BOOTSTRAP_SAMPLES)
        .map(|_| (0..count).map(|_| values[rng.random_range(0..count)]).sum::<f64>() / count as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    let tail = ((1.0 - CONFIDENCE) / 2.0 * BOOTSTRAP_SAMPLES as f64) as usize;
    (means[tail], means[BOOTSTRAP_SAMPLES - 1 - tail])
}

/// Returns the number of pairs that both sides have, and the difference of each figure over them.
pub fn compare(first: &[&RunRecord], second: &[&RunRecord]) -> (usize, Vec<Difference>) {
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
        let values = |side: &dyn Fn(&(f64, f64)) -> f64| both.iter().map(side).collect::<Vec<_>>();
        let pair_differences = values(&|pair| pair.1 - pair.0);
        let interval = (pair_differences.len() >= MIN_PAIRS).then(|| bootstrap(&pair_differences));
        let (first, second) =
            (mean_and_deviation(&values(&|p| p.0)).0, mean_and_deviation(&values(&|p| p.1)).0);
        differences.push(Difference {
            figure,
            first,
            second,
            difference: mean_and_deviation(&pair_differences).0,
            interval,
        });
    }
    (pairs.len(), differences)
}

/// Formats the differences as a table with one line per figure.
pub fn format_differences(names: (&str, &str), pairs: usize, differences: &[Difference]) -> String {
    let mut text = format!("{} compared with {}, {pairs} pairs by variant and seed\n", names.1, names.0);
    for d in differences {
        let verdict = match d.interval {
            None => "too few pairs".into(),
            Some((low, high)) if d.is_significant() => format!("{low:+.4} to {high:+.4}"),
            Some((low, high)) => format!("no significant difference ({low:+.4} to {high:+.4})"),
        };
        let (figure, first, second, difference) = (&d.figure, d.first, d.second, d.difference);
        text.push_str(&format!("{figure:18} {first:10.4} {second:10.4}  {difference:+10.4}  {verdict}\n"));
    }
    text
}

#[cfg(test)]
#[path = "compare_tests.rs"]
mod tests;
