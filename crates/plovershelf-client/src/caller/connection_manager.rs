//! Endpoints and connections together: which endpoint an attempt goes to, which connections are made, kept and closed, and
//! what an end or an answer means for the endpoint. Calls appear here by their ids alone.
//!
//! Losses of attempts are handed back; whether they are retried is decided by the
//! [`Dispatcher`](super::dispatcher::Dispatcher).

use std::net::SocketAddr;

use plovershelf_codec::front::ServerSignals;

use super::action::{Action, CallId, ConnectionId};
use super::balancer::{Choice, Requirements};
use super::call::InFlightAttempt;
use super::connection::{AnsweredAttempt, Connection, ConnectionCheck, ConnectionState};
use super::connection_pool::ConnectionPool;
use super::context::Context;
use super::endpoint::EndpointId;
use super::endpoint_set::{AnswerKind, EndpointSet};
use super::lost_attempt::{lost_attempts, ClosingRace, LostAttempt};
use super::reconnect::{Connectivity, ReconnectBackoff};

/// A connection without attempts in flight that was not used for this long ended idle, which is no loss.
const IDLE_LOSS_MS: f64 = 1000.0;

/// What an answer turned out to belong to.
#[derive(Debug)]
pub(super) enum Answered {
    Attempt {
        call: CallId,
        attempt: InFlightAttempt,
        took_ms: f64,
    },
    /// To an attempt that was cancelled.
    Late,
    /// To nothing that was asked: the connection is gone, with these attempts.
    ProtocolFault(Vec<LostAttempt>),
}

/// Whether the end of a connection counts as a loss of its endpoint, where it was the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndCounts {
    AsLoss,
    AsOrderly,
}

#[derive(Debug)]
pub(super) struct ConnectionManager {
    endpoints: EndpointSet,
    pool: ConnectionPool,
    reconnect: ReconnectBackoff,
    next_sweep_ms: f64,
}

impl ConnectionManager {
    pub(super) fn new(context: &mut Context) -> Self {
        let endpoints = EndpointSet::new(context);
        let reconnect = ReconnectBackoff::new(endpoints.ring_place(), &context.config);
        ConnectionManager { endpoints, pool: ConnectionPool::default(), reconnect, next_sweep_ms: 0.0 }
    }

    pub(super) fn connection_count(&self) -> usize {
        self.pool.len()
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.pool.get(id).is_some()
    }

    pub(super) fn next_reconnect_ms(&self) -> Option<f64> {
        self.reconnect.next_timeout_ms()
    }

    pub(super) fn next_sweep_ms(&self) -> Option<f64> {
        (!self.pool.is_empty()).then_some(self.next_sweep_ms)
    }

    // ---- endpoints ----------------------------------------------------------------------------------------

    /// Takes a new list that is not empty. Where none of the new endpoints is connected, one is connected to before the old
    /// ones go.
    pub(super) fn update_endpoints(&mut self, context: &mut Context, addresses: &[SocketAddr]) {
        self.endpoints.update(context, addresses);
        let is_serving = |id: &EndpointId| {
            self.endpoints.get(*id).is_some_and(|endpoint| !endpoint.connections.is_empty())
        };
        if !self.pool.is_empty() && !self.endpoints.selected().iter().any(is_serving) {
            if let Some(first) = self.endpoints.selected().first().copied() {
                self.connect(context, first);
            }
        }
    }

    /// Forgets endpoints that left the list, have no connection, and are not waited for by any call.
    pub(super) fn forget_removed_endpoints(&mut self, is_needed: impl Fn(EndpointId) -> bool) {
        let gone = self.endpoints.removed_and_unconnected();
        for id in gone.into_iter().filter(|id| !is_needed(*id)) {
            if let Some(endpoint) = self.endpoints.get(id) {
                self.reconnect.cancel(id, endpoint);
            }
            self.endpoints.forget(id);
        }
    }

    pub(super) fn choose(&self, context: &mut Context, requirements: &Requirements<'_>) -> Choice {
        self.endpoints.choose(context, requirements, |endpoint, config| self.pool.capacity(endpoint, config))
    }

    /// Whether an endpoint may take a call later, although none takes it now.
    pub(super) fn may_become_available(&self, only: Option<EndpointId>) -> bool {
        match only {
            Some(only) => self.endpoints.get(only).is_some(),
            None => {
                self.pool.any_in_state(ConnectionState::Connecting) || !self.endpoints.selected().is_empty()
            }
        }
    }

    /// The end of the endpoint's Retry-After; in the past where there is none.
    pub(super) fn retry_after_until_ms(&self, id: EndpointId) -> f64 {
        self.endpoints.retry_after_until_ms(id)
    }

    // ---- attempts -----------------------------------------------------------------------------------------

    /// The connection on which the endpoint takes an attempt now.
    pub(super) fn available_connection(&self, context: &Context, id: EndpointId) -> Option<ConnectionId> {
        self.pool.least_loaded(self.endpoints.get(id)?, &context.config)
    }

    /// Puts an attempt in flight on a connection with capacity.
    pub(super) fn send_attempt(
        &mut self,
        context: &Context,
        connection: ConnectionId,
        call: CallId,
    ) -> Option<InFlightAttempt> {
        let own = self.pool.get_mut(connection)?;
        let (endpoint, sequence) = (own.endpoint(), own.send(context.now_ms, call));
        self.endpoints.record_sent(context, endpoint);
        Some(InFlightAttempt { connection, sequence, endpoint })
    }

    /// Gives up an attempt that is no longer waited for.
    pub(super) fn cancel_attempt(&mut self, context: &mut Context, attempt: InFlightAttempt) {
        self.endpoints.record_cancelled(context, attempt.endpoint);
        let InFlightAttempt { connection, sequence, .. } = attempt;
        let Some(own) = self.pool.get_mut(connection) else { return };
        if own.cancel(context.now_ms, sequence) {
            context.actions.push(Action::Cancel { connection, sequence });
            self.close_if_drained(context, connection);
        }
    }

    /// Something was received on a connection; false where there is no such connection any more.
    pub(super) fn received(&mut self, context: &Context, id: ConnectionId) -> bool {
        let connection = self.pool.get_mut(id);
        connection.map(|connection| connection.received(context.now_ms)).is_some()
    }

    pub(super) fn handle_answer(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        sequence: i32,
        signals: &ServerSignals,
        kind: AnswerKind,
    ) -> Answered {
        let Some(connection) = self.pool.get_mut(id) else { return Answered::Late };
        let endpoint_id = connection.endpoint();
        let sent = match connection.answered(context.now_ms, sequence) {
            AnsweredAttempt::InFlight(sent) => sent,
            AnsweredAttempt::Cancelled => {
                context.counters.late_answers += 1;
                self.endpoints.record_signals(context, endpoint_id, signals);
                return Answered::Late;
            }
            AnsweredAttempt::Unknown => {
                return Answered::ProtocolFault(self.protocol_fault(context, id));
            }
        };
        let took_ms = context.now_ms - sent.sent_ms;
        self.endpoints.record_signals(context, endpoint_id, signals);
        self.endpoints.record_answer(context, endpoint_id, kind, took_ms);
        let attempt = InFlightAttempt { connection: id, sequence, endpoint: endpoint_id };
        Answered::Attempt { call: sent.call, attempt, took_ms }
    }

    // ---- connections --------------------------------------------------------------------------------------

    /// Opens a connection, within the limits and the reconnect backoff.
    pub(super) fn connect(&mut self, context: &mut Context, id: EndpointId) {
        if self.pool.len() >= context.config.max_connections && !self.close_least_recently_used(context) {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if self.pool.is_connecting(endpoint)
            || endpoint.connections.len() >= context.config.max_connections_per_endpoint
        {
            return;
        }
        if endpoint.losses > 0 && !self.reconnect.try_take_token(context, id, endpoint) {
            return;
        }
        if self.pool.is_empty() {
            self.next_sweep_ms = context.now_ms + context.config.sweep_interval_ms;
        }
        let connection = self.pool.insert(context.now_ms, id);
        endpoint.connections.push(connection);
        context.counters.connects += 1;
        context.actions.push(Action::Connect { connection, address: endpoint.address });
    }

    fn close_least_recently_used(&mut self, context: &mut Context) -> bool {
        let idle = self.pool.least_recently_used();
        idle.inspect(|id| self.close(context, *id)).is_some()
    }

    /// The endpoint whose reconnect is due.
    pub(super) fn pop_due_reconnect(&mut self, context: &Context) -> Option<EndpointId> {
        self.reconnect.pop_due(context.now_ms)
    }

    /// Connects to an endpoint again that is still wanted and not connected.
    pub(super) fn reconnect(&mut self, context: &mut Context, id: EndpointId) {
        let is_selected = self.endpoints.selected().contains(&id);
        let is_alone = self.endpoints.get(id).is_some_and(|endpoint| endpoint.connections.is_empty());
        if is_selected && is_alone {
            self.connect(context, id);
        }
    }

    /// Whether there was such a connection in the making.
    pub(super) fn handle_connected(&mut self, context: &mut Context, id: ConnectionId) -> bool {
        let connection = self.pool.get_mut(id);
        let connecting = connection.filter(|connection| connection.state() == ConnectionState::Connecting);
        let Some(connection) = connecting else { return false };
        connection.established(context.now_ms);
        let endpoint = self.endpoints.get(connection.endpoint());
        if endpoint.is_some_and(|endpoint| endpoint.losses > 0 || !endpoint.breaker.is_closed()) {
            connection.require_proof();
            self.probe(context, id);
        }
        true
    }

    /// Whether there was such a connection in the making.
    pub(super) fn handle_connect_failed(&mut self, context: &mut Context, id: ConnectionId) -> bool {
        let was_connecting = self.pool.has_state(id, ConnectionState::Connecting);
        if was_connecting {
            context.counters.connects_failed += 1;
            self.remove(context, id, EndCounts::AsLoss);
        }
        was_connecting
    }

    /// The answer to a health check. One that nobody asked for is a fault.
    pub(super) fn handle_health(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        sequence: i32,
        health: Health,
        signals: &ServerSignals,
    ) -> Vec<LostAttempt> {
        let Some(connection) = self.pool.get_mut(id) else { return Vec::new() };
        if !connection.probe_answered(sequence) {
            return self.protocol_fault(context, id);
        }
        let endpoint = connection.endpoint();
        self.endpoints.record_signals(context, endpoint, signals);
        if health == Health::Unready {
            self.endpoints.record_draining(context, endpoint);
        }
        Vec::new()
    }

    /// The endpoint takes no new attempts on the connection. Where it closes its last one in use, it drains.
    pub(super) fn handle_closing(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        connection.closing_received(context.now_ms);
        let endpoint = connection.endpoint();
        let unused_ms = context.now_ms - connection.used_ms();
        let in_use = connection.in_flight() > 0 || unused_ms < context.config.closing_race_ms;
        if in_use && self.is_closing_all_of(endpoint) {
            self.endpoints.record_draining(context, endpoint);
        }
        self.close_if_drained(context, id);
    }

    fn is_closing_all_of(&self, id: EndpointId) -> bool {
        let is_closing = |id: &ConnectionId| {
            self.pool.get(*id).is_none_or(|connection| connection.state() == ConnectionState::Closing)
        };
        self.endpoints.get(id).is_some_and(|endpoint| endpoint.connections.iter().all(is_closing))
    }

    /// A connection has ended without having been asked to.
    pub(super) fn handle_closed(&mut self, context: &mut Context, id: ConnectionId) -> Vec<LostAttempt> {
        let Some(connection) = self.pool.get(id) else { return Vec::new() };
        let unused_ms = context.now_ms - connection.used_ms();
        let was_idle = connection.in_flight() == 0 && unused_ms >= IDLE_LOSS_MS;
        let was_connecting = connection.state() == ConnectionState::Connecting;
        let was_announced = connection.closing_received_ms().is_some();
        // An endpoint that took attempts and answered none before its `closing` does not just tidy up.
        let was_orderly = was_idle || (was_announced && connection.has_answered());
        if was_connecting {
            context.counters.connects_failed += 1;
        } else if connection.in_flight() > 0 {
            context.counters.connections_lost += 1;
        }
        if !was_announced && !was_idle && !was_connecting {
            self.endpoints.record_connection_failure(context, connection.endpoint());
        }
        let counts = if was_connecting || !was_orderly { EndCounts::AsLoss } else { EndCounts::AsOrderly };
        let race = ClosingRace::Within { race_ms: context.config.closing_race_ms };
        let removed = self.remove(context, id, counts);
        removed.map_or_else(Vec::new, |connection| lost_attempts(id, connection, race))
    }

    /// An endpoint violates the protocol or does not answer its health check: the connection ends, the endpoint is ejected, and
    /// its other connections have to prove themselves.
    pub(super) fn protocol_fault(&mut self, context: &mut Context, id: ConnectionId) -> Vec<LostAttempt> {
        let Some(connection) = self.pool.get(id) else { return Vec::new() };
        let endpoint_id = connection.endpoint();
        context.counters.protocol_faults += 1;
        context.counters.connections_lost += 1;
        self.endpoints.record_protocol_fault(context, endpoint_id);
        let removed = self.remove(context, id, EndCounts::AsLoss);
        context.actions.push(Action::Close { connection: id });
        self.require_proof_of_others(context, endpoint_id);
        removed.map_or_else(Vec::new, |connection| lost_attempts(id, connection, ClosingRace::Ignored))
    }

    fn require_proof_of_others(&mut self, context: &mut Context, endpoint: EndpointId) {
        let connections = self.endpoints.get(endpoint).map(|endpoint| endpoint.connections.clone());
        for id in connections.unwrap_or_default() {
            let Some(connection) = self.pool.get_mut(id) else { continue };
            if connection.state() != ConnectionState::Open {
                continue;
            }
            connection.require_proof();
            if !connection.has_probe() {
                self.probe(context, id);
            }
        }
    }

    /// The connections to check, if a sweep is due.
    pub(super) fn start_sweep(&mut self, context: &Context) -> Option<Vec<ConnectionId>> {
        if context.now_ms < self.next_sweep_ms {
            return None;
        }
        self.next_sweep_ms = context.now_ms + context.config.sweep_interval_ms;
        Some(self.pool.ids())
    }

    /// Closes a connection that is not established in time, does not answer, or is not used.
    pub(super) fn check(&mut self, context: &mut Context, id: ConnectionId) -> Vec<LostAttempt> {
        let Some(connection) = self.pool.get_mut(id) else { return Vec::new() };
        match connection.check(context.now_ms, &context.config) {
            ConnectionCheck::InOrder => {}
            ConnectionCheck::NotEstablishedInTime => {
                context.counters.connects_failed += 1;
                self.remove(context, id, EndCounts::AsLoss);
                context.actions.push(Action::Close { connection: id });
            }
            ConnectionCheck::ProbeDue => self.probe(context, id),
            ConnectionCheck::ProbeNotAnswered => return self.protocol_fault(context, id),
            ConnectionCheck::Unused { for_ms } => {
                let endpoint = connection.endpoint();
                if self.is_dispensable(context, endpoint, for_ms) {
                    self.close(context, id);
                }
            }
        }
        Vec::new()
    }

    /// Whether a connection that was not used for so long is closed.
    fn is_dispensable(&self, context: &Context, id: EndpointId, unused_ms: f64) -> bool {
        let config = &context.config;
        let Some(endpoint) = self.endpoints.get(id) else { return false };
        let Some(removed_ms) = endpoint.removed_ms else {
            let is_only = endpoint.connections.len() == 1;
            let timeout_ms = if is_only { config.last_idle_timeout_ms } else { config.idle_timeout_ms };
            return unused_ms >= timeout_ms;
        };
        context.now_ms - removed_ms >= config.make_before_break_ms
            || self.other_is_connected(id)
            || unused_ms >= config.idle_timeout_ms
    }

    /// Whether another endpoint of the subset is connected.
    fn other_is_connected(&self, id: EndpointId) -> bool {
        let others = self.endpoints.selected().iter().filter(|other| **other != id);
        others.filter_map(|other| self.endpoints.get(*other)).any(|endpoint| self.pool.is_connected(endpoint))
    }

    fn probe(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        if let Some(sequence) = connection.start_probe(context.now_ms) {
            context.actions.push(Action::Probe { connection: id, sequence });
        }
    }

    pub(super) fn close_if_drained(&mut self, context: &mut Context, id: ConnectionId) {
        if self.pool.get(id).is_some_and(Connection::is_drained) {
            self.close(context, id);
        }
    }

    /// Closes all connections for good.
    pub(super) fn close_all(&mut self, context: &mut Context) {
        for id in self.pool.ids() {
            self.close(context, id);
        }
        self.reconnect.clear();
    }

    /// Closes a connection without attempts in flight. One whose endpoint closed it before any answer counts as a loss: else it
    /// would be made again at once.
    fn close(&mut self, context: &mut Context, id: ConnectionId) {
        let is_loss = self.pool.get(id).is_some_and(|connection| {
            connection.state() == ConnectionState::Closing && !connection.has_answered()
        });
        let counts = if is_loss { EndCounts::AsLoss } else { EndCounts::AsOrderly };
        let removed = self.remove(context, id, counts);
        context.actions.push(Action::Close { connection: id });
        let in_flight = removed.map_or(0, |connection| connection.in_flight());
        debug_assert_eq!(in_flight, 0, "a connection is closed with attempts in flight");
    }

    /// Takes a connection out of the tables.
    fn remove(&mut self, context: &mut Context, id: ConnectionId, counts: EndCounts) -> Option<Connection> {
        let connection = self.pool.remove(id)?;
        let (endpoint, in_flight) = (connection.endpoint(), connection.in_flight());
        let was_last = self.endpoints.remove_connection(context, endpoint, id, in_flight);
        if was_last && counts == EndCounts::AsLoss {
            self.endpoint_lost(context, endpoint);
        }
        Some(connection)
    }

    fn endpoint_lost(&mut self, context: &mut Context, id: EndpointId) {
        let connectivity = if self.pool.any_in_state(ConnectionState::Open) {
            Connectivity::OtherEndpointConnected
        } else {
            Connectivity::NoneConnected
        };
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.losses = endpoint.losses.saturating_add(1);
        }
        self.reconnect.endpoint_lost(context, self.endpoints.table_mut(), id, connectivity);
    }

    #[cfg(test)]
    pub(super) fn endpoints(&self) -> &super::endpoint::Endpoints {
        self.endpoints.table()
    }

    #[cfg(test)]
    pub(super) fn pending_reconnects(&self) -> usize {
        self.reconnect.pending()
    }

    #[cfg(test)]
    pub(super) fn pool(&self) -> &ConnectionPool {
        &self.pool
    }
}

/// What an endpoint reports of itself in answer to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    Ready,
    Unready,
}
