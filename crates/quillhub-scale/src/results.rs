//! What is kept of a scale experiment: a line for each point, in `points.jsonl`.

use crate::fit::Sample;
use crate::machine::Machine;
use crate::plan::Slope;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// The file of points in a state directory of results.
pub const FILE: &str = "points.jsonl";

/// One size, played once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Name of the experiment.
    pub experiment: String,
    /// The size that varies.
    pub slope: Slope,
    /// Its value.
    pub size: u64,
    /// From 1.
    pub play: u32,
    /// Where it broke, if it did; its figures are those measured before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub breaks: Option<String>,
    /// Measured, by name with unit.
    pub figures: BTreeMap<String, f64>,
    /// Load average of the machine at the start and at the end: other work ran beside.
    pub load_average: [f64; 2],
    /// Where it was measured.
    pub machine: Machine,
}

/// The samples of one figure over all points that have it.
pub fn samples(points: &[Point], figure: &str) -> Vec<Sample> {
    let of = |point: &Point| {
        let value = *point.figures.get(figure)?;
        Some(Sample { size: point.size as f64, value })
    };
    points.iter().filter_map(of).collect()
}

/// The names of all figures of these points.
pub fn names(points: &[Point]) -> Vec<String> {
    let names: std::collections::BTreeSet<&String> =
        points.iter().flat_map(|point| point.figures.keys()).collect();
    names.into_iter().cloned().collect()
}

/// Points as lines.
pub fn written(points: &[Point]) -> Result<String, String> {
    let lines: Result<Vec<_>, _> = points.iter().map(serde_json::to_string).collect();
    Ok(lines.map_err(|e| format!("a point cannot be written: {e}"))?.join("\n") + "\n")
}

/// Points from lines; a line that is none is told with its number.
pub fn read_text(text: &str) -> Result<Vec<Point>, String> {
    let read = |(at, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| format!("{}: expected a point as JSON, found {e}", at + 1))
    };
    text.lines().enumerate().map(read).collect()
}

/// The points in a state directory.
pub fn read(folder: &Path) -> Result<Vec<Point>, String> {
    let path = folder.join(FILE);
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let points = read_text(&text).map_err(|what| format!("{}:{what}", path.display()))?;
    if points.is_empty() {
        return Err(format!("{}: expected points, found none", path.display()));
    }
    Ok(points)
}

#[cfg(test)]
#[path = "results_tests.rs"]
mod tests;
