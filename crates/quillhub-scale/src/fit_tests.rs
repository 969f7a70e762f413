use super::*;

const SIZES: [f64; 6] = [10.0, 100.0, 1_000.0, 10_000.0, 100_000.0, 1_000_000.0];
/// Ratios of two repetitions to their mean, as on a busy machine.
const NOISE: [f64; 2] = [0.97, 1.03];

fn samples(value: impl Fn(f64) -> f64) -> Vec<Sample> {
    SIZES
        .into_iter()
        .flat_map(|size| NOISE.map(|ratio| Sample { size, value: value(size) * ratio }))
        .collect()
}

#[test]
fn samples_of_a_shape_are_fitted_by_that_shape() {
    for (shape, value) in [
        (Shape::Flat, &(|_| 70.0) as &dyn Fn(f64) -> f64),
        (Shape::Linear, &|size| 70.0 + 0.02 * size),
        (Shape::NLogN, &|size: f64| 70.0 + 0.02 * size * size.ln()),
        (Shape::Quadratic, &|size| 70.0 + 1e-4 * size * size),
    ] {
        assert_eq!(fit(&samples(value)).unwrap().shape, shape);
    }
}

#[test]
fn a_fit_of_a_line_has_the_fixed_part_slope_and_spread_of_its_samples() {
    let found = fit(&samples(|size| 500.0 + 3.0 * size)).unwrap();
    assert!((found.slope / 3.0 - 1.0).abs() < 0.01, "{found:?}");
    assert!((found.fixed / 500.0 - 1.0).abs() < 0.01, "{found:?}");
    assert!((found.spread - 0.03).abs() < 0.005, "{found:?}");
    assert!((found.value_at(2e6) / 6e6 - 1.0).abs() < 0.01);
}

// Shapes with a slope fit noise slightly better than a flat one; selecting them would predict growth that is not there.
#[test]
fn noise_alone_does_not_select_a_growing_shape() {
    let noise = [1.0, 1.04, 0.97, 1.02, 1.05, 0.99];
    let samples: Vec<_> =
        SIZES.iter().zip(noise).map(|(size, ratio)| Sample { size: *size, value: 4.0 * ratio }).collect();
    assert_eq!(fit(&samples).unwrap().shape, Shape::Flat);
}

#[test]
fn neither_the_fixed_part_nor_the_slope_of_a_fit_is_negative() {
    let falling: Vec<_> = SIZES.map(|size| Sample { size, value: 1_000.0 / size }).into();
    for shape in Shape::ALL {
        let fit = fit_shape(shape, &falling);
        assert!(fit.fixed >= 0.0 && fit.slope >= 0.0, "{fit:?}");
    }
    let offset = fit_shape(Shape::Linear, &samples(|size| (size - 9.0).max(0.0)));
    assert!(offset.fixed >= 0.0, "{offset:?}");
}

#[test]
fn the_largest_size_is_predicted_from_the_others_alone() {
    let held = held_out(&samples(|size| 70.0 + 0.02 * size)).unwrap();
    assert_eq!(held.size, 1e6);
    assert!(held.is_accurate(), "{held:?}");
    let mut steeper_at_end = samples(|size| 70.0 + 0.02 * size);
    steeper_at_end.iter_mut().filter(|sample| sample.size == 1e6).for_each(|sample| sample.value *= 3.0);
    let held = held_out(&steeper_at_end).unwrap();
    assert!(!held.is_accurate() && (held.difference() + 0.667).abs() < 0.01, "{held:?}");
}

#[test]
fn a_prediction_of_another_shape_or_an_inaccurate_one_supports_no_extrapolation() {
    let samples = samples(|size| 70.0 + 0.02 * size);
    let (held, all) = (held_out(&samples).unwrap(), fit(&samples).unwrap());
    assert!(held.supports_extrapolation(&all));
    assert!(!held.supports_extrapolation(&Fit { shape: Shape::Quadratic, ..all }));
    assert!(!HeldOut { measured: held.predicted * 2.0, ..held }.supports_extrapolation(&all));
}

#[test]
fn fewer_than_two_sizes_have_no_fit_and_fewer_than_three_no_prediction() {
    let one_size = [Sample { size: 10.0, value: 1.0 }; 4];
    assert_eq!(fit(&one_size), None);
    assert_eq!(held_out(&[one_size[0], Sample { size: 100.0, value: 1.0 }]), None);
    assert_eq!(held_out(&[]), None);
}

#[test]
fn samples_that_are_all_zero_have_a_flat_fit() {
    let found = fit(&samples(|_| 0.0)).unwrap();
    assert_eq!((found.shape, found.fixed, found.slope), (Shape::Flat, 0.0, 0.0));
    assert_eq!(held_out(&samples(|_| 0.0)).unwrap().difference(), 0.0);
}

#[test]
fn samples_of_one_size_are_summarized_by_mean_and_half_range() {
    let rows = by_size(&samples(|_| 10.0));
    assert_eq!(rows.len(), SIZES.len());
    assert!((rows[0].1 - 10.0).abs() < 1e-9 && (rows[0].2 - 0.03).abs() < 1e-9);
}
