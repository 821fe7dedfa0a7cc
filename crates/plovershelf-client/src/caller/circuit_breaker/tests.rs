use super::*;
use rand::SeedableRng;

fn new() -> (CircuitBreaker, ClientConfig, Pcg32) {
    (CircuitBreaker::new(), ClientConfig::default(), Pcg32::seed_from_u64(3))
}

fn open_until(breaker: &CircuitBreaker) -> f64 {
    match breaker.state() {
        BreakerState::Open { until_ms } => until_ms,
        other => panic!("{other:?}"),
    }
}

#[test]
fn endpoint_is_ejected_when_half_of_its_attempts_failed_and_not_before() {
    let (mut breaker, config, mut random) = new();
    (0..8).for_each(|_| breaker.record_success(0.0, &config));
    (0..7).for_each(|_| breaker.record_failure(1.0, &config, &mut random));
    assert_eq!(breaker.state(), BreakerState::Closed);
    breaker.record_failure(1.0, &config, &mut random);
    assert!(open_until(&breaker) > 100.0);
}

#[test]
fn one_attempt_tells_whether_it_is_well_and_the_rest_come_back_slowly() {
    let (mut breaker, config, mut random) = new();
    breaker.record_protocol_fault(0.0, &config, &mut random);
    let until = open_until(&breaker);
    assert!(!breaker.admits(until - 1.0, &config, &mut random));
    assert!(breaker.admits(until, &config, &mut random));
    breaker.record_sent(until, &config);
    assert!(!breaker.admits(until + 5000.0, &config, &mut random));
    breaker.record_success(until + 10.0, &config);
    let admitted = |breaker: &CircuitBreaker, at: f64, random: &mut Pcg32| {
        (0..1000).filter(|_| breaker.admits(at, &config, random)).count()
    };
    let early = admitted(&breaker, until + 10.0, &mut random);
    let half = admitted(&breaker, until + 10.0 + config.slow_start_ms / 2.0, &mut random);
    assert!((50..200).contains(&early) && (450..650).contains(&half), "{early}, {half}");
    breaker.record_sent(until + 10.0 + config.slow_start_ms, &config);
    assert_eq!(breaker.state(), BreakerState::Closed);
}

#[test]
fn each_ejection_is_longer_up_to_the_bound_and_one_without_outcome_is_not() {
    let (mut breaker, config, mut random) = new();
    let (mut now, mut longest) = (0.0, 0.0f64);
    breaker.record_protocol_fault(now, &config, &mut random);
    let first = open_until(&breaker);
    for _ in 0..40 {
        now = open_until(&breaker);
        breaker.record_sent(now, &config);
        breaker.record_failure(now, &config, &mut random);
        longest = longest.max(open_until(&breaker) - now);
    }
    assert!(first <= config.base_ejection_ms);
    assert!((config.max_ejection_ms / 2.0..=config.max_ejection_ms).contains(&longest));
    now = open_until(&breaker);
    breaker.record_sent(now, &config);
    breaker.record_no_outcome(now + 1.0);
    assert!(breaker.admits(now + 1.0, &config, &mut random));
}
