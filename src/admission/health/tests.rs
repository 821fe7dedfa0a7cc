use crate::admission::test_support::{config, execute, last_state, request, running, started};
use crate::api::{BackendConfig, Gauges, RequestState, RunOutcome, Timer};

/// A server whose executions hang admits all that comes, as its load says nothing. It tells clients and
/// health checks to stay away, goes on executing what comes, and takes that back when executions end well.
#[test]
fn executions_that_are_given_up_one_after_the_other_make_a_backend_unhealthy() {
    let mut backend = running(20);
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

/// A fleet that is overloaded as a whole fails its health checks. Where service discovery follows them, all
/// servers would vanish from the list at once.
#[test]
fn health_checks_fail_while_little_is_admitted_but_not_where_discovery_follows_them() {
    let ready = |discovery_follows_health: bool| {
        let mut backend = started(BackendConfig { discovery_follows_health, ..config() });
        backend.shedding.set_recent_fraction(0.1);
        backend.handle_timeout(100.0, Timer::Periodic, Gauges::default()).announcements.ready
    };
    assert_eq!((ready(false), ready(true)), (Some(false), None));
}

/// A server that fails fast looks idle and attracts ever more requests. It tells clients to stay away and
/// leaves its errors to their circuit breakers: what still comes is executed.
#[test]
fn a_backend_that_fails_fast_tells_clients_and_executes_what_still_comes() {
    let mut backend = running(20);
    (1000..1020).for_each(|id| drop(backend.handle_run_ended(10.0, id, RunOutcome::Failed)));
    let effects = backend.handle_timeout(20.0, Timer::Periodic, Gauges::default());
    assert_eq!((effects.announcements.ready, effects.announcements.backpressure), (Some(false), Some(1.0)));
    assert_eq!(last_state(&backend.handle_request(30.0, request(1, 1))), RequestState::Running);
}
