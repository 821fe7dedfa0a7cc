use super::*;

#[test]
fn the_quickest_is_forgotten_after_its_span() {
    let mut quickest = Quickest::new(100.0);
    quickest.learn(0.0, 5.0);
    quickest.learn(10.0, 50.0);
    assert_eq!(quickest.of_late(90.0), Some(5.0));
    quickest.learn(120.0, 50.0);
    assert_eq!(quickest.of_late(150.0), Some(5.0));
    quickest.learn(210.0, 60.0);
    assert_eq!(quickest.of_late(220.0), Some(50.0));
    assert_eq!(quickest.of_late(1000.0), None);
}

#[test]
fn the_percentile_settles_where_so_many_are_under_it() {
    let mut percentile = Percentile::default();
    for n in 0..20_000u32 {
        percentile.learn(f64::from(n * 7919 % 1000), 95.0);
    }
    let value = percentile.value().expect("it has learnt");
    assert!((850.0..1000.0).contains(&value), "{value}");
}
