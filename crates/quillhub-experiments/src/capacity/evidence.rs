//! Figures of the kept runs, read at any size: between two measured sizes, or beyond the largest by a fit that holds.

use crate::scale::{formula, short};
use quillhub_scale::fit::{self, Sample};
use quillhub_scale::plan::Slope;
use quillhub_scale::results::{self, Point};
use std::collections::BTreeMap;
use std::path::Path;

/// A figure at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Its value; a lower bound if not `firm`.
    pub value: f64,
    /// How it was found, in words.
    pub steps: String,
    /// Whether it was measured or predicted by a fit that holds.
    pub firm: bool,
    /// The experiment.
    pub run: String,
}

/// The experiment that found how much one instance carries.
const KNEE: &str = "socket-knee";
/// Share of the messages within their soft deadline up to which a rate counts as carried.
const IN_TIME: f64 = 0.99;

/// The kept runs of all slopes, and of the load on one instance.
pub struct Evidence {
    slopes: BTreeMap<Slope, Vec<Point>>,
    /// Steps of that load: messages a second, and the share of them in time.
    steps: Vec<(f64, f64)>,
}

/// The name of a slope's experiment.
pub fn experiment(slope: Slope) -> String {
    format!("scale-{}", slope.name())
}

impl Evidence {
    /// Of these points.
    pub fn of(points: impl IntoIterator<Item = Point>) -> Self {
        let mut slopes: BTreeMap<Slope, Vec<Point>> = BTreeMap::new();
        for point in points {
            slopes.entry(point.slope).or_default().push(point);
        }
        Self { slopes, steps: Vec::new() }
    }

    /// With the steps of a load on one instance, as its results have them.
    pub fn with_load(mut self, text: &str) -> Result<Self, String> {
        for (at, line) in text.lines().enumerate() {
            let step: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
            let found = (step["rate"].as_f64(), step["figures"]["in contract"].as_f64());
            let (Some(rate), Some(in_time)) = found else {
                return Err(format!("{}: expected a step of a load as JSON, found '{line}'", at + 1));
            };
            self.steps.push((rate, in_time));
        }
        Ok(self)
    }

    /// The highest rate that one instance carried.
    pub fn carried(&self) -> Result<Figure, String> {
        let carried = self.steps.iter().filter(|(_, in_time)| *in_time >= IN_TIME).map(|(rate, _)| *rate);
        let value = carried.reduce(f64::max).ok_or(format!("{KNEE}: expected steps in time, found none"))?;
        let steps = format!("{} carried, {}% of it in time", short(value), IN_TIME * 100.0);
        Ok(Figure { value, steps, firm: true, run: KNEE.into() })
    }

    /// Of the runs kept below `results`.
    pub fn read(results: &Path) -> Result<Self, String> {
        let mut points = Vec::new();
        for slope in Slope::ALL {
            points.extend(results::read(&results.join(experiment(slope)))?);
        }
        let load = results.join(KNEE).join("load.jsonl");
        let text = std::fs::read_to_string(&load).map_err(|e| format!("{}: {e}", load.display()))?;
        Self::of(points).with_load(&text).map_err(|what| format!("{}:{what}", load.display()))
    }

    /// All points of a slope.
    pub fn points(&self, slope: Slope) -> &[Point] {
        self.slopes.get(&slope).map_or(&[], Vec::as_slice)
    }

    /// The figure `name` of `slope` at `size`; an error if no run has it.
    pub fn at(&self, slope: Slope, name: &str, size: f64) -> Result<Figure, String> {
        let samples = results::samples(self.points(slope), name);
        let run = experiment(slope);
        if samples.is_empty() {
            return Err(format!("{run}: expected runs with '{name}', found none"));
        }
        let (value, steps, firm) = read_at(&samples, size);
        Ok(Figure { value, steps, firm, run })
    }

    /// The largest size whose figure `name` is at least `least` on average; an error if none is.
    pub fn largest(&self, slope: Slope, name: &str, least: f64) -> Result<Figure, String> {
        let run = experiment(slope);
        let means = fit::by_size(&results::samples(self.points(slope), name));
        let enough = means.iter().filter(|(_, mean, _)| *mean >= least).map(|(size, ..)| *size);
        let value = enough.reduce(f64::max);
        let value = value.ok_or_else(|| format!("{run}: expected '{name}' of {least}, found less"))?;
        let steps = format!("{value:.0} is the largest size with {name} of {} at least", short(least));
        Ok(Figure { value, steps, firm: true, run })
    }

    /// What each unit of size adds to the figure `name`, by its fit; an error if it grows otherwise.
    pub fn each(&self, slope: Slope, name: &str) -> Result<Figure, String> {
        let run = experiment(slope);
        let samples = results::samples(self.points(slope), name);
        let fit =
            fit::fit(&samples).ok_or_else(|| format!("{run}: expected runs with '{name}', found none"))?;
        if fit.shape != fit::Shape::Linear {
            return Err(format!("{run}: expected '{name}' to be linear, found it {}", fit.shape.name()));
        }
        let firm = fit::held_out(&samples).is_some_and(|held| held.supports_extrapolation(&fit));
        let steps = format!("{} for each (slope of {})", short(fit.slope), formula(&fit));
        Ok(Figure { value: fit.slope, steps, firm, run })
    }
}

/// Value, how it was found, and whether it is firm.
fn read_at(samples: &[Sample], size: f64) -> (f64, String, bool) {
    let means = fit::by_size(samples);
    let (first, last) = (means[0], means[means.len() - 1]);
    let unit = |size: f64| if size < 1e6 { format!("{size:.0}") } else { short(size) };
    if let Some((_, mean, _)) = means.iter().find(|(measured, ..)| *measured == size) {
        return (*mean, format!("{} measured at {}", short(*mean), unit(size)), true);
    }
    if size < first.0 {
        let steps = format!("{} measured at {}, the least size", short(first.1), unit(first.0));
        return (first.1, steps, true);
    }
    if let Some(pair) = means.windows(2).find(|pair| size < pair[1].0) {
        let (low, high) = (pair[0], pair[1]);
        let part = (size - low.0) / (high.0 - low.0);
        let value = low.1 + (high.1 - low.1) * part;
        let steps = format!(
            "{} between {} at {} and {} at {}",
            short(value),
            short(low.1),
            unit(low.0),
            short(high.1),
            unit(high.0)
        );
        return (value, steps, true);
    }
    match (fit::fit(samples), fit::held_out(samples)) {
        (Some(fit), Some(held)) if held.supports_extrapolation(&fit) => {
            let value = fit.value_at(size);
            (value, format!("{} at N = {}: {}", formula(&fit), unit(size), short(value)), true)
        }
        _ => {
            let steps = format!(
                "at least {}, measured at {}; no fit holds at the held-out size, nothing is extrapolated",
                short(last.1),
                unit(last.0)
            );
            (last.1, steps, false)
        }
    }
}
