//! What is kept of a run: one JSON line, for people and programs. Reading them back passes over a last line that was
//! cut off.

use quillhub_simulator::{Breach, Report};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Rows of a run's course that are kept at most.
const COURSE: usize = 120;

/// One run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The name of the experiment.
    pub experiment: String,
    /// Of the program, and of the experiment's text: runs of another are not taken for this one's.
    pub version: String,
    /// The digest of the experiment's file.
    pub text: String,
    /// The variant.
    pub variant: String,
    /// The decider.
    pub decider: String,
    /// The seed.
    pub seed: u64,
    /// Of all facts of the run.
    pub hash: String,
    /// How often a rule was broken.
    pub breaches: usize,
    /// The first breach, in words.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_breach: Option<String>,
    /// By name; shares from 0 to 1, times in seconds.
    pub figures: BTreeMap<String, f64>,
    /// Of the first seed: seconds of each row, then by name what came in each.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub course: BTreeMap<String, Vec<f64>>,
}

impl Kept {
    /// What tells a run from the others of its experiment.
    pub fn key(&self) -> (&str, &str, u64) {
        (&self.variant, &self.decider, self.seed)
    }
}

/// The figures of a run, by name.
pub fn figures(report: &Report) -> BTreeMap<String, f64> {
    let tally = &report.tally;
    let asked = tally.submitted.max(1) as f64;
    let time = |quantile: f64| tally.latency.value_at_quantile(quantile) as f64 / 1e6;
    [
        ("earned", tally.delivered_value_share()),
        ("worst 10 s", tally.worst_ten_second_share()),
        ("worst grade", tally.worst_service_class_share()),
        ("handled", tally.delivered as f64 / asked),
        ("in contract", tally.within_soft_deadline as f64 / asked),
        ("sends each", tally.attempts_per_message()),
        ("repeats each", tally.retries as f64 / asked),
        ("turned away each", tally.rejected_calls as f64 / asked),
        ("connections each", tally.connections as f64 / asked),
        ("ran each", tally.executed as f64 / asked),
        ("doubled", tally.duplicate_effects as f64),
        ("p50 s", time(0.5)),
        ("p99 s", time(0.99)),
        ("p99.9 s", time(0.999)),
        ("most held", tally.max_pending as f64),
        ("notices", tally.submitted as f64),
    ]
    .map(|(name, value)| (name.into(), round(value)))
    .into()
}

/// Five figures are more than any of these is sure of.
pub fn round(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() {
        return value;
    }
    let scale = 10f64.powi(4 - value.abs().log10().floor() as i32);
    (value * scale).round() / scale
}

/// The course of a run, in rows of whole seconds.
pub fn course(report: &Report) -> BTreeMap<String, Vec<f64>> {
    let seconds = &report.tally.seconds;
    let each = seconds.len().div_ceil(COURSE).max(1);
    let rows = seconds.chunks(each);
    let sum = |of: &dyn Fn(&quillhub_simulator::Second) -> f64| {
        rows.clone()
            .map(|row| {
                round(row.iter().map(of).sum::<f64>() / row.len() as f64 / report.tally.secs_per_row as f64)
            })
            .collect()
    };
    let at = (0..rows.len()).map(|row| (row * each) as f64 * report.tally.secs_per_row as f64).collect();
    [
        ("at s", at),
        ("asked", sum(&|s| f64::from(s.submitted))),
        ("first sends", sum(&|s| f64::from(s.first_attempts))),
        ("repeats", sum(&|s| f64::from(s.retries))),
        ("handled", sum(&|s| f64::from(s.delivered))),
        ("denied", sum(&|s| f64::from(s.rejected + s.abandoned))),
        ("held", sum(&|s| s.pending as f64 * report.tally.secs_per_row as f64)),
    ]
    .map(|(name, row): (&str, Vec<f64>)| (name.into(), row))
    .into()
}

/// The first breach in words, if there is one.
pub fn first(breaches: &[Breach]) -> Option<String> {
    breaches.first().map(Breach::to_string)
}

/// The runs in a state directory's `runs.jsonl`, in order; none if there is no such file.
pub fn read(folder: &Path) -> Result<Vec<Kept>, String> {
    let path = folder.join("runs.jsonl");
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(format!("{}: {e}", path.display())),
    };
    let mut kept = Vec::new();
    let lines = text.lines().count();
    for (at, line) in text.lines().enumerate() {
        match serde_json::from_str(line) {
            Ok(run) => kept.push(run),
            // A sweep that was stopped while it wrote: the run is played again.
            Err(_) if at + 1 == lines && !text.ends_with('\n') => {}
            Err(e) => {
                return Err(format!("{}:{}: expected a run as JSON, found {e}", path.display(), at + 1));
            }
        }
    }
    Ok(kept)
}

/// Mean and standard deviation of a figure.
pub fn mean(values: &[f64]) -> (f64, f64) {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    (mean, variance.sqrt())
}
