use super::*;

/// After a lost connection or a failure response, an attempt may have run. A non-idempotent call must then
/// not be retried, and a keyed call only at the endpoint that knows its key.
#[test]
fn call_that_may_have_run_is_retried_according_to_its_idempotency() {
    use {AttemptEnd::*, Idempotency::*, RetryDecision::*};
    let decisions = |end, may_have_run| {
        [Idempotent, Keyed, NonIdempotent].map(|each| retry_decision(each, end, may_have_run))
    };
    for end in [Rejected, Unread] {
        assert_eq!(decisions(end, false), [AnyEndpoint; 3]);
        assert_eq!(decisions(end, true), [AnyEndpoint, SameEndpoint, Never]);
    }
    for (end, may_have_run) in
        [(Failed, false), (ConnectionLost, false), (Failed, true), (ConnectionLost, true)]
    {
        assert_eq!(decisions(end, may_have_run), [AnyEndpoint, SameEndpoint, Never]);
    }
}
