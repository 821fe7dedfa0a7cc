//! Decides whether and where a call may be retried after an attempt without a result.
//!
//! Inputs: the call's idempotency; how the attempt ended; whether an earlier attempt may have run.
//!
//! | | no attempt can have run | an attempt may have run |
//! | --- | --- | --- |
//! | idempotent | any endpoint | any endpoint |
//! | with an idempotency key | any endpoint | the same endpoint |
//! | non-idempotent | any endpoint | never |
//!
//! Rationale: an endpoint recognizes only the idempotency keys of requests that it ran itself. Without this
//! table, a lost connection could make a non-idempotent request run twice.
//!
//! After an attempt without a result, these steps decide on a retry, in this order:
//!
//! 1. For a lost attempt, `lost_attempt` decides whether the endpoint can have read it.
//! 2. For a rejection, `is_final_rejection` decides whether it ends the call.
//! 3. `retry_decision` applies the table above. `call` invokes it and prefers endpoints without an earlier
//!    attempt of the call. The first attempt that no endpoint has read is resent outside the retry budget.
//! 4. `retry_budget` decides whether a retry is allowed.
//! 5. `attempt_planner` checks the time left, and `balancer` chooses an endpoint. If no endpoint can take the
//!    call, it waits as long as its deadline allows.

use plovershelf::api::Idempotency;

/// Reason why an attempt ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The endpoint rejected the attempt without running it.
    Rejected,
    /// The endpoint sent `closing` before it could read the attempt.
    Unread,
    /// The endpoint responded that the attempt failed.
    Failed,
    /// The connection was lost, so the attempt may have run.
    ConnectionLost,
}

impl AttemptEnd {
    /// Returns whether the attempt certainly did not run.
    pub(super) fn proves_not_run(self) -> bool {
        matches!(self, AttemptEnd::Rejected | AttemptEnd::Unread)
    }
}

/// Whether and where a call may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryDecision {
    AnyEndpoint,
    /// Only at the endpoint where the call may have run, since only that endpoint knows its idempotency key.
    SameEndpoint,
    Never,
}

/// Applies the table in the module's documentation. `may_have_run_before` covers the attempts before this
/// one.
pub(super) fn retry_decision(
    idempotency: Idempotency,
    end: AttemptEnd,
    may_have_run_before: bool,
) -> RetryDecision {
    let may_have_run = may_have_run_before || !end.proves_not_run();
    match (idempotency, may_have_run) {
        (Idempotency::Idempotent, _) | (_, false) => RetryDecision::AnyEndpoint,
        (Idempotency::Keyed, true) => RetryDecision::SameEndpoint,
        (Idempotency::NonIdempotent, true) => RetryDecision::Never,
    }
}

/// Returns whether a rejection ends the call. A rejection with a Retry-After is final if that does not end
/// before the deadline; a rejection without one is final if it excludes other endpoints.
pub(super) fn is_final_rejection(
    retry_after_ms: Option<f64>,
    retry_elsewhere: bool,
    remaining_ms: f64,
) -> bool {
    retry_after_ms.map_or(!retry_elsewhere, |wait_ms| wait_ms >= remaining_ms)
}

#[cfg(test)]
mod tests;
