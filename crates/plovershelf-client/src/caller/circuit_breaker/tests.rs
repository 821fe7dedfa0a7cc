use super::*;
use rand::SeedableRng;

fn new_breaker() -> (CircuitBreaker, ClientConfig, Pcg32) {
    (CircuitBreaker::new(), ClientConfig::default(), Pcg32::seed_from_u64(3))
}

fn open_until(breaker: &CircuitBreaker) -> f64 {
    match breaker.state() {
        BreakerState::Open { until_ms } => until_ms,
        other => panic!("{other:?}"),
    }
}

#[test]
fn endpoint_is_ejected_once_half_of_its_attempts_have_failed() {
    let (mut breaker, config, mut random) = new_breaker();
    (0..8).for_each(|_| breaker.record_success(0.0, &config));
    (0..7).for_each(|_| breaker.record_failure(1.0, &config, &mut random));
    assert_eq!(breaker.state(), BreakerState::Closed);
    breaker.record_failure(1.0, &config, &mut random);
    assert!(open_until(&breaker) > 100.0);
}

#[test]
fn trial_attempt_that_succeeds_begins_a_slow_start() {
    let (mut breaker, config, mut random) = new_breaker();
    breaker.record_protocol_fault(0.0, &config, &mut random);
    let until_ms = open_until(&breaker);
    assert!(!breaker.admits(until_ms - 1.0, &config, &mut random));
    assert!(breaker.admits(until_ms, &config, &mut random));
    breaker.record_sent(until_ms, &config);
    assert!(!breaker.admits(until_ms + 5000.0, &config, &mut random));
    breaker.record_success(until_ms + 10.0, &config);
    let admitted = |breaker: &CircuitBreaker, at_ms: f64, random: &mut Pcg32| {
        (0..1000).filter(|_| breaker.admits(at_ms, &config, random)).count()
    };
    let at_start = admitted(&breaker, until_ms + 10.0, &mut random);
    let at_half = admitted(&breaker, until_ms + 10.0 + config.slow_start_ms / 2.0, &mut random);
    assert!((50..200).contains(&at_start) && (450..650).contains(&at_half), "{at_start}, {at_half}");
    breaker.record_sent(until_ms + 10.0 + config.slow_start_ms, &config);
    assert_eq!(breaker.state(), BreakerState::Closed);
}

#[test]
fn ejections_double_up_to_the_bound_and_a_cancelled_trial_ends_the_ejection() {
    let (mut breaker, config, mut random) = new_breaker();
    let (mut now_ms, mut longest_ms) = (0.0, 0.0f64);
    breaker.record_protocol_fault(now_ms, &config, &mut random);
    let first_ms = open_until(&breaker);
    for _ in 0..40 {
        now_ms = open_until(&breaker);
        breaker.record_sent(now_ms, &config);
        breaker.record_failure(now_ms, &config, &mut random);
        longest_ms = longest_ms.max(open_until(&breaker) - now_ms);
    }
    assert!(first_ms <= config.base_ejection_ms);
    assert!((config.max_ejection_ms / 2.0..=config.max_ejection_ms).contains(&longest_ms));
    now_ms = open_until(&breaker);
    breaker.record_sent(now_ms, &config);
    breaker.record_no_outcome(now_ms + 1.0);
    assert!(breaker.admits(now_ms + 1.0, &config, &mut random));
}
