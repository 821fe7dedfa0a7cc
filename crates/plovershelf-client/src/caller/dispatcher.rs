//! The life of calls: places each at an endpoint, sends, hedges and retries it, and ends it once.
//!
//! The states of a call are in [`call`](super::call). What is decided here is only in which order the parts are asked; the
//! decisions are theirs.

use std::net::SocketAddr;

use plovershelf::api::Idempotency;
use plovershelf_codec::front::ServerSignals;
use rand::RngExt;

use super::action::{Action, AttemptKind, CallId, CallOutcome, CallSpec, ConnectionId, NotSentReason};
use super::attempt_planner::{AttemptPlanner, Plan};
use super::balancer::Choice;
use super::call::{AfterAttempt, Call, CallState, CallTable, CallTimer, InFlightAttempt, NextAttempt};
use super::connection_manager::{Answered, ConnectionManager};
use super::context::Context;
use super::endpoint::EndpointId;
use super::endpoint_set::AnswerKind;
use super::lost_attempt::LostAttempt;
use super::retry_policy::{is_final_rejection, AttemptEnd};
use super::throttle::Acceptance;

/// Calls that can't be placed before those behind them are left for later.
const MAX_UNPLACED: usize = 32;
/// A call backs off for at least this.
const MIN_BACKOFF_MS: f64 = 0.1;
/// Jitter of a Retry-After: clients of a fleet that were given the same must not return together.
const RETRY_AFTER_JITTER_FRACTION: f64 = 0.2;

/// Whether a call that was to be placed still waits for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placement {
    Settled,
    StillReady,
}

#[derive(Debug)]
pub(super) struct Dispatcher {
    calls: CallTable,
    planner: AttemptPlanner,
    connections: ConnectionManager,
}

impl Dispatcher {
    pub(super) fn new(context: &mut Context) -> Self {
        Dispatcher {
            calls: CallTable::new(),
            planner: AttemptPlanner::new(&context.config),
            connections: ConnectionManager::new(context),
        }
    }

    /// The open calls.
    pub(super) fn calls(&self) -> &CallTable {
        &self.calls
    }

    pub(super) fn connections(&self) -> &ConnectionManager {
        &self.connections
    }

    /// For events of connections, which concern calls only by the attempts that are lost with them.
    pub(super) fn connections_mut(&mut self) -> &mut ConnectionManager {
        &mut self.connections
    }

    // ---- inputs -------------------------------------------------------------------------------------------

    /// Starts a call. With a reason it is refused at once.
    pub(super) fn start(
        &mut self,
        context: &mut Context,
        spec: &CallSpec,
        refused: Option<NotSentReason>,
    ) -> CallId {
        let id = self.calls.next_id();
        context.counters.calls += 1;
        if let Some(reason) = refused {
            context.complete(id, CallOutcome::NotSent { reason, retry_after_ms: None });
            return id;
        }
        let class = self.planner.class_of(&spec.class, &context.config);
        if !self.planner.throttle_admits(context, class) {
            context.counters.throttled += 1;
            let retry_after_ms = Some(context.config.backpressure_ttl_ms);
            context.complete(id, CallOutcome::NotSent { reason: NotSentReason::Throttled, retry_after_ms });
            return id;
        }
        self.calls.insert(id, Call::new(spec, class));
        self.place(context, id);
        id
    }

    /// Ends a call without an outcome; whether it was open.
    pub(super) fn cancel(&mut self, context: &mut Context, id: CallId) -> bool {
        let Some(call) = self.remove(context, id) else { return false };
        context.counters.cancelled += 1;
        self.planner.record_end(context, call.class, Acceptance::Accepted);
        true
    }

    /// Takes a new list of endpoints that is not empty.
    pub(super) fn update_endpoints(&mut self, context: &mut Context, addresses: &[SocketAddr]) {
        self.connections.update_endpoints(context, addresses);
        self.forget_removed_endpoints();
    }

    /// Ends all calls and closes all connections.
    pub(super) fn close(&mut self, context: &mut Context) {
        let never_sent = CallOutcome::NotSent { reason: NotSentReason::Closed, retry_after_ms: None };
        for id in self.calls.ids() {
            let outcome = self.calls.get(id).map(|call| call.outcome_at_close(never_sent));
            self.finish(context, id, outcome.unwrap_or(never_sent));
        }
        self.connections.close_all(context);
        self.calls.clear_timers();
    }

    pub(super) fn pop_expired_call_timer(&mut self, context: &Context) -> Option<CallTimer> {
        self.calls.pop_expired(context.now_ms)
    }

    /// Places what it can, in the order of the deadlines.
    pub(super) fn place_ready(&mut self, context: &mut Context) {
        let mut unplaced = 0;
        let mut from = (0, CallId(0));
        while let Some((deadline, id)) = self.calls.next_ready(from) {
            if self.place(context, id) == Placement::StillReady {
                unplaced += 1;
                if unplaced >= MAX_UNPLACED {
                    return;
                }
            }
            from = (deadline, CallId(id.0 + 1));
        }
    }

    pub(super) fn handle_answer(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        sequence: i32,
        signals: &ServerSignals,
        kind: AnswerKind,
    ) {
        let answered = self.connections.handle_answer(context, id, sequence, signals, kind);
        match answered {
            Answered::Attempt { call, attempt, took_ms } => {
                self.record_answer(context, call, attempt, kind, took_ms);
                let failed = CallOutcome::Failed { may_have_run: true };
                match kind {
                    AnswerKind::Succeeded => self.finish(context, call, CallOutcome::Succeeded),
                    AnswerKind::Rejected => self.attempt_rejected(context, call, attempt.endpoint, signals),
                    AnswerKind::Failed => {
                        self.attempt_failed(context, call, attempt.endpoint, AttemptEnd::Failed, failed);
                    }
                    AnswerKind::Invalid => {
                        self.finish(context, call, CallOutcome::Failed { may_have_run: false })
                    }
                }
                self.connections.close_if_drained(context, id);
            }
            Answered::Late => {}
            Answered::ProtocolFault(lost) => self.handle_lost(context, lost),
        }
    }

    pub(super) fn handle_lost(&mut self, context: &mut Context, lost: Vec<LostAttempt>) {
        for LostAttempt { call, attempt, end } in lost {
            if let Some(call) = self.calls.get_mut(call) {
                call.attempt_ended(attempt);
            }
            let outcome = if end.proves_not_run() {
                CallOutcome::Rejected { retry_after_ms: None, retry_elsewhere: true }
            } else {
                CallOutcome::Failed { may_have_run: true }
            };
            self.attempt_failed(context, call, attempt.endpoint, end, outcome);
        }
    }

    pub(super) fn handle_call_timer(&mut self, context: &mut Context, timer: CallTimer) {
        match timer {
            CallTimer::Deadline(id) => {
                if let Some(outcome) = self.calls.get(id).map(Call::outcome_at_deadline) {
                    self.finish(context, id, outcome);
                }
            }
            CallTimer::BackoffOver(id) => {
                self.calls.change(id, CallState::Ready);
                self.place(context, id);
            }
            CallTimer::Hedge(id) => self.hedge(context, id),
        }
    }

    pub(super) fn forget_removed_endpoints(&mut self) {
        let calls = &self.calls;
        self.connections.forget_removed_endpoints(|endpoint| calls.need(endpoint));
    }

    // ---- private steps ------------------------------------------------------------------------------------

    /// Finds an endpoint for a call that is ready and sends it there; or lets it back off, or ends it.
    fn place(&mut self, context: &mut Context, id: CallId) -> Placement {
        let Some(call) = self.calls.get(id) else { return Placement::Settled };
        let may_have_run = call.may_have_run();
        let timeout_ms = match self.planner.plan_next(context, call) {
            Plan::Send { timeout_ms } => timeout_ms,
            Plan::TooLate => {
                self.finish_with_last_or(context, id, CallOutcome::DeadlineExceeded { may_have_run });
                return Placement::Settled;
            }
            Plan::OverBudget => {
                context.counters.retries_over_budget += 1;
                self.finish_with_last_or(context, id, CallOutcome::Failed { may_have_run });
                return Placement::Settled;
            }
        };
        match self.connections.choose(context, &call.requirements()) {
            Choice::Endpoint { id: endpoint, connect_also } => {
                if let Some(better) = connect_also {
                    self.connections.connect(context, better);
                }
                self.send_or_connect(context, id, endpoint, timeout_ms)
            }
            Choice::NotBefore(at_ms) => {
                self.back_off(context, id, at_ms);
                Placement::Settled
            }
            Choice::AdvisedAgainst { until_ms } => {
                let retry_after_ms = Some(until_ms - context.now_ms);
                let reason = NotSentReason::Backpressure;
                self.finish_with_last_or(context, id, CallOutcome::NotSent { reason, retry_after_ms });
                Placement::Settled
            }
            Choice::NoEndpoint => self.wait_for_any_endpoint(context, id),
        }
    }

    fn send_or_connect(
        &mut self,
        context: &mut Context,
        id: CallId,
        endpoint: EndpointId,
        timeout_ms: f64,
    ) -> Placement {
        if let Some(connection) = self.connections.available_connection(context, endpoint) {
            self.send(context, id, connection, timeout_ms);
            return Placement::Settled;
        }
        self.connections.connect(context, endpoint);
        Placement::StillReady
    }

    fn wait_for_any_endpoint(&mut self, context: &mut Context, id: CallId) -> Placement {
        let only = self.calls.get(id).and_then(Call::pinned_to);
        if self.connections.may_become_available(only) {
            return Placement::StillReady;
        }
        let reason = NotSentReason::NoEndpoint;
        self.finish_with_last_or(context, id, CallOutcome::NotSent { reason, retry_after_ms: None });
        Placement::Settled
    }

    /// No endpoint takes the call before this time: it waits if its deadline allows that, and ends at once if not.
    fn back_off(&mut self, context: &mut Context, id: CallId, at_ms: f64) {
        let Some(call) = self.calls.get(id) else { return };
        let now_ms = context.now_ms;
        let at_ms = at_ms.max(now_ms + MIN_BACKOFF_MS);
        if self.planner.can_wait_until(context, call, at_ms) {
            self.calls.change(id, CallState::BackingOff { until_ms: at_ms });
        } else {
            let retry_after_ms = Some(at_ms - now_ms);
            let reason = NotSentReason::NoEndpoint;
            self.finish_with_last_or(context, id, CallOutcome::NotSent { reason, retry_after_ms });
        }
    }

    /// Sends an attempt. A retry must have been found to be paid for.
    fn send(&mut self, context: &mut Context, id: CallId, connection: ConnectionId, timeout_ms: f64) {
        let Some(next) = self.calls.get(id).map(Call::next_attempt) else { return };
        self.planner.record_sent(context, next);
        let Some(attempt) = self.connections.send_attempt(context, connection, id) else { return };
        let Some(call) = self.calls.get_mut(id) else { return };
        call.attempt_sent(attempt);
        let can_hedge = call.idempotency == Idempotency::Idempotent && call.attempts().len() == 1;
        let hedge_at_ms = self.planner.hedge_at_ms(context, call.class);
        if let Some(at_ms) = hedge_at_ms.filter(|_| can_hedge) {
            self.calls.schedule_hedge(id, at_ms);
        }
        self.calls.change(id, CallState::InFlight);
        let InFlightAttempt { connection, sequence, .. } = attempt;
        let kind = if next == NextAttempt::Retry { AttemptKind::Retry } else { AttemptKind::First };
        context.actions.push(Action::Send { connection, sequence, call: id, timeout_ms, kind });
    }

    /// Sends a second attempt of a slow call to another endpoint, if the budget pays for it.
    fn hedge(&mut self, context: &mut Context, id: CallId) {
        let Some(call) = self.calls.get(id) else { return };
        let Some(timeout_ms) = self.planner.hedge_timeout_ms(context, call) else { return };
        let [first] = call.attempts() else { return };
        let first = first.endpoint;
        let avoid = [first];
        let choice = self.connections.choose(context, &call.hedge_requirements(&avoid));
        let Choice::Endpoint { id: endpoint, .. } = choice else { return };
        let connection = self.connections.available_connection(context, endpoint);
        if let Some(connection) = connection.filter(|_| endpoint != first) {
            context.counters.hedges += 1;
            self.send(context, id, connection, timeout_ms);
        }
    }

    fn record_answer(
        &mut self,
        context: &mut Context,
        id: CallId,
        attempt: InFlightAttempt,
        kind: AnswerKind,
        took_ms: f64,
    ) {
        let Some(call) = self.calls.get_mut(id) else { return };
        call.attempt_ended(attempt);
        match kind {
            AnswerKind::Succeeded => self.planner.record_success(context, call.class, took_ms),
            AnswerKind::Rejected => self.planner.record_rejection(context, took_ms),
            AnswerKind::Failed | AnswerKind::Invalid => {}
        }
    }

    fn attempt_rejected(
        &mut self,
        context: &mut Context,
        id: CallId,
        endpoint: EndpointId,
        signals: &ServerSignals,
    ) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let retry_after_ms = signals.retry_after_ms;
        let retry_elsewhere = !signals.no_retry_elsewhere;
        let outcome = call.outcome_if_ended(CallOutcome::Rejected { retry_after_ms, retry_elsewhere });
        let left_ms = call.deadline_ms - context.now_ms;
        if is_final_rejection(retry_after_ms, retry_elsewhere, left_ms) && call.attempts().is_empty() {
            self.finish(context, id, outcome);
            return;
        }
        if !retry_elsewhere {
            call.pin_to(endpoint);
        }
        self.attempt_failed(context, id, endpoint, AttemptEnd::Rejected, outcome);
    }

    /// An attempt has ended without a result: the call waits for its other one, is retried, or ends.
    fn attempt_failed(
        &mut self,
        context: &mut Context,
        id: CallId,
        endpoint: EndpointId,
        end: AttemptEnd,
        outcome: CallOutcome,
    ) {
        let Some(call) = self.calls.get_mut(id) else { return };
        match call.attempt_failed(endpoint, end, outcome) {
            AfterAttempt::AwaitOther => {}
            AfterAttempt::GiveUp => self.finish_with_last_or(context, id, outcome),
            AfterAttempt::Retry => self.retry(context, id, outcome),
        }
    }

    fn retry(&mut self, context: &mut Context, id: CallId, outcome: CallOutcome) {
        let Some(call) = self.calls.get(id) else { return };
        let (now_ms, pinned_to) = (context.now_ms, call.pinned_to());
        let is_paid_retry = call.next_attempt() == NextAttempt::Retry;
        if is_paid_retry && !self.planner.can_retry(context) {
            context.counters.retries_over_budget += 1;
            self.finish_with_last_or(context, id, outcome);
            return;
        }
        let until_ms = pinned_to.map_or(0.0, |endpoint| self.connections.retry_after_until_ms(endpoint));
        if until_ms > now_ms {
            let wait_ms = until_ms - now_ms;
            let draw: f64 = context.random.random();
            self.back_off(context, id, now_ms + wait_ms * (1.0 + RETRY_AFTER_JITTER_FRACTION * draw));
        } else {
            self.calls.change(id, CallState::Ready);
            self.place(context, id);
        }
    }

    fn finish_with_last_or(&mut self, context: &mut Context, id: CallId, otherwise: CallOutcome) {
        if let Some(call) = self.calls.get(id) {
            let outcome = call.last_outcome_or(otherwise);
            self.finish(context, id, outcome);
        }
    }

    fn finish(&mut self, context: &mut Context, id: CallId, outcome: CallOutcome) {
        let Some(call) = self.remove(context, id) else { return };
        self.planner.record_end(context, call.class, acceptance_of(&outcome));
        context.complete(id, outcome);
    }

    /// Takes a call out of the tables and cancels its attempts.
    fn remove(&mut self, context: &mut Context, id: CallId) -> Option<Call> {
        let call = self.calls.remove(id)?;
        for attempt in call.attempts() {
            self.connections.cancel_attempt(context, *attempt);
        }
        Some(call)
    }
}

/// Only rejections close the throttle: slowness, losses and short deadlines do not.
fn acceptance_of(outcome: &CallOutcome) -> Acceptance {
    match outcome {
        CallOutcome::Rejected { .. } | CallOutcome::NotSent { reason: NotSentReason::Backpressure, .. } => {
            Acceptance::Rejected
        }
        _ => Acceptance::Accepted,
    }
}
