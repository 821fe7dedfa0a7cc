use crate::admission::test_support::{
    backend_with_running, config, execute, last_state, request, start_backend,
};
use crate::api::{BackendConfig, Gauges, RequestState, RunOutcome, Timer};

/// Guards against a server whose executions hang: its load is low, so it admits all arrivals. It becomes
/// unhealthy, continues to execute arrivals, and becomes healthy when executions complete.
#[test]
fn cancelled_executions_make_a_backend_unhealthy() {
    let mut backend = backend_with_running(20);
    let effects = backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    assert_eq!(effects.transitions.len(), 20);
    let effects = backend.handle_timeout(1001.0, Timer::Periodic, Gauges::default());
    assert_eq!((effects.announcements.ready, effects.announcements.backpressure), (Some(false), Some(1.0)));
    for id in 1..40 {
        execute(&mut backend, id);
        drop(backend.handle_run_ended(1002.0, id, RunOutcome::Completed));
    }
    let effects = backend.handle_timeout(1003.0, Timer::Periodic, Gauges::default());
    assert_eq!(effects.announcements.ready, Some(true));
}

/// Guards against an empty endpoint list: a fleet that is overloaded as a whole fails its health checks, and
/// where service discovery follows them, all servers would vanish at once.
#[test]
fn readiness_fails_when_little_is_admitted_unless_discovery_follows_health() {
    let ready = |discovery_follows_health: bool| {
        let mut backend = start_backend(BackendConfig { discovery_follows_health, ..config() });
        backend.shedding.set_recent_fraction(0.1);
        backend.handle_timeout(100.0, Timer::Periodic, Gauges::default()).announcements.ready
    };
    assert_eq!((ready(false), ready(true)), (Some(false), None));
}

/// Guards against a server that fails fast, looks idle and attracts ever more requests. It becomes unhealthy and
/// leaves its errors to the clients' circuit breakers: remaining arrivals are executed.
#[test]
fn a_backend_that_fails_fast_becomes_unhealthy_and_executes_remaining_arrivals() {
    let mut backend = backend_with_running(20);
    (1000..1020).for_each(|id| drop(backend.handle_run_ended(10.0, id, RunOutcome::Failed)));
    let effects = backend.handle_timeout(20.0, Timer::Periodic, Gauges::default());
    assert_eq!((effects.announcements.ready, effects.announcements.backpressure), (Some(false), Some(1.0)));
    assert_eq!(last_state(&backend.handle_request(30.0, request(1, 1))), RequestState::Running);
}
