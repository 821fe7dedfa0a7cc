use crate::admission::backpressure::Backpressure;
use crate::admission::test_support::{backend_with_running, config, last_state, request, start_backend};
use crate::api::{BackendConfig, BackpressureSignal, Completion, Effects, Gauges, RequestState, Timer};

impl Backpressure {
    fn set_announced_level(&mut self, level: f64) {
        self.announced_level = level;
    }
}

#[test]
fn retry_after_grows_with_the_unread_time_of_arrivals() {
    let mut backend = backend_with_running(10);
    backend.concurrency.set_unread_ms(500.0);
    backend.shedding.set_recent_fraction(0.0);
    let effects = backend.handle_request(0.0, request(1, 1));
    let completion = Completion::Rejected { retry_after_ms: 750.0, retry_elsewhere: false };
    assert_eq!(last_state(&effects), RequestState::Completed(completion));
}

#[test]
fn only_recently_admitted_shedding_levels_may_retry_elsewhere() {
    let mut backend = backend_with_running(10);
    backend.shedding.set_recent_fraction(0.5);
    backend.shedding.set_arrivals(&[0.0, 0.0, 8.0, 2.0]);
    let retries_elsewhere = |effects: &Effects| {
        let RequestState::Completed(Completion::Rejected { retry_elsewhere, .. }) = last_state(effects)
        else {
            panic!("not rejected: {effects:?}")
        };
        retry_elsewhere
    };
    assert!(!retries_elsewhere(&backend.handle_request(0.0, request(1, 0))));
    assert!(retries_elsewhere(&backend.handle_request(0.0, request(2, 1))));
}

#[test]
fn concurrency_per_client_is_at_least_one_on_a_warm_server_with_many_clients() {
    let level = |client_count: f64| {
        let backpressure = BackpressureSignal::ConcurrencyPerClient;
        let mut backend = start_backend(BackendConfig { backpressure, client_count, ..config() });
        backend.handle_timeout(100.0, Timer::Periodic, Gauges::default()).announcements.backpressure
    };
    assert!(level(2.0) > Some(1.0));
    assert_eq!(level(500.0), Some(1.0));
}

#[test]
fn the_level_depends_on_the_signal_that_clients_use() {
    let level = |backpressure, recent_fraction| {
        let mut backend = start_backend(BackendConfig { backpressure, ..config() });
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

/// Guards against frequent announcements: the finer step applies only to numbers of requests below one, not to
/// priorities and rate fractions.
#[test]
fn only_request_numbers_below_one_are_announced_in_finer_steps() {
    let config_with =
        |backpressure| BackendConfig { backpressure, client_count: 500.0, cold_start: true, ..config() };
    let announced = |announced_level: f64, recent_fraction: f64| {
        let mut backend = start_backend(config_with(BackpressureSignal::RateFraction));
        backend.backpressure.set_announced_level(announced_level);
        backend.shedding.set_recent_fraction(recent_fraction);
        backend.now_ms = 8000.0;
        backend.effects = Effects::default();
        backend.announce();
        backend.effects.announcements.backpressure
    };
    assert_eq!(announced(0.5, 0.485), None);
    assert_eq!(announced(0.5, 0.47), Some(0.47));
    let mut cold = start_backend(config_with(BackpressureSignal::ConcurrencyPerClient));
    cold.backpressure.set_announced_level(0.02);
    cold.announce();
    assert!(cold.effects.announcements.backpressure.is_some_and(|per_client| per_client < 0.02));
}
