use super::*;

#[test]
fn minimum_expires_after_its_window() {
    let mut minimum = WindowedMinimum::new(100.0);
    minimum.record(0.0, 5.0);
    minimum.record(10.0, 50.0);
    assert_eq!(minimum.value(90.0), Some(5.0));
    minimum.record(120.0, 50.0);
    assert_eq!(minimum.value(150.0), Some(5.0));
    minimum.record(210.0, 60.0);
    assert_eq!(minimum.value(220.0), Some(50.0));
    assert_eq!(minimum.value(1000.0), None);
}

#[test]
fn percentile_estimate_converges() {
    let mut percentile = PercentileEstimate::default();
    for n in 0..20_000u32 {
        percentile.record(f64::from(n * 7919 % 1000), 95.0);
    }
    let value = percentile.value().expect("samples were recorded");
    assert!((850.0..1000.0).contains(&value), "{value}");
}
