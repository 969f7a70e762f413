//! Fits of a figure against a size: selects one of four shapes, and checks how well the smaller sizes predict the
//! largest.
//!
//! Sizes are spaced by factors, so fits minimize relative errors; otherwise the largest sizes would outweigh the others.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum ratio of a shape's prediction error to that of a simpler shape at which it replaces the simpler one.
const MAX_ERROR_RATIO: f64 = 0.8;
/// Maximum relative difference of an accurate prediction from the measured mean.
const MAX_RELATIVE_DIFFERENCE: f64 = 0.15;

/// Growth of a figure with a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// No growth.
    Flat,
    /// Growth in proportion to the size.
    Linear,
    /// Growth in proportion to the size and its logarithm.
    NLogN,
    /// Growth in proportion to the square of the size.
    Quadratic,
}

impl Shape {
    /// All shapes, the simplest first.
    pub const ALL: [Shape; 4] = [Self::Flat, Self::Linear, Self::NLogN, Self::Quadratic];

    /// Returns the name for tables and charts.
    pub fn name(self) -> &'static str {
        match self {
            Self::Flat => "flat",
            Self::Linear => "linear",
            Self::NLogN => "N log N",
            Self::Quadratic => "quadratic",
        }
    }

    /// Returns the term that is multiplied by the slope; zero for a flat shape.
    fn term(self, size: f64) -> f64 {
        match self {
            Self::Flat => 0.0,
            Self::Linear => size,
            Self::NLogN => size * size.max(1.0).ln(),
            Self::Quadratic => size * size,
        }
    }
}

/// Measured value of a figure at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Size, in the unit of its experiment.
    pub size: f64,
    /// Value of the figure, in the unit that its name says.
    pub value: f64,
}

/// Fitted function of the size: `fixed + slope * term`, where the shape determines the term.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Shape of the function.
    pub shape: Shape,
    /// Part that does not depend on the size, at least 0.
    pub fixed: f64,
    /// Factor of the shape's term, at least 0; 0 for a flat shape.
    pub slope: f64,
    /// Root mean square of the relative differences between the samples and the function.
    pub spread: f64,
}

impl Fit {
    /// Returns the value of the function at `size`.
    pub fn value_at(&self, size: f64) -> f64 {
        self.fixed + self.slope * self.shape.term(size)
    }
}

/// Returns the minimum magnitude of the nonzero values, or 1 without any; relative errors of zeros are relative to it.
fn min_magnitude(samples: &[Sample]) -> f64 {
    let min = samples.iter().map(|sample| sample.value.abs()).filter(|value| *value > 0.0).reduce(f64::min);
    min.unwrap_or(1.0)
}

fn relative_error(fit: &Fit, sample: &Sample, min_magnitude: f64) -> f64 {
    (fit.value_at(sample.size) - sample.value) / sample.value.abs().max(min_magnitude)
}

fn root_mean_square(errors: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = errors.fold((0.0, 0u32), |(sum, count), error| (sum + error * error, count + 1));
    (sum / f64::from(count.max(1))).sqrt()
}

/// Returns the function of one shape with the minimum relative errors.
///
/// Neither its fixed part nor its slope is negative, as costs never are.
fn fit_shape(shape: Shape, samples: &[Sample]) -> Fit {
    let min_magnitude = min_magnitude(samples);
    let (mut s_w, mut s_g, mut s_gg, mut s_y, mut s_gy) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for sample in samples {
        let weight = sample.value.abs().max(min_magnitude).powi(-2);
        let term = shape.term(sample.size);
        s_w += weight;
        s_g += weight * term;
        s_gg += weight * term * term;
        s_y += weight * sample.value;
        s_gy += weight * term * sample.value;
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
    fit.spread = root_mean_square(samples.iter().map(|sample| relative_error(&fit, sample, min_magnitude)));
    fit
}

/// Returns the distinct sizes of the samples in increasing order.
fn sizes(samples: &[Sample]) -> Vec<f64> {
    let mut sizes: Vec<f64> = samples.iter().map(|sample| sample.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes
}

/// Returns the root mean square relative error of predicting each size from the others.
fn prediction_error(shape: Shape, samples: &[Sample]) -> f64 {
    let min_magnitude = min_magnitude(samples);
    let errors = sizes(samples).into_iter().flat_map(|left_out| {
        let (out, others): (Vec<Sample>, Vec<Sample>) =
            samples.iter().copied().partition(|sample| sample.size == left_out);
        let fit = fit_shape(shape, &others);
        out.into_iter().map(move |sample| relative_error(&fit, &sample, min_magnitude))
    });
    root_mean_square(errors)
}

/// Returns the fit of the simplest shape whose prediction error no more complex shape reduces to less than
/// `MAX_ERROR_RATIO` of it.
///
/// Returns `None` without samples of at least two sizes.
pub fn fit(samples: &[Sample]) -> Option<Fit> {
    if sizes(samples).len() < 2 {
        return None;
    }
    let mut best = (Shape::Flat, prediction_error(Shape::Flat, samples));
    for shape in &Shape::ALL[1..] {
        let error = prediction_error(*shape, samples);
        if error < best.1 * MAX_ERROR_RATIO {
            best = (*shape, error);
        }
    }
    Some(fit_shape(best.0, samples))
}

/// Prediction of the largest size from the others, with the value measured there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldOut {
    /// Largest size of the samples.
    pub size: f64,
    /// Fit of the samples of all smaller sizes.
    pub fit: Fit,
    /// Predicted value at the largest size.
    pub predicted: f64,
    /// Mean of the values measured at the largest size.
    pub measured: f64,
}

impl HeldOut {
    /// Returns the relative difference of the predicted value from the measured one, negative if it is too low.
    pub fn difference(&self) -> f64 {
        if self.measured == 0.0 && self.predicted == 0.0 { 0.0 } else { self.predicted / self.measured - 1.0 }
    }

    /// Returns `true` if the predicted value differs from the measured one by at most `MAX_RELATIVE_DIFFERENCE`.
    pub fn is_accurate(&self) -> bool {
        self.difference().abs() <= MAX_RELATIVE_DIFFERENCE
    }

    /// Returns `true` if `all`, the fit of all sizes, may be used beyond the largest one.
    ///
    /// This requires that the prediction is accurate and that both fits have the same shape.
    pub fn supports_extrapolation(&self, all: &Fit) -> bool {
        self.is_accurate() && self.fit.shape == all.shape
    }
}

/// Predicts the largest size from the others; `None` with fewer than three sizes.
pub fn held_out(samples: &[Sample]) -> Option<HeldOut> {
    let largest = *sizes(samples).last()?;
    let (out, others): (Vec<Sample>, Vec<Sample>) =
        samples.iter().copied().partition(|sample| sample.size == largest);
    let fit = fit(&others)?;
    let measured = out.iter().map(|sample| sample.value).sum::<f64>() / out.len() as f64;
    Some(HeldOut { size: largest, fit, predicted: fit.value_at(largest), measured })
}

/// Returns for each size, in increasing order: the size, the mean of its samples, and half of their range as a share of
/// the mean.
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
