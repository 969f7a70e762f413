//! Tables and charts of an experiment's runs: a table for the terminal, CSV, SVG, and one HTML page with all of them.

use crate::chart::{self, Series};
use crate::results::{RunRecord, mean_and_deviation, round};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Figures of the short table, in order.
const TABLE_FIGURES: [&str; 8] = [
    "earned",
    "worst 10 s",
    "worst grade",
    "in contract",
    "sends each",
    "turned away each",
    "p50 s",
    "p99 s",
];

/// Runs that differ only in the seed.
struct Group<'a> {
    /// Name of the variant.
    pub variant: &'a str,
    /// Name of the decider.
    pub decider: &'a str,
    /// Runs of the group, one per seed.
    pub runs: Vec<&'a RunRecord>,
}

impl Group<'_> {
    /// Returns the value of a figure in each run that has it.
    pub fn values(&self, figure: &str) -> Vec<f64> {
        self.runs.iter().filter_map(|run| run.figures.get(figure)).copied().collect()
    }

    fn breaches(&self) -> usize {
        self.runs.iter().map(|run| run.breaches).sum()
    }
}

/// Groups the runs by variant and decider, in the order in which each group first appears.
fn group_runs(runs: &[RunRecord]) -> Vec<Group<'_>> {
    let mut groups: Vec<Group> = Vec::new();
    for run in runs {
        match groups.iter_mut().find(|g| (g.variant, g.decider) == (&run.variant, &run.decider)) {
            Some(group) => group.runs.push(run),
            None => groups.push(Group { variant: &run.variant, decider: &run.decider, runs: vec![run] }),
        }
    }
    groups
}

/// Returns the short table for the terminal.
pub fn table(runs: &[RunRecord]) -> String {
    let groups = group_runs(runs);
    let column_width =
        |length: &dyn Fn(&Group) -> usize, min: usize| groups.iter().map(length).max().unwrap_or(0).max(min);
    let (variant, decider) =
        (column_width(&|g| g.variant.chars().count(), 4), column_width(&|g| g.decider.len(), 7));
    let mut text = format!("{:variant$}  {:decider$}  seeds", "days", "decider");
    TABLE_FIGURES
        .iter()
        .for_each(|name| write!(text, "  {name:>10}").expect("writing to a string cannot fail"));
    text.push_str("  breaches\n");
    for group in &groups {
        write!(text, "{:variant$}  {:decider$}  {:5}", group.variant, group.decider, group.runs.len())
            .expect("writing to a string cannot fail");
        for name in TABLE_FIGURES {
            let value = mean_and_deviation(&group.values(name)).0;
            let width = name.len().max(10);
            write!(text, "  {value:>width$.3}").expect("writing to a string cannot fail");
        }
        writeln!(text, "  {:8}", group.breaches()).expect("writing to a string cannot fail");
    }
    text
}

/// Returns the mean and the standard deviation over seeds of all figures as CSV.
fn csv(runs: &[RunRecord]) -> String {
    let names: Vec<_> = runs.first().map(|run| run.figures.keys().cloned().collect()).unwrap_or_default();
    let mut text = "days,decider,seeds,breaches".to_string();
    names.iter().for_each(|name| write!(text, ",{name},{name} sd").expect("writing to a string cannot fail"));
    text.push('\n');
    for group in group_runs(runs) {
        let days = group.variant.replace('"', "\"\"");
        write!(text, "\"{days}\",{},{},{}", group.decider, group.runs.len(), group.breaches())
            .expect("writing to a string cannot fail");
        for name in &names {
            let (mean, sd) = mean_and_deviation(&group.values(name));
            write!(text, ",{},{}", round(mean), round(sd)).expect("writing to a string cannot fail");
        }
        text.push('\n');
    }
    text
}

/// Draws the charts, by file name: figures by variant if there are several, and the time series of the first seed's
/// runs.
///
/// # Errors
///
/// Returns a message if a chart cannot be drawn.
fn charts(runs: &[RunRecord]) -> Result<BTreeMap<String, String>, String> {
    let mut charts = BTreeMap::new();
    let groups = group_runs(runs);
    let mut variants: Vec<&str> = Vec::new();
    for group in &groups {
        if !variants.contains(&group.variant) {
            variants.push(group.variant);
        }
    }
    if variants.len() > 1 {
        for (file, figure) in [("earned", "earned"), ("sends", "sends each"), ("p99", "p99 s")] {
            let mut lines: Vec<Series> = Vec::new();
            for group in &groups {
                let x = variants.iter().position(|v| *v == group.variant).unwrap_or(0) as f64;
                let point = (x, mean_and_deviation(&group.values(figure)).0);
                match lines.iter_mut().find(|line| line.name == group.decider) {
                    Some(line) => line.points.push(point),
                    None => lines.push(Series { name: group.decider.into(), points: vec![point] }),
                }
            }
            charts.insert(format!("{file}.svg"), chart::over_names(figure, &variants, &lines)?);
        }
    }
    for (index, variant) in variants.iter().enumerate() {
        for (file, rows) in
            [("sends", &["first sends", "repeats"][..]), ("held", &["held"]), ("handled", &["handled"])]
        {
            let mut lines = Vec::new();
            for group in groups.iter().filter(|g| g.variant == *variant) {
                let Some(series) = group.runs.first().map(|run| &run.time_series) else { continue };
                let Some(times) = series.get("at s") else { continue };
                let rows: Vec<_> = rows.iter().filter_map(|name| series.get(*name)).collect();
                let row_sum = |row: usize| rows.iter().filter_map(|values| values.get(row)).sum::<f64>();
                let points = times.iter().enumerate().map(|(row, start)| (*start, row_sum(row))).collect();
                lines.push(Series { name: group.decider.into(), points });
            }
            if lines.iter().any(|line: &Series| !line.points.is_empty()) {
                let title = format!("{file} a second, {variant}").replace("held a second", "held");
                charts.insert(
                    format!("{file}-{}.svg", index + 1),
                    chart::over_time(title.trim_end_matches(", "), &lines)?,
                );
            }
        }
    }
    Ok(charts)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns a self-contained HTML page with the question, the findings, the table, the charts and the experiment file.
///
/// # Errors
///
/// Returns a message if a chart cannot be drawn.
pub fn page(
    name: &str,
    text: &str,
    question: &str,
    found: &str,
    runs: &[RunRecord],
) -> Result<String, String> {
    let mut body = String::new();
    let mut push_line = |line: &str| {
        body.push_str(line);
        body.push('\n');
    };
    push_line(&format!("<h1>{}</h1>", escape_html(name)));
    push_line(&format!("<p>{}</p>", escape_html(question)));
    if !found.trim().is_empty() {
        push_line(&format!("<p><b>Found:</b> {}</p>", escape_html(found)));
    }
    push_line(
        "<p>All figures are simulated: means over seeds, with the standard deviation in parentheses.</p>",
    );
    push_line("<table><tr><th>days</th><th>decider</th><th>seeds</th>");
    TABLE_FIGURES.iter().for_each(|name| push_line(&format!("<th>{name}</th>")));
    push_line("<th>breaches</th></tr>");
    for group in group_runs(runs) {
        push_line(&format!("<tr><td>{}</td><td>{}</td>", escape_html(group.variant), group.decider));
        push_line(&format!("<td>{}</td>", group.runs.len()));
        for name in TABLE_FIGURES {
            let (mean, sd) = mean_and_deviation(&group.values(name));
            push_line(&format!("<td>{} ({})</td>", round(mean), round(sd)));
        }
        push_line(&format!("<td>{}</td></tr>", group.breaches()));
    }
    push_line("</table>");
    let runs_with_breaches: Vec<_> = runs.iter().filter(|run| run.breaches > 0).collect();
    if !runs_with_breaches.is_empty() {
        push_line("<h2>Breaches of the rules</h2><ul>");
        for run in runs_with_breaches {
            let first = run.first_breach.as_deref().unwrap_or_default();
            let (variant, decider, seed) = run.key();
            push_line(&format!(
                "<li>{} {decider}, seed {seed}: {}</li>",
                escape_html(variant),
                escape_html(first)
            ));
        }
        push_line("</ul>");
    }
    for svg in charts(runs)?.into_values() {
        push_line(&svg);
    }
    let version = runs.first().map_or("", |run| &run.version);
    push_line(&format!(
        "<h2>Experiment file (run by version {version})</h2><pre>{}</pre>",
        escape_html(text)
    ));
    let style = "body{font:15px sans-serif;max-width:70em;margin:2em auto}td,th{padding:.2em .6em;text-align:right}\
                 td:nth-child(-n+2){text-align:left}tr:nth-child(even){background:#eee}svg{max-width:100%}";
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{}</title><style>{style}</style>\n{body}</html>\n",
        escape_html(name)
    ))
}

/// Writes the table and the charts into the results directory of the runs.
///
/// # Errors
///
/// Returns a message if a chart cannot be drawn or a file cannot be written.
pub fn write(directory: &Path, runs: &[RunRecord]) -> Result<(), String> {
    let error_at = |path: &Path, error: std::io::Error| format!("{}: {error}", path.display());
    let path = directory.join("table.csv");
    std::fs::write(&path, csv(runs)).map_err(|e| error_at(&path, e))?;
    for (name, svg) in charts(runs)? {
        let path = directory.join(name);
        std::fs::write(&path, svg).map_err(|e| error_at(&path, e))?;
    }
    Ok(())
}
