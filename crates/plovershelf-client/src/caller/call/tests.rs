use super::*;

const ENDPOINT: EndpointId = EndpointId(1);
const OTHER: EndpointId = EndpointId(2);
const REJECTED: CallOutcome = CallOutcome::Rejected { retry_after_ms: None, retry_elsewhere: true };
const FAILED: CallOutcome = CallOutcome::Failed { may_have_run: true };

fn call(idempotency: Idempotency) -> Call {
    let spec = CallSpec {
        class: "plan".into(),
        idempotency,
        priority: 0.5,
        deadline_ms: 1000.0,
        subject: 0,
        bytes: 100,
    };
    Call::new(&spec, ClassId(0))
}

/// An attempt is lost and may have run; the retry is rejected. The rejection proves nothing about the first
/// attempt, so that the call must fail as possibly run.
#[test]
fn call_rejected_after_a_lost_attempt_may_have_run() {
    let mut call = call(Idempotency::Idempotent);
    assert_eq!(call.record_failed_attempt(ENDPOINT, AttemptEnd::ConnectionLost, FAILED), AfterAttempt::Retry);
    assert_eq!(call.record_failed_attempt(OTHER, AttemptEnd::Rejected, REJECTED), AfterAttempt::Retry);
    assert_eq!(call.last_outcome_or(REJECTED), FAILED);
    assert_eq!(call.requirements().avoid, [ENDPOINT, OTHER]);
}

#[test]
fn keyed_call_that_may_have_run_is_pinned_to_its_endpoint() {
    let mut call = call(Idempotency::Keyed);
    assert_eq!(call.record_failed_attempt(ENDPOINT, AttemptEnd::Failed, FAILED), AfterAttempt::Retry);
    assert_eq!(call.pinned_to(), Some(ENDPOINT));
}

/// An endpoint sends `closing` before it reads an attempt. The attempt is resent once without the retry mark;
/// if it is not read again, the next attempt is a retry.
#[test]
fn unread_attempt_is_resent_unmarked_once() {
    let mut call = call(Idempotency::NonIdempotent);
    let attempt = InFlightAttempt { connection: ConnectionId(1), sequence: 1, endpoint: ENDPOINT };
    for next in [NextAttempt::ResendUnread, NextAttempt::Retry] {
        call.add_attempt(attempt);
        call.remove_attempt(attempt);
        assert_eq!(call.record_failed_attempt(ENDPOINT, AttemptEnd::Unread, REJECTED), AfterAttempt::Retry);
        assert_eq!(call.next_attempt(), next);
    }
}

#[test]
fn removed_call_leaves_no_timer_and_no_queue_entry() {
    let mut calls = CallTable::new();
    let id = calls.next_id();
    calls.insert(id, call(Idempotency::Idempotent));
    calls.schedule_hedge(id, 10.0);
    calls.schedule_hedge(id, 20.0);
    calls.set_state(id, CallState::BackingOff { until_ms: 30.0 });
    assert_eq!((calls.timer_count(), calls.ready_count(), calls.bytes()), (3, 0, 100));
    calls.set_state(id, CallState::Ready);
    assert_eq!((calls.timer_count(), calls.ready_count()), (2, 1));
    assert!(calls.remove(id).is_some() && calls.remove(id).is_none());
    assert_eq!((calls.timer_count(), calls.ready_count(), calls.bytes(), calls.len()), (0, 0, 0, 0));
}
