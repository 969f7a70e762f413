use super::*;

const SIZES: [f64; 6] = [10.0, 100.0, 1_000.0, 10_000.0, 100_000.0, 1_000_000.0];
/// Differences of two plays from the mean, as seen on a busy machine.
const PLAYS: [f64; 2] = [0.97, 1.03];

fn samples(value: impl Fn(f64) -> f64) -> Vec<Sample> {
    SIZES.into_iter().flat_map(|size| PLAYS.map(|by| Sample { size, value: value(size) * by })).collect()
}

#[test]
fn each_shape_is_named_after_what_made_it() {
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
fn a_line_gives_back_its_own_figures() {
    let found = fit(&samples(|size| 500.0 + 3.0 * size)).unwrap();
    assert!((found.slope / 3.0 - 1.0).abs() < 0.01, "{found:?}");
    assert!((found.fixed / 500.0 - 1.0).abs() < 0.01, "{found:?}");
    assert!((found.spread - 0.03).abs() < 0.005, "{found:?}");
    assert!((found.at(2e6) / 6e6 - 1.0).abs() < 0.01);
}

#[test]
fn a_simpler_shape_stays_unless_another_is_clearly_better() {
    let noise = [1.0, 1.04, 0.97, 1.02, 1.05, 0.99];
    let samples: Vec<_> =
        SIZES.iter().zip(noise).map(|(size, by)| Sample { size: *size, value: 4.0 * by }).collect();
    assert_eq!(fit(&samples).unwrap().shape, Shape::Flat);
}

#[test]
fn neither_part_of_a_fit_is_below_zero() {
    let falling: Vec<_> = SIZES.map(|size| Sample { size, value: 1_000.0 / size }).into();
    for shape in Shape::ALL {
        let fit = fit_shape(shape, &falling);
        assert!(fit.fixed >= 0.0 && fit.slope >= 0.0, "{fit:?}");
    }
    let late = fit_shape(Shape::Linear, &samples(|size| (size - 9.0).max(0.0)));
    assert!(late.fixed >= 0.0, "{late:?}");
}

#[test]
fn the_largest_size_is_predicted_from_the_others_alone() {
    let held = held_out(&samples(|size| 70.0 + 0.02 * size)).unwrap();
    assert_eq!(held.size, 1e6);
    assert!(held.holds(), "{held:?}");
    let mut bent = samples(|size| 70.0 + 0.02 * size);
    bent.iter_mut().filter(|sample| sample.size == 1e6).for_each(|sample| sample.value *= 3.0);
    let held = held_out(&bent).unwrap();
    assert!(!held.holds() && (held.difference() + 0.667).abs() < 0.01, "{held:?}");
}

#[test]
fn a_prediction_by_another_shape_carries_nothing() {
    let samples = samples(|size| 70.0 + 0.02 * size);
    let (held, all) = (held_out(&samples).unwrap(), fit(&samples).unwrap());
    assert!(held.carries(&all));
    assert!(!held.carries(&Fit { shape: Shape::Quadratic, ..all }));
    assert!(!HeldOut { measured: held.predicted * 2.0, ..held }.carries(&all));
}

#[test]
fn too_few_sizes_show_no_shape() {
    let one = [Sample { size: 10.0, value: 1.0 }; 4];
    assert_eq!(fit(&one), None);
    assert_eq!(held_out(&[one[0], Sample { size: 100.0, value: 1.0 }]), None);
    assert_eq!(held_out(&[]), None);
}

#[test]
fn zeros_are_flat() {
    let found = fit(&samples(|_| 0.0)).unwrap();
    assert_eq!((found.shape, found.fixed, found.slope), (Shape::Flat, 0.0, 0.0));
    assert_eq!(held_out(&samples(|_| 0.0)).unwrap().difference(), 0.0);
}

#[test]
fn samples_of_one_size_are_told_by_mean_and_half_range() {
    let rows = by_size(&samples(|_| 10.0));
    assert_eq!(rows.len(), SIZES.len());
    assert!((rows[0].1 - 10.0).abs() < 1e-9 && (rows[0].2 - 0.03).abs() < 1e-9);
}
