use super::*;

#[test]
fn fastest_time_is_forgotten_after_its_window() {
    let mut fastest = FastestTime::new(100.0);
    fastest.record(0.0, 5.0);
    fastest.record(10.0, 50.0);
    assert_eq!(fastest.value(90.0), Some(5.0));
    fastest.record(120.0, 50.0);
    assert_eq!(fastest.value(150.0), Some(5.0));
    fastest.record(210.0, 60.0);
    assert_eq!(fastest.value(220.0), Some(50.0));
    assert_eq!(fastest.value(1000.0), None);
}

#[test]
fn percentile_settles_where_the_wanted_part_is_below() {
    let mut percentile = PercentileEstimate::default();
    for n in 0..20_000u32 {
        percentile.record(f64::from(n * 7919 % 1000), 95.0);
    }
    let value = percentile.value().expect("it has learnt");
    assert!((850.0..1000.0).contains(&value), "{value}");
}
