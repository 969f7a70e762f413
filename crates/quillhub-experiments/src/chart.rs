//! Draws lines as SVG: over time, or over the days of an experiment.

use plotters::coord::Shift;
use plotters::prelude::*;

const SIZE: (u32, u32) = (820, 380);

/// A curve of a chart.
pub struct Line {
    /// Its name in the legend.
    pub name: String,
    /// Its points, from left to right.
    pub points: Vec<(f64, f64)>,
}

/// The least and the most of one coordinate, never the same.
fn span(lines: &[Line], of: impl Fn(&(f64, f64)) -> f64) -> (f64, f64) {
    let all = lines.iter().flat_map(|line| &line.points).map(of).filter(|value| value.is_finite());
    let (low, high) = all.fold((f64::MAX, f64::MIN), |(low, high), v| (low.min(v), high.max(v)));
    if low > high { (0.0, 1.0) } else { (low, if high > low { high } else { low + 1.0 }) }
}

fn draw(
    title: &str,
    lines: &[Line],
    across: &str,
    label: &dyn Fn(&f64) -> String,
    labels: usize,
) -> Result<String, String> {
    let told = |e: &dyn std::fmt::Display| format!("the chart '{title}' cannot be drawn: {e}");
    let mut svg = String::new();
    {
        let area: DrawingArea<_, Shift> = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| told(&e))?;
        let ((left, right), top) = (span(lines, |p| p.0), span(lines, |p| p.1).1.max(1e-9));
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 17))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(left..right, 0.0..top * 1.05)
            .map_err(|e| told(&e))?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc(across).x_labels(labels).x_label_formatter(label).light_line_style(WHITE);
        mesh.draw().map_err(|e| told(&e))?;
        for (nth, line) in lines.iter().enumerate() {
            let colour = Palette99::pick(nth).to_rgba();
            let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
            let drawn = chart.draw_series(series).map_err(|e| told(&e))?;
            drawn
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        let mut names = chart.configure_series_labels();
        names.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3));
        names.draw().map_err(|e| told(&e))?;
        area.present().map_err(|e| told(&e))?;
    }
    Ok(svg)
}

/// A chart over the seconds of a run, as SVG.
///
/// # Errors
///
/// If it cannot be drawn.
pub fn over_time(title: &str, lines: &[Line]) -> Result<String, String> {
    draw(title, lines, "s", &|at| format!("{at:.0}"), 10)
}

/// A chart over the offered rate, as SVG.
///
/// # Errors
///
/// If it cannot be drawn.
pub fn over_rate(title: &str, lines: &[Line]) -> Result<String, String> {
    draw(title, lines, "notices offered a second", &|at| format!("{at:.0}"), 10)
}

/// Each name is one place across.
pub fn over_names(title: &str, names: &[&str], lines: &[Line]) -> Result<String, String> {
    let label = |at: &f64| {
        let whole = (at - at.round()).abs() < 1e-6;
        names.get(at.round() as usize).filter(|_| whole).map_or(String::new(), |name| (*name).into())
    };
    draw(title, lines, "", &label, names.len())
}

/// Sizes spaced by factors: each power of ten is as far from the next.
pub fn over_sizes(title: &str, across: &str, lines: &[Line]) -> Result<String, String> {
    let scaled = |line: &Line| {
        let points = line.points.iter().map(|(size, value)| (size.max(1.0).log10(), *value)).collect();
        Line { name: line.name.clone(), points }
    };
    let lines: Vec<Line> = lines.iter().map(scaled).collect();
    draw(title, &lines, across, &|at| format!("{:.0}", 10f64.powf(*at)), 10)
}
