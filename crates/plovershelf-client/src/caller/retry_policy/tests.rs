use super::*;

/// A connection is lost, or an endpoint answers that work failed: whether it ran is not known. Then non-idempotent work must not be
/// sent again, and keyed work only where its key is known.
#[test]
fn non_idempotent_work_is_retried_on_proof_only_and_keyed_work_where_it_may_have_run() {
    use {AttemptEnd::*, Idempotency::*, RetryDecision::*};
    let decisions =
        |end, before| [Idempotent, Keyed, NonIdempotent].map(|each| retry_decision(each, end, before));
    for end in [Rejected, Unread] {
        assert_eq!(decisions(end, false), [AnyEndpoint; 3]);
        assert_eq!(decisions(end, true), [AnyEndpoint, SameEndpoint, Never]);
    }
    for (end, before) in [(Failed, false), (ConnectionLost, false), (Failed, true), (ConnectionLost, true)] {
        assert_eq!(decisions(end, before), [AnyEndpoint, SameEndpoint, Never]);
    }
}
