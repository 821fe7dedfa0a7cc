use super::*;

#[test]
fn a_spread_tells_what_was_put_in_also_when_joined() {
    let (mut one, mut other) = (Spread::default(), Spread::default());
    (1..=50).for_each(|n| one.put(f64::from(n) * 100.0));
    (51..=100).for_each(|n| other.put(f64::from(n) * 100.0));
    one.join(&other);
    assert_eq!((one.count(), one.most()), (100, 10_000.0));
    assert!((one.at(0.5) - 5000.0).abs() < 10.0 && (one.mean() - 5050.0).abs() < 0.01, "{}", one.at(0.5));
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
