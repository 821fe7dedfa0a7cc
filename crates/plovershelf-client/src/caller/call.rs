//! One call with its attempts, and the table of open calls.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Ready` | an endpoint takes it and has capacity | `InFlight` |
//! | `Ready` | no endpoint takes it before some time that its deadline allows | `BackingOff` |
//! | `BackingOff` | that time has come | `Ready` |
//! | `InFlight` | an attempt ended without a result; a retry is allowed, paid for and in time | `Ready`, `BackingOff` |
//! | any | a result; no retry is allowed; the deadline; cancellation | gone |
//!
//! Every state change goes through [`CallTable::change`], and every end through [`CallTable::remove`], which takes the call out of the
//! ready queue and the timers in the same step: no call ends twice, and none is left behind.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf::api::Idempotency;

use super::action::{CallId, CallOutcome, CallSpec, ConnectionId};
use super::balancer::Requirements;
use super::endpoint::EndpointId;
use super::request_class::ClassId;
use super::retry_policy::{retry_decision, AttemptEnd, RetryDecision};
use super::timers::TimerQueue;

/// Endpoints that later attempts of a call keep away from.
const MAX_AVOIDED: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallState {
    Ready,
    BackingOff { until_ms: f64 },
    InFlight,
}

/// Where an attempt was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) connection: ConnectionId,
    pub(super) sequence: i32,
    pub(super) endpoint: EndpointId,
}

/// What the next attempt of a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextAttempt {
    First,
    /// No endpoint has read the last one: to the fleet it is a first attempt.
    ResendUnread,
    Retry,
}

/// What follows the end of an attempt without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterAttempt {
    /// Another attempt is in flight.
    AwaitOther,
    Retry,
    GiveUp,
}

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
    resend_unread: bool,
    was_resent_unread: bool,
    /// The only endpoint that it may go to.
    pinned_to: Option<EndpointId>,
    may_have_run_on: Option<EndpointId>,
    avoid: Vec<EndpointId>,
    /// Its outcome if there is no further attempt.
    last_outcome: Option<CallOutcome>,
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

    /// What a hedge requires: any endpoint but that of the first attempt.
    pub(super) fn hedge_requirements<'a>(&self, avoid: &'a [EndpointId]) -> Requirements<'a> {
        Requirements { priority: self.priority, subject: 0, avoid, only: None }
    }

    pub(super) fn pinned_to(&self) -> Option<EndpointId> {
        self.pinned_to
    }

    pub(super) fn pin_to(&mut self, endpoint: EndpointId) {
        self.pinned_to = Some(endpoint);
    }

    pub(super) fn attempt_sent(&mut self, attempt: InFlightAttempt) {
        self.resend_unread = false;
        self.attempts_sent += 1;
        self.attempts.push(attempt);
    }

    /// An attempt is no longer in flight.
    pub(super) fn attempt_ended(&mut self, ended: InFlightAttempt) {
        let key = |attempt: &InFlightAttempt| (attempt.connection, attempt.sequence);
        self.attempts.retain(|attempt| key(attempt) != key(&ended));
    }

    /// An attempt, no longer in flight, has ended without a result.
    pub(super) fn attempt_failed(
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
            RetryDecision::Never => return AfterAttempt::GiveUp,
            RetryDecision::SameEndpoint => self.pinned_to = self.may_have_run_on,
            // An endpoint that was lost can't be the only one.
            RetryDecision::AnyEndpoint if end != AttemptEnd::Rejected => self.pinned_to = None,
            RetryDecision::AnyEndpoint => {}
        }
        AfterAttempt::Retry
    }

    /// The call's outcome if it ended with this attempt's: a rejection after an attempt that may have run does not take that back.
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

    /// An attempt that has ended may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run_on.is_some()
    }

    /// The outcome of its last attempt, or this where none has ended.
    pub(super) fn last_outcome_or(&self, otherwise: CallOutcome) -> CallOutcome {
        self.last_outcome.unwrap_or(otherwise)
    }

    /// Its outcome when its deadline passes.
    pub(super) fn outcome_at_deadline(&self) -> CallOutcome {
        let may_have_run = self.may_have_run() || !self.attempts.is_empty();
        CallOutcome::DeadlineExceeded { may_have_run }
    }

    /// Its outcome when the client is closed.
    pub(super) fn outcome_at_close(&self, never_sent: CallOutcome) -> CallOutcome {
        if self.attempts_sent == 0 {
            never_sent
        } else {
            self.last_outcome_or(CallOutcome::Failed { may_have_run: true })
        }
    }

    fn needs(&self, endpoint: EndpointId) -> bool {
        self.pinned_to == Some(endpoint) || self.may_have_run_on == Some(endpoint)
    }
}

/// What a call waits for beside answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallTimer {
    Deadline(CallId),
    BackoffOver(CallId),
    Hedge(CallId),
}

/// A place in the ready queue, which is ordered by deadline.
pub(super) type ReadyPosition = (u64, CallId);

#[derive(Debug)]
pub(super) struct CallTable {
    calls: BTreeMap<CallId, Call>,
    ready: BTreeSet<ReadyPosition>,
    timers: TimerQueue<CallTimer>,
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

    /// Takes a call in and makes it ready.
    pub(super) fn insert(&mut self, id: CallId, call: Call) {
        self.bytes += call.bytes;
        self.timers.schedule(call.deadline_ms, CallTimer::Deadline(id));
        self.calls.insert(id, call);
        self.change(id, CallState::Ready);
    }

    /// Takes a call out of every table. Its attempts are left to whoever removes it.
    pub(super) fn remove(&mut self, id: CallId) -> Option<Call> {
        self.change(id, CallState::InFlight);
        let call = self.calls.remove(&id)?;
        self.bytes -= call.bytes;
        self.timers.cancel(call.deadline_ms, CallTimer::Deadline(id));
        if let Some(at_ms) = call.hedge_at_ms {
            self.timers.cancel(at_ms, CallTimer::Hedge(id));
        }
        Some(call)
    }

    /// Moves a call to a state, with the queue and the timer that belong to it.
    pub(super) fn change(&mut self, id: CallId, to: CallState) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let position = (call.deadline_ms.to_bits(), id);
        match call.state {
            CallState::Ready => drop(self.ready.remove(&position)),
            CallState::BackingOff { until_ms } => self.timers.cancel(until_ms, CallTimer::BackoffOver(id)),
            CallState::InFlight => {}
        }
        call.state = to;
        match to {
            CallState::Ready => drop(self.ready.insert(position)),
            CallState::BackingOff { until_ms } => {
                self.timers.schedule(until_ms, CallTimer::BackoffOver(id));
            }
            CallState::InFlight => {}
        }
    }

    /// Sets when the call is hedged, in place of any earlier time.
    pub(super) fn schedule_hedge(&mut self, id: CallId, at_ms: f64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if let Some(before_ms) = call.hedge_at_ms.replace(at_ms) {
            self.timers.cancel(before_ms, CallTimer::Hedge(id));
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

    /// The first ready call at or behind a position.
    pub(super) fn next_ready(&self, from: ReadyPosition) -> Option<ReadyPosition> {
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

    /// Bytes that open calls occupy.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether an open call can go to this endpoint only, or may have run there.
    pub(super) fn need(&self, endpoint: EndpointId) -> bool {
        self.calls.values().any(|call| call.needs(endpoint))
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
