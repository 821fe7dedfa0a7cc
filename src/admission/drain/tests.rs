use crate::admission::test_support::{config, is_rejected, last_state, request, started};
use crate::api::{Gauges, Request, RequestState, Timer};

/// The process will be stopped while requests still come and run. What arrives within the grace period is
/// executed, nothing after it, and no request is cut off without an answer.
#[test]
fn nothing_past_the_grace_period_is_executed_and_all_is_answered_before_the_stop() {
    let mut backend = started(config());
    backend.handle_request(0.0, request(1, 3));
    let effects = backend.handle_drain_notice(100.0, 100.0, 2000.0);
    // What comes inside the grace period is served, so clients are sent away only when it is nearly over.
    assert_eq!(effects.announcements.ready, None);
    let effects = backend.handle_timeout(350.0, Timer::Periodic, Gauges::default());
    assert_eq!((effects.announcements.ready, effects.announcements.backpressure), (Some(false), Some(1.0)));
    assert_eq!(last_state(&backend.handle_request(600.0, request(2, 1))), RequestState::Running);
    assert!(is_rejected(&backend.handle_request(650.0, Request { unread_ms: 40.0, ..request(3, 1) })));
    let effects = backend.handle_timeout(1960.0, Timer::Deadline, Gauges::default());
    assert_eq!(effects.transitions.len(), 2);
    assert!(backend.requests.unanswered().is_empty());
}

/// The notice reaches a crowded process late, while whoever stops it counts from when it was given: requests
/// would be cut off without an answer. All is answered a margin before the stop as the process knows it.
#[test]
fn a_notice_that_came_late_to_a_crowded_process_leaves_time_to_answer_before_the_stop() {
    for (stop_ms, answered_by_ms) in [(3200.0, 3050.0), (10_100.0, 9950.0), (1100.0, 1050.0), (400.0, 360.0)]
    {
        let mut backend = started(config());
        backend.handle_request(0.0, Request { deadline_ms: None, ..request(1, 3) });
        backend.handle_drain_notice(100.0, 100.0, stop_ms);
        let deadline_ms = backend.deadlines.next_ms().expect("one is open");
        assert!(deadline_ms <= answered_by_ms, "{deadline_ms} of {stop_ms}");
        backend.handle_timeout(answered_by_ms, Timer::Deadline, Gauges::default());
        assert!(backend.requests.unanswered().is_empty(), "{stop_ms}");
    }
}
