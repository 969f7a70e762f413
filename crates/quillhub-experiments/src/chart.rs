//! Line charts as SVG: over time, the offered rate, the variants of an experiment, or sizes.

use plotters::coord::Shift;
use plotters::prelude::*;

/// Width and height of a chart in pixels.
const CHART_SIZE_PX: (u32, u32) = (820, 380);

/// Series of points, drawn as one line of a chart.
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points as x and y, from left to right.
    pub points: Vec<(f64, f64)>,
}

/// Returns the minimum and the maximum of one coordinate; the maximum is always greater.
fn value_range(all_series: &[Series], coordinate: impl Fn(&(f64, f64)) -> f64) -> (f64, f64) {
    let all =
        all_series.iter().flat_map(|series| &series.points).map(coordinate).filter(|value| value.is_finite());
    let (low, high) = all.fold((f64::MAX, f64::MIN), |(low, high), v| (low.min(v), high.max(v)));
    if low > high { (0.0, 1.0) } else { (low, if high > low { high } else { low + 1.0 }) }
}

/// Draws a line for each series as SVG, with x labels formatted by `format_label` and y from 0.
fn draw(
    title: &str,
    all_series: &[Series],
    x_title: &str,
    format_label: &dyn Fn(&f64) -> String,
    label_count: usize,
) -> Result<String, String> {
    let error = |e: &dyn std::fmt::Display| format!("the chart '{title}' cannot be drawn: {e}");
    let mut svg = String::new();
    {
        let area: DrawingArea<_, Shift> =
            SVGBackend::with_string(&mut svg, CHART_SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(|e| error(&e))?;
        let ((left, right), top) =
            (value_range(all_series, |p| p.0), value_range(all_series, |p| p.1).1.max(1e-9));
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 17))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(left..right, 0.0..top * 1.05)
            .map_err(|e| error(&e))?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc(x_title).x_labels(label_count).x_label_formatter(format_label).light_line_style(WHITE);
        mesh.draw().map_err(|e| error(&e))?;
        for (index, series) in all_series.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let drawn_line = LineSeries::new(series.points.iter().copied(), colour.stroke_width(2));
            let drawn_series = chart.draw_series(drawn_line).map_err(|e| error(&e))?;
            drawn_series
                .label(&series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        let mut names = chart.configure_series_labels();
        names.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3));
        names.draw().map_err(|e| error(&e))?;
        area.present().map_err(|e| error(&e))?;
    }
    Ok(svg)
}

/// Draws a chart over the time of a run in seconds, as SVG.
///
/// # Errors
///
/// Returns a message if the chart cannot be drawn.
pub fn over_time(title: &str, all_series: &[Series]) -> Result<String, String> {
    draw(title, all_series, "s", &|value| format!("{value:.0}"), 10)
}

/// Draws a chart over the offered rate in messages per second, as SVG.
///
/// # Errors
///
/// Returns a message if the chart cannot be drawn.
pub fn over_rate(title: &str, all_series: &[Series]) -> Result<String, String> {
    draw(title, all_series, "offered messages per second", &|value| format!("{value:.0}"), 10)
}

/// Draws a chart over named variants, as SVG: x is the index into `names`.
///
/// # Errors
///
/// Returns a message if the chart cannot be drawn.
pub fn over_names(title: &str, names: &[&str], all_series: &[Series]) -> Result<String, String> {
    let format_label = |value: &f64| {
        let is_whole = (value - value.round()).abs() < 1e-6;
        names.get(value.round() as usize).filter(|_| is_whole).map_or(String::new(), |name| (*name).into())
    };
    draw(title, all_series, "", &format_label, names.len())
}

/// Draws a chart over sizes on a logarithmic axis, as SVG.
///
/// # Errors
///
/// Returns a message if the chart cannot be drawn.
pub fn over_sizes(title: &str, x_title: &str, all_series: &[Series]) -> Result<String, String> {
    let scaled = |series: &Series| {
        let points = series.points.iter().map(|(size, value)| (size.max(1.0).log10(), *value)).collect();
        Series { name: series.name.clone(), points }
    };
    let all_series: Vec<Series> = all_series.iter().map(scaled).collect();
    draw(title, &all_series, x_title, &|value| format!("{:.0}", 10f64.powf(*value)), 10)
}
