use super::*;

/// Guards against queueing taken for the base: work slows down while more than half of the limit is in use.
#[test]
fn base_does_not_rise_while_more_than_half_of_the_limit_is_in_flight() {
    let mut baseline = LatencyBaseline::new();
    baseline.record(10.0, 1, 10.0);
    for _ in 0..1000 {
        baseline.record(50.0, 6, 10.0);
    }
    assert_eq!(baseline.base_ms(), 10.0);
}

/// Guards against a stale base: work slows down while little is in flight, so the new duration is the base.
#[test]
fn base_follows_the_mean_while_little_is_in_flight() {
    let mut baseline = LatencyBaseline::new();
    baseline.record(10.0, 1, 10.0);
    for _ in 0..1000 {
        baseline.record(50.0, 5, 10.0);
    }
    assert!((baseline.base_ms() - 50.0).abs() < 1.0, "{}", baseline.base_ms());
}

#[test]
fn reset_sets_the_base_to_the_mean_and_has_no_effect_before_the_first_sample() {
    let mut baseline = LatencyBaseline::new();
    baseline.reset_to_mean();
    assert!(baseline.base_ms().is_infinite() && baseline.mean_ms().is_none());
    baseline.record(10.0, 1, 10.0);
    let mean_ms = baseline.record(74.0, 9, 10.0);
    baseline.reset_to_mean();
    assert_eq!((mean_ms, baseline.base_ms()), (11.0, 11.0));
}
