use super::*;
use crate::admission::test_support::{backend_with_running, last_state, request};
use crate::api::{Gauges, Timer};

const REJECTED: Completion = Completion::Rejected { retry_after_ms: 1.0, retry_elsewhere: false };

fn table_in(state: RequestState) -> RequestTable {
    let mut table = RequestTable::default();
    table.insert(1, InFlightRequest::new(&request(1, 0), 1000.0, 1000.0));
    table.transition(1, state, Clock { now_ms: 10.0, execution_ms: 0.0 });
    table
}

#[test]
fn no_cancellation_is_requested_if_the_host_cannot_cancel() {
    let mut backend = backend_with_running(1);
    backend.cancellation = Cancellation::Unsupported;
    let effects = backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    assert!(matches!(last_state(&effects), RequestState::Answered { cancel: false, .. }));
}

/// Guards against a missed cancellation: an execution on stalled cores does not see it and would continue.
#[test]
fn the_cancellation_of_a_running_execution_is_repeated() {
    let mut backend = backend_with_running(1);
    backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    let effects = backend.handle_timeout(1100.0, Timer::Periodic, Gauges::default());
    assert!(matches!(last_state(&effects), RequestState::Answered { cancel: true, .. }));
}

#[test]
fn an_answer_completes_waiting_requests_and_marks_running_ones_as_answered() {
    let answered = |state| {
        let table = table_in(state);
        let request = table.get(1).expect("in flight");
        request.state_after_answer(REJECTED, Idempotency::Idempotent, Cancellation::Abort)
    };
    let answered_with = |cancel| Some(RequestState::Answered { completion: REJECTED, cancel });
    assert_eq!(answered(RequestState::Queued), Some(RequestState::Completed(REJECTED)));
    assert_eq!(answered(RequestState::Joined), Some(RequestState::Completed(REJECTED)));
    assert_eq!(answered(RequestState::Running), answered_with(true));
    assert_eq!(answered(RequestState::AwaitingCall), answered_with(false));
    assert_eq!(answered(RequestState::Calling { timeout_ms: 1.0 }), answered_with(false));
    assert_eq!(answered(RequestState::Answered { completion: REJECTED, cancel: true }), None);
}

#[test]
fn counts_follow_the_state_and_an_answer_during_a_call_abandons_it() {
    let mut table = table_in(RequestState::Running);
    assert_eq!((table.running(), table.awaiting_call(), table.calls_in_flight()), (1, 0, 0));
    let clock = |now_ms| Clock { now_ms, execution_ms: now_ms };
    table.transition(1, RequestState::AwaitingCall, clock(20.0));
    assert_eq!((table.running(), table.awaiting_call(), table.calls_in_flight()), (0, 1, 0));
    table.transition(1, RequestState::Calling { timeout_ms: 9.0 }, clock(30.0));
    assert_eq!((table.running(), table.awaiting_call(), table.calls_in_flight()), (0, 1, 1));
    let answered = RequestState::Answered { completion: REJECTED, cancel: false };
    let change = table.transition(1, answered, clock(75.0)).expect("in flight");
    assert_eq!(change.abandoned_call_ms, Some(45.0));
    assert_eq!((table.running(), table.awaiting_call(), table.calls_in_flight()), (1, 0, 0));
    table.transition(1, RequestState::Completed(REJECTED), clock(80.0));
    assert_eq!((table.running(), table.state(1)), (0, None));
    assert!(table.transition(1, answered, clock(81.0)).is_none());
}
