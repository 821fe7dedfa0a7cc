use super::*;
use crate::admission::test_support::{backend_with_running, config, last_state, request, start_backend};
use crate::api::{Completion, Effects, Gauges, Request, RequestState, Timer};

fn is_calling(effects: &Effects) -> bool {
    matches!(last_state(effects), RequestState::Calling { .. })
}

/// Guards against exceeding the share: a client disconnects while its call is in flight, and the dependency
/// still processes the dropped call.
#[test]
fn calls_in_flight_and_lingering_calls_stay_within_the_share() {
    let mut backend = backend_with_running(4);
    (1000..1004).for_each(|id| drop(backend.handle_call_requested(1.0, id)));
    assert_eq!((backend.requests.calls_in_flight(), backend.requests.awaiting_call()), (2, 4));
    backend.handle_client_gone(2.0, 1000);
    assert_eq!(backend.requests.calls_in_flight(), 1);
    assert_eq!(backend.outbound.lingering_until_ms.len(), 1);
}

/// Guards against a second effect: a failed call may have taken effect. Only an idempotent request, or one whose
/// call is known not to have been executed, calls again; any other request fails.
#[test]
fn a_call_is_repeated_only_if_that_is_safe() {
    let mut backend = start_backend(config());
    for (id, class) in [(1, 0), (2, 3), (3, 3)] {
        backend.handle_request(0.0, request(id, class));
        backend.transition(id, RequestState::Calling { timeout_ms: 10.0 });
    }
    backend.effects = Effects::default();
    let idempotent = backend.handle_call_ended(1.0, 1, CallOutcome::Unknown);
    assert_eq!(last_state(&idempotent), RequestState::AwaitingCall);
    let not_executed = backend.handle_call_ended(1.0, 2, CallOutcome::NotExecuted);
    assert_eq!(last_state(&not_executed), RequestState::AwaitingCall);
    let failed = RequestState::Answered { completion: Completion::Failed, cancel: false };
    assert_eq!(last_state(&backend.handle_call_ended(1.0, 3, CallOutcome::ConnectionLost)), failed);
}

/// Guards against a retry loop: an unreachable dependency refuses calls at once.
#[test]
fn calls_pause_after_a_failure_and_their_limit_shrinks() {
    let mut backend = backend_with_running(1);
    backend.handle_call_requested(0.0, 1000);
    let limit = backend.outbound.max_in_flight;
    let effects = backend.handle_call_ended(1.0, 1000, CallOutcome::NotExecuted);
    assert_eq!(last_state(&effects), RequestState::AwaitingCall);
    assert!(backend.outbound.max_in_flight < limit);
    let effects = backend.handle_timeout(100.0, Timer::Periodic, Gauges::default());
    assert!(is_calling(&effects));
}

/// Guards against needless pauses: a lost connection does not indicate a fault of the dependency. The execution
/// calls again at once if the share allows another call beside the lost one, which may linger, or later if not.
#[test]
fn a_lost_connection_causes_no_pause_but_counts_while_the_call_may_linger() {
    let mut backend = backend_with_running(1);
    backend.handle_call_requested(0.0, 1000);
    backend.handle_call_ended(1.0, 1000, CallOutcome::NotExecuted);
    let effects = backend.handle_timeout(100.0, Timer::Periodic, Gauges::default());
    assert!(is_calling(&effects));
    backend.outbound.max_in_flight = 2.0;
    let effects = backend.handle_call_ended(101.0, 1000, CallOutcome::ConnectionLost);
    assert_eq!(last_state(&effects), RequestState::AwaitingCall);
    assert!(backend.handle_timeout(250.0, Timer::Periodic, Gauges::default()).transitions.is_empty());
    assert!(is_calling(&backend.handle_timeout(302.0, Timer::Periodic, Gauges::default())));
    backend.outbound.max_in_flight = 3.0;
    assert!(is_calling(&backend.handle_call_ended(303.0, 1000, CallOutcome::ConnectionLost)));
}

/// Guards against needless reduction: single calls take from 0 to 220 ms, and judged one by one most would count
/// as slow. A dependency that slows down as a whole shows in the mean.
#[test]
fn varying_durations_leave_the_limit_and_a_slower_mean_lowers_it() {
    let mut outbound = Outbound::new(0.0, &BackendConfig { dependency_share: Some(12.0), ..config() });
    for took_ms in [1.0, 20.0, 150.0, 40.0].repeat(40) {
        outbound.handle_call_ended(0.0, took_ms, CallOutcome::Completed);
    }
    assert!(outbound.max_in_flight > 0.9 * outbound.share);
    // A series of quick calls does not lower the minimum for long.
    for took_ms in [vec![1.0; 10], vec![60.0; 6]].concat().repeat(10) {
        outbound.handle_call_ended(0.0, took_ms, CallOutcome::Completed);
    }
    assert!(outbound.max_in_flight > 0.9 * outbound.share);
    (0..60).for_each(|_| outbound.handle_call_ended(0.0, 400.0, CallOutcome::Completed));
    // The limit stays at a quarter: fewer calls would not be quicker, and requests awaiting a call would expire.
    assert_eq!(outbound.max_in_flight, 0.25 * outbound.share);
    (0..60).for_each(|_| outbound.handle_call_ended(0.0, 400.0, CallOutcome::Unknown));
    assert_eq!(outbound.max_in_flight, 0.25 * outbound.share);
}

/// Guards against exceeding a share below one call: in a fleet too large for the dependency, each backend has
/// half a call, and continuous single calls would be twice the share.
#[test]
fn a_share_below_one_call_is_enforced_by_pauses() {
    let mut backend = start_backend(BackendConfig { dependency_share: Some(0.5), ..config() });
    backend.handle_request(0.0, request(1, 1));
    assert!(is_calling(&backend.handle_call_requested(0.0, 1)));
    backend.handle_call_ended(100.0, 1, CallOutcome::Completed);
    assert_eq!(last_state(&backend.handle_call_requested(150.0, 1)), RequestState::AwaitingCall);
    assert!(backend.handle_timeout(210.0, Timer::Periodic, Gauges::default()).transitions.is_empty());
    assert!(is_calling(&backend.handle_timeout(230.0, Timer::Periodic, Gauges::default())));
}

/// Guards against a pause that is too short: with a share of half a call, a client disconnects during the only
/// call. The dependency continues to process it while it may linger, and the pause must cover that time.
#[test]
fn the_pause_after_an_abandoned_call_covers_the_time_it_may_linger() {
    let mut backend = start_backend(BackendConfig { dependency_share: Some(0.5), ..config() });
    backend.handle_request(0.0, request(1, 1));
    backend.handle_call_requested(0.0, 1);
    backend.handle_client_gone(300.0, 1);
    let pause_ms = backend.outbound.blocked_until_ms - 300.0;
    assert!((pause_ms - 500.0 * (1.0 / (USED_SHARE_FRACTION * 0.5) - 1.0)).abs() < 1e-6);
    backend.handle_request(500.0, Request { deadline_ms: Some(3500.0), ..request(2, 1) });
    assert_eq!(last_state(&backend.handle_call_requested(600.0, 2)), RequestState::AwaitingCall);
}

#[test]
fn a_skippable_call_is_skipped_when_it_fails() {
    let mut backend = backend_with_running(1);
    backend.classes[1].skipped_call_value_fraction = 0.5;
    backend.handle_call_requested(0.0, 1000);
    let effects = backend.handle_call_ended(1.0, 1000, CallOutcome::Abandoned);
    assert_eq!(last_state(&effects), RequestState::Running);
}
