//! Scale tests: growth of an instance's cost with one size, measured on loopback by `quillhub-scale`, as table, CSV and
//! charts.

use crate::chart::{self, Series};
use crate::results::round;
use quillhub_scale::bounds;
use quillhub_scale::fit::{self, Fit, HeldOut};
use quillhub_scale::machine;
use quillhub_scale::plan::{Plan, Slope};
use quillhub_scale::results::{self, Point};
use quillhub_scale::{Measurement, figure, measure};
use std::fmt::Write;
use std::path::Path;

/// Number of points with which a chart draws a fitted curve, per measured size.
const CURVE_POINTS_PER_SIZE: usize = 20;

/// One figure of a scale test: means by size, fit, and prediction for the held-out largest size.
pub struct Row {
    /// Name of the figure, with unit.
    pub name: String,
    /// Size, mean, and half of the range relative to the mean.
    pub means: Vec<(f64, f64, f64)>,
    /// Fit over all sizes; `None` with too few sizes.
    pub fit: Option<Fit>,
    /// Prediction for the largest size from the smaller ones; `None` with too few sizes.
    pub held_out: Option<HeldOut>,
}

impl Row {
    /// Creates the row of the figure `name`; returns `None` if no point has that figure.
    fn from_points(points: &[Point], name: &str) -> Option<Self> {
        let samples = results::samples(points, name);
        if samples.is_empty() {
            return None;
        }
        let (means, fit) = (fit::by_size(&samples), fit::fit(&samples));
        Some(Self { name: name.into(), means, fit, held_out: fit::held_out(&samples) })
    }
}

/// Returns a row for each figure of these points.
pub fn rows(points: &[Point]) -> Vec<Row> {
    results::figure_names(points).iter().filter_map(|name| Row::from_points(points, name)).collect()
}

/// Checks before anything starts that all sizes fit the limits of this machine.
fn check(plan: &Plan, path: &Path) -> Result<(), String> {
    let limits = machine::limits();
    for (index, (_, sizes)) in plan.points().enumerate() {
        let place = format!("{}: sizes[{index}]", path.display());
        bounds::check(&place, &bounds::need(&sizes, &plan.load), &limits).map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// Measures all sizes of `plan`. Stops after a measurement that ended before the load was measured.
fn run_all(plan: &Plan, experiment: &str, program: &Path, directory: &Path) -> Result<Vec<Point>, String> {
    let machine = machine::current_machine();
    let (mut points, total) = (Vec::new(), plan.sizes.len() * plan.plays as usize);
    for (size, sizes) in plan.points() {
        for number in 1..=plan.plays {
            eprintln!("{experiment}: {} of {total}: {size} {}", points.len() + 1, plan.slope.unit());
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
            write(directory, results::FILE_NAME, &results::to_text(&points)?)?;
            if points.last().is_some_and(|point| !point.figures.contains_key(figure::MESSAGE_US)) {
                return Ok(points);
            }
        }
    }
    Ok(points)
}

fn write(directory: &Path, name: &str, text: &str) -> Result<(), String> {
    let path = directory.join(name);
    std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Runs the scale test at `path` with the instance's `program`, writes the results into `directory`, and prints a
/// table.
///
/// # Errors
///
/// Returns a message if the file is invalid, exceeds the limits of this machine, or the test or a write fails.
pub fn run(path: &Path, program: &Path, directory: &Path) -> Result<(), String> {
    let plan = Plan::read(path)?;
    check(&plan, path)?;
    std::fs::create_dir_all(directory).map_err(|e| format!("{}: {e}", directory.display()))?;
    let experiment = path.file_stem().map_or(String::new(), |stem| stem.to_string_lossy().into());
    let points = run_all(&plan, &experiment, program, directory)?;
    write(directory, "points.csv", &csv(&points))?;
    for row in rows(&points) {
        let name = format!("{}.svg", file_stem(&row.name));
        write(directory, &name, &draw_chart(plan.slope, &row)?)?;
    }
    println!("{experiment} (on sockets)\n\n{}", table(&points));
    println!("results in {}", directory.display());
    Ok(())
}

/// Returns the name of a figure as a file name without extension: letters and digits, joined by hyphens.
fn file_stem(name: &str) -> String {
    let to_ascii = |letter: char| if letter.is_ascii_alphanumeric() { letter } else { '-' };
    let words: String = name.chars().map(to_ascii).collect();
    words.split('-').filter(|word| !word.is_empty()).collect::<Vec<_>>().join("-")
}

fn csv(points: &[Point]) -> String {
    let names = results::figure_names(points);
    let mut csv = format!("size,play,breaks,{}\n", names.join(",").replace(", ", "; "));
    for point in points {
        let breaks = point.breaks.as_deref().unwrap_or_default().replace(',', ";");
        let values = names.iter().map(|name| point.figures.get(name).map_or(String::new(), f64::to_string));
        let _ =
            writeln!(csv, "{},{},{breaks},{}", point.size, point.play, values.collect::<Vec<_>>().join(","));
    }
    csv
}

fn draw_chart(slope: Slope, row: &Row) -> Result<String, String> {
    let measured = row.means.iter().map(|(size, mean, _)| (*size, *mean)).collect();
    let mut lines = vec![Series { name: "measured".into(), points: measured }];
    if let (Some(fit), Some(first), Some(last)) = (row.fit, row.means.first(), row.means.last()) {
        let steps = CURVE_POINTS_PER_SIZE * row.means.len();
        let factor = (last.0 / first.0).powf(1.0 / steps as f64);
        let sizes = (0..=steps).map(|step| first.0 * factor.powi(step as i32));
        let points = sizes.map(|size| (size, fit.value_at(size))).collect();
        lines.push(Series { name: format!("{} fit", fit.shape.name()), points });
    }
    chart::over_sizes(&row.name, slope.unit(), &lines)
}

/// Formats a number with a precision that depends on its magnitude.
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

/// Formats a fit as a formula in the size N.
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

/// Returns the table for the terminal.
fn table(points: &[Point]) -> String {
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
        if let Some(held_out) = row.held_out {
            let _ = writeln!(
                table,
                "    held out: predicted {} ({}), measured {}: {:+.1}%",
                short(held_out.predicted),
                held_out.fit.shape.name(),
                short(held_out.measured),
                held_out.difference() * 100.0
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
