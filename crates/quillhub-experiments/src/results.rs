//! Results of a run, kept as one JSON line each. When the lines are read back, an incomplete last line is skipped.

use quillhub_simulator::{Breach, Report};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Maximum number of rows of a run's time series.
const MAX_TIME_SERIES_ROWS: usize = 120;

/// Results of one run, as a line of `runs.jsonl`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Name of the experiment.
    pub experiment: String,
    /// Version of the program that ran it. Runs of another version are not reused.
    pub version: String,
    /// Hash of the experiment file without its findings, in hexadecimal digits. Runs with another hash are not reused.
    #[serde(rename = "text")]
    pub text_hash: String,
    /// Name of the variant; empty if the experiment varies nothing.
    pub variant: String,
    /// Name of the decider, such as `module` or `oracle`.
    pub decider: String,
    /// Seed of the run.
    pub seed: u64,
    /// Hash of all facts of the run, in hexadecimal digits: equal runs have equal hashes.
    pub hash: String,
    /// Number of breaches of the six rules.
    pub breaches: usize,
    /// Text of the first breach; absent if there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_breach: Option<String>,
    /// Figures by name; shares are from 0 to 1, times in seconds.
    pub figures: BTreeMap<String, f64>,
    /// Time series by name, with one value per row, for the first seed only; `at s` holds the start of each row in
    /// seconds.
    #[serde(rename = "course", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub time_series: BTreeMap<String, Vec<f64>>,
}

impl RunRecord {
    /// Returns variant, decider and seed, which identify the run within its experiment.
    pub fn key(&self) -> (&str, &str, u64) {
        (&self.variant, &self.decider, self.seed)
    }
}

/// Returns the figures of a run by name.
pub fn figures(report: &Report) -> BTreeMap<String, f64> {
    let tally = &report.tally;
    let submitted = tally.submitted.max(1) as f64;
    let quantile_s = |quantile: f64| tally.latency_us.value_at_quantile(quantile) as f64 / 1e6;
    [
        ("earned", tally.delivered_value_share()),
        ("worst 10 s", tally.worst_ten_second_share()),
        ("worst grade", tally.worst_service_class_share()),
        ("handled", tally.delivered as f64 / submitted),
        ("in contract", tally.within_soft_deadline as f64 / submitted),
        ("sends each", tally.attempts_per_message()),
        ("repeats each", tally.retries as f64 / submitted),
        ("turned away each", tally.rejected_calls as f64 / submitted),
        ("connections each", tally.connections as f64 / submitted),
        ("ran each", tally.executed as f64 / submitted),
        ("doubled", tally.duplicate_effects as f64),
        ("p50 s", quantile_s(0.5)),
        ("p99 s", quantile_s(0.99)),
        ("p99.9 s", quantile_s(0.999)),
        ("most held", tally.max_pending as f64),
        ("notices", tally.submitted as f64),
    ]
    .map(|(name, value)| (name.into(), round(value)))
    .into()
}

/// Rounds to five significant digits.
pub fn round(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() {
        return value;
    }
    let scale = 10f64.powi(4 - value.abs().log10().floor() as i32);
    (value * scale).round() / scale
}

/// Returns the time series of a run, averaged over rows of equal length.
pub fn time_series(report: &Report) -> BTreeMap<String, Vec<f64>> {
    let seconds = &report.tally.rows;
    let entries_per_row = seconds.len().div_ceil(MAX_TIME_SERIES_ROWS).max(1);
    let rows = seconds.chunks(entries_per_row);
    let rates = |count: &dyn Fn(&quillhub_simulator::CourseRow) -> f64| {
        rows.clone()
            .map(|row| {
                round(
                    row.iter().map(count).sum::<f64>() / row.len() as f64 / report.tally.secs_per_row as f64,
                )
            })
            .collect()
    };
    let starts = (0..rows.len())
        .map(|row| (row * entries_per_row) as f64 * report.tally.secs_per_row as f64)
        .collect();
    [
        ("at s", starts),
        ("asked", rates(&|s| f64::from(s.submitted))),
        ("first sends", rates(&|s| f64::from(s.first_attempts))),
        ("repeats", rates(&|s| f64::from(s.retries))),
        ("handled", rates(&|s| f64::from(s.delivered))),
        ("denied", rates(&|s| f64::from(s.rejected + s.abandoned))),
        ("held", rates(&|s| s.pending as f64 * report.tally.secs_per_row as f64)),
    ]
    .map(|(name, row): (&str, Vec<f64>)| (name.into(), row))
    .into()
}

/// Returns the text of the first breach, if any.
pub fn first_breach(breaches: &[Breach]) -> Option<String> {
    breaches.first().map(Breach::to_string)
}

/// Reads the runs of a results directory from `runs.jsonl`, in order; returns none if there is no such file.
///
/// # Errors
///
/// Returns a message if the file cannot be read, or if a line other than an incomplete last one is invalid.
pub fn read(directory: &Path) -> Result<Vec<RunRecord>, String> {
    let path = directory.join("runs.jsonl");
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(format!("{}: {e}", path.display())),
    };
    let mut records = Vec::new();
    let line_count = text.lines().count();
    for (index, line) in text.lines().enumerate() {
        match serde_json::from_str(line) {
            Ok(run) => records.push(run),
            // A sweep was interrupted while it wrote this line; the run will be repeated.
            Err(_) if index + 1 == line_count && !text.ends_with('\n') => {}
            Err(e) => {
                return Err(format!("{}:{}: expected a run as JSON, found {e}", path.display(), index + 1));
            }
        }
    }
    Ok(records)
}

/// Returns the mean and the standard deviation of a figure.
pub fn mean_and_deviation(values: &[f64]) -> (f64, f64) {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    (mean, variance.sqrt())
}
