//! Client connections: their requests, responses, eviction and closing.
//!
//! | cause of eviction or closing | reason |
//! | --- | --- |
//! | it has sent no message for `min_unused_ms`, and connections run short | a regular client sends a request soon after connecting |
//! | it is idle, and connections run short | closing the longest idle one costs its client least |
//! | it is idle past the announced idle timeout | each open connection slows the process down |
//! | its client violates the protocol | the peer may not be a client at all |
//! | its client reads too slowly | its unsent responses would use up the memory |
//! | drain | new requests can't be answered any more |

use std::collections::BTreeMap;

use plovershelf_codec::front::{self, DecodeError, ExceptionKind, Message, ServerSignals};

use super::admission::{RejectReason, RequestFrame};
use super::Driver;
use crate::broken::{self, Broken, LAST_ANSWERS_MS};
use crate::connection_state::PhaseEvent;
use crate::event::{ConnectionId, ReadError};
use crate::outbox::{Outbox, QueueFull};

/// State of a client connection in the driver.
pub(super) struct ClientConnection {
    outbox: Outbox,
    /// Ids of the requests that were read and not answered yet, by sequence number.
    requests: BTreeMap<i32, u32>,
    pub(super) idle_since_ms: f64,
    closing_since_ms: Option<f64>,
    /// True once the connection has sent a message that could be decoded.
    pub(super) has_sent_message: bool,
    /// Faults counted against this connection, including those that another client may have caused.
    faults: u32,
}

impl ClientConnection {
    fn new(outbox: Outbox, now_ms: f64) -> Self {
        ClientConnection {
            outbox,
            requests: BTreeMap::new(),
            idle_since_ms: now_ms,
            closing_since_ms: None,
            has_sent_message: false,
            faults: 0,
        }
    }

    /// Returns the number of unanswered requests.
    pub(super) fn open_requests(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn add_request(&mut self, seqid: i32, id: u32) {
        self.requests.insert(seqid, id);
    }

    pub(super) fn remove_request(&mut self, seqid: i32, id: u32, now_ms: f64) {
        if self.requests.get(&seqid) == Some(&id) {
            self.requests.remove(&seqid);
            self.idle_since_ms = now_ms;
        }
    }

    /// Returns whether the connection was made at or before this time and has sent no message.
    fn is_unused_since(&self, time_ms: f64) -> bool {
        !self.has_sent_message && self.idle_since_ms <= time_ms
    }

    /// Returns whether the connection has sent messages, and has had no open request since this time.
    fn is_idle_since(&self, time_ms: f64) -> bool {
        self.has_sent_message && self.requests.is_empty() && self.idle_since_ms <= time_ms
    }

    /// Returns whether input of the connection may not have reached the driver yet. It may contain a request, so the
    /// connection must not be evicted.
    fn has_pending_input(&self) -> bool {
        let state = self.outbox.connection();
        let may_contain_request = || state.has_unhandled_input() || state.has_partial_frame();
        state.has_queued_frame() || (self.has_sent_message && may_contain_request())
    }

    /// Returns whether the closing was announced at least `timeout_ms` ago and the connection is idle without
    /// unhandled input. A partly received message doubles the timeout.
    fn closing_timed_out(&self, timeout_ms: f64, now_ms: f64) -> bool {
        let state = self.outbox.connection();
        let timeout_ms = if state.has_partial_frame() { 2.0 * timeout_ms } else { timeout_ms };
        let is_over = self.closing_since_ms.is_some_and(|since_ms| since_ms + timeout_ms <= now_ms);
        self.requests.is_empty() && is_over && !state.has_unhandled_input()
    }
}

impl Driver {
    /// Logs a fault of a peer, within the limit of log lines per second.
    pub(super) fn log_peer_error(&mut self, message: &str) {
        let line = self.peer_errors.admit(self.now_ms);
        if line.suppressed > 0 {
            let more = line.suppressed;
            tracing::warn!(
                event = "peer_errors_suppressed",
                more,
                "{more} further peer errors were not logged"
            );
        }
        if line.is_admitted {
            tracing::warn!(event = "peer_error", "{message}");
        }
    }

    // ---- events --------------------------------------------------------------------------------------

    pub(super) fn handle_connected(&mut self, connection: ConnectionId, outbox: Outbox) {
        self.connections.insert(connection, ClientConnection::new(outbox, self.now_ms));
        if self.is_grace_over {
            self.announce_closing(connection);
        }
        if self.connections.len() > self.limits.eviction_threshold {
            self.evict_connection(self.limits.min_unused_ms, self.limits.min_idle_ms);
        }
    }

    pub(super) fn handle_disconnected(&mut self, connection: ConnectionId, error: Option<ReadError>) {
        match error {
            Some(error) => self.stop_reading(connection, &error.to_string()),
            None => self.abort(connection),
        }
    }

    pub(super) fn handle_frame(&mut self, connection: ConnectionId, frame: Vec<u8>) {
        let now_ms = self.now_ms;
        let Some(client) = self.connections.get_mut(&connection) else { return };
        client.outbox.connection().frame_received();
        if client.outbox.is_discarding() {
            return;
        }
        let message = front::decode(&frame);
        if message.is_ok() {
            (client.idle_since_ms, client.has_sent_message) = (now_ms, true);
        }
        match message {
            Ok(Message::Dispatch { seqid, request }) => {
                let start = request.body.as_ptr() as usize - frame.as_ptr() as usize;
                let (attempt, body) = (request.id, start..start + request.body.len());
                if client.requests.contains_key(&seqid) {
                    // An exception would be a second answer to this sequence number.
                    self.stop_reading(connection, "a sequence number is in use by an open request");
                    return;
                }
                match self.check_request(connection, &request) {
                    Ok(checked) => {
                        let frame = RequestFrame { connection, seqid, attempt, frame, body };
                        self.open_request(frame, checked);
                    }
                    Err(reason) => self.reject(connection, seqid, reason),
                }
            }
            Ok(Message::Cancel { seqid }) => {
                if let Some(id) = client.requests.get(&seqid).copied() {
                    self.handle_client_gone(id);
                }
            }
            Ok(Message::Alive { seqid }) => {
                let signals = ServerSignals { backpressure: self.backpressure, ..ServerSignals::default() };
                self.send(connection, front::health(seqid, self.is_ready, &signals));
            }
            Ok(Message::Other) => self.log_peer_error("a message of an unknown method"),
            Err(DecodeError::Rejected { seqid, method, kind, reason }) => {
                self.send_exception(connection, seqid, &method, kind, &reason.to_string());
                self.record_fault(connection, self.limits.max_faults);
            }
            Err(DecodeError::Malformed(error)) => self.stop_reading(connection, &error.to_string()),
        }
    }

    fn reject(&mut self, connection: ConnectionId, seqid: i32, reason: RejectReason) {
        let message = reason.to_string();
        match reason {
            RejectReason::DeduplicationTableFull => {
                self.log_peer_error(&message);
                self.send(connection, front::rejected(seqid, &ServerSignals::default()));
                return;
            }
            RejectReason::KeyReserved => {
                self.log_peer_error(&format!("connection {connection}: {message}"));
                self.send(connection, front::rejected(seqid, &ServerSignals::default()));
            }
            _ => self.send_exception(connection, seqid, "dispatch", ExceptionKind::Internal, &message),
        }
        let faults = if reason.may_be_other_clients_fault() { 1 } else { self.limits.max_faults };
        self.record_fault(connection, faults);
    }

    /// Adds to a connection's fault count and stops reading from it at the limit. A fault that another client
    /// may have caused adds 1, so that only repeated ones reach the limit; any other fault reaches it at once.
    fn record_fault(&mut self, connection: ConnectionId, faults: u32) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        client.faults += faults;
        if client.faults >= self.limits.max_faults {
            self.stop_reading(connection, "too many protocol faults");
        }
    }

    /// Marks a request whose client has gone or cancelled it, and notifies the backend.
    fn handle_client_gone(&mut self, id: u32) {
        self.mark_answered(id);
        self.decide(|backend, now_ms| backend.handle_client_gone(now_ms, id));
    }

    // ---- eviction ------------------------------------------------------------------------------------

    /// Evicts connections because no more can be opened: all that have sent no message since they were made, or else
    /// the one that has been idle longest.
    pub(super) fn handle_connections_exhausted(&mut self, reason: &str, open: usize) {
        self.log_peer_error(reason);
        // Enough connections are already ending and will soon be released.
        if open.saturating_sub(self.connections.len()) > self.limits.max_ending_connections {
            return;
        }
        let mut remaining = self.limits.max_evictions;
        while remaining > 0 && self.evict_connection(self.limits.min_unused_ms_when_full, 0.0) {
            remaining -= 1;
        }
    }

    /// Evicts a connection that has sent no message for `min_unused_ms`, or else the one that has been idle longest.
    /// Returns whether the evicted connection had sent no message.
    fn evict_connection(&mut self, min_unused_ms: f64, min_idle_ms: f64) -> bool {
        let unused_since_ms = self.now_ms - min_unused_ms;
        let idle_since_ms = self.now_ms - min_idle_ms;
        let candidates = self.connections.iter().filter(|(_, client)| {
            client.is_unused_since(unused_since_ms) || client.is_idle_since(idle_since_ms)
        });
        let mut candidates: Vec<_> = candidates
            .map(|(connection, client)| {
                let is_well_behaved = client.faults == 0 && !client.is_unused_since(unused_since_ms);
                ((is_well_behaved, client.idle_since_ms.to_bits()), *connection)
            })
            .collect();
        candidates.sort_unstable();
        let mut connections = candidates.into_iter().map(|(_, connection)| connection);
        let evicted = connections.find(|connection| !self.connections[connection].has_pending_input());
        let Some(connection) = evicted else { return false };
        let was_unused = !self.connections[&connection].has_sent_message;
        if was_unused {
            self.log_peer_error("evicted a connection that has sent no message");
        }
        // A peer that doesn't read would otherwise keep the descriptor in use until the write timeout.
        if self.connections[&connection].outbox.unwritten_bytes() > 0 {
            self.abort(connection);
        } else {
            self.close(connection);
        }
        was_unused
    }

    // ---- closing -------------------------------------------------------------------------------------

    /// Removes a connection that has ended, and abandons its open requests.
    fn abort(&mut self, connection: ConnectionId) {
        let Some(client) = self.connections.remove(&connection) else { return };
        client.outbox.abort();
        for id in client.requests.into_values() {
            self.handle_client_gone(id);
        }
    }

    /// Closes a connection that has no open requests. The peer receives an announcement of closing; requests that it
    /// sends before it has read the announcement are not accepted.
    fn close(&mut self, connection: ConnectionId) {
        self.announce_closing(connection);
        self.connections.remove(&connection);
    }

    /// Closes idle connections whose closing was announced at least `timeout_ms` ago.
    pub(super) fn close_announced(&mut self, timeout_ms: f64) {
        let now_ms = self.now_ms;
        let closed =
            self.connections.iter().filter(|(_, client)| client.closing_timed_out(timeout_ms, now_ms));
        let closed: Vec<ConnectionId> = closed.map(|(connection, _)| *connection).collect();
        closed.into_iter().for_each(|connection| self.close(connection));
    }

    /// Stops reading from a connection. Its open requests are still answered.
    pub(super) fn stop_reading(&mut self, connection: ConnectionId, reason: &str) {
        if !self.connections.contains_key(&connection) {
            return;
        }
        self.log_peer_error(&format!("connection {connection}: {reason}"));
        let Some(client) = self.connections.get_mut(&connection) else { return };
        client.outbox.connection().handle(PhaseEvent::Discard);
        self.announce_closing(connection);
        self.close_if_finished(connection);
    }

    /// Removes a connection that is no longer read once its last answer has been sent.
    pub(super) fn close_if_finished(&mut self, connection: ConnectionId) {
        let is_finished =
            |client: &ClientConnection| client.outbox.is_discarding() && client.requests.is_empty();
        if self.connections.get(&connection).is_some_and(is_finished) {
            self.connections.remove(&connection);
        }
    }

    pub(super) fn announce_closing(&mut self, connection: ConnectionId) {
        let now_ms = self.now_ms;
        let Some(client) = self.connections.get_mut(&connection) else { return };
        if client.closing_since_ms.is_none() {
            client.closing_since_ms = Some(now_ms);
            client.outbox.connection().handle(PhaseEvent::AnnounceClosing);
            self.send(connection, front::closing());
        }
    }

    pub(super) fn announce_closing_to_all(&mut self) {
        let connections: Vec<ConnectionId> = self.connections.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.announce_closing(connection));
    }

    /// Announces the closing of connections that have been idle past the announced timeout, and closes those that
    /// have stayed open since an earlier announcement.
    pub(super) fn close_idle(&mut self) {
        let idle_since_ms = self.now_ms - self.idle_timeout_ms;
        let idle = self
            .connections
            .iter()
            .filter(|(_, client)| client.requests.is_empty() && client.idle_since_ms <= idle_since_ms);
        let idle: Vec<ConnectionId> = idle.map(|(connection, _)| *connection).collect();
        self.close_announced(self.limits.closing_timeout_ms);
        idle.into_iter().for_each(|connection| self.announce_closing(connection));
    }

    // ---- sending -------------------------------------------------------------------------------------

    /// Queues a frame. If too many bytes are queued on all connections together, this ends the connection with the
    /// most queued bytes.
    pub(super) fn send(&mut self, connection: ConnectionId, mut frame: Vec<u8>) {
        if broken::is(Broken::LastAnswersDropped) && self.is_about_to_exit(LAST_ANSWERS_MS) {
            return;
        }
        while let Some(client) = self.connections.get(&connection) {
            let slowest = match client.outbox.push(frame) {
                Ok(()) => return,
                Err(QueueFull::Connection) => {
                    frame = Vec::new();
                    connection
                }
                Err(QueueFull::AllConnections(returned)) => {
                    frame = returned;
                    let unwritten =
                        |(_, client): &(&ConnectionId, &ClientConnection)| client.outbox.unwritten_bytes();
                    let slowest = self.connections.iter().max_by_key(unwritten);
                    slowest.map_or(connection, |(slowest, _)| *slowest)
                }
            };
            self.log_peer_error(&format!("connection {slowest}: the peer reads too slowly"));
            self.abort(slowest);
        }
    }

    fn send_exception(
        &mut self,
        connection: ConnectionId,
        seqid: i32,
        method: &str,
        kind: ExceptionKind,
        message: &str,
    ) {
        self.log_peer_error(&format!("connection {connection}, {method:?}: {message}"));
        self.send(connection, front::exception(seqid, method, kind, message));
    }
}
