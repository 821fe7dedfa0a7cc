use crate::admission::backpressure::Backpressure;
use crate::admission::test_support::{config, last_state, request, running, started};
use crate::api::{BackendConfig, BackpressureSignal, Completion, Effects, Gauges, RequestState, Timer};

impl Backpressure {
    fn set_announced_level(&mut self, level: f64) {
        self.announced_level = level;
    }
}

#[test]
fn the_longer_arrivals_lie_unread_the_longer_the_retry_after() {
    let mut backend = running(10);
    backend.concurrency.set_unread_ms(500.0);
    backend.shedding.set_recent_fraction(0.0);
    let effects = backend.handle_request(0.0, request(1, 1));
    let completion = Completion::Rejected { retry_after_ms: 750.0, retry_elsewhere: false };
    assert_eq!(last_state(&effects), RequestState::Completed(completion));
}

#[test]
fn only_what_shedding_of_late_mostly_kept_is_sent_elsewhere() {
    let mut backend = running(10);
    backend.shedding.set_recent_fraction(0.5);
    backend.shedding.set_arrivals(&[0.0, 0.0, 8.0, 2.0]);
    let is_sent_on = |effects: &Effects| {
        let RequestState::Completed(Completion::Rejected { retry_elsewhere, .. }) = last_state(effects)
        else {
            panic!("not rejected: {effects:?}")
        };
        retry_elsewhere
    };
    assert!(!is_sent_on(&backend.handle_request(0.0, request(1, 0))));
    assert!(is_sent_on(&backend.handle_request(0.0, request(2, 1))));
}

#[test]
fn a_number_shared_by_many_clients_lets_each_have_one_request_on_a_warm_server() {
    let level = |client_count: f64| {
        let backpressure = BackpressureSignal::ConcurrencyPerClient;
        let mut backend = started(BackendConfig { backpressure, client_count, ..config() });
        backend.handle_timeout(100.0, Timer::Periodic, Gauges::default()).announcements.backpressure
    };
    assert!(level(2.0) > Some(1.0));
    assert_eq!(level(500.0), Some(1.0));
}

#[test]
fn the_level_follows_what_clients_take_it_for() {
    let level = |backpressure, recent_fraction| {
        let mut backend = started(BackendConfig { backpressure, ..config() });
        backend.shedding.set_arrivals(&[0.0, 0.0, 50.0, 50.0]);
        backend.shedding.set_recent_fraction(recent_fraction);
        backend.announce();
        backend.effects.announcements.backpressure
    };
    assert_eq!(level(BackpressureSignal::None, 0.4), None);
    let priority = |fraction| level(BackpressureSignal::MinimumPriority, fraction);
    assert!(priority(0.5).is_some_and(|level| (level - 0.25).abs() < 1e-9));
    assert!(priority(0.4).is_some_and(|level| level > 0.25));
    assert!(priority(0.9).is_some_and(|level| level > 0.0 && level < 0.25));
    assert_eq!(priority(1.0), Some(0.0));
    assert_eq!(level(BackpressureSignal::ConcurrencyPerClient, 1.0), Some(5.0));
    assert!(level(BackpressureSignal::RateFraction, 0.4).is_some_and(|fraction| fraction < 1.0));
}

/// The finer step is for numbers that are parts of a request; what clients take for a priority or a fraction
/// is announced as seldom as ever.
#[test]
fn only_numbers_under_one_are_announced_anew_in_finer_steps() {
    let settings =
        |backpressure| BackendConfig { backpressure, client_count: 500.0, cold_start: true, ..config() };
    let announced = |announced_level: f64, recent_fraction: f64| {
        let mut backend = started(settings(BackpressureSignal::RateFraction));
        backend.backpressure.set_announced_level(announced_level);
        backend.shedding.set_recent_fraction(recent_fraction);
        backend.now_ms = 8000.0;
        backend.effects = Effects::default();
        backend.announce();
        backend.effects.announcements.backpressure
    };
    assert_eq!(announced(0.5, 0.485), None);
    assert_eq!(announced(0.5, 0.47), Some(0.47));
    let mut cold = started(settings(BackpressureSignal::ConcurrencyPerClient));
    cold.backpressure.set_announced_level(0.02);
    cold.announce();
    assert!(cold.effects.announcements.backpressure.is_some_and(|each| each < 0.02));
}
