//! Tables of the capacity page, as Markdown.

use super::evidence::{Evidence, experiment_name};
use super::needs::{Need, Status};
use crate::scale::{self, Row, formula, short};
use quillhub_scale::plan::Slope;
use quillhub_scale::results::Point;
use std::collections::BTreeSet;
use std::fmt::Write;

/// Returns a table of the machines that the scale tests ran on, with their load averages.
pub fn machine(evidence: &Evidence) -> Result<String, String> {
    let mut text =
        String::from("| experiment | cores | memory MB | kernel | runs | load average, min to max |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for slope in Slope::ALL {
        let points = evidence.points(slope);
        let machines: BTreeSet<_> = points
            .iter()
            .map(|point| (point.machine.cores, point.machine.memory_mb, point.machine.kernel.as_str()))
            .collect();
        let load_averages = || points.iter().flat_map(|point| point.load_average);
        let (min, max) = (load_averages().fold(f64::MAX, f64::min), load_averages().fold(0.0, f64::max));
        for (cores, memory, kernel) in machines {
            let (name, runs) = (experiment_name(slope), points.len());
            let _ = writeln!(
                text,
                "| `{name}` | {cores} | {memory} | {kernel} | {runs} | {min:.1} to {max:.1} |"
            );
        }
    }
    Ok(text)
}

/// Returns the tables of a slope: means by size, fits with predictions for the held-out size, and sizes that broke.
pub fn slope(slope: Slope, points: &[Point]) -> String {
    let sizes: BTreeSet<u64> = points.iter().map(|point| point.size).collect();
    let headings: Vec<String> = sizes.iter().map(u64::to_string).collect();
    let mut text = format!("Means by {} (half of the range between runs):\n\n", slope.unit());
    let _ = writeln!(text, "| figure | {} |", headings.join(" | "));
    let _ = writeln!(text, "| --- |{}", " --- |".repeat(sizes.len()));
    let rows = scale::rows(points);
    for row in &rows {
        let _ = writeln!(text, "| {} | {} |", row.name, cells(row, &sizes).join(" | "));
    }
    text.push_str("\nFits, each repeated without the largest size that has the figure:\n\n");
    text.push_str("| figure | shape | fit | spread | predicted | measured | difference | |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    rows.iter().for_each(|row| text.push_str(&fit_row(row)));
    let breaks: BTreeSet<String> = points
        .iter()
        .filter_map(|point| Some(format!("- Breaks at {}: {}.\n", point.size, point.breaks.as_ref()?)))
        .collect();
    if !breaks.is_empty() {
        text.push('\n');
        breaks.iter().for_each(|line| text.push_str(line));
    }
    text
}

fn cells(row: &Row, sizes: &BTreeSet<u64>) -> Vec<String> {
    let cell = |size: &u64| {
        let found = row.means.iter().find(|(measured, ..)| *measured == *size as f64);
        found.map_or("-".into(), |(_, mean, range)| format!("{} ({:.0}%)", short(*mean), range * 100.0))
    };
    sizes.iter().map(cell).collect()
}

fn fit_row(row: &Row) -> String {
    let (Some(fit), Some(held_out)) = (row.fit, row.held_out) else {
        return format!("| {} | too few sizes | | | | | | no extrapolation |\n", row.name);
    };
    let verdict = match held_out.is_accurate() {
        true if held_out.supports_extrapolation(&fit) => "accurate",
        true => "accurate with another shape: not used to extrapolate",
        false => "inaccurate: not used to extrapolate",
    };
    format!(
        "| {} | {} | {} | {:.0}% | {} ({}) | {} | {:+.1}% | {verdict} |\n",
        row.name,
        fit.shape.name(),
        formula(&fit),
        fit.spread * 100.0,
        short(held_out.predicted),
        held_out.fit.shape.name(),
        short(held_out.measured),
        held_out.difference() * 100.0
    )
}

fn ratio(need: &Need) -> String {
    let prefix = if need.is_conclusive { "" } else { "at least " };
    need.ratio().map_or("-".into(), |ratio| format!("{prefix}{}", short(ratio)))
}

fn limit(need: &Need) -> String {
    need.limit
        .as_ref()
        .map_or("none set".into(), |limit| format!("{} ({})", short(limit.value), limit.source))
}

fn status(need: &Need) -> String {
    let experiments: BTreeSet<&str> = need.experiments.iter().map(String::as_str).collect();
    let experiments: Vec<String> = experiments.into_iter().map(|name| format!("`{name}`")).collect();
    let source =
        if experiments.is_empty() { "arithmetic on the target".into() } else { experiments.join(", ") };
    format!("{} ({source})", need.status().name())
}

/// Returns a table of needs.
pub fn needs<'a>(needs: impl Iterator<Item = &'a Need>) -> String {
    let mut text = String::from("| what | steps | need | limit | ratio | mechanism | status |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
    for need in needs {
        let _ = writeln!(
            text,
            "| {} | {} | {}{} | {} | {} | {} | {} |",
            need.quantity,
            need.steps,
            if need.is_conclusive { "" } else { "at least " },
            short(need.value),
            limit(need),
            ratio(need),
            if need.mechanism.is_empty() { "-" } else { need.mechanism },
            status(need)
        );
    }
    text
}

/// Returns a table of the needs that exceed their limit or are not shown to be within it, largest ratio first.
pub fn missing(needs: &[Need]) -> String {
    let is_open = |need: &&Need| matches!(need.status(), Status::Missing | Status::NotShown);
    let mut rows: Vec<&Need> = needs.iter().filter(is_open).collect();
    rows.sort_by(|one, other| other.ratio().unwrap_or(0.0).total_cmp(&one.ratio().unwrap_or(0.0)));
    let mut text = String::from("| ratio | role | what | need | limit | mechanism | status |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
    for need in rows {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} |",
            ratio(need),
            need.role.name(),
            need.quantity,
            short(need.value),
            limit(need),
            need.mechanism,
            need.status().name()
        );
    }
    text
}
