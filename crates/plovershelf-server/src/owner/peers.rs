//! The owner's side of the connections of sidecars: what they send, what is sent to them, when they end.

use std::ops::Range;

use plovershelf::api::{Idempotency, Request};
use plovershelf_codec::front::{self, DecodeError, ExceptionKind, Message, ServerSignals};
use plovershelf_codec::AttemptId;

use super::{Connection, Open, Owner, NEVER};
use crate::messages::Unwritten;
use crate::repeats::{content, Known, Mark};

const ID_IN_USE: &str = "the id is in use";
const NOT_STARTED: &str = "not started yet";
const MARK_IN_USE: &str = "the key is another request's";

/// What is read of an invocation for the module, and for its repeats.
pub(super) struct Read {
    arrival: Request,
    mark: Option<Mark>,
    content: u64,
}

/// Why an invocation is not taken.
#[derive(Debug)]
pub(super) enum Unfit {
    /// No sidecar sends such, or what it says may be another's fault.
    Wrong(String),
    /// Its key belongs to another, nothing of which has run: which of the two is wrong is not known yet.
    KeyHeld,
    /// No more keys can be remembered, and without that nothing of it may run.
    NoRoom,
}

impl<T: Into<String>> From<T> for Unfit {
    fn from(what: T) -> Self {
        Unfit::Wrong(what.into())
    }
}

impl Owner {
    pub(super) fn read(&mut self, connection: u64, frame: Vec<u8>) {
        let Some(peer) = self.connections.get_mut(&connection).filter(|peer| !peer.outbox.is_deaf()) else {
            return;
        };
        let decoded = front::decode(&frame);
        if decoded.is_ok() {
            (peer.idle_since, peer.spoke) = (self.now, true);
        }
        match decoded {
            Ok(Message::Dispatch { seqid, request }) => {
                if peer.open.contains_key(&seqid) {
                    // An exception would be a second answer to that number.
                    self.deafen(connection, "a sequence number is in use");
                    return;
                }
                let (id, body) = (request.id, request.body);
                let from = body.as_ptr() as usize - frame.as_ptr() as usize;
                let body = from..from + body.len();
                match self.arrival(connection, &request) {
                    Ok(read) => self.take_in(connection, seqid, id, frame, body, read),
                    Err(Unfit::Wrong(what)) => {
                        self.refuse(connection, seqid, "dispatch", ExceptionKind::Internal, &what);
                        self.at_fault(connection, &what);
                    }
                    Err(Unfit::NoRoom) => {
                        self.complain("more keys are to be remembered than memory allows");
                        self.send(connection, front::rejected(seqid, &ServerSignals::default()));
                    }
                    Err(Unfit::KeyHeld) => {
                        self.complain(&format!("connection {connection}: {MARK_IN_USE}"));
                        self.send(connection, front::rejected(seqid, &ServerSignals::default()));
                        self.at_fault(connection, MARK_IN_USE);
                    }
                }
            }
            Ok(Message::Cancel { seqid }) => {
                if let Some(id) = peer.open.get(&seqid).copied() {
                    self.gone(id);
                }
            }
            Ok(Message::Alive { seqid }) => {
                let words = ServerSignals { backpressure: self.advice, ..ServerSignals::default() };
                self.send(connection, front::health(seqid, self.fit, &words));
            }
            Ok(Message::Other) => self.complain("a message that is not known"),
            Err(DecodeError::Rejected { seqid, method, kind, reason }) => {
                let what = reason.to_string();
                self.refuse(connection, seqid, &method, kind, &what);
                self.at_fault(connection, &what);
            }
            Err(DecodeError::Malformed(error)) => self.deafen(connection, &error.to_string()),
        }
    }

    /// An invocation as the module needs it, with the mark by which repeats of it are known.
    pub(super) fn arrival(&self, connection: u64, read: &front::Request<'_>) -> Result<Read, Unfit> {
        let offering = self.startup.classes.place(read.class).ok_or("no such class")?;
        let tenant = match self.startup.tenants.place(read.tenant) {
            Some(tenant) => tenant,
            None if self.startup.tenants.is_empty() => 0,
            None => return Err("no such tenant".into()),
        };
        if self.connections[&connection].open.len() >= self.limits.open_each {
            return Err("too many are open on this connection".into());
        }
        if read.body.len() > self.limits.invocation_bytes {
            return Err("the body is too long".into());
        }
        if self.by_try.contains_key(&read.id) {
            return Err(ID_IN_USE.into());
        }
        if self.backend.is_none() {
            return Err(NOT_STARTED.into());
        }
        // A figure that can't be is kept from the module, whose measure of waits unread it would spoil.
        let oldest = self.now - self.limits.oldest_ms;
        if !(oldest..=self.now + self.limits.oldest_ms).contains(&read.sent_ms) {
            return Err("field \"s\" is out of bounds".into());
        }
        let came = read.sent_ms.min(self.now);
        let terms = &self.startup.config.classes[offering];
        let mut mark = Mark::of(offering, terms.idempotency, read.idempotency_key, read.object);
        let share_ms = self.startup.config.shared_response_ms;
        let ran_counts = terms.idempotency == Idempotency::Keyed;
        let content = mark.as_ref().map_or(0, |_| content(read.body));
        let known = mark.as_ref().map(|m| self.remembered.known(m, content, came, ran_counts, share_ms));
        let original = match known {
            Some(Known::Nothing) if self.remembered.full() && ran_counts => return Err(Unfit::NoRoom),
            Some(Known::Nothing) if self.remembered.full() => {
                mark = None;
                None
            }
            None | Some(Known::Nothing) => None,
            Some(Known::Original(holder)) => Some(holder),
            // A read of something else shares nothing and runs by itself.
            Some(Known::Another { .. }) if !ran_counts => {
                mark = None;
                None
            }
            // Guards against an answer that no run made for this one: its body differs from the one that ran.
            Some(Known::Another { ran: true }) => return Err(MARK_IN_USE.into()),
            Some(Known::Another { ran: false }) => return Err(Unfit::KeyHeld),
        };
        let arrival = Request {
            id: 0,
            class: offering,
            tenant,
            key: read.object,
            deadline_ms: read.timeout_ms.map(|waits| came + waits.min(self.limits.longest_wait_ms)),
            work_hint_ms: read.work_hint_ms,
            memory_kb: read.memory_kb,
            marked_retry: read.marked_retry,
            writes: read.object == 0,
            unread_ms: self.now - came,
            duplicate_of: original,
        };
        Ok(Read { arrival, mark, content })
    }

    pub(super) fn take_in(
        &mut self,
        connection: u64,
        seqid: i32,
        id: AttemptId,
        frame: Vec<u8>,
        body: Range<usize>,
        Read { mut arrival, mark, content }: Read,
    ) {
        let bytes = frame.len() + self.limits.open_overhead;
        if self.open_bytes + bytes > self.limits.open_bytes {
            self.complain("more is open than memory allows");
            self.send(connection, front::rejected(seqid, &ServerSignals::default()));
            return;
        }
        while arrival.id == 0 || self.open.contains_key(&arrival.id) {
            self.last_id = self.last_id.wrapping_add(1);
            arrival.id = self.last_id;
        }
        self.open_bytes += bytes;
        self.by_try.insert(id, arrival.id);
        if let Some(peer) = self.connections.get_mut(&connection) {
            peer.open.insert(seqid, arrival.id);
        }
        let open = Open {
            id,
            connection,
            seqid,
            offering: arrival.class,
            frame,
            body,
            answered: false,
            launched: None,
            heard_of: false,
            doubtful: false,
            came: self.now,
            call: Vec::new(),
            call_number: NEVER,
            undelivered: None,
            delivered: None,
            asked_again: false,
            proving: None,
            result: Vec::new(),
            mark,
            content,
            copied: Default::default(),
            enough: None,
            told_failed: false,
        };
        self.open.insert(arrival.id, open);
        if self.pulse.is_some() {
            self.count_asked(arrival.class, arrival.work_hint_ms);
        }
        self.decide(|backend, now| backend.handle_request(now, arrival));
    }

    /// For a plan of zones: work by bands of what it earns, against the offering that earns most.
    fn count_asked(&mut self, offering: usize, hint_ms: Option<f64>) {
        let config = &self.startup.config;
        let most = config.classes.iter().map(|terms| terms.value).fold(0.0, f64::max);
        let rank = if most > 0.0 { config.classes[offering].value / most } else { 0.0 };
        self.counted.asked[plovershelf_failover::plan::band(rank)] += hint_ms.unwrap_or(self.work_ms);
    }

    /// The caller takes no answer any more.
    pub(super) fn gone(&mut self, id: u32) {
        self.close_answer(id);
        self.decide(|backend, now| backend.handle_client_gone(now, id));
    }

    /// A connection has ended: whatever is open on it has nobody left who waits.
    pub(super) fn lost(&mut self, connection: u64) {
        let Some(peer) = self.connections.remove(&connection) else { return };
        peer.outbox.abort();
        for id in peer.open.into_values() {
            self.gone(id);
        }
    }

    /// One that sends what no sidecar would is read no more; what may be another's fault has to come often.
    fn at_fault(&mut self, connection: u64, what: &str) {
        let Some(peer) = self.connections.get_mut(&connection) else { return };
        peer.faults +=
            if matches!(what, ID_IN_USE | NOT_STARTED | MARK_IN_USE) { 1 } else { self.limits.faults };
        if peer.faults >= self.limits.faults {
            self.deafen(connection, "it is not a sidecar's");
        }
    }

    /// No more connections are taken until some are gone: all that have said nothing since they were made, as a
    /// sidecar does not, and else the one idle for longest.
    pub(super) fn crowded(&mut self, why: &str, open: usize) {
        self.complain(why);
        // Those that are ending already make room soon.
        if open.saturating_sub(self.connections.len()) > self.limits.ending {
            return;
        }
        let mut left = self.limits.evictions;
        while left > 0 && self.make_room(self.limits.speaks_ms, 0.0) {
            left -= 1;
        }
    }

    /// Before connections run short, one that has said nothing makes room, or else the one idle for longest.
    /// Tells whether it had said nothing.
    pub(super) fn make_room(&mut self, silent_ms: f64, idle_least_ms: f64) -> bool {
        let (silent_from, idle_from) = (self.now - silent_ms, self.now - idle_least_ms);
        let silent = |c: &Connection| !c.spoke && c.idle_since <= silent_from;
        let goes = |c: &Connection| silent(c) || (c.spoke && c.open.is_empty() && c.idle_since <= idle_from);
        let all = self.connections.iter().filter(|(_, c)| goes(c));
        let mut all: Vec<_> =
            all.map(|(n, c)| ((c.faults == 0 && !silent(c), c.idle_since.to_bits()), *n)).collect();
        all.sort_unstable();
        // A request of it may be on its way to here: it is read first, and then the connection is not idle any more.
        let rests = |connection: &u64| {
            let c = &self.connections[connection];
            !(c.outbox.has_whole() || (c.spoke && (c.outbox.hears() || c.outbox.inside())))
        };
        let first = all.into_iter().map(|(_, number)| number).find(rests);
        let Some(connection) = first else { return false };
        let spoke = self.connections[&connection].spoke;
        if !spoke {
            self.complain("a connection that says nothing makes room");
        }
        // One whose peer takes nothing would keep its descriptor until its writer gives up.
        if self.connections[&connection].outbox.waits() > 0 {
            self.lost(connection);
        } else {
            self.end(connection);
        }
        !spoke
    }

    /// Ends a connection on which nothing is open: its peer hears so, and what crosses that is not taken.
    fn end(&mut self, connection: u64) {
        self.tell_closing(connection);
        self.connections.remove(&connection);
    }

    /// Ends connections that were told to close so long ago and rest, with nothing of theirs on the way.
    pub(super) fn end_resting(&mut self, told_ms: f64) {
        let now = self.now;
        // A message that has begun has as long again to come whole.
        let span_ms = |c: &Connection| if c.outbox.inside() { 2.0 * told_ms } else { told_ms };
        let told = |c: &Connection| c.closing_since.is_some_and(|since| since + span_ms(c) <= now);
        let rests = |c: &Connection| c.open.is_empty() && told(c) && !c.outbox.hears();
        let all = self.connections.iter().filter(|(_, c)| rests(c));
        let all: Vec<u64> = all.map(|(number, _)| *number).collect();
        all.into_iter().for_each(|connection| self.end(connection));
    }

    /// Nothing more is read from a connection; what is open on it is still answered.
    pub(super) fn deafen(&mut self, connection: u64, why: &str) {
        if !self.connections.contains_key(&connection) {
            return;
        }
        self.complain(&format!("connection {connection}: {why}"));
        let Some(peer) = self.connections.get_mut(&connection) else { return };
        peer.outbox.deafen();
        self.tell_closing(connection);
        self.end_if_deaf(connection);
    }

    /// A connection that is read no more ends with its last answer.
    pub(super) fn end_if_deaf(&mut self, connection: u64) {
        if self.connections.get(&connection).is_some_and(|peer| peer.outbox.is_deaf() && peer.open.is_empty())
        {
            self.connections.remove(&connection);
        }
    }

    pub(super) fn tell_closing(&mut self, connection: u64) {
        let Some(peer) = self.connections.get_mut(&connection) else { return };
        if peer.closing_since.is_none() {
            peer.closing_since = Some(self.now);
            peer.outbox.tell_closing();
            self.send(connection, front::closing());
        }
    }

    pub(super) fn tell_all_closing(&mut self) {
        let all: Vec<u64> = self.connections.keys().copied().collect();
        all.into_iter().for_each(|connection| self.tell_closing(connection));
    }

    /// Where too much waits to be written in all, the connection that most waits for has to go.
    pub(super) fn send(&mut self, connection: u64, mut frame: Vec<u8>) {
        while let Some(peer) = self.connections.get(&connection) {
            let slowest = match peer.outbox.push(frame) {
                Ok(()) => return,
                Err(Unwritten::Here) => {
                    frame = Vec::new();
                    connection
                }
                Err(Unwritten::InAll(back)) => {
                    frame = back;
                    let most = self.connections.iter().max_by_key(|(_, peer)| peer.outbox.waits());
                    most.map_or(connection, |(number, _)| *number)
                }
            };
            self.complain(&format!("connection {slowest}: its peer reads too slowly"));
            self.lost(slowest);
        }
    }

    pub(super) fn refuse(
        &mut self,
        connection: u64,
        seqid: i32,
        method: &str,
        kind: ExceptionKind,
        what: &str,
    ) {
        self.complain(&format!("connection {connection}, {method:?}: {what}"));
        self.send(connection, front::exception(seqid, method, kind, what));
    }

    /// A line about what a peer does wrong, as many a second as the limits allow.
    pub(super) fn complain(&mut self, what: &str) {
        let second = (self.now / 1000.0) as u64;
        if self.complaints.0 != second {
            let held_back = self.complaints.1.saturating_sub(self.limits.complaints_a_second);
            if held_back > 0 {
                tracing::warn!("{held_back} more of the like");
            }
            self.complaints = (second, 0);
        }
        self.complaints.1 += 1;
        if self.complaints.1 <= self.limits.complaints_a_second {
            tracing::warn!("{what}");
        }
    }

    /// Connections that were not used for the module's idle span are told to close, and ended if they stay.
    pub(super) fn close_idle(&mut self) {
        let idle_before = self.now - self.idle_ms;
        let idle = self.connections.iter().filter(|(_, c)| c.open.is_empty());
        let long = idle.filter(|(_, c)| c.idle_since <= idle_before);
        let long: Vec<u64> = long.map(|(number, _)| *number).collect();
        self.end_resting(self.limits.closing_ms);
        long.into_iter().for_each(|connection| self.tell_closing(connection));
    }
}
