use super::*;

#[test]
fn a_spread_tells_what_was_put_in_also_when_joined() {
    let (mut one, mut other) = (Spread::default(), Spread::default());
    (1..=50).for_each(|n| one.put(f64::from(n) * 100.0));
    (51..=100).for_each(|n| other.put(f64::from(n) * 100.0));
    one.join(&other);
    assert_eq!((one.count(), one.most()), (100, Some(10_000.0)));
    let (middle, mean) = (one.at(0.5).unwrap(), one.mean().unwrap());
    assert!((middle - 5000.0).abs() < 10.0 && (mean - 5050.0).abs() < 0.01, "{middle} {mean}");
}

#[test]
fn a_spread_with_nothing_in_it_has_no_figures() {
    let mut empty = Spread::default();
    assert_eq!((empty.at(0.5), empty.most(), empty.mean()), (None, None, None));
    empty.join(&Spread::default());
    assert_eq!((empty.count(), empty.at(0.99)), (0, None));
    empty.put(0.0);
    assert_eq!((empty.at(0.5), empty.most(), empty.mean()), (Some(0.0), Some(0.0), Some(0.0)));
}

#[test]
fn a_line_is_fitted_with_its_error_and_what_it_explains() {
    let exact = Fit::of(&[(9.0, 118.0), (30.0, 160.0), (90.0, 280.0)]).unwrap();
    assert!((exact.slope - 2.0).abs() < 1e-9 && (exact.intercept - 100.0).abs() < 1e-9, "{exact:?}");
    assert!(
        exact.slope_error < 1e-9 && exact.r_squared > 1.0 - 1e-12 && (exact.at(900.0) - 1900.0).abs() < 1e-6
    );
    // Worked out by hand: means 2.5 and 3.5, sums of squares 5 and 11, of products 7; unexplained 1.2.
    let loose = Fit::of(&[(1.0, 2.0), (2.0, 2.0), (3.0, 4.0), (4.0, 6.0)]).unwrap();
    assert!((loose.slope - 1.4).abs() < 1e-9 && loose.intercept.abs() < 1e-9, "{loose:?}");
    assert!((loose.r_squared - 9.8 / 11.0).abs() < 1e-9 && (loose.slope_error - 0.12f64.sqrt()).abs() < 1e-9);
    assert!((loose.slope_bar() - 4.302_65 * 0.12f64.sqrt()).abs() < 1e-3, "{}", loose.slope_bar());
}

#[test]
fn too_few_points_and_no_numbers_give_no_line() {
    for points in
        [vec![(1.0, 1.0), (2.0, 2.0)], vec![(5.0, 1.0); 4], vec![(1.0, 1.0), (2.0, f64::NAN), (3.0, 1.0)]]
    {
        assert_eq!(Fit::of(&points), None, "{points:?}");
    }
}

#[test]
fn equal_pairs_are_not_told_apart_and_better_ones_are() {
    let noise: Vec<f64> = (0..20).map(|n| f64::from(n % 5) - 2.0).collect();
    assert!(!compared(&noise).told);
    let better: Vec<f64> = noise.iter().map(|d| d + 3.0).collect();
    let found = compared(&better);
    assert!(found.told && (found.mean - 3.0).abs() < 0.01 && found.bar < 1.0, "{found:?}");
    assert!(!compared(&[5.0, 5.0]).told);
}
