use super::*;
use crate::admission::test_support::{backend_with_running, config, is_rejected, last_state, request};
use crate::admission::Backend;
use crate::api::{Gauges, RequestState, Timer};

impl Concurrency {
    pub(in crate::admission) fn set_unread_ms(&mut self, unread_ms: f64) {
        self.unread_ms = Smoothed::new(unread_ms);
    }
}

/// Records five executions of class 1 that took 5000 ms of core time each.
fn record_slow_executions(backend: &mut Backend) {
    (0..5).for_each(|_| backend.concurrency.record_execution(1, 5000.0, None));
}

#[test]
fn the_hard_limit_rises_in_steps_from_cold_and_stays_below_the_collapse_concurrency() {
    let concurrency = Concurrency::new(0.0, &BackendConfig { cold_start: true, ..config() });
    let mut last = 0.0;
    for now_ms in [0.0, 900.0, 1100.0, 4000.0, 8000.0, 20_000.0] {
        let hard = concurrency.limits(now_ms).hard;
        assert!(hard >= last && hard <= 1.0 + 7.0 * concurrency.speed_fraction(now_ms));
        last = hard;
    }
    assert!(last > 2.0);
    assert_eq!(concurrency.speed_fraction(900.0), 0.2);
}

/// Guards against a retry storm: reading shares the cores with executions, the unread queue exceeds the
/// objective, and the load of executions alone does not show it.
#[test]
fn unread_time_lowers_the_limit() {
    let mut concurrency = Concurrency::new(0.0, &config());
    for _ in 0..10 {
        concurrency.record_execution(1, 200.0, None);
        concurrency.record_arrival(1, 0.0, 1.0);
    }
    let before = concurrency.limits(0.0).hard;
    concurrency.set_unread_ms(150.0);
    assert!(concurrency.limits(0.0).hard < before);
}

/// Guards against a server that rejects everything: it measured a long service time while it was slow, and
/// without any execution it would never measure that it has recovered.
#[test]
fn a_request_that_seems_too_late_is_tried_only_if_nothing_else_runs() {
    let mut idle = backend_with_running(0);
    record_slow_executions(&mut idle);
    assert_eq!(last_state(&idle.handle_request(0.0, request(1, 1))), RequestState::Running);
    let mut busy = backend_with_running(1);
    record_slow_executions(&mut busy);
    assert!(is_rejected(&busy.handle_request(0.0, request(1, 1))));
}

/// Guards against a limit that rises as the server slows down: if cancelled executions did not count, the
/// service time would be that of the quick ones alone.
#[test]
fn a_cancelled_execution_counts_with_its_core_time() {
    let mut backend = backend_with_running(1);
    backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    let time = backend.concurrency.service_times[1];
    assert_eq!((time.executions(), time.total_core_ms()), (1.0, 1000.0));
}
