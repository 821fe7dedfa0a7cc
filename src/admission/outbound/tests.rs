use super::*;
use crate::admission::test_support::{config, last_state, request, running, started};
use crate::api::{Completion, Effects, Gauges, Request, RequestState, Timer};

fn is_calling(effects: &Effects) -> bool {
    matches!(last_state(effects), RequestState::Calling { .. })
}

/// A client goes while its call is in flight: the call is dropped here, but the dependency still works on
/// it. Placing another at once would put this backend over its share.
#[test]
fn calls_in_flight_stay_under_the_share_with_those_that_linger() {
    let mut backend = running(4);
    (1000..1004).for_each(|id| drop(backend.handle_call_requested(1.0, id)));
    assert_eq!((backend.requests.calls_in_flight(), backend.requests.awaiting_call()), (2, 4));
    backend.handle_client_gone(2.0, 1000);
    assert_eq!(backend.requests.calls_in_flight(), 1);
    assert_eq!(backend.outbound.lingering_until_ms.len(), 1);
}

/// A call fails, and its effect may have been taken. Only an idempotent request, or one whose call is known
/// not to have been executed, calls again; any other fails.
#[test]
fn a_call_is_repeated_only_where_that_does_no_harm() {
    let mut backend = started(config());
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

/// A dependency that is gone refuses at once: without a pause the same calls would be repeated without end.
#[test]
fn calls_pause_after_a_failure_and_their_bound_shrinks() {
    let mut backend = running(1);
    backend.handle_call_requested(0.0, 1000);
    let bound = backend.outbound.max_in_flight;
    let effects = backend.handle_call_ended(1.0, 1000, CallOutcome::NotExecuted);
    assert_eq!(last_state(&effects), RequestState::AwaitingCall);
    assert!(backend.outbound.max_in_flight < bound);
    let effects = backend.handle_timeout(100.0, Timer::Periodic, Gauges::default());
    assert!(is_calling(&effects));
}

/// A call that was lost on its way says nothing of the dependency, so there is no pause: its execution calls
/// again at once where the share has room beside the lost call, which may linger, and else when that is over.
#[test]
fn a_lost_connection_pauses_no_call_but_counts_while_it_may_linger() {
    let mut backend = running(1);
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

/// Calls of one day take from 0 to 220 ms by themselves. Judged one by one nearly all would count as slow,
/// and the bound would shrink for nothing; a dependency that slows down as a whole shows in the mean.
#[test]
fn calls_that_differ_by_themselves_keep_their_bound_and_a_slower_mean_lowers_it() {
    let mut outbound = Outbound::new(0.0, &BackendConfig { dependency_share: Some(12.0), ..config() });
    for took_ms in [1.0, 20.0, 150.0, 40.0].repeat(40) {
        outbound.handle_call_ended(0.0, took_ms, CallOutcome::Completed);
    }
    assert!(outbound.max_in_flight > 0.9 * outbound.share);
    // A spell of quick ones is not the least that calls can take.
    for took_ms in [vec![1.0; 10], vec![60.0; 6]].concat().repeat(10) {
        outbound.handle_call_ended(0.0, took_ms, CallOutcome::Completed);
    }
    assert!(outbound.max_in_flight > 0.9 * outbound.share);
    (0..60).for_each(|_| outbound.handle_call_ended(0.0, 400.0, CallOutcome::Completed));
    // No fewer than a quarter: those would not be quicker, and requests would expire while they await a call.
    assert_eq!(outbound.max_in_flight, 0.25 * outbound.share);
    (0..60).for_each(|_| outbound.handle_call_ended(0.0, 400.0, CallOutcome::Unknown));
    assert_eq!(outbound.max_in_flight, 0.25 * outbound.share);
}

/// The fleet has grown past the dependency, so that each backend's share is half a call: one call at a
/// time, each time, would be twice the share.
#[test]
fn a_share_under_one_call_is_kept_by_rests() {
    let mut backend = started(BackendConfig { dependency_share: Some(0.5), ..config() });
    backend.handle_request(0.0, request(1, 1));
    assert!(is_calling(&backend.handle_call_requested(0.0, 1)));
    backend.handle_call_ended(100.0, 1, CallOutcome::Completed);
    assert_eq!(last_state(&backend.handle_call_requested(150.0, 1)), RequestState::AwaitingCall);
    assert!(backend.handle_timeout(210.0, Timer::Periodic, Gauges::default()).transitions.is_empty());
    assert!(is_calling(&backend.handle_timeout(230.0, Timer::Periodic, Gauges::default())));
}

/// With a share of half a call, a client goes while the only call is in flight. The dependency works on for
/// as long as the call may linger, and the rest has to cover that too.
#[test]
fn an_abandoned_call_is_rested_for_with_the_time_that_it_lingers() {
    let mut backend = started(BackendConfig { dependency_share: Some(0.5), ..config() });
    backend.handle_request(0.0, request(1, 1));
    backend.handle_call_requested(0.0, 1);
    backend.handle_client_gone(300.0, 1);
    let rest_ms = backend.outbound.blocked_until_ms - 300.0;
    assert!((rest_ms - 500.0 * (1.0 / (USED_SHARE_FRACTION * 0.5) - 1.0)).abs() < 1e-6);
    backend.handle_request(500.0, Request { deadline_ms: Some(3500.0), ..request(2, 1) });
    assert_eq!(last_state(&backend.handle_call_requested(600.0, 2)), RequestState::AwaitingCall);
}

#[test]
fn a_call_that_may_be_left_out_is_skipped_when_it_fails() {
    let mut backend = running(1);
    backend.classes[1].skipped_call_value_fraction = 0.5;
    backend.handle_call_requested(0.0, 1000);
    let effects = backend.handle_call_ended(1.0, 1000, CallOutcome::Abandoned);
    assert_eq!(last_state(&effects), RequestState::Running);
}
