use crate::admission::test_support::{config, is_rejected, last_state, request, start_backend};
use crate::api::{Gauges, Request, RequestState, Timer};

/// Guards against requests cut off by the stop: arrivals within the grace period are executed, later ones are
/// rejected, and all are answered before the stop.
#[test]
fn requests_after_the_grace_period_are_rejected_and_all_are_answered_before_the_stop() {
    let mut backend = start_backend(config());
    backend.handle_request(0.0, request(1, 3));
    let effects = backend.handle_drain_notice(100.0, 100.0, 2000.0);
    // Arrivals within the grace period are served, so clients are sent away only shortly before its end.
    assert_eq!(effects.announcements.ready, None);
    let effects = backend.handle_timeout(350.0, Timer::Periodic, Gauges::default());
    assert_eq!((effects.announcements.ready, effects.announcements.backpressure), (Some(false), Some(1.0)));
    assert_eq!(last_state(&backend.handle_request(600.0, request(2, 1))), RequestState::Running);
    assert!(is_rejected(&backend.handle_request(650.0, Request { unread_ms: 40.0, ..request(3, 1) })));
    let effects = backend.handle_timeout(1960.0, Timer::Deadline, Gauges::default());
    assert_eq!(effects.transitions.len(), 2);
    assert!(backend.requests.unanswered().is_empty());
}

/// Guards against requests cut off by the stop: an overloaded process reads the notice late, while the stop is
/// scheduled from its issue. All requests are answered a margin before the stop.
#[test]
fn a_notice_that_is_read_late_leaves_time_to_answer_before_the_stop() {
    for (stop_ms, answered_by_ms) in [(3200.0, 3050.0), (10_100.0, 9950.0), (1100.0, 1050.0), (400.0, 360.0)]
    {
        let mut backend = start_backend(config());
        backend.handle_request(0.0, Request { deadline_ms: None, ..request(1, 3) });
        backend.handle_drain_notice(100.0, 100.0, stop_ms);
        let deadline_ms = backend.deadlines.next_ms().expect("an open request");
        assert!(deadline_ms <= answered_by_ms, "deadline {deadline_ms}, stop {stop_ms}");
        backend.handle_timeout(answered_by_ms, Timer::Deadline, Gauges::default());
        assert!(backend.requests.unanswered().is_empty(), "stop {stop_ms}");
    }
}
