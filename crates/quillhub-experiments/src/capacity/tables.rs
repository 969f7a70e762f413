//! The tables of the capacity page, as Markdown.

use super::evidence::{Evidence, experiment};
use super::needs::{Need, Status};
use crate::scale::{self, Row, formula, short};
use quillhub_scale::plan::Slope;
use quillhub_scale::results::Point;
use std::collections::BTreeSet;
use std::fmt::Write;

/// The machines that the runs were made on, and what else ran there.
pub fn machine(evidence: &Evidence) -> Result<String, String> {
    let mut text =
        String::from("| experiment | cores | memory MB | kernel | plays | load average, least to most |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for slope in Slope::ALL {
        let points = evidence.points(slope);
        let machines: BTreeSet<_> = points
            .iter()
            .map(|point| (point.machine.cores, point.machine.memory_mb, point.machine.kernel.as_str()))
            .collect();
        let loads = || points.iter().flat_map(|point| point.load_average);
        let (least, most) = (loads().fold(f64::MAX, f64::min), loads().fold(0.0, f64::max));
        for (cores, memory, kernel) in machines {
            let (name, plays) = (experiment(slope), points.len());
            let _ = writeln!(
                text,
                "| `{name}` | {cores} | {memory} | {kernel} | {plays} | {least:.1} to {most:.1} |"
            );
        }
    }
    Ok(text)
}

/// What was measured, its fit, and the largest size held out.
pub fn slope(slope: Slope, points: &[Point]) -> String {
    let sizes: BTreeSet<u64> = points.iter().map(|point| point.size).collect();
    let head: Vec<String> = sizes.iter().map(u64::to_string).collect();
    let mut text = format!("Means by {} (half of the range between plays):\n\n", slope.unit());
    let _ = writeln!(text, "| figure | {} |", head.join(" | "));
    let _ = writeln!(text, "| --- |{}", " --- |".repeat(sizes.len()));
    let rows = scale::rows(points);
    for row in &rows {
        let _ = writeln!(text, "| {} | {} |", row.name, cells(row, &sizes).join(" | "));
    }
    text.push_str("\nFits, each also made without the largest size that has the figure:\n\n");
    text.push_str("| figure | shape | fit | spread | predicted | measured | difference | |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    rows.iter().for_each(|row| text.push_str(&fitted(row)));
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

fn fitted(row: &Row) -> String {
    let (Some(fit), Some(held)) = (row.fit, row.held_out) else {
        return format!("| {} | too few sizes | | | | | | no extrapolation |\n", row.name);
    };
    let verdict = match held.is_accurate() {
        true if held.supports_extrapolation(&fit) => "holds",
        true => "holds by another shape: no extrapolation rests on it",
        false => "misses: no extrapolation rests on it",
    };
    format!(
        "| {} | {} | {} | {:.0}% | {} ({}) | {} | {:+.1}% | {verdict} |\n",
        row.name,
        fit.shape.name(),
        formula(&fit),
        fit.spread * 100.0,
        short(held.predicted),
        held.fit.shape.name(),
        short(held.measured),
        held.difference() * 100.0
    )
}

fn ratio(need: &Need) -> String {
    let mark = if need.firm { "" } else { "at least " };
    need.ratio().map_or("-".into(), |ratio| format!("{mark}{}", short(ratio)))
}

fn limit(need: &Need) -> String {
    need.limit
        .as_ref()
        .map_or("none set".into(), |limit| format!("{} ({})", short(limit.value), limit.source))
}

fn status(need: &Need) -> String {
    let runs: BTreeSet<&str> = need.runs.iter().map(String::as_str).collect();
    let runs: Vec<String> = runs.into_iter().map(|run| format!("`{run}`")).collect();
    let from = if runs.is_empty() { "arithmetic on the target".into() } else { runs.join(", ") };
    format!("{} ({from})", need.status().name())
}

/// Needs of one role.
pub fn needs<'a>(needs: impl Iterator<Item = &'a Need>) -> String {
    let mut text = String::from("| what | steps | need | limit | ratio | mechanism | status |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
    for need in needs {
        let _ = writeln!(
            text,
            "| {} | {} | {}{} | {} | {} | {} | {} |",
            need.what,
            need.steps,
            if need.firm { "" } else { "at least " },
            short(need.need),
            limit(need),
            ratio(need),
            if need.mechanism.is_empty() { "-" } else { need.mechanism },
            status(need)
        );
    }
    text
}

/// What is over its limit or not shown to be within it, by ratio.
pub fn missing(needs: &[Need]) -> String {
    let open = |need: &&Need| matches!(need.status(), Status::Missing | Status::NotShown);
    let mut rows: Vec<&Need> = needs.iter().filter(open).collect();
    rows.sort_by(|one, other| other.ratio().unwrap_or(0.0).total_cmp(&one.ratio().unwrap_or(0.0)));
    let mut text = String::from("| ratio | role | what | need | limit | mechanism | status |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
    for need in rows {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} |",
            ratio(need),
            need.role.block(),
            need.what,
            short(need.need),
            limit(need),
            need.mechanism,
            need.status().name()
        );
    }
    text
}
