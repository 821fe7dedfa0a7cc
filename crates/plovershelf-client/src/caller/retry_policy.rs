//! Decides whether a call may be sent again after an attempt, and where.
//!
//! Inputs: the call's idempotency; how the attempt ended; whether an earlier attempt may have run.
//!
//! | | no attempt can have run | an attempt may have run |
//! | --- | --- | --- |
//! | idempotent | any endpoint | any endpoint |
//! | with an idempotency key | any endpoint | the same endpoint |
//! | non-idempotent | any endpoint | never |
//!
//! Why: an endpoint knows the idempotency keys that it has run, not those of others. Without this table a lost connection would
//! have non-idempotent work run twice.
//!
//! After an attempt that gave no result, these are asked in this order:
//!
//! 1. A lost attempt: was it read at all? (`lost_attempt`)
//! 2. A rejection: is it final? (`is_final_rejection`)
//! 3. The table above (`retry_decision`), called by `call`, which avoids the endpoints tried before. One attempt that was never read
//!    is sent again without a withdrawal from the budget.
//! 4. Is there a retry left? (`retry_budget`)
//! 5. Is there time enough for an answer (`attempt_planner`), and an endpoint that takes it (`balancer`)? Without an endpoint it waits
//!    while its deadline allows.

use plovershelf::api::Idempotency;

/// How an attempt ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The endpoint rejected it, so it did not run.
    Rejected,
    /// It crossed the endpoint's `closing` and was never read.
    Unread,
    /// The endpoint answered that it failed.
    Failed,
    /// Its connection was lost, which proves nothing.
    ConnectionLost,
}

impl AttemptEnd {
    pub(super) fn proves_not_run(self) -> bool {
        matches!(self, AttemptEnd::Rejected | AttemptEnd::Unread)
    }
}

/// Where a call may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryDecision {
    AnyEndpoint,
    /// Only where it may have run, as that endpoint alone knows its idempotency key.
    SameEndpoint,
    Never,
}

/// The table above. `may_have_run_before` tells of the attempts before this one.
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

/// Whether a rejection ends the call: nothing says when to ask this endpoint again and no other is to be asked, or the wait is as long
/// as what is left until the deadline.
pub(super) fn is_final_rejection(retry_after_ms: Option<f64>, retry_elsewhere: bool, left_ms: f64) -> bool {
    retry_after_ms.map_or(!retry_elsewhere, |wait_ms| wait_ms >= left_ms)
}

#[cfg(test)]
mod tests;
