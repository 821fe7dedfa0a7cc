//! Processes calls: chooses an endpoint for each, sends, hedges and retries it, and ends it exactly once.
//!
//! [`call`](super::call) has the states of a call. This module only fixes the order of the steps; the modules
//! that it calls make the decisions.

use std::net::SocketAddr;

use plovershelf::api::Idempotency;
use plovershelf_codec::front::ServerSignals;
use rand::RngExt;

use super::action::{Action, AttemptKind, CallId, CallOutcome, CallSpec, ConnectionId, NotSentReason};
use super::attempt_planner::{AttemptPlanner, Plan};
use super::balancer::Choice;
use super::call::{AfterAttempt, Call, CallState, CallTable, CallTimer, InFlightAttempt, NextAttempt};
use super::connection_manager::{ConnectionManager, MatchedResponse};
use super::context::Context;
use super::endpoint::EndpointId;
use super::endpoint_set::ResponseKind;
use super::lost_attempt::LostAttempt;
use super::retry_policy::{is_final_rejection, AttemptEnd};
use super::throttle::Acceptance;

/// Number of calls that no endpoint could take after which a pass over the ready queue stops.
const MAX_UNPLACED: usize = 32;
/// Shortest backoff of a call.
const MIN_BACKOFF_MS: f64 = 0.1;
/// Jitter added to a Retry-After, as a fraction of it. Without it, all clients that received the same
/// Retry-After would retry at the same time.
const RETRY_AFTER_JITTER_FRACTION: f64 = 0.2;

/// Result of placing a call at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placement {
    /// The call was sent, backs off or has ended.
    Done,
    /// The call stays in the ready queue until an endpoint can take it.
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

    /// Returns the table of open calls.
    pub(super) fn calls(&self) -> &CallTable {
        &self.calls
    }

    pub(super) fn connections(&self) -> &ConnectionManager {
        &self.connections
    }

    /// Returns the connection manager for connection events. These affect calls only through lost attempts,
    /// which must be passed to [`Dispatcher::handle_lost`].
    pub(super) fn connections_mut(&mut self) -> &mut ConnectionManager {
        &mut self.connections
    }

    // ---- inputs -------------------------------------------------------------------------------------------

    /// Starts a call. With a `rejection`, the call ends at once as not sent.
    pub(super) fn start(
        &mut self,
        context: &mut Context,
        spec: &CallSpec,
        rejection: Option<NotSentReason>,
    ) -> CallId {
        let id = self.calls.next_id();
        context.counters.calls += 1;
        if let Some(reason) = rejection {
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

    /// Cancels a call, which ends without an outcome. Returns false if the call was not open.
    pub(super) fn cancel(&mut self, context: &mut Context, id: CallId) -> bool {
        let Some(call) = self.remove(context, id) else { return false };
        context.counters.cancelled += 1;
        self.planner.record_end(context, call.class, Acceptance::Accepted);
        true
    }

    /// Replaces the list of endpoints with `addresses`, which must not be empty.
    pub(super) fn update_endpoints(&mut self, context: &mut Context, addresses: &[SocketAddr]) {
        self.connections.update_endpoints(context, addresses);
        self.drop_unused_endpoints();
    }

    /// Ends all calls, closes all connections and clears all timers.
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

    /// Places as many ready calls as the endpoints can take, earliest deadline first.
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

    /// Handles an endpoint's response to an attempt.
    pub(super) fn handle_response(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        sequence: i32,
        signals: &ServerSignals,
        kind: ResponseKind,
    ) {
        let matched = self.connections.handle_response(context, id, sequence, signals, kind);
        match matched {
            MatchedResponse::Attempt { call, attempt, latency_ms } => {
                self.record_response(context, call, attempt, kind, latency_ms);
                let failed = CallOutcome::Failed { may_have_run: true };
                match kind {
                    ResponseKind::Succeeded => self.finish(context, call, CallOutcome::Succeeded),
                    ResponseKind::Rejected => {
                        self.handle_rejection(context, call, attempt.endpoint, signals);
                    }
                    ResponseKind::Failed => {
                        self.handle_failure(context, call, attempt.endpoint, AttemptEnd::Failed, failed);
                    }
                    ResponseKind::Invalid => {
                        self.finish(context, call, CallOutcome::Failed { may_have_run: false })
                    }
                }
                self.connections.close_if_drained(context, id);
            }
            MatchedResponse::Late => {}
            MatchedResponse::ProtocolFault(lost) => self.handle_lost(context, lost),
        }
    }

    /// Handles the attempts that were in flight on a connection that has ended.
    pub(super) fn handle_lost(&mut self, context: &mut Context, lost: Vec<LostAttempt>) {
        for LostAttempt { call, attempt, end } in lost {
            if let Some(call) = self.calls.get_mut(call) {
                call.remove_attempt(attempt);
            }
            let outcome = if end.proves_not_run() {
                CallOutcome::Rejected { retry_after_ms: None, retry_elsewhere: true }
            } else {
                CallOutcome::Failed { may_have_run: true }
            };
            self.handle_failure(context, call, attempt.endpoint, end, outcome);
        }
    }

    /// Handles an expired deadline, backoff or hedge timer of a call.
    pub(super) fn handle_call_timer(&mut self, context: &mut Context, timer: CallTimer) {
        match timer {
            CallTimer::Deadline(id) => {
                if let Some(outcome) = self.calls.get(id).map(Call::outcome_at_deadline) {
                    self.finish(context, id, outcome);
                }
            }
            CallTimer::BackoffElapsed(id) => {
                self.calls.set_state(id, CallState::Ready);
                self.place(context, id);
            }
            CallTimer::Hedge(id) => self.hedge(context, id),
        }
    }

    /// Drops the state of removed endpoints that no connection and no open call refers to.
    pub(super) fn drop_unused_endpoints(&mut self) {
        let calls = &self.calls;
        self.connections.drop_unused_endpoints(|endpoint| calls.any_requires(endpoint));
    }

    // ---- private steps ------------------------------------------------------------------------------------

    /// Chooses an endpoint for a ready call and sends an attempt there. If that is not possible, the call
    /// stays ready, backs off or ends.
    fn place(&mut self, context: &mut Context, id: CallId) -> Placement {
        let Some(call) = self.calls.get(id) else { return Placement::Done };
        let may_have_run = call.may_have_run();
        let timeout_ms = match self.planner.plan_next(context, call) {
            Plan::Send { timeout_ms } => timeout_ms,
            Plan::TooLate => {
                self.finish_with_last_or(context, id, CallOutcome::DeadlineExceeded { may_have_run });
                return Placement::Done;
            }
            Plan::OverBudget => {
                context.counters.retries_over_budget += 1;
                self.finish_with_last_or(context, id, CallOutcome::Failed { may_have_run });
                return Placement::Done;
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
                Placement::Done
            }
            Choice::Backpressure { until_ms } => {
                let retry_after_ms = Some(until_ms - context.now_ms);
                let reason = NotSentReason::Backpressure;
                self.finish_with_last_or(context, id, CallOutcome::NotSent { reason, retry_after_ms });
                Placement::Done
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
            return Placement::Done;
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
        Placement::Done
    }

    /// Makes a call back off until `at_ms`, the earliest time at which an endpoint can take it. A call that
    /// could not end before its deadline then ends at once.
    fn back_off(&mut self, context: &mut Context, id: CallId, at_ms: f64) {
        let Some(call) = self.calls.get(id) else { return };
        let now_ms = context.now_ms;
        let at_ms = at_ms.max(now_ms + MIN_BACKOFF_MS);
        if self.planner.can_wait_until(context, call, at_ms) {
            self.calls.set_state(id, CallState::BackingOff { until_ms: at_ms });
        } else {
            let retry_after_ms = Some(at_ms - now_ms);
            let reason = NotSentReason::NoEndpoint;
            self.finish_with_last_or(context, id, CallOutcome::NotSent { reason, retry_after_ms });
        }
    }

    /// Sends the next attempt of a call. The retry budget must allow it if it is a retry.
    fn send(&mut self, context: &mut Context, id: CallId, connection: ConnectionId, timeout_ms: f64) {
        let Some(next) = self.calls.get(id).map(Call::next_attempt) else { return };
        self.planner.record_sent(context, next);
        let Some(attempt) = self.connections.send_attempt(context, connection, id) else { return };
        let Some(call) = self.calls.get_mut(id) else { return };
        call.add_attempt(attempt);
        let can_hedge = call.idempotency == Idempotency::Idempotent && call.attempts().len() == 1;
        let hedge_at_ms = self.planner.hedge_at_ms(context, call.class);
        if let Some(at_ms) = hedge_at_ms.filter(|_| can_hedge) {
            self.calls.schedule_hedge(id, at_ms);
        }
        self.calls.set_state(id, CallState::InFlight);
        let InFlightAttempt { connection, sequence, .. } = attempt;
        let kind = if next == NextAttempt::Retry { AttemptKind::Retry } else { AttemptKind::First };
        context.actions.push(Action::Send { connection, sequence, call: id, timeout_ms, kind });
    }

    /// Sends a second attempt of a slow call to another endpoint if the retry budget allows it.
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

    fn record_response(
        &mut self,
        context: &mut Context,
        id: CallId,
        attempt: InFlightAttempt,
        kind: ResponseKind,
        latency_ms: f64,
    ) {
        let Some(call) = self.calls.get_mut(id) else { return };
        call.remove_attempt(attempt);
        match kind {
            ResponseKind::Succeeded => self.planner.record_success(context, call.class, latency_ms),
            ResponseKind::Rejected => self.planner.record_rejection(context, latency_ms),
            ResponseKind::Failed | ResponseKind::Invalid => {}
        }
    }

    /// Ends a call whose rejection is final; otherwise applies the rejection's signals and retries the call.
    fn handle_rejection(
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
        let remaining_ms = call.deadline_ms - context.now_ms;
        if is_final_rejection(retry_after_ms, retry_elsewhere, remaining_ms) && call.attempts().is_empty() {
            self.finish(context, id, outcome);
            return;
        }
        if !retry_elsewhere {
            call.pin_to(endpoint);
        }
        self.handle_failure(context, id, endpoint, AttemptEnd::Rejected, outcome);
    }

    /// Handles an attempt that ended without a result: the call waits for its other attempt, is retried, or
    /// ends.
    fn handle_failure(
        &mut self,
        context: &mut Context,
        id: CallId,
        endpoint: EndpointId,
        end: AttemptEnd,
        outcome: CallOutcome,
    ) {
        let Some(call) = self.calls.get_mut(id) else { return };
        match call.record_failed_attempt(endpoint, end, outcome) {
            AfterAttempt::AwaitOther => {}
            AfterAttempt::Finish => self.finish_with_last_or(context, id, outcome),
            AfterAttempt::Retry => self.retry(context, id, outcome),
        }
    }

    fn retry(&mut self, context: &mut Context, id: CallId, outcome: CallOutcome) {
        let Some(call) = self.calls.get(id) else { return };
        let (now_ms, pinned_to) = (context.now_ms, call.pinned_to());
        let uses_budget = call.next_attempt() == NextAttempt::Retry;
        if uses_budget && !self.planner.can_retry(context) {
            context.counters.retries_over_budget += 1;
            self.finish_with_last_or(context, id, outcome);
            return;
        }
        let until_ms = pinned_to.map_or(0.0, |endpoint| self.connections.retry_after_until_ms(endpoint));
        if until_ms > now_ms {
            let wait_ms = until_ms - now_ms;
            let jitter: f64 = context.random.random();
            self.back_off(context, id, now_ms + wait_ms * (1.0 + RETRY_AFTER_JITTER_FRACTION * jitter));
        } else {
            self.calls.set_state(id, CallState::Ready);
            self.place(context, id);
        }
    }

    /// Ends a call with the outcome of its last attempt, or with `default` if no attempt has ended.
    fn finish_with_last_or(&mut self, context: &mut Context, id: CallId, default: CallOutcome) {
        if let Some(call) = self.calls.get(id) {
            let outcome = call.last_outcome_or(default);
            self.finish(context, id, outcome);
        }
    }

    /// Ends a call with an outcome.
    fn finish(&mut self, context: &mut Context, id: CallId, outcome: CallOutcome) {
        let Some(call) = self.remove(context, id) else { return };
        self.planner.record_end(context, call.class, acceptance_of(&outcome));
        context.complete(id, outcome);
    }

    /// Removes a call from all tables and cancels its attempts.
    fn remove(&mut self, context: &mut Context, id: CallId) -> Option<Call> {
        let call = self.calls.remove(id)?;
        for attempt in call.attempts() {
            self.connections.cancel_attempt(context, *attempt);
        }
        Some(call)
    }
}

/// Returns how a call's outcome counts for the throttle. Only rejections and backpressure count as rejected;
/// slow calls, lost connections and missed deadlines do not.
fn acceptance_of(outcome: &CallOutcome) -> Acceptance {
    match outcome {
        CallOutcome::Rejected { .. } | CallOutcome::NotSent { reason: NotSentReason::Backpressure, .. } => {
            Acceptance::Rejected
        }
        _ => Acceptance::Accepted,
    }
}
