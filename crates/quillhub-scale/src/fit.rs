//! Fits of a figure against a size: which of four shapes it has, and how well the largest size is predicted from the
//! others.
//!
//! Sizes are spaced by factors, so each point counts by its relative error: no size outweighs the others.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A shape counts as better than a simpler one if it lowers the error of prediction to this part.
const BETTER: f64 = 0.8;
/// The difference that a held-out prediction should stay within.
pub const AIM: f64 = 0.15;

/// How a figure grows with a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Not at all.
    Flat,
    /// By the same amount for each.
    Linear,
    /// By an amount for each that grows with the logarithm of all.
    NLogN,
    /// By an amount for each that grows with all.
    Quadratic,
}

impl Shape {
    /// From the simplest on.
    pub const ALL: [Shape; 4] = [Self::Flat, Self::Linear, Self::NLogN, Self::Quadratic];

    /// In words.
    pub fn name(self) -> &'static str {
        match self {
            Self::Flat => "flat",
            Self::Linear => "linear",
            Self::NLogN => "N log N",
            Self::Quadratic => "quadratic",
        }
    }

    /// What grows with the size; nothing in a flat shape.
    fn basis(self, size: f64) -> f64 {
        match self {
            Self::Flat => 0.0,
            Self::Linear => size,
            Self::NLogN => size * size.max(1.0).ln(),
            Self::Quadratic => size * size,
        }
    }
}

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The size.
    pub size: f64,
    /// The figure at that size.
    pub value: f64,
}

/// A fitted line: `fixed + slope * basis(size)`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// How it grows.
    pub shape: Shape,
    /// What does not depend on the size.
    pub fixed: f64,
    /// What each unit of the shape adds.
    pub slope: f64,
    /// Root mean square of the relative differences between the samples and the line.
    pub spread: f64,
}

impl Fit {
    /// The figure at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.slope * self.shape.basis(size)
    }
}

/// The least value there is but zero, as which a zero counts in relative errors.
fn scale(samples: &[Sample]) -> f64 {
    let least = samples.iter().map(|sample| sample.value.abs()).filter(|value| *value > 0.0).reduce(f64::min);
    least.unwrap_or(1.0)
}

fn relative(fit: &Fit, sample: &Sample, least: f64) -> f64 {
    (fit.at(sample.size) - sample.value) / sample.value.abs().max(least)
}

fn root_mean_square(errors: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = errors.fold((0.0, 0u32), |(sum, count), error| (sum + error * error, count + 1));
    (sum / f64::from(count.max(1))).sqrt()
}

/// The line of one shape with the least relative errors; neither part is below zero, as no cost is.
pub fn fit_shape(shape: Shape, samples: &[Sample]) -> Fit {
    let least = scale(samples);
    let (mut s_w, mut s_g, mut s_gg, mut s_y, mut s_gy) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for sample in samples {
        let weight = sample.value.abs().max(least).powi(-2);
        let basis = shape.basis(sample.size);
        s_w += weight;
        s_g += weight * basis;
        s_gg += weight * basis * basis;
        s_y += weight * sample.value;
        s_gy += weight * basis * sample.value;
    }
    let flat = (if s_w > 0.0 { s_y / s_w } else { 0.0 }, 0.0);
    let through_zero = (0.0, if s_gg > 0.0 { s_gy / s_gg } else { 0.0 });
    let determinant = s_w * s_gg - s_g * s_g;
    let both = if shape == Shape::Flat || determinant <= f64::EPSILON * s_w * s_gg {
        flat
    } else {
        ((s_gg * s_y - s_g * s_gy) / determinant, (s_w * s_gy - s_g * s_y) / determinant)
    };
    let (fixed, slope) = match both {
        (_, slope) if slope < 0.0 => flat,
        (fixed, _) if fixed < 0.0 => through_zero,
        both => both,
    };
    let mut fit = Fit { shape, fixed, slope, spread: 0.0 };
    fit.spread = root_mean_square(samples.iter().map(|sample| relative(&fit, sample, least)));
    fit
}

/// The sizes there are, rising.
fn sizes(samples: &[Sample]) -> Vec<f64> {
    let mut sizes: Vec<f64> = samples.iter().map(|sample| sample.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes
}

/// The error of predicting each size from the others.
fn prediction_error(shape: Shape, samples: &[Sample]) -> f64 {
    let least = scale(samples);
    let errors = sizes(samples).into_iter().flat_map(|left_out| {
        let (out, others): (Vec<Sample>, Vec<Sample>) =
            samples.iter().copied().partition(|sample| sample.size == left_out);
        let fit = fit_shape(shape, &others);
        out.into_iter().map(move |sample| relative(&fit, &sample, least))
    });
    root_mean_square(errors)
}

/// The simplest shape that no other predicts clearly better than; nothing without samples of two sizes.
pub fn fit(samples: &[Sample]) -> Option<Fit> {
    if sizes(samples).len() < 2 {
        return None;
    }
    let mut best = (Shape::Flat, prediction_error(Shape::Flat, samples));
    for shape in &Shape::ALL[1..] {
        let error = prediction_error(*shape, samples);
        if error < best.1 * BETTER {
            best = (*shape, error);
        }
    }
    Some(fit_shape(best.0, samples))
}

/// The largest size as predicted from the others, beside what was measured there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldOut {
    /// The largest size.
    pub size: f64,
    /// The fit of the others.
    pub fit: Fit,
    /// What it predicts.
    pub predicted: f64,
    /// Mean of what was measured.
    pub measured: f64,
}

impl HeldOut {
    /// Predicted over measured, less one.
    pub fn difference(&self) -> f64 {
        if self.measured == 0.0 && self.predicted == 0.0 { 0.0 } else { self.predicted / self.measured - 1.0 }
    }

    /// Whether the largest size is predicted within the aim.
    pub fn holds(&self) -> bool {
        self.difference().abs() <= AIM
    }

    /// Whether `all`, the fit of all sizes, may be relied upon beyond them: the others predict the largest, and by
    /// the same shape.
    pub fn carries(&self, all: &Fit) -> bool {
        self.holds() && self.fit.shape == all.shape
    }
}

/// Fits all sizes but the largest, then looks at that one; nothing with fewer than three sizes.
pub fn held_out(samples: &[Sample]) -> Option<HeldOut> {
    let largest = *sizes(samples).last()?;
    let (out, others): (Vec<Sample>, Vec<Sample>) =
        samples.iter().copied().partition(|sample| sample.size == largest);
    let fit = fit(&others)?;
    let measured = out.iter().map(|sample| sample.value).sum::<f64>() / out.len() as f64;
    Some(HeldOut { size: largest, fit, predicted: fit.at(largest), measured })
}

/// Mean of the samples of each size, and half of the range between the least and the most of them over the mean.
pub fn by_size(samples: &[Sample]) -> Vec<(f64, f64, f64)> {
    let mut groups: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for sample in samples {
        groups.entry(sample.size as u64).or_default().push(sample.value);
    }
    let row = |(size, values): (u64, Vec<f64>)| {
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let low = values.iter().copied().fold(f64::MAX, f64::min);
        let high = values.iter().copied().fold(f64::MIN, f64::max);
        (size as f64, mean, if mean == 0.0 { 0.0 } else { (high - low) / 2.0 / mean })
    };
    groups.into_iter().map(row).collect()
}

#[cfg(test)]
#[path = "fit_tests.rs"]
mod tests;
