use super::*;
use crate::admission::test_support::{config, is_rejected, last_state, request, running};
use crate::admission::Backend;
use crate::api::{Gauges, RequestState, Timer};

impl Concurrency {
    pub(in crate::admission) fn set_unread_ms(&mut self, unread_ms: f64) {
        self.unread_ms = Smoothed::new(unread_ms);
    }
}

/// Core time of a class's executions, as if five of them had ended.
fn set_slow(backend: &mut Backend) {
    (0..5).for_each(|_| backend.concurrency.record_execution(1, 5000.0, None));
}

#[test]
fn the_hard_limit_rises_by_steps_from_cold_and_stays_under_the_survivable_concurrency() {
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

/// A retry storm: reading shares the cores with executions, the queue in front of the server grows past the
/// objective, and the load of executions alone does not show it.
#[test]
fn arrivals_that_lie_unread_lower_the_limit() {
    let mut concurrency = Concurrency::new(0.0, &config());
    for _ in 0..10 {
        concurrency.record_execution(1, 200.0, None);
        concurrency.record_arrival(1, 0.0, 1.0);
    }
    let before = concurrency.limits(0.0).hard;
    concurrency.set_unread_ms(150.0);
    assert!(concurrency.limits(0.0).hard < before);
}

/// A server learnt its service time in a slow spell and rejects all that seems too late: without any
/// execution it would never learn that the spell is over.
#[test]
fn a_lone_request_that_seems_too_late_is_tried_but_not_beside_others() {
    let mut alone = running(0);
    set_slow(&mut alone);
    assert_eq!(last_state(&alone.handle_request(0.0, request(1, 1))), RequestState::Running);
    let mut crowded = running(1);
    set_slow(&mut crowded);
    assert!(is_rejected(&crowded.handle_request(0.0, request(1, 1))));
}

/// An execution that is given up never ends as such: without its core time the service time would be that of
/// the quick ones alone, and the limit would rise the slower the server is.
#[test]
fn an_execution_that_was_given_up_counts_with_the_core_time_that_it_had() {
    let mut backend = running(1);
    backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    let time = backend.concurrency.service_times[1];
    assert_eq!((time.executions(), time.total_core_ms()), (1.0, 1000.0));
}
