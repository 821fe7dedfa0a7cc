use crate::admission::test_support::{config, last_state, request, start_backend};
use crate::api::{BackendConfig, Completion, Gauges, Request, RequestState, RunOutcome, Timer};

/// Guards against a second effect: a client retries a keyed request whose first attempt is still running. The
/// retry joins the first attempt and gets the same response.
#[test]
fn a_keyed_request_is_retained_and_its_duplicate_joins_it() {
    let mut backend = start_backend(config());
    let first = backend.handle_request(0.0, request(1, 2));
    assert!(first.transitions.iter().any(|change| change.retain_ms == Some(5000.0)));
    assert_eq!(last_state(&first), RequestState::Running);
    let duplicate = Request { duplicate_of: Some(1), ..request(2, 2) };
    assert_eq!(last_state(&backend.handle_request(10.0, duplicate)), RequestState::Joined);
    let answered = backend.handle_run_ended(20.0, 2, RunOutcome::Completed);
    assert_eq!(last_state(&answered), RequestState::Completed(Completion::Succeeded));
    let overdue = Request { duplicate_of: Some(1), deadline_ms: Some(30.0), ..request(3, 2) };
    backend.handle_request(25.0, overdue);
    let effects = backend.handle_timeout(30.0, Timer::Deadline, Gauges::default());
    assert_eq!(last_state(&effects), RequestState::Completed(Completion::Failed));
}

#[test]
fn responses_to_reads_are_shared_only_if_configured() {
    let read = Request { key: 9, ..request(1, 0) };
    let mut sharing = start_backend(BackendConfig { shared_response_ms: 500.0, ..config() });
    assert!(sharing.handle_request(0.0, read).transitions.iter().any(|change| change.retain_ms.is_some()));
    let effects = start_backend(config()).handle_request(0.0, read);
    assert!(effects.transitions.iter().all(|change| change.retain_ms.is_none()));
}
