//! Clients' connections: what they send, what is sent to them, and when they end.
//!
//! | a connection makes room or ends when | why |
//! | --- | --- |
//! | it has sent nothing for a while, and connections run short | no client does that |
//! | it is idle, and connections run short | the one idle for longest is missed least |
//! | it is idle past the announced idle time-out | each open connection costs speed |
//! | its client sends what no client would | it may be anything |
//! | its client reads too slowly | its responses would take all memory |
//! | the drain | nothing new can be answered |

use std::collections::BTreeMap;

use plovershelf_codec::front::{self, DecodeError, ExceptionKind, Message, ServerSignals};

use super::admission::{RejectReason, RequestFrame};
use super::Driver;
use crate::broken::{self, Broken, LAST_ANSWERS_MS};
use crate::connection_state::PhaseEvent;
use crate::event::{ConnectionId, ReadError};
use crate::outbox::{Outbox, QueueFull};

/// A client's connection as the driver sees it.
pub(super) struct ClientConnection {
    outbox: Outbox,
    /// Requests read here and not answered yet, by sequence number.
    requests: BTreeMap<i32, u32>,
    pub(super) idle_since_ms: f64,
    closing_since_ms: Option<f64>,
    /// It has sent a message that could be decoded.
    pub(super) has_spoken: bool,
    /// What it did wrong where that may be another client's fault.
    faults: u32,
}

impl ClientConnection {
    fn new(outbox: Outbox, now_ms: f64) -> Self {
        ClientConnection {
            outbox,
            requests: BTreeMap::new(),
            idle_since_ms: now_ms,
            closing_since_ms: None,
            has_spoken: false,
            faults: 0,
        }
    }

    /// Unanswered requests.
    pub(super) fn open_requests(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn handle_opened(&mut self, seqid: i32, id: u32) {
        self.requests.insert(seqid, id);
    }

    pub(super) fn handle_answered(&mut self, seqid: i32, id: u32, now_ms: f64) {
        if self.requests.get(&seqid) == Some(&id) {
            self.requests.remove(&seqid);
            self.idle_since_ms = now_ms;
        }
    }

    /// It has sent nothing since before this time.
    fn is_silent_since(&self, time_ms: f64) -> bool {
        !self.has_spoken && self.idle_since_ms <= time_ms
    }

    /// It has sent something, and nothing of it is open since before this time.
    fn is_idle_since(&self, time_ms: f64) -> bool {
        self.has_spoken && self.requests.is_empty() && self.idle_since_ms <= time_ms
    }

    /// A request of it may be on its way to here: it is handled first, and then the connection is not idle any more.
    fn has_input_on_the_way(&self) -> bool {
        let state = self.outbox.connection();
        let may_hold_request = || state.has_unhandled_input() || state.has_partial_frame();
        state.has_queued_frame() || (self.has_spoken && may_hold_request())
    }

    /// It was told to close this long ago, and is idle with nothing of it on the way. A message that has begun has as long
    /// again to be complete.
    fn closing_timed_out(&self, timeout_ms: f64, now_ms: f64) -> bool {
        let state = self.outbox.connection();
        let timeout_ms = if state.has_partial_frame() { 2.0 * timeout_ms } else { timeout_ms };
        let is_over = self.closing_since_ms.is_some_and(|since_ms| since_ms + timeout_ms <= now_ms);
        self.requests.is_empty() && is_over && !state.has_unhandled_input()
    }
}

impl Driver {
    /// Logs what a peer does wrong, where the present second has room for it.
    pub(super) fn log_peer_error(&mut self, what: &str) {
        let line = self.peer_errors.admit(self.now_ms);
        if line.suppressed > 0 {
            let more = line.suppressed;
            tracing::warn!(event = "peer_errors_suppressed", more, "{more} more of the like");
        }
        if line.is_admitted {
            tracing::warn!(event = "peer_error", "{what}");
        }
    }

    // ---- events --------------------------------------------------------------------------------------

    pub(super) fn handle_connected(&mut self, connection: ConnectionId, outbox: Outbox) {
        self.connections.insert(connection, ClientConnection::new(outbox, self.now_ms));
        if self.is_grace_over {
            self.announce_closing(connection);
        }
        if self.connections.len() > self.limits.crowded_connections {
            self.make_room(self.limits.min_silent_ms, self.limits.min_idle_ms);
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
            (client.idle_since_ms, client.has_spoken) = (now_ms, true);
        }
        match message {
            Ok(Message::Dispatch { seqid, request }) => {
                let start = request.body.as_ptr() as usize - frame.as_ptr() as usize;
                let (attempt, body) = (request.id, start..start + request.body.len());
                if client.requests.contains_key(&seqid) {
                    // An exception would be a second answer to that number.
                    self.stop_reading(connection, "a sequence number is in use");
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
            Ok(Message::Other) => self.log_peer_error("a message that is not known"),
            Err(DecodeError::Rejected { seqid, method, kind, reason }) => {
                self.send_exception(connection, seqid, &method, kind, &reason.to_string());
                self.record_fault(connection, self.limits.max_faults);
            }
            Err(DecodeError::Malformed(error)) => self.stop_reading(connection, &error.to_string()),
        }
    }

    fn reject(&mut self, connection: ConnectionId, seqid: i32, reason: RejectReason) {
        let what = reason.to_string();
        match reason {
            RejectReason::NoMemoryForKey => {
                self.log_peer_error(&what);
                self.send(connection, front::rejected(seqid, &ServerSignals::default()));
                return;
            }
            RejectReason::KeyHeld => {
                self.log_peer_error(&format!("connection {connection}: {what}"));
                self.send(connection, front::rejected(seqid, &ServerSignals::default()));
            }
            _ => self.send_exception(connection, seqid, "dispatch", ExceptionKind::Internal, &what),
        }
        let faults = if reason.may_be_innocent() { 1 } else { self.limits.max_faults };
        self.record_fault(connection, faults);
    }

    /// A connection that sends what no client would is read no more; what may be another's fault has to come often.
    fn record_fault(&mut self, connection: ConnectionId, faults: u32) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        client.faults += faults;
        if client.faults >= self.limits.max_faults {
            self.stop_reading(connection, "it is not a sidecar's");
        }
    }

    /// The client accepts no answer any more.
    fn handle_client_gone(&mut self, id: u32) {
        self.mark_answered(id);
        self.decide(|backend, now_ms| backend.handle_client_gone(now_ms, id));
    }

    // ---- making room ---------------------------------------------------------------------------------

    /// No more connections are possible until some are gone: all that have sent nothing since they were made, as no client
    /// does, and else the one idle for longest.
    pub(super) fn handle_crowded(&mut self, why: &str, open: usize) {
        self.log_peer_error(why);
        // Those that are ending already make room soon.
        if open.saturating_sub(self.connections.len()) > self.limits.max_ending_connections {
            return;
        }
        let mut left = self.limits.max_evictions;
        while left > 0 && self.make_room(self.limits.min_silent_ms_when_full, 0.0) {
            left -= 1;
        }
    }

    /// Closes a connection that has sent nothing for so long, or else the one idle for longest. Returns whether it had sent
    /// nothing.
    fn make_room(&mut self, min_silent_ms: f64, min_idle_ms: f64) -> bool {
        let silent_since_ms = self.now_ms - min_silent_ms;
        let idle_since_ms = self.now_ms - min_idle_ms;
        let candidates = self.connections.iter().filter(|(_, client)| {
            client.is_silent_since(silent_since_ms) || client.is_idle_since(idle_since_ms)
        });
        let mut candidates: Vec<_> = candidates
            .map(|(connection, client)| {
                let is_blameless = client.faults == 0 && !client.is_silent_since(silent_since_ms);
                ((is_blameless, client.idle_since_ms.to_bits()), *connection)
            })
            .collect();
        candidates.sort_unstable();
        let mut connections = candidates.into_iter().map(|(_, connection)| connection);
        let evicted = connections.find(|connection| !self.connections[connection].has_input_on_the_way());
        let Some(connection) = evicted else { return false };
        let was_silent = !self.connections[&connection].has_spoken;
        if was_silent {
            self.log_peer_error("a connection that says nothing makes room");
        }
        // One whose peer reads nothing would keep its descriptor until its writer gives up.
        if self.connections[&connection].outbox.unwritten_bytes() > 0 {
            self.abort(connection);
        } else {
            self.close(connection);
        }
        was_silent
    }

    // ---- ends ----------------------------------------------------------------------------------------

    /// A connection has ended: whatever is open on it has nobody left who waits.
    fn abort(&mut self, connection: ConnectionId) {
        let Some(client) = self.connections.remove(&connection) else { return };
        client.outbox.abort();
        for id in client.requests.into_values() {
            self.handle_client_gone(id);
        }
    }

    /// Ends a connection on which nothing is open: its peer is told, and what crosses that is not accepted.
    fn close(&mut self, connection: ConnectionId) {
        self.announce_closing(connection);
        self.connections.remove(&connection);
    }

    /// Closes connections that were told to close so long ago and are idle.
    pub(super) fn close_announced(&mut self, timeout_ms: f64) {
        let now_ms = self.now_ms;
        let closed =
            self.connections.iter().filter(|(_, client)| client.closing_timed_out(timeout_ms, now_ms));
        let closed: Vec<ConnectionId> = closed.map(|(connection, _)| *connection).collect();
        closed.into_iter().for_each(|connection| self.close(connection));
    }

    /// Nothing more is read from a connection; what is open on it is still answered.
    pub(super) fn stop_reading(&mut self, connection: ConnectionId, why: &str) {
        if !self.connections.contains_key(&connection) {
            return;
        }
        self.log_peer_error(&format!("connection {connection}: {why}"));
        let Some(client) = self.connections.get_mut(&connection) else { return };
        client.outbox.connection().handle(PhaseEvent::Discard);
        self.announce_closing(connection);
        self.close_if_finished(connection);
    }

    /// A connection that is read no more ends with its last answer.
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

    /// Connections that were not used for the announced idle time-out are told to close, and closed if they stay.
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

    /// Queues a frame. Where too much waits to be written, the connection that most waits for is ended.
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
            self.log_peer_error(&format!("connection {slowest}: its peer reads too slowly"));
            self.abort(slowest);
        }
    }

    fn send_exception(
        &mut self,
        connection: ConnectionId,
        seqid: i32,
        method: &str,
        kind: ExceptionKind,
        what: &str,
    ) {
        self.log_peer_error(&format!("connection {connection}, {method:?}: {what}"));
        self.send(connection, front::exception(seqid, method, kind, what));
    }
}
