use super::*;
use rand::SeedableRng;

fn of() -> (Breaker, Terms, Pcg32) {
    (Breaker::default(), Terms::default(), Pcg32::seed_from_u64(3))
}

fn open_until(breaker: &Breaker) -> f64 {
    match breaker.state() {
        BreakerState::Open { until } => until,
        other => panic!("{other:?}"),
    }
}

#[test]
fn it_opens_when_half_of_late_has_failed_and_not_before() {
    let (mut breaker, terms, mut chance) = of();
    (0..8).for_each(|_| breaker.well(0.0, &terms));
    (0..7).for_each(|_| breaker.failed(1.0, &terms, &mut chance));
    assert_eq!(breaker.state(), BreakerState::Closed);
    breaker.failed(1.0, &terms, &mut chance);
    assert!(open_until(&breaker) > 100.0);
}

#[test]
fn one_call_tells_whether_it_is_well_and_the_rest_come_back_slowly() {
    let (mut breaker, terms, mut chance) = of();
    breaker.fault(0.0, &terms, &mut chance);
    let until = open_until(&breaker);
    assert!(!breaker.admits(until - 1.0, &terms, &mut chance));
    assert!(breaker.admits(until, &terms, &mut chance));
    breaker.sent(until, &terms);
    assert!(!breaker.admits(until + 5000.0, &terms, &mut chance));
    breaker.well(until + 10.0, &terms);
    let let_in = |breaker: &Breaker, at: f64, chance: &mut Pcg32| {
        (0..1000).filter(|_| breaker.admits(at, &terms, chance)).count()
    };
    let early = let_in(&breaker, until + 10.0, &mut chance);
    let half = let_in(&breaker, until + 10.0 + terms.breaker_return_ms / 2.0, &mut chance);
    assert!((50..200).contains(&early) && (450..650).contains(&half), "{early}, {half}");
    breaker.sent(until + 10.0 + terms.breaker_return_ms, &terms);
    assert_eq!(breaker.state(), BreakerState::Closed);
}

#[test]
fn each_rest_is_longer_up_to_the_most_and_one_whose_call_is_unheard_is_not() {
    let (mut breaker, terms, mut chance) = of();
    let (mut now, mut longest) = (0.0, 0.0f64);
    breaker.fault(now, &terms, &mut chance);
    let first = open_until(&breaker);
    for _ in 0..40 {
        now = open_until(&breaker);
        breaker.sent(now, &terms);
        breaker.failed(now, &terms, &mut chance);
        longest = longest.max(open_until(&breaker) - now);
    }
    assert!(first <= terms.breaker_rest_ms);
    assert!((terms.breaker_rest_most_ms / 2.0..=terms.breaker_rest_most_ms).contains(&longest));
    now = open_until(&breaker);
    breaker.sent(now, &terms);
    breaker.unheard(now + 1.0);
    assert!(breaker.admits(now + 1.0, &terms, &mut chance));
}
