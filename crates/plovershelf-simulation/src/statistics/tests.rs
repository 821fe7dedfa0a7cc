use super::*;

#[test]
fn a_joined_spread_has_the_statistics_of_all_values() {
    let (mut joined, mut other) = (SampleDistribution::default(), SampleDistribution::default());
    (1..=50).for_each(|n| joined.put(f64::from(n) * 100.0));
    (51..=100).for_each(|n| other.put(f64::from(n) * 100.0));
    joined.join(&other);
    assert_eq!((joined.count(), joined.most()), (100, Some(10_000.0)));
    let (median, mean) = (joined.at(0.5).unwrap(), joined.mean().unwrap());
    assert!((median - 5000.0).abs() < 10.0 && (mean - 5050.0).abs() < 0.01, "{median} {mean}");
}

#[test]
fn an_empty_spread_has_no_mean_maximum_or_quantile() {
    let mut empty = SampleDistribution::default();
    assert_eq!((empty.at(0.5), empty.most(), empty.mean()), (None, None, None));
    empty.join(&SampleDistribution::default());
    assert_eq!((empty.count(), empty.at(0.99)), (0, None));
    empty.put(0.0);
    assert_eq!((empty.at(0.5), empty.most(), empty.mean()), (Some(0.0), Some(0.0), Some(0.0)));
}

#[test]
fn a_fit_has_slope_intercept_standard_error_and_r_squared() {
    let exact = Fit::of(&[(9.0, 118.0), (30.0, 160.0), (90.0, 280.0)]).unwrap();
    assert!((exact.slope - 2.0).abs() < 1e-9 && (exact.intercept - 100.0).abs() < 1e-9, "{exact:?}");
    assert!(
        exact.slope_error < 1e-9 && exact.r_squared > 1.0 - 1e-12 && (exact.at(900.0) - 1900.0).abs() < 1e-6
    );
    // Calculated by hand: means 2.5 and 3.5, sums of squares 5 and 11, sum of products 7, residual sum of squares 1.2.
    let inexact = Fit::of(&[(1.0, 2.0), (2.0, 2.0), (3.0, 4.0), (4.0, 6.0)]).unwrap();
    assert!((inexact.slope - 1.4).abs() < 1e-9 && inexact.intercept.abs() < 1e-9, "{inexact:?}");
    assert!(
        (inexact.r_squared - 9.8 / 11.0).abs() < 1e-9 && (inexact.slope_error - 0.12f64.sqrt()).abs() < 1e-9
    );
    assert!((inexact.slope_bar() - 4.302_65 * 0.12f64.sqrt()).abs() < 1e-3, "{}", inexact.slope_bar());
}

#[test]
fn too_few_points_equal_x_values_or_nan_give_no_fit() {
    for points in
        [vec![(1.0, 1.0), (2.0, 2.0)], vec![(5.0, 1.0); 4], vec![(1.0, 1.0), (2.0, f64::NAN), (3.0, 1.0)]]
    {
        assert_eq!(Fit::of(&points), None, "{points:?}");
    }
}

#[test]
fn only_a_difference_beyond_the_noise_is_significant() {
    let noise: Vec<f64> = (0..20).map(|n| f64::from(n % 5) - 2.0).collect();
    assert!(!compared(&noise).told);
    let shifted: Vec<f64> = noise.iter().map(|d| d + 3.0).collect();
    let result = compared(&shifted);
    assert!(result.told && (result.mean - 3.0).abs() < 0.01 && result.bar < 1.0, "{result:?}");
    assert!(!compared(&[5.0, 5.0]).told);
}
