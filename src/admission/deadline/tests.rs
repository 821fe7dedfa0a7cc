use super::*;
use crate::admission::test_support::{config, last_state, request, running, started};
use crate::api::{BackendConfig, Completion, Effects, Gauges, RequestState, RunOutcome, Timer};

impl Deadlines {
    /// The next deadline.
    pub(in crate::admission) fn next_ms(&self) -> Option<f64> {
        self.order.first().map(|(deadline, _)| deadline.as_ms())
    }
}

#[test]
fn expired_requests_are_rejected_before_all_else() {
    let late = Request { unread_ms: 1100.0, ..request(1, 1) };
    let effects = running(0).handle_request(0.0, late);
    let rejected = last_state(&effects);
    assert!(
        matches!(rejected, RequestState::Completed(Completion::Rejected { retry_elsewhere: false, .. })),
        "{rejected:?}"
    );
}

/// An idempotent execution does not end within its objective. Nobody values its result any more: it is
/// answered, its cores are for others, and nothing of it is left when it has stopped.
#[test]
fn what_runs_is_answered_and_cancelled_at_its_latency_objective() {
    let mut backend = running(1);
    let effects = backend.handle_timeout(1000.0, Timer::Deadline, Gauges::default());
    assert!(matches!(
        last_state(&effects),
        RequestState::Answered { completion: Completion::Rejected { .. }, cancel: true }
    ));
    let ended = backend.handle_run_ended(1001.0, 1000, RunOutcome::Cancelled);
    assert!(matches!(last_state(&ended), RequestState::Completed(_)));
    assert!(backend.requests.iter().next().is_none() && backend.memory.occupied_fraction(0) == 0.0);
}

/// The execution of a request that must not run twice does not end in time. A rejection would say that
/// nothing was done, so the client would retry; it is answered with an error, and the execution goes on.
#[test]
fn keyed_and_non_idempotent_executions_fail_at_the_deadline_and_are_never_cancelled() {
    for class in [2, 3] {
        let mut backend = started(config());
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
    let mut backend = started(config());
    let without_deadline = Request { deadline_ms: None, unread_ms: 200.0, ..request(1, 3) };
    let effects = backend.handle_request(300.0, without_deadline);
    assert!(effects.announcements.timers.contains(&(2800.0, Timer::Deadline)));
}

#[test]
fn a_superseded_timer_sets_no_other() {
    let mut backend = started(config());
    backend.handle_request(0.0, request(1, 3));
    backend.handle_request(0.0, Request { deadline_ms: Some(500.0), ..request(2, 3) });
    let timers = |effects: Effects| {
        effects.announcements.timers.iter().filter(|(_, timer)| *timer == Timer::Deadline).count()
    };
    assert_eq!(timers(backend.handle_timeout(500.0, Timer::Deadline, Gauges::default())), 1);
    assert_eq!(timers(backend.handle_timeout(700.0, Timer::Deadline, Gauges::default())), 0);
}

/// A deadline passes between two events, and the next event is a change of quotas: the request must not
/// wait for an event of its own.
#[test]
fn a_deadline_that_passes_as_quotas_change_is_kept() {
    let mut backend = started(BackendConfig { tenant_quotas_per_s: vec![40.0], ..config() });
    drop(backend.handle_request(0.0, Request { deadline_ms: Some(50.0), ..request(1, 0) }));
    let effects = backend.update_tenant_quotas(60.0, &[(0, 30.0)]);
    let state = last_state(&effects);
    let is_rejected = matches!(state, RequestState::Answered { completion: Completion::Rejected { .. }, .. });
    assert!(is_rejected, "{effects:?}");
}
