use super::*;
use crate::admission::test_support::{last_state, request, running};
use crate::api::{Gauges, Timer};

const REJECTED: Completion = Completion::Rejected { retry_after_ms: 1.0, retry_elsewhere: false };

fn table_in(state: RequestState) -> RequestTable {
    let mut table = RequestTable::default();
    table.insert(1, InFlightRequest::new(&request(1, 0), 1000.0, 1000.0));
    table.transition(1, state, Clock { now_ms: 10.0, execution_ms: 0.0 });
    table
}

#[test]
fn where_nothing_can_be_cancelled_no_cancellation_is_asked_for() {
    let mut backend = running(1);
    backend.cancellation = Cancellation::Unsupported;
    let effects = backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    assert!(matches!(last_state(&effects), RequestState::Answered { cancel: false, .. }));
}

/// Cores that stand still do not see that an execution was told to stop; it would go on when they run again.
#[test]
fn an_execution_that_did_not_stop_is_told_again() {
    let mut backend = running(1);
    backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    let effects = backend.handle_timeout(1100.0, Timer::Periodic, Gauges::default());
    assert!(matches!(last_state(&effects), RequestState::Answered { cancel: true, .. }));
}

#[test]
fn an_answer_completes_what_has_not_begun_and_leaves_the_rest_to_its_execution() {
    let answered = |state| {
        let table = table_in(state);
        let request = table.get(1).expect("in flight");
        request.state_after_answer(REJECTED, Idempotency::Idempotent, Cancellation::Abort)
    };
    let stays = |cancel| Some(RequestState::Answered { completion: REJECTED, cancel });
    assert_eq!(answered(RequestState::Queued), Some(RequestState::Completed(REJECTED)));
    assert_eq!(answered(RequestState::Joined), Some(RequestState::Completed(REJECTED)));
    assert_eq!(answered(RequestState::Running), stays(true));
    assert_eq!(answered(RequestState::AwaitingCall), stays(false));
    assert_eq!(answered(RequestState::Calling { timeout_ms: 1.0 }), stays(false));
    assert_eq!(answered(RequestState::Answered { completion: REJECTED, cancel: true }), None);
}

#[test]
fn counts_follow_the_state_and_a_call_answered_before_its_end_is_reported_as_abandoned() {
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
