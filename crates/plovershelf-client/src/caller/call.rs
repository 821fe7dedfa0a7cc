//! State of a call with its attempts, and the table of open calls.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Ready` | an eligible endpoint has capacity | `InFlight` |
//! | `Ready` | no endpoint is eligible before a time that the deadline still allows | `BackingOff` |
//! | `BackingOff` | backoff elapsed | `Ready` |
//! | `InFlight` | an attempt ended without a result; policy, budget and deadline allow a retry | `Ready`, `BackingOff` |
//! | any | result received; no retry allowed; deadline passed; call cancelled | removed |
//!
//! Every state change goes through [`CallTable::set_state`] and every end through [`CallTable::remove`],
//! which also removes the call from the ready queue and cancels its timers. Therefore no call ends twice and
//! no entry leaks.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf::api::Idempotency;

use super::action::{CallId, CallOutcome, CallSpec, ConnectionId};
use super::balancer::Requirements;
use super::endpoint::EndpointId;
use super::request_class::ClassId;
use super::retry_policy::{retry_decision, AttemptEnd, RetryDecision};
use super::timers::TimerQueue;

/// Number of endpoints of earlier attempts that a call records in order to prefer others.
const MAX_AVOIDED: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallState {
    /// The call waits in the ready queue for an endpoint with capacity.
    Ready,
    /// The call waits until `until_ms` before it becomes ready again.
    BackingOff { until_ms: f64 },
    /// An attempt of the call waits for its response.
    InFlight,
}

/// Identifies an attempt that waits for its response.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) connection: ConnectionId,
    pub(super) sequence: i32,
    pub(super) endpoint: EndpointId,
}

/// Kind of a call's next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextAttempt {
    First,
    /// No endpoint has read the last attempt, so the next one adds no more load than a first attempt.
    ResendUnread,
    Retry,
}

/// Next step of a call after an attempt that ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterAttempt {
    /// Another attempt is in flight.
    AwaitOther,
    Retry,
    Finish,
}

/// An open call.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) class: ClassId,
    pub(super) idempotency: Idempotency,
    pub(super) deadline_ms: f64,
    priority: f64,
    subject: u64,
    bytes: usize,
    state: CallState,
    attempts: Vec<InFlightAttempt>,
    attempts_sent: u32,
    /// Whether the next attempt resends one that no endpoint has read.
    resend_unread: bool,
    /// Whether an unread attempt was already resent; a call resends at most one outside the retry budget.
    was_resent_unread: bool,
    /// The only endpoint that may receive further attempts.
    pinned_to: Option<EndpointId>,
    /// Endpoint of the first attempt that may have run.
    may_have_run_on: Option<EndpointId>,
    /// Endpoints of earlier attempts, oldest first.
    avoid: Vec<EndpointId>,
    /// Outcome of the call if no further attempt is made.
    last_outcome: Option<CallOutcome>,
    /// When the pending hedge timer expires, in milliseconds.
    hedge_at_ms: Option<f64>,
}

impl Call {
    pub(super) fn new(spec: &CallSpec, class: ClassId) -> Self {
        Call {
            class,
            idempotency: spec.idempotency,
            deadline_ms: spec.deadline_ms.max(0.0),
            priority: spec.priority,
            subject: spec.subject,
            bytes: spec.bytes,
            state: CallState::InFlight,
            attempts: Vec::new(),
            attempts_sent: 0,
            resend_unread: false,
            was_resent_unread: false,
            pinned_to: None,
            may_have_run_on: None,
            avoid: Vec::new(),
            last_outcome: None,
            hedge_at_ms: None,
        }
    }

    pub(super) fn attempts(&self) -> &[InFlightAttempt] {
        &self.attempts
    }

    pub(super) fn next_attempt(&self) -> NextAttempt {
        match (self.attempts_sent, self.resend_unread) {
            (0, _) => NextAttempt::First,
            (_, true) => NextAttempt::ResendUnread,
            (_, false) => NextAttempt::Retry,
        }
    }

    pub(super) fn requirements(&self) -> Requirements<'_> {
        Requirements {
            priority: self.priority,
            subject: self.subject,
            avoid: &self.avoid,
            only: self.pinned_to,
        }
    }

    /// Returns the requirements of a hedge, which avoids the endpoint of the first attempt and ignores
    /// affinity.
    pub(super) fn hedge_requirements<'a>(&self, avoid: &'a [EndpointId]) -> Requirements<'a> {
        Requirements { priority: self.priority, subject: 0, avoid, only: None }
    }

    pub(super) fn pinned_to(&self) -> Option<EndpointId> {
        self.pinned_to
    }

    pub(super) fn pin_to(&mut self, endpoint: EndpointId) {
        self.pinned_to = Some(endpoint);
    }

    /// Records an attempt that has been sent.
    pub(super) fn add_attempt(&mut self, attempt: InFlightAttempt) {
        self.resend_unread = false;
        self.attempts_sent += 1;
        self.attempts.push(attempt);
    }

    /// Removes an attempt that is no longer in flight.
    pub(super) fn remove_attempt(&mut self, ended: InFlightAttempt) {
        let key = |attempt: &InFlightAttempt| (attempt.connection, attempt.sequence);
        self.attempts.retain(|attempt| key(attempt) != key(&ended));
    }

    /// Records that an attempt, already removed, ended without a result. Returns the next step of the call.
    pub(super) fn record_failed_attempt(
        &mut self,
        endpoint: EndpointId,
        end: AttemptEnd,
        outcome: CallOutcome,
    ) -> AfterAttempt {
        let decision = retry_decision(self.idempotency, end, self.may_have_run());
        if !end.proves_not_run() {
            self.may_have_run_on.get_or_insert(endpoint);
        }
        self.last_outcome = Some(self.outcome_if_ended(outcome));
        if !self.attempts.is_empty() {
            return AfterAttempt::AwaitOther;
        }
        if end == AttemptEnd::Unread && !self.was_resent_unread {
            (self.resend_unread, self.was_resent_unread) = (true, true);
        } else {
            self.avoid_endpoint(endpoint);
        }
        match decision {
            RetryDecision::Never => return AfterAttempt::Finish,
            RetryDecision::SameEndpoint => self.pinned_to = self.may_have_run_on,
            // A call must not stay pinned to an endpoint that failed or was lost.
            RetryDecision::AnyEndpoint if end != AttemptEnd::Rejected => self.pinned_to = None,
            RetryDecision::AnyEndpoint => {}
        }
        AfterAttempt::Retry
    }

    /// Returns the call's outcome if it ends with that of `attempt`. A rejection becomes a failure if an
    /// earlier attempt may have run, since the rejection applies to its own attempt only.
    pub(super) fn outcome_if_ended(&self, attempt: CallOutcome) -> CallOutcome {
        match attempt {
            CallOutcome::Rejected { .. } if self.may_have_run() => CallOutcome::Failed { may_have_run: true },
            _ => attempt,
        }
    }

    fn avoid_endpoint(&mut self, endpoint: EndpointId) {
        if !self.avoid.contains(&endpoint) {
            self.avoid.push(endpoint);
        }
        if self.avoid.len() > MAX_AVOIDED {
            self.avoid.remove(0);
        }
    }

    /// Returns whether an attempt that has ended may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run_on.is_some()
    }

    /// Returns the outcome of the last attempt, or `default` if no attempt has ended.
    pub(super) fn last_outcome_or(&self, default: CallOutcome) -> CallOutcome {
        self.last_outcome.unwrap_or(default)
    }

    /// Returns the call's outcome if its deadline passes now.
    pub(super) fn outcome_at_deadline(&self) -> CallOutcome {
        let may_have_run = self.may_have_run() || !self.attempts.is_empty();
        CallOutcome::DeadlineExceeded { may_have_run }
    }

    /// Returns the call's outcome if the client is closed now; `never_sent` if no attempt was sent.
    pub(super) fn outcome_at_close(&self, never_sent: CallOutcome) -> CallOutcome {
        if self.attempts_sent == 0 {
            never_sent
        } else {
            self.last_outcome_or(CallOutcome::Failed { may_have_run: true })
        }
    }

    fn requires(&self, endpoint: EndpointId) -> bool {
        self.pinned_to == Some(endpoint) || self.may_have_run_on == Some(endpoint)
    }
}

/// Timer of a call. Timers that expire at the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallTimer {
    Deadline(CallId),
    BackoffElapsed(CallId),
    Hedge(CallId),
}

/// Key of a call in the ready queue: the bits of its deadline, then its id.
pub(super) type ReadyKey = (u64, CallId);

/// The open calls with their ready queue and timers.
#[derive(Debug)]
pub(super) struct CallTable {
    calls: BTreeMap<CallId, Call>,
    ready: BTreeSet<ReadyKey>,
    timers: TimerQueue<CallTimer>,
    /// Bytes that all open calls occupy.
    bytes: usize,
    last_id: u64,
}

impl CallTable {
    pub(super) fn new() -> Self {
        CallTable {
            calls: BTreeMap::new(),
            ready: BTreeSet::new(),
            timers: TimerQueue::new(),
            bytes: 0,
            last_id: 0,
        }
    }

    pub(super) fn next_id(&mut self) -> CallId {
        self.last_id += 1;
        CallId(self.last_id)
    }

    /// Adds a call, starts its deadline timer and puts it into the ready queue.
    pub(super) fn insert(&mut self, id: CallId, call: Call) {
        self.bytes += call.bytes;
        self.timers.schedule(call.deadline_ms, CallTimer::Deadline(id));
        self.calls.insert(id, call);
        self.set_state(id, CallState::Ready);
    }

    /// Removes a call, its ready queue entry and its timers. The code that removes it must cancel its
    /// attempts.
    pub(super) fn remove(&mut self, id: CallId) -> Option<Call> {
        // `InFlight` has neither a ready queue entry nor a timer.
        self.set_state(id, CallState::InFlight);
        let call = self.calls.remove(&id)?;
        self.bytes -= call.bytes;
        self.timers.cancel(call.deadline_ms, CallTimer::Deadline(id));
        if let Some(at_ms) = call.hedge_at_ms {
            self.timers.cancel(at_ms, CallTimer::Hedge(id));
        }
        Some(call)
    }

    /// Changes the state of a call and updates the ready queue and the backoff timer accordingly.
    pub(super) fn set_state(&mut self, id: CallId, state: CallState) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let key = (call.deadline_ms.to_bits(), id);
        match call.state {
            CallState::Ready => drop(self.ready.remove(&key)),
            CallState::BackingOff { until_ms } => {
                self.timers.cancel(until_ms, CallTimer::BackoffElapsed(id));
            }
            CallState::InFlight => {}
        }
        call.state = state;
        match state {
            CallState::Ready => drop(self.ready.insert(key)),
            CallState::BackingOff { until_ms } => {
                self.timers.schedule(until_ms, CallTimer::BackoffElapsed(id));
            }
            CallState::InFlight => {}
        }
    }

    /// Schedules the hedge of a call and cancels any earlier hedge timer.
    pub(super) fn schedule_hedge(&mut self, id: CallId, at_ms: f64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if let Some(previous_ms) = call.hedge_at_ms.replace(at_ms) {
            self.timers.cancel(previous_ms, CallTimer::Hedge(id));
        }
        self.timers.schedule(at_ms, CallTimer::Hedge(id));
    }

    pub(super) fn next_timeout_ms(&self) -> Option<f64> {
        self.timers.next_ms()
    }

    pub(super) fn pop_expired(&mut self, now_ms: f64) -> Option<CallTimer> {
        let timer = self.timers.pop_expired(now_ms)?;
        if let CallTimer::Hedge(id) = timer {
            self.calls.get_mut(&id).into_iter().for_each(|call| call.hedge_at_ms = None);
        }
        Some(timer)
    }

    pub(super) fn clear_timers(&mut self) {
        self.timers.clear();
    }

    /// Returns the first ready call whose key is not less than `from`.
    pub(super) fn next_ready(&self, from: ReadyKey) -> Option<ReadyKey> {
        self.ready.range(from..).next().copied()
    }

    pub(super) fn get(&self, id: CallId) -> Option<&Call> {
        self.calls.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(&id)
    }

    pub(super) fn ids(&self) -> Vec<CallId> {
        self.calls.keys().copied().collect()
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the bytes that all open calls occupy.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether an open call is pinned to the endpoint or may have run there.
    pub(super) fn any_requires(&self, endpoint: EndpointId) -> bool {
        self.calls.values().any(|call| call.requires(endpoint))
    }

    #[cfg(test)]
    pub(super) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    #[cfg(test)]
    pub(super) fn timer_count(&self) -> usize {
        self.timers.len()
    }
}

#[cfg(test)]
mod tests;
