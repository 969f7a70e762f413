//! Kept results of a scale experiment: the file `points.jsonl`, with a line for each point.

use crate::fit::Sample;
use crate::machine::Machine;
use crate::plan::Slope;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Name of the file with the points in a directory of results.
pub const FILE_NAME: &str = "points.jsonl";

/// Measurement of one size in one repetition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Name of the experiment.
    pub experiment: String,
    /// Size that the experiment varies.
    pub slope: Slope,
    /// Value of the size.
    pub size: u64,
    /// Number of the repetition of this size, from 1.
    pub play: u32,
    /// Reason why the measurement ended early, if it did; `figures` then has those measured before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub breaks: Option<String>,
    /// Measured figures by their names, which include the unit.
    pub figures: BTreeMap<String, f64>,
    /// Load average of the machine at the start and at the end, which shows other work on it.
    pub load_average: [f64; 2],
    /// Machine that the point was measured on.
    pub machine: Machine,
}

/// Returns the samples of one figure from all points that have it.
pub fn samples(points: &[Point], figure: &str) -> Vec<Sample> {
    let sample = |point: &Point| {
        let value = *point.figures.get(figure)?;
        Some(Sample { size: point.size as f64, value })
    };
    points.iter().filter_map(sample).collect()
}

/// Returns the names of all figures in these points, in alphabetical order.
pub fn figure_names(points: &[Point]) -> Vec<String> {
    let names: std::collections::BTreeSet<&String> =
        points.iter().flat_map(|point| point.figures.keys()).collect();
    names.into_iter().cloned().collect()
}

/// Writes points as lines of JSON.
pub fn to_text(points: &[Point]) -> Result<String, String> {
    let lines: Result<Vec<_>, _> = points.iter().map(serde_json::to_string).collect();
    Ok(lines.map_err(|e| format!("a point cannot be written: {e}"))?.join("\n") + "\n")
}

/// Reads points from lines of JSON; the error of a malformed line starts with its number.
pub fn parse(text: &str) -> Result<Vec<Point>, String> {
    let parse_line = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| format!("{}: expected a point as JSON, found {e}", index + 1))
    };
    text.lines().enumerate().map(parse_line).collect()
}

/// Reads the points in a directory of results, at least one.
pub fn read(directory: &Path) -> Result<Vec<Point>, String> {
    let path = directory.join(FILE_NAME);
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let points = parse(&text).map_err(|what| format!("{}:{what}", path.display()))?;
    if points.is_empty() {
        return Err(format!("{}: expected points, found none", path.display()));
    }
    Ok(points)
}

#[cfg(test)]
#[path = "results_tests.rs"]
mod tests;
