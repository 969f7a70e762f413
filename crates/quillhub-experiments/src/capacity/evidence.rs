//! Figures of the kept results at any size: interpolated between two measured sizes, or extrapolated beyond the largest
//! one by a fit that predicts the held-out size.

use crate::scale::{formula, short};
use quillhub_scale::fit::{self, Sample};
use quillhub_scale::plan::Slope;
use quillhub_scale::results::{self, Point};
use std::collections::BTreeMap;
use std::path::Path;

/// A figure at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Value, or a lower bound of it if `is_conclusive` is `false`.
    pub value: f64,
    /// Derivation of the value, as text for the page.
    pub steps: String,
    /// `true` if the value was measured, interpolated, or extrapolated by a fit that predicts the held-out size, or is
    /// that of the smallest measured size, for a smaller size.
    pub is_conclusive: bool,
    /// Name of the experiment that measured it; empty for arithmetic on the target alone.
    pub experiment: String,
}

/// Experiment that measured the highest rate that one instance sustains.
const LOAD_TEST: &str = "socket-knee";
/// Minimum share of messages delivered by their soft deadline at which a rate counts as sustained.
const MIN_ON_TIME_SHARE: f64 = 0.99;

/// Kept results of all scale tests and of the load test of one instance.
pub struct Evidence {
    slopes: BTreeMap<Slope, Vec<Point>>,
    /// Steps of the load test: offered messages per second, and the share delivered by the soft deadline.
    load_steps: Vec<(f64, f64)>,
}

/// Returns the name of the experiment that measures a slope.
pub(crate) fn experiment_name(slope: Slope) -> String {
    format!("scale-{}", slope.name())
}

impl Evidence {
    /// Creates the evidence from points, without a load test.
    pub fn from_points(points: impl IntoIterator<Item = Point>) -> Self {
        let mut slopes: BTreeMap<Slope, Vec<Point>> = BTreeMap::new();
        for point in points {
            slopes.entry(point.slope).or_default().push(point);
        }
        Self { slopes, load_steps: Vec::new() }
    }

    /// Adds the steps of a load test from the text of its `load.jsonl`.
    ///
    /// # Errors
    ///
    /// Returns a message that starts with the number of an invalid line.
    pub fn with_load(mut self, text: &str) -> Result<Self, String> {
        for (index, line) in text.lines().enumerate() {
            let step: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
            let fields = (step["rate"].as_f64(), step["figures"]["in contract"].as_f64());
            let (Some(rate), Some(on_time_share)) = fields else {
                return Err(format!("{}: expected a step of a load test as JSON, found '{line}'", index + 1));
            };
            self.load_steps.push((rate, on_time_share));
        }
        Ok(self)
    }

    /// Returns the highest rate that one instance sustained, in messages per second.
    ///
    /// # Errors
    ///
    /// Returns a message if no step was sustained.
    pub fn max_sustained_rate(&self) -> Result<Figure, String> {
        let sustained = self
            .load_steps
            .iter()
            .filter(|(_, on_time_share)| *on_time_share >= MIN_ON_TIME_SHARE)
            .map(|(rate, _)| *rate);
        let value = sustained
            .reduce(f64::max)
            .ok_or(format!(
                "{LOAD_TEST}: expected a step with at least {}% of the messages delivered by their soft deadline, \
                 found none",
                MIN_ON_TIME_SHARE * 100.0
            ))?;
        let steps = format!("{} sustained with {}% on time", short(value), MIN_ON_TIME_SHARE * 100.0);
        Ok(Figure { value, steps, is_conclusive: true, experiment: LOAD_TEST.into() })
    }

    /// Reads the kept results below `results`.
    ///
    /// # Errors
    ///
    /// Returns a message if a file is missing or invalid.
    pub fn read(results: &Path) -> Result<Self, String> {
        let mut points = Vec::new();
        for slope in Slope::ALL {
            points.extend(results::read(&results.join(experiment_name(slope)))?);
        }
        let load_path = results.join(LOAD_TEST).join("load.jsonl");
        let text =
            std::fs::read_to_string(&load_path).map_err(|e| format!("{}: {e}", load_path.display()))?;
        Self::from_points(points)
            .with_load(&text)
            .map_err(|message| format!("{}:{message}", load_path.display()))
    }

    /// Returns all points of a slope.
    pub fn points(&self, slope: Slope) -> &[Point] {
        self.slopes.get(&slope).map_or(&[], Vec::as_slice)
    }

    /// Returns the figure `name` of `slope` at `size`.
    ///
    /// # Errors
    ///
    /// Returns a message if no run has the figure.
    pub fn figure_at(&self, slope: Slope, name: &str, size: f64) -> Result<Figure, String> {
        let samples = results::samples(self.points(slope), name);
        let experiment = experiment_name(slope);
        if samples.is_empty() {
            return Err(format!("{experiment}: expected runs with '{name}', found none"));
        }
        let (value, steps, is_conclusive) = estimate_at(&samples, size);
        Ok(Figure { value, steps, is_conclusive, experiment })
    }

    /// Returns the largest size at which the mean of the figure `name` is at least `min`.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no such size.
    pub fn largest_size_with(&self, slope: Slope, name: &str, min: f64) -> Result<Figure, String> {
        let experiment = experiment_name(slope);
        let means = fit::by_size(&results::samples(self.points(slope), name));
        let sizes = means.iter().filter(|(_, mean, _)| *mean >= min).map(|(size, ..)| *size);
        let value = sizes.reduce(f64::max);
        let value =
            value.ok_or_else(|| format!("{experiment}: expected '{name}' of at least {min}, found less"))?;
        let steps = format!("{value:.0} is the largest size with {name} of at least {}", short(min));
        Ok(Figure { value, steps, is_conclusive: true, experiment })
    }

    /// Returns the increase of the figure `name` per unit of size, from its fit.
    ///
    /// # Errors
    ///
    /// Returns a message if no run has the figure or its fit is not linear.
    pub fn slope_per_unit(&self, slope: Slope, name: &str) -> Result<Figure, String> {
        let experiment = experiment_name(slope);
        let samples = results::samples(self.points(slope), name);
        let fit = fit::fit(&samples)
            .ok_or_else(|| format!("{experiment}: expected runs with '{name}', found none"))?;
        if fit.shape != fit::Shape::Linear {
            return Err(format!(
                "{experiment}: expected a linear fit of '{name}', found one of the shape {}",
                fit.shape.name()
            ));
        }
        let is_conclusive =
            fit::held_out(&samples).is_some_and(|held_out| held_out.supports_extrapolation(&fit));
        let steps = format!("{} per unit of N (slope of {})", short(fit.slope), formula(&fit));
        Ok(Figure { value: fit.slope, steps, is_conclusive, experiment })
    }
}

/// Returns the value at `size`, its derivation, and `true` if it is conclusive.
fn estimate_at(samples: &[Sample], size: f64) -> (f64, String, bool) {
    let means = fit::by_size(samples);
    let (first, last) = (means[0], means[means.len() - 1]);
    let format_size = |size: f64| if size < 1e6 { format!("{size:.0}") } else { short(size) };
    if let Some((_, mean, _)) = means.iter().find(|(measured, ..)| *measured == size) {
        return (*mean, format!("{} measured at {}", short(*mean), format_size(size)), true);
    }
    if size < first.0 {
        let steps = format!("{} measured at {}, the smallest size", short(first.1), format_size(first.0));
        return (first.1, steps, true);
    }
    if let Some(pair) = means.windows(2).find(|pair| size < pair[1].0) {
        let (low, high) = (pair[0], pair[1]);
        let fraction = (size - low.0) / (high.0 - low.0);
        let value = low.1 + (high.1 - low.1) * fraction;
        let steps = format!(
            "{} between {} at {} and {} at {}",
            short(value),
            short(low.1),
            format_size(low.0),
            short(high.1),
            format_size(high.0)
        );
        return (value, steps, true);
    }
    match (fit::fit(samples), fit::held_out(samples)) {
        (Some(fit), Some(held_out)) if held_out.supports_extrapolation(&fit) => {
            let value = fit.value_at(size);
            (value, format!("{} at N = {}: {}", formula(&fit), format_size(size), short(value)), true)
        }
        _ => {
            let steps = format!(
                "at least {}, measured at {}; no fit predicts the held-out size, so nothing is extrapolated",
                short(last.1),
                format_size(last.0)
            );
            (last.1, steps, false)
        }
    }
}
