use super::*;
use crate::admission::test_support::{backend_with_running, config, last_state, request, start_backend};
use crate::api::{BackendConfig, Completion, Effects, Gauges, RequestState, RunOutcome, Timer};

impl Deadlines {
    /// Returns the next deadline.
    pub(in crate::admission) fn next_ms(&self) -> Option<f64> {
        self.order.first().map(|(deadline, _)| deadline.as_ms())
    }
}

#[test]
fn expired_requests_are_rejected_before_other_checks() {
    let late = Request { unread_ms: 1100.0, ..request(1, 1) };
    let effects = backend_with_running(0).handle_request(0.0, late);
    let rejected = last_state(&effects);
    assert!(
        matches!(rejected, RequestState::Completed(Completion::Rejected { retry_elsewhere: false, .. })),
        "{rejected:?}"
    );
}

/// Guards against cores occupied by expired work: an idempotent execution that misses its objective is
/// answered and cancelled, and nothing of it remains after it has stopped.
#[test]
fn an_idempotent_execution_is_answered_and_cancelled_at_its_latency_objective() {
    let mut backend = backend_with_running(1);
    let effects = backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    assert!(matches!(
        last_state(&effects),
        RequestState::Answered { completion: Completion::Rejected { .. }, cancel: true }
    ));
    let ended = backend.handle_run_ended(1001.0, 1000, RunOutcome::Cancelled);
    assert!(matches!(last_state(&ended), RequestState::Completed(_)));
    assert!(backend.requests.iter().next().is_none() && backend.memory.occupied_fraction(0) == 0.0);
}

/// Guards against a second execution: a rejection at the deadline would state that nothing was executed, so the
/// client would retry. The request is answered with an error, and the execution continues.
#[test]
fn keyed_and_non_idempotent_executions_fail_at_the_deadline_and_are_never_cancelled() {
    for class in [2, 3] {
        let mut backend = start_backend(config());
        backend.handle_request(0.0, request(1, class));
        let before = backend.handle_timeout(2999.0, Timer::Deadline, Gauges::default());
        assert!(before.transitions.is_empty());
        let effects = backend.handle_timeout(3000.0, Timer::Deadline, Gauges::default());
        let failed = RequestState::Answered { completion: Completion::Failed, cancel: false };
        assert_eq!(last_state(&effects), failed);
    }
}

#[test]
fn without_a_deadline_the_timeout_counts_from_the_arrival() {
    let mut backend = start_backend(config());
    let without_deadline = Request { deadline_ms: None, unread_ms: 200.0, ..request(1, 3) };
    let effects = backend.handle_request(300.0, without_deadline);
    assert!(effects.announcements.timers.contains(&(2800.0, Timer::Deadline)));
}

#[test]
fn a_superseded_timer_sets_no_new_timer() {
    let mut backend = start_backend(config());
    backend.handle_request(0.0, request(1, 3));
    backend.handle_request(0.0, Request { deadline_ms: Some(500.0), ..request(2, 3) });
    let timers = |effects: Effects| {
        effects.announcements.timers.iter().filter(|(_, timer)| *timer == Timer::Deadline).count()
    };
    assert_eq!(timers(backend.handle_timeout(500.0, Timer::Deadline, Gauges::default())), 1);
    assert_eq!(timers(backend.handle_timeout(700.0, Timer::Deadline, Gauges::default())), 0);
}

/// Guards against a deadline that is handled late: it passes between two events, and the next event is a change
/// of quotas.
#[test]
fn a_change_of_quotas_expires_requests_past_their_deadline() {
    let mut backend = start_backend(BackendConfig { tenant_quotas_per_s: vec![40.0], ..config() });
    drop(backend.handle_request(0.0, Request { deadline_ms: Some(50.0), ..request(1, 0) }));
    let effects = backend.update_tenant_quotas(60.0, &[(0, 30.0)]);
    let state = last_state(&effects);
    let is_rejected = matches!(state, RequestState::Answered { completion: Completion::Rejected { .. }, .. });
    assert!(is_rejected, "{effects:?}");
}
