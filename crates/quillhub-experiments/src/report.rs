//! Tables and charts of an experiment's runs: a table for the terminal, CSV, SVG, and one page with all of them.

use crate::chart::{self, Line};
use crate::results::{Kept, mean, round};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// The figures of the short table, in its order.
const SHORT: [&str; 8] = [
    "earned",
    "worst 10 s",
    "worst grade",
    "in contract",
    "sends each",
    "turned away each",
    "p50 s",
    "p99 s",
];

/// Runs that differ only in their seed.
pub struct Group<'a> {
    /// The variant.
    pub variant: &'a str,
    /// The decider.
    pub decider: &'a str,
    /// Its runs, by seed.
    pub runs: Vec<&'a Kept>,
}

impl Group<'_> {
    /// A figure of each run that has it.
    pub fn values(&self, figure: &str) -> Vec<f64> {
        self.runs.iter().filter_map(|run| run.figures.get(figure)).copied().collect()
    }

    fn breaches(&self) -> usize {
        self.runs.iter().map(|run| run.breaches).sum()
    }
}

/// The runs, those of one variant and decider together, in the order of their first.
pub fn groups(runs: &[Kept]) -> Vec<Group<'_>> {
    let mut groups: Vec<Group> = Vec::new();
    for run in runs {
        match groups.iter_mut().find(|g| (g.variant, g.decider) == (&run.variant, &run.decider)) {
            Some(group) => group.runs.push(run),
            None => groups.push(Group { variant: &run.variant, decider: &run.decider, runs: vec![run] }),
        }
    }
    groups
}

/// The short table, for a terminal.
pub fn table(runs: &[Kept]) -> String {
    let groups = groups(runs);
    let wide =
        |of: &dyn Fn(&Group) -> usize, least: usize| groups.iter().map(of).max().unwrap_or(0).max(least);
    let (variant, decider) = (wide(&|g| g.variant.chars().count(), 4), wide(&|g| g.decider.len(), 7));
    let mut text = format!("{:variant$}  {:decider$}  seeds", "days", "decider");
    SHORT.iter().for_each(|name| write!(text, "  {name:>10}").expect("a string takes all"));
    text.push_str("  breaches\n");
    for group in &groups {
        write!(text, "{:variant$}  {:decider$}  {:5}", group.variant, group.decider, group.runs.len())
            .expect("a string takes all");
        for name in SHORT {
            let value = mean(&group.values(name)).0;
            let wide = name.len().max(10);
            write!(text, "  {value:>wide$.3}").expect("a string takes all");
        }
        writeln!(text, "  {:8}", group.breaches()).expect("a string takes all");
    }
    text
}

/// All figures, with the deviation over seeds, as comma-separated rows.
pub fn csv(runs: &[Kept]) -> String {
    let names: Vec<_> = runs.first().map(|run| run.figures.keys().cloned().collect()).unwrap_or_default();
    let mut text = "days,decider,seeds,breaches".to_string();
    names.iter().for_each(|name| write!(text, ",{name},{name} sd").expect("a string takes all"));
    text.push('\n');
    for group in groups(runs) {
        let days = group.variant.replace('"', "\"\"");
        write!(text, "\"{days}\",{},{},{}", group.decider, group.runs.len(), group.breaches())
            .expect("a string takes all");
        for name in &names {
            let (mean, sd) = mean(&group.values(name));
            write!(text, ",{},{}", round(mean), round(sd)).expect("a string takes all");
        }
        text.push('\n');
    }
    text
}

/// The charts, by file name: what was earned where days vary, then the course of the first seed's runs.
pub fn charts(runs: &[Kept]) -> Result<BTreeMap<String, String>, String> {
    let mut charts = BTreeMap::new();
    let groups = groups(runs);
    let mut variants: Vec<&str> = Vec::new();
    for group in &groups {
        if !variants.contains(&group.variant) {
            variants.push(group.variant);
        }
    }
    if variants.len() > 1 {
        for (file, figure) in [("earned", "earned"), ("sends", "sends each"), ("p99", "p99 s")] {
            let mut lines: Vec<Line> = Vec::new();
            for group in &groups {
                let x = variants.iter().position(|v| *v == group.variant).unwrap_or(0) as f64;
                let point = (x, mean(&group.values(figure)).0);
                match lines.iter_mut().find(|line| line.name == group.decider) {
                    Some(line) => line.points.push(point),
                    None => lines.push(Line { name: group.decider.into(), points: vec![point] }),
                }
            }
            charts.insert(format!("{file}.svg"), chart::over_names(figure, &variants, &lines)?);
        }
    }
    for (at, variant) in variants.iter().enumerate() {
        for (file, rows) in
            [("sends", &["first sends", "repeats"][..]), ("held", &["held"]), ("handled", &["handled"])]
        {
            let mut lines = Vec::new();
            for group in groups.iter().filter(|g| g.variant == *variant) {
                let Some(course) = group.runs.first().map(|run| &run.course) else { continue };
                let Some(times) = course.get("at s") else { continue };
                let rows: Vec<_> = rows.iter().filter_map(|name| course.get(*name)).collect();
                let sum = |nth: usize| rows.iter().filter_map(|row| row.get(nth)).sum::<f64>();
                let points = times.iter().enumerate().map(|(nth, at)| (*at, sum(nth))).collect();
                lines.push(Line { name: group.decider.into(), points });
            }
            if lines.iter().any(|line: &Line| !line.points.is_empty()) {
                let title = format!("{file} a second, {variant}").replace("held a second", "held");
                charts.insert(
                    format!("{file}-{}.svg", at + 1),
                    chart::over_time(title.trim_end_matches(", "), &lines)?,
                );
            }
        }
    }
    Ok(charts)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// One page with the question, the tables and the charts, which needs nothing beside it.
pub fn page(name: &str, text: &str, question: &str, found: &str, runs: &[Kept]) -> Result<String, String> {
    let mut body = String::new();
    let mut put = |line: &str| {
        body.push_str(line);
        body.push('\n');
    };
    put(&format!("<h1>{}</h1>", escaped(name)));
    put(&format!("<p>{}</p>", escaped(question)));
    if !found.trim().is_empty() {
        put(&format!("<p><b>Found:</b> {}</p>", escaped(found)));
    }
    put("<p>All figures are simulated: means over seeds, and their standard deviation in brackets.</p>");
    put("<table><tr><th>days</th><th>decider</th><th>seeds</th>");
    SHORT.iter().for_each(|name| put(&format!("<th>{name}</th>")));
    put("<th>breaches</th></tr>");
    for group in groups(runs) {
        put(&format!("<tr><td>{}</td><td>{}</td>", escaped(group.variant), group.decider));
        put(&format!("<td>{}</td>", group.runs.len()));
        for name in SHORT {
            let (mean, sd) = mean(&group.values(name));
            put(&format!("<td>{} ({})</td>", round(mean), round(sd)));
        }
        put(&format!("<td>{}</td></tr>", group.breaches()));
    }
    put("</table>");
    let broken: Vec<_> = runs.iter().filter(|run| run.breaches > 0).collect();
    if !broken.is_empty() {
        put("<h2>Broken rules</h2><ul>");
        for run in broken {
            let first = run.first_breach.as_deref().unwrap_or_default();
            let (variant, decider, seed) = run.key();
            put(&format!("<li>{} {decider}, seed {seed}: {}</li>", escaped(variant), escaped(first)));
        }
        put("</ul>");
    }
    for svg in charts(runs)?.into_values() {
        put(&svg);
    }
    let version = runs.first().map_or("", |run| &run.version);
    put(&format!("<h2>The experiment, version {version}</h2><pre>{}</pre>", escaped(text)));
    let style = "body{font:15px sans-serif;max-width:70em;margin:2em auto}td,th{padding:.2em .6em;text-align:right}\
                 td:nth-child(-n+2){text-align:left}tr:nth-child(even){background:#eee}svg{max-width:100%}";
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{}</title><style>{style}</style>\n{body}</html>\n",
        escaped(name)
    ))
}

/// Writes the table, the charts and nothing else into the state directory of the runs.
pub fn write(folder: &Path, runs: &[Kept]) -> Result<(), String> {
    let at = |path: &Path, error: std::io::Error| format!("{}: {error}", path.display());
    let path = folder.join("table.csv");
    std::fs::write(&path, csv(runs)).map_err(|e| at(&path, e))?;
    for (name, svg) in charts(runs)? {
        let path = folder.join(name);
        std::fs::write(&path, svg).map_err(|e| at(&path, e))?;
    }
    Ok(())
}
