//! Slopes: how an instance's cost grows with one size, played on loopback by `quillhub-scale`, as table, CSV and charts.

use crate::chart::{self, Line};
use crate::results::round;
use quillhub_scale::bounds;
use quillhub_scale::fit::{self, Fit, HeldOut};
use quillhub_scale::machine;
use quillhub_scale::plan::{Plan, Slope};
use quillhub_scale::results::{self, Point};
use quillhub_scale::{Measurement, figure, measure};
use std::fmt::Write;
use std::path::Path;

/// Points of a fitted line in a chart, from one size to the next.
const STEPS: usize = 20;

/// One figure of a slope: its means by size, its fit, and the largest size held out.
pub struct Row {
    /// Name of the figure, with unit.
    pub name: String,
    /// Size, mean, and half of the range over the mean.
    pub means: Vec<(f64, f64, f64)>,
    /// Nothing with too few sizes.
    pub fit: Option<Fit>,
    /// Nothing with too few sizes.
    pub held_out: Option<HeldOut>,
}

impl Row {
    /// Of the figure `name` in these points; nothing if none has it.
    pub fn of(points: &[Point], name: &str) -> Option<Self> {
        let samples = results::samples(points, name);
        if samples.is_empty() {
            return None;
        }
        let (means, fit) = (fit::by_size(&samples), fit::fit(&samples));
        Some(Self { name: name.into(), means, fit, held_out: fit::held_out(&samples) })
    }
}

/// A row for each figure of these points.
pub fn rows(points: &[Point]) -> Vec<Row> {
    results::figure_names(points).iter().filter_map(|name| Row::of(points, name)).collect()
}

/// Refuses what would go over the bounds of this machine, before anything starts.
fn check(plan: &Plan, path: &Path) -> Result<(), String> {
    let limits = machine::limits();
    for (nth, (_, sizes)) in plan.points().enumerate() {
        let place = format!("{}: sizes[{nth}]", path.display());
        bounds::check(&place, &bounds::need(&sizes, &plan.load), &limits).map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// Plays all sizes of `plan`; a size that breaks before its load was measured is the last.
fn play_all(plan: &Plan, experiment: &str, program: &Path, folder: &Path) -> Result<Vec<Point>, String> {
    let machine = machine::here();
    let (mut points, all) = (Vec::new(), plan.sizes.len() * plan.plays as usize);
    for (size, sizes) in plan.points() {
        for number in 1..=plan.plays {
            eprintln!("{experiment}: {} of {all}: {size} {}", points.len() + 1, plan.slope.unit());
            let before = machine::load_average();
            let seed = plan.seed + u64::from(number);
            let Measurement { figures, breaks } = measure(plan, &sizes, seed, program)?;
            let figures = figures.into_iter().map(|(name, value)| (name, round(value))).collect();
            if let Some(breaks) = &breaks {
                eprintln!("{experiment}: breaks at {size}: {breaks}");
            }
            points.push(Point {
                experiment: experiment.into(),
                slope: plan.slope,
                size,
                play: number,
                breaks,
                figures,
                load_average: [before, machine::load_average()],
                machine: machine.clone(),
            });
            write(folder, results::FILE_NAME, &results::to_text(&points)?)?;
            if points.last().is_some_and(|point| !point.figures.contains_key(figure::MESSAGE_US)) {
                return Ok(points);
            }
        }
    }
    Ok(points)
}

fn write(folder: &Path, name: &str, text: &str) -> Result<(), String> {
    let path = folder.join(name);
    std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Plays the experiment at `path` with the instance's `program`, keeps what came of it in `state directory`, and prints a table.
pub fn run(path: &Path, program: &Path, folder: &Path) -> Result<(), String> {
    let plan = Plan::read(path)?;
    check(&plan, path)?;
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let experiment = path.file_stem().map_or(String::new(), |stem| stem.to_string_lossy().into());
    let points = play_all(&plan, &experiment, program, folder)?;
    write(folder, "points.csv", &csv(&points))?;
    for row in rows(&points) {
        let name = format!("{}.svg", file_name(&row.name));
        write(folder, &name, &drawn(plan.slope, &row)?)?;
    }
    println!("{experiment} (on sockets)\n\n{}", table(&points));
    println!("in {}", folder.display());
    Ok(())
}

/// A figure's name as a file's.
fn file_name(name: &str) -> String {
    let plain = |letter: char| if letter.is_ascii_alphanumeric() { letter } else { '-' };
    let words: String = name.chars().map(plain).collect();
    words.split('-').filter(|word| !word.is_empty()).collect::<Vec<_>>().join("-")
}

fn csv(points: &[Point]) -> String {
    let names = results::figure_names(points);
    let mut csv = format!("size,play,breaks,{}\n", names.join(",").replace(", ", "; "));
    for point in points {
        let broke = point.breaks.as_deref().unwrap_or_default().replace(',', ";");
        let values = names.iter().map(|name| point.figures.get(name).map_or(String::new(), f64::to_string));
        let _ =
            writeln!(csv, "{},{},{broke},{}", point.size, point.play, values.collect::<Vec<_>>().join(","));
    }
    csv
}

fn drawn(slope: Slope, row: &Row) -> Result<String, String> {
    let measured = row.means.iter().map(|(size, mean, _)| (*size, *mean)).collect();
    let mut lines = vec![Line { name: "measured".into(), points: measured }];
    if let (Some(fit), Some(first), Some(last)) = (row.fit, row.means.first(), row.means.last()) {
        let steps = STEPS * row.means.len();
        let by = (last.0 / first.0).powf(1.0 / steps as f64);
        let sizes = (0..=steps).map(|step| first.0 * by.powi(step as i32));
        let points = sizes.map(|size| (size, fit.value_at(size))).collect();
        lines.push(Line { name: format!("{} fit", fit.shape.name()), points });
    }
    chart::over_sizes(&row.name, slope.unit(), &lines)
}

/// A number with as many digits as it is sure of.
pub fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        size if size >= 1e9 => format!("{:.3}e9", value / 1e9),
        size if size >= 1e6 => format!("{:.3}e6", value / 1e6),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        size if size >= 0.001 => format!("{value:.4}"),
        _ => format!("{value:.2e}"),
    }
}

/// What a fit says, in words.
pub fn formula(fit: &Fit) -> String {
    let (fixed, slope) = (short(fit.fixed), short(fit.slope));
    match fit.shape {
        _ if fit.slope == 0.0 => fixed,
        fit::Shape::Flat => fixed,
        fit::Shape::Linear => format!("{fixed} + {slope} N"),
        fit::Shape::NLogN => format!("{fixed} + {slope} N ln N"),
        fit::Shape::Quadratic => format!("{fixed} + {slope} N^2"),
    }
}

/// The table for a terminal.
pub fn table(points: &[Point]) -> String {
    let mut table = String::new();
    for row in rows(points) {
        let _ = writeln!(table, "{}", row.name);
        for (size, mean, range) in &row.means {
            let _ = writeln!(table, "    {size:>10.0}  {:>12}  +- {:.1}%", short(*mean), range * 100.0);
        }
        if let Some(fit) = row.fit {
            let _ = writeln!(
                table,
                "    {}: {}, spread {:.1}%",
                fit.shape.name(),
                formula(&fit),
                fit.spread * 100.0
            );
        }
        if let Some(held) = row.held_out {
            let _ = writeln!(
                table,
                "    held out: predicted {} ({}), measured {}: {:+.1}%",
                short(held.predicted),
                held.fit.shape.name(),
                short(held.measured),
                held.difference() * 100.0
            );
        }
    }
    for point in points {
        if let Some(breaks) = &point.breaks {
            let _ = writeln!(table, "breaks at {}: {breaks}", point.size);
        }
    }
    table
}
