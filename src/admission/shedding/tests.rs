use super::*;
use crate::admission::concurrency::Concurrency;
use crate::admission::test_support::{backend_with_running, config, last_state, request};
use crate::api::{Completion, RequestState};

impl Shedding {
    pub(in crate::admission) fn set_recent_fraction(&mut self, fraction: f64) {
        self.recent_fraction = Smoothed::new(fraction);
    }

    /// Sets the recent arrivals by level, the lowest first.
    pub(in crate::admission) fn set_arrivals(&mut self, arrivals: &[f64]) {
        assert_eq!(arrivals.len(), 2 * self.ranks);
        self.arrivals = DecayedTallies::from_counts(arrivals);
    }

    pub(in crate::admission) fn arrivals(&self) -> &[f64] {
        self.arrivals.as_slice()
    }
}

fn limits() -> Limits {
    Concurrency::new(0.0, &config()).limits(0.0)
}

fn load(running: u32, awaiting_call: u32, utilization: f64) -> Load {
    let running_per_core = f64::from(running) / config().cores;
    Load { running_per_core, awaiting_call: f64::from(awaiting_call), utilization }
}

fn shedding(arrivals: [f64; 4]) -> Shedding {
    let mut shedding = Shedding::new(2);
    shedding.set_arrivals(&arrivals);
    shedding
}

/// Returns how many arrivals of one counter cycle are shed at a constant admitted fraction.
fn shed_per_cycle(shedding: &mut Shedding, level: SheddingLevel, admitted_fraction: f64) -> usize {
    (0..STEPS).filter(|_| shedding.should_shed(level, admitted_fraction)).count()
}

#[test]
fn the_admitted_fraction_falls_in_steps_from_the_soft_to_the_hard_limit() {
    let limits = limits();
    assert!(limits.soft >= 1.0 && limits.hard > limits.soft);
    let mut fractions: Vec<f64> =
        (0..12).map(|count| load(count, 0, 1.0).admitted_fraction(&limits)).collect();
    assert_eq!(fractions[4], 1.0);
    assert!(fractions[6] < 1.0 && fractions[6] > 0.0 && (fractions[6] * f64::from(STEPS)).fract() == 0.0);
    assert_eq!(fractions[10], 0.0);
    fractions.reverse();
    assert!(fractions.is_sorted());
    for count in 0..12 {
        let (load, limits) = backend_with_running(count).load_and_limits();
        assert_eq!(load.admitted_fraction(&limits), fractions[11 - count as usize]);
    }
}

/// Guards against immediate retries: under overload every arrival is rejected at once with a Retry-After.
#[test]
fn at_the_hard_limit_every_arrival_is_rejected_with_a_retry_after() {
    let effects = backend_with_running(10).handle_request(0.0, request(1, 1));
    let RequestState::Completed(Completion::Rejected { retry_after_ms, retry_elsewhere }) =
        last_state(&effects)
    else {
        panic!("not rejected: {effects:?}")
    };
    assert!(retry_after_ms > 0.0 && retry_after_ms <= 1000.0 && retry_elsewhere);
}

#[test]
fn the_lowest_rank_is_shed_first_and_the_counter_selects_within_it() {
    let mut shedding = shedding([0.0, 0.0, 60.0, 40.0]);
    let [low, high] = [0, 1].map(|rank| shedding.level(rank, SheddingTier::Ordinary));
    assert_eq!(shed_per_cycle(&mut shedding, low, 0.7), 10);
    assert_eq!(shed_per_cycle(&mut shedding, high, 0.7), 0);
    assert_eq!(shed_per_cycle(&mut shedding, low, 0.2), 20);
    assert_eq!(shed_per_cycle(&mut shedding, high, 0.2), 10);
}

#[test]
fn demoted_requests_are_shed_before_the_lowest_rank() {
    let mut shedding = shedding([10.0, 20.0, 30.0, 40.0]);
    let demoted = shedding.level(1, SheddingTier::Demoted);
    let ordinary = shedding.level(0, SheddingTier::Ordinary);
    assert_eq!((demoted, ordinary), (SheddingLevel(1), SheddingLevel(2)));
    assert_eq!(shed_per_cycle(&mut shedding, demoted, 0.7), 20);
    assert_eq!(shed_per_cycle(&mut shedding, ordinary, 0.7), 0);
}

#[test]
fn idle_cores_shed_nothing_below_the_hard_limit_and_all_at_it() {
    let limits = limits();
    assert!(load(7, 0, 1.0).admitted_fraction(&limits) < 1.0);
    assert_eq!(load(7, 0, 0.5).admitted_fraction(&limits), 1.0);
    assert_eq!(load(10, 0, 0.5).admitted_fraction(&limits), 0.0);
}

/// Guards against admission without limit while the dependency is slow: requests awaiting calls do not load the
/// cores, and would all return at once when the calls end.
#[test]
fn requests_that_await_calls_have_a_separate_limit() {
    let mut backend = backend_with_running(6);
    (1000..1006).for_each(|id| backend.transition(id, RequestState::AwaitingCall));
    let (load, limits) = backend.load_and_limits();
    assert_eq!(load.running_per_core, 0.0);
    assert_eq!(load.admitted_fraction(&limits), 0.0);
}

#[test]
fn on_idle_cores_requests_awaiting_calls_shed_later_but_in_steps_to_the_same_limit() {
    let admitted = |count: u32, utilization: f64| load(0, count, utilization).admitted_fraction(&limits());
    assert!(admitted(3, 0.95) < 1.0);
    assert_eq!(admitted(3, 0.5), 1.0);
    assert!((0.01..0.99).contains(&admitted(5, 0.5)));
    assert_eq!(admitted(6, 0.5), 0.0);
}
