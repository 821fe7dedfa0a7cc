//! Manages endpoints and their connections: chooses the endpoint of an attempt, opens, checks and closes
//! connections, and applies responses and connection losses to the endpoint. It refers to calls only by id.
//!
//! Methods that end a connection return its lost attempts. The [`Dispatcher`](super::dispatcher::Dispatcher)
//! decides whether to retry them.

use std::net::SocketAddr;

use plovershelf_codec::front::ServerSignals;

use super::action::{Action, CallId, ConnectionId};
use super::balancer::{Choice, Requirements};
use super::call::InFlightAttempt;
use super::connection::{AnsweredAttempt, Connection, ConnectionCheck, ConnectionState};
use super::connection_pool::ConnectionPool;
use super::context::Context;
use super::endpoint::EndpointId;
use super::endpoint_set::{EndpointSet, ResponseKind};
use super::lost_attempt::{lost_attempts, ClosingRace, LostAttempt};
use super::reconnect::{Connectivity, ReconnectBackoff};

/// A connection without attempts in flight that has been unused for this long counts as idle: if the peer
/// closes it, the endpoint is not considered lost.
const MIN_IDLE_MS: f64 = 1000.0;

/// Result of matching a response with the attempts of its connection.
#[derive(Debug)]
pub(super) enum MatchedResponse {
    /// The response belongs to an attempt in flight.
    Attempt { call: CallId, attempt: InFlightAttempt, latency_ms: f64 },
    /// The attempt was cancelled or its connection has ended.
    Late,
    /// The response matches no attempt. The connection was closed and these attempts are lost.
    ProtocolFault(Vec<LostAttempt>),
}

/// How a connection ended. If the last connection of an endpoint ends with `Loss`, the endpoint counts as
/// lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Loss,
    Orderly,
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
        let reconnect = ReconnectBackoff::new(endpoints.ring_position(), &context.config);
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

    /// Replaces the list of endpoints with `addresses`, which must not be empty. If connections exist but
    /// none to the new subset, connects to its first endpoint so that the old connections can be closed.
    pub(super) fn update_endpoints(&mut self, context: &mut Context, addresses: &[SocketAddr]) {
        self.endpoints.update(context, addresses);
        let has_connection = |id: &EndpointId| {
            self.endpoints.get(*id).is_some_and(|endpoint| !endpoint.connections.is_empty())
        };
        if !self.pool.is_empty() && !self.endpoints.selected().iter().any(has_connection) {
            if let Some(first) = self.endpoints.selected().first().copied() {
                self.connect(context, first);
            }
        }
    }

    /// Drops the state of endpoints that left the subset, have no connection and are not required by any
    /// call.
    pub(super) fn drop_unused_endpoints(&mut self, is_required: impl Fn(EndpointId) -> bool) {
        let disconnected = self.endpoints.removed_and_disconnected();
        for id in disconnected.into_iter().filter(|id| !is_required(*id)) {
            if let Some(endpoint) = self.endpoints.get(id) {
                self.reconnect.cancel(id, endpoint);
            }
            self.endpoints.remove(id);
        }
    }

    pub(super) fn choose(&self, context: &mut Context, requirements: &Requirements<'_>) -> Choice {
        self.endpoints.choose(context, requirements, |endpoint, config| self.pool.capacity(endpoint, config))
    }

    /// Returns whether an endpoint, or the endpoint `only` if it is given, may be able to take a call later.
    pub(super) fn may_become_available(&self, only: Option<EndpointId>) -> bool {
        match only {
            Some(only) => self.endpoints.get(only).is_some(),
            None => {
                self.pool.any_in_state(ConnectionState::Connecting) || !self.endpoints.selected().is_empty()
            }
        }
    }

    /// Returns when the endpoint's Retry-After ends, in milliseconds; a time in the past if it has none.
    pub(super) fn retry_after_until_ms(&self, id: EndpointId) -> f64 {
        self.endpoints.retry_after_until_ms(id)
    }

    // ---- attempts -----------------------------------------------------------------------------------------

    /// Returns the endpoint's least loaded connection with capacity for an attempt, if it has one.
    pub(super) fn available_connection(&self, context: &Context, id: EndpointId) -> Option<ConnectionId> {
        self.pool.least_loaded(self.endpoints.get(id)?, &context.config)
    }

    /// Records an attempt as in flight on a connection with capacity.
    pub(super) fn send_attempt(
        &mut self,
        context: &Context,
        id: ConnectionId,
        call: CallId,
    ) -> Option<InFlightAttempt> {
        let connection = self.pool.get_mut(id)?;
        let (endpoint, sequence) = (connection.endpoint(), connection.send(context.now_ms, call));
        self.endpoints.record_sent(context, endpoint);
        Some(InFlightAttempt { connection: id, sequence, endpoint })
    }

    /// Cancels an attempt. The connection is closed if it is closing and this was its last attempt in flight.
    pub(super) fn cancel_attempt(&mut self, context: &mut Context, attempt: InFlightAttempt) {
        self.endpoints.record_cancelled(context, attempt.endpoint);
        let InFlightAttempt { connection: id, sequence, .. } = attempt;
        let Some(connection) = self.pool.get_mut(id) else { return };
        if connection.cancel(context.now_ms, sequence) {
            context.actions.push(Action::Cancel { connection: id, sequence });
            self.close_if_drained(context, id);
        }
    }

    /// Records that a message was received on a connection. Returns false if the connection has already
    /// ended.
    pub(super) fn record_received(&mut self, context: &Context, id: ConnectionId) -> bool {
        let connection = self.pool.get_mut(id);
        connection.map(|connection| connection.record_received(context.now_ms)).is_some()
    }

    /// Matches a response with an attempt, and updates the endpoint by its signals and result.
    pub(super) fn handle_response(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        sequence: i32,
        signals: &ServerSignals,
        kind: ResponseKind,
    ) -> MatchedResponse {
        let Some(connection) = self.pool.get_mut(id) else { return MatchedResponse::Late };
        let endpoint_id = connection.endpoint();
        let sent = match connection.take_answered(context.now_ms, sequence) {
            AnsweredAttempt::InFlight(sent) => sent,
            AnsweredAttempt::Cancelled => {
                context.counters.late_responses += 1;
                self.endpoints.record_signals(context, endpoint_id, signals);
                return MatchedResponse::Late;
            }
            AnsweredAttempt::Unknown => {
                return MatchedResponse::ProtocolFault(self.handle_protocol_fault(context, id));
            }
        };
        let latency_ms = context.now_ms - sent.sent_ms;
        self.endpoints.record_signals(context, endpoint_id, signals);
        self.endpoints.record_response(context, endpoint_id, kind, latency_ms);
        let attempt = InFlightAttempt { connection: id, sequence, endpoint: endpoint_id };
        MatchedResponse::Attempt { call: sent.call, attempt, latency_ms }
    }

    // ---- connections --------------------------------------------------------------------------------------

    /// Opens a connection to an endpoint if the connection limits and the reconnect rate limit allow it. At
    /// the overall limit, the least recently used idle connection is closed first.
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
        if endpoint.consecutive_losses > 0 && !self.reconnect.try_take_token(context, id, endpoint) {
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

    /// Removes and returns an endpoint whose reconnect is due.
    pub(super) fn pop_due_reconnect(&mut self, context: &Context) -> Option<EndpointId> {
        self.reconnect.pop_due(context.now_ms)
    }

    /// Reconnects to an endpoint if it is still in the subset and has no connection.
    pub(super) fn reconnect(&mut self, context: &mut Context, id: EndpointId) {
        let is_selected = self.endpoints.selected().contains(&id);
        let is_disconnected = self.endpoints.get(id).is_some_and(|endpoint| endpoint.connections.is_empty());
        if is_selected && is_disconnected {
            self.connect(context, id);
        }
    }

    /// Handles an established connection. Sends a health check first if the endpoint was lost or ejected.
    /// Returns false if the connection was not being established.
    pub(super) fn handle_connected(&mut self, context: &mut Context, id: ConnectionId) -> bool {
        let connection = self.pool.get_mut(id);
        let connecting = connection.filter(|connection| connection.state() == ConnectionState::Connecting);
        let Some(connection) = connecting else { return false };
        connection.set_established(context.now_ms);
        let endpoint = self.endpoints.get(connection.endpoint());
        if endpoint.is_some_and(|endpoint| endpoint.consecutive_losses > 0 || !endpoint.breaker.is_closed()) {
            connection.require_health_check();
            self.probe(context, id);
        }
        true
    }

    /// Handles a connection that could not be established. Returns false if it was not being established.
    pub(super) fn handle_connect_failed(&mut self, context: &mut Context, id: ConnectionId) -> bool {
        let was_connecting = self.pool.has_state(id, ConnectionState::Connecting);
        if was_connecting {
            context.counters.connects_failed += 1;
            self.remove(context, id, ConnectionEnd::Loss);
        }
        was_connecting
    }

    /// Handles the response to a health check. A response that matches no pending health check is a protocol
    /// fault.
    pub(super) fn handle_health(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        sequence: i32,
        health: Health,
        signals: &ServerSignals,
    ) -> Vec<LostAttempt> {
        let Some(connection) = self.pool.get_mut(id) else { return Vec::new() };
        if !connection.complete_probe(sequence) {
            return self.handle_protocol_fault(context, id);
        }
        let endpoint = connection.endpoint();
        self.endpoints.record_signals(context, endpoint, signals);
        if health == Health::Unready {
            self.endpoints.record_draining(context, endpoint);
        }
        Vec::new()
    }

    /// Handles `closing`: the endpoint accepts no new attempts on the connection. If all connections of the
    /// endpoint are closing and this one was in use, the endpoint is treated as draining.
    pub(super) fn handle_closing(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        connection.record_closing(context.now_ms);
        let endpoint = connection.endpoint();
        let unused_ms = context.now_ms - connection.last_used_ms();
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

    /// Handles a connection that the peer closed or reset. Returns its lost attempts.
    pub(super) fn handle_closed(&mut self, context: &mut Context, id: ConnectionId) -> Vec<LostAttempt> {
        let Some(connection) = self.pool.get(id) else { return Vec::new() };
        let unused_ms = context.now_ms - connection.last_used_ms();
        let was_idle = connection.in_flight() == 0 && unused_ms >= MIN_IDLE_MS;
        let was_connecting = connection.state() == ConnectionState::Connecting;
        let was_announced = connection.closing_received_ms().is_some();
        // An endpoint that sent `closing` without having responded to anything is faulty, not just shutting
        // down.
        let was_orderly = was_idle || (was_announced && connection.has_responded());
        if was_connecting {
            context.counters.connects_failed += 1;
        } else if connection.in_flight() > 0 {
            context.counters.connections_lost += 1;
        }
        if !was_announced && !was_idle && !was_connecting {
            self.endpoints.record_connection_failure(context, connection.endpoint());
        }
        let end = if was_connecting || !was_orderly { ConnectionEnd::Loss } else { ConnectionEnd::Orderly };
        let race = ClosingRace::Within { race_ms: context.config.closing_race_ms };
        let removed = self.remove(context, id, end);
        removed.map_or_else(Vec::new, |connection| lost_attempts(id, connection, race))
    }

    /// Handles a protocol violation or a missing response to a health check: closes the connection, ejects
    /// the endpoint and requires a health check on its other connections. Returns the lost attempts.
    pub(super) fn handle_protocol_fault(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
    ) -> Vec<LostAttempt> {
        let Some(connection) = self.pool.get(id) else { return Vec::new() };
        let endpoint_id = connection.endpoint();
        context.counters.protocol_faults += 1;
        context.counters.connections_lost += 1;
        self.endpoints.record_protocol_fault(context, endpoint_id);
        let removed = self.remove(context, id, ConnectionEnd::Loss);
        context.actions.push(Action::Close { connection: id });
        self.check_open_connections(context, endpoint_id);
        removed.map_or_else(Vec::new, |connection| lost_attempts(id, connection, ClosingRace::Ignored))
    }

    /// Requires a health check on every open connection of an endpoint.
    fn check_open_connections(&mut self, context: &mut Context, endpoint: EndpointId) {
        let connections = self.endpoints.get(endpoint).map(|endpoint| endpoint.connections.clone());
        for id in connections.unwrap_or_default() {
            let Some(connection) = self.pool.get_mut(id) else { continue };
            if connection.state() != ConnectionState::Open {
                continue;
            }
            connection.require_health_check();
            if !connection.has_probe() {
                self.probe(context, id);
            }
        }
    }

    /// Returns all connections for a check if the sweep interval has elapsed.
    pub(super) fn start_sweep(&mut self, context: &Context) -> Option<Vec<ConnectionId>> {
        if context.now_ms < self.next_sweep_ms {
            return None;
        }
        self.next_sweep_ms = context.now_ms + context.config.sweep_interval_ms;
        Some(self.pool.ids())
    }

    /// Closes a connection that was not established in time, did not respond to its health check or has
    /// reached its idle timeout, and sends a health check if one is due. Returns the lost attempts.
    pub(super) fn check(&mut self, context: &mut Context, id: ConnectionId) -> Vec<LostAttempt> {
        let Some(connection) = self.pool.get_mut(id) else { return Vec::new() };
        match connection.check(context.now_ms, &context.config) {
            ConnectionCheck::Ok => {}
            ConnectionCheck::ConnectTimedOut => {
                context.counters.connects_failed += 1;
                self.remove(context, id, ConnectionEnd::Loss);
                context.actions.push(Action::Close { connection: id });
            }
            ConnectionCheck::ProbeDue => self.probe(context, id),
            ConnectionCheck::ProbeTimedOut => return self.handle_protocol_fault(context, id),
            ConnectionCheck::Unused { for_ms } => {
                let endpoint = connection.endpoint();
                if self.should_close_unused(context, endpoint, for_ms) {
                    self.close(context, id);
                }
            }
        }
        Vec::new()
    }

    /// Returns whether to close a connection of an endpoint that has been unused for `unused_ms`.
    fn should_close_unused(&self, context: &Context, id: EndpointId, unused_ms: f64) -> bool {
        let config = &context.config;
        let Some(endpoint) = self.endpoints.get(id) else { return false };
        let Some(removed_at_ms) = endpoint.removed_at_ms else {
            let is_only = endpoint.connections.len() == 1;
            let timeout_ms = if is_only { config.last_idle_timeout_ms } else { config.idle_timeout_ms };
            return unused_ms >= timeout_ms;
        };
        context.now_ms - removed_at_ms >= config.make_before_break_ms
            || self.any_other_connected(id)
            || unused_ms >= config.idle_timeout_ms
    }

    /// Returns whether another endpoint of the subset is connected.
    fn any_other_connected(&self, id: EndpointId) -> bool {
        let others = self.endpoints.selected().iter().filter(|other| **other != id);
        others.filter_map(|other| self.endpoints.get(*other)).any(|endpoint| self.pool.is_connected(endpoint))
    }

    /// Sends a health check.
    fn probe(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        if let Some(sequence) = connection.start_probe(context.now_ms) {
            context.actions.push(Action::Probe { connection: id, sequence });
        }
    }

    /// Closes a connection that is closing and has no attempt in flight.
    pub(super) fn close_if_drained(&mut self, context: &mut Context, id: ConnectionId) {
        if self.pool.get(id).is_some_and(Connection::is_drained) {
            self.close(context, id);
        }
    }

    /// Closes all connections and cancels all reconnects.
    pub(super) fn close_all(&mut self, context: &mut Context) {
        for id in self.pool.ids() {
            self.close(context, id);
        }
        self.reconnect.clear();
    }

    /// Closes a connection without attempts in flight. If the endpoint sent `closing` before any response,
    /// the end counts as a loss, so that the reconnect backoff applies; otherwise the client would reconnect
    /// immediately.
    fn close(&mut self, context: &mut Context, id: ConnectionId) {
        let is_loss = self.pool.get(id).is_some_and(|connection| {
            connection.state() == ConnectionState::Closing && !connection.has_responded()
        });
        let end = if is_loss { ConnectionEnd::Loss } else { ConnectionEnd::Orderly };
        let removed = self.remove(context, id, end);
        context.actions.push(Action::Close { connection: id });
        let in_flight = removed.map_or(0, |connection| connection.in_flight());
        debug_assert_eq!(in_flight, 0, "closed a connection with attempts in flight");
    }

    /// Removes a connection from the pool and from its endpoint. The endpoint counts as lost if this was its
    /// last connection and `end` is [`ConnectionEnd::Loss`].
    fn remove(&mut self, context: &mut Context, id: ConnectionId, end: ConnectionEnd) -> Option<Connection> {
        let connection = self.pool.remove(id)?;
        let (endpoint, in_flight) = (connection.endpoint(), connection.in_flight());
        let was_last = self.endpoints.remove_connection(context, endpoint, id, in_flight);
        if was_last && end == ConnectionEnd::Loss {
            self.record_endpoint_loss(context, endpoint);
        }
        Some(connection)
    }

    /// Counts the loss of an endpoint and schedules its reconnect.
    fn record_endpoint_loss(&mut self, context: &mut Context, id: EndpointId) {
        let connectivity = if self.pool.any_in_state(ConnectionState::Open) {
            Connectivity::OtherEndpointConnected
        } else {
            Connectivity::NoneConnected
        };
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.consecutive_losses = endpoint.consecutive_losses.saturating_add(1);
        }
        self.reconnect.schedule_reconnect(context, self.endpoints.table_mut(), id, connectivity);
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

/// Readiness that an endpoint reports in its response to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    Ready,
    Unready,
}
