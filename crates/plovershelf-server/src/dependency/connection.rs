//! A connection to the dependency, from its first call until it breaks, reaches its call limit or stays idle.
//!
//! | state | left when |
//! | --- | --- |
//! | connecting | connected: open; an error or a timeout: ended, and none of its calls was executed |
//! | open | an error, a malformed line, a partial reply, no reply for too long: ended, and calls that may have been written are lost |
//! | open, retired | its last call ends: ended |
//! | open, idle past the limit | ended |

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf::api::CallOutcome;
use plovershelf_codec::dependency::{self, Reply};
use plovershelf_codec::AttemptId;

use crate::event::{CallNumber, CallResult, Event};
use crate::limits::Limits;
use crate::streams::{recv_batch, with_timeout, write_all, ReadBuffer};

fn ms_since(then: Instant) -> u64 {
    then.elapsed().as_millis() as u64
}

/// A call in flight.
struct CallInFlight {
    number: CallNumber,
    since: Instant,
    /// True once the call may have been written to the socket.
    is_written: bool,
}

/// Calls of one connection.
#[derive(Default)]
pub(super) struct CallsInFlight {
    in_flight: BTreeMap<AttemptId, CallInFlight>,
    /// Ids of all calls that were placed on this connection.
    call_ids: BTreeSet<AttemptId>,
    /// True if the connection accepts no further calls.
    is_retired: bool,
    last_reply: Option<Instant>,
}

impl CallsInFlight {
    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    pub(super) fn total_calls(&self) -> usize {
        self.call_ids.len()
    }

    pub(super) fn contains(&self, id: &AttemptId) -> bool {
        self.in_flight.contains_key(id)
    }

    pub(super) fn was_used_by(&self, id: &AttemptId) -> bool {
        self.call_ids.contains(id)
    }

    pub(super) fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Returns the time since the last reply, or 0 while calls are in flight, in milliseconds.
    pub(super) fn idle_ms(&self) -> u64 {
        self.last_reply.filter(|_| self.in_flight.is_empty()).map_or(0, ms_since)
    }

    pub(super) fn insert(&mut self, id: AttemptId, number: CallNumber, since: Instant) {
        self.in_flight.insert(id, CallInFlight { number, since, is_written: false });
        self.call_ids.insert(id);
    }

    /// Drops a call whose reply is no longer needed. It is unknown whether the dependency would have replied, so a
    /// connection with no other call in flight is retired.
    pub(super) fn abandon(&mut self, id: &AttemptId) {
        self.in_flight.remove(id);
        self.is_retired |= self.in_flight.is_empty();
    }

    /// Records a reply and returns its call. Replies to abandoned calls and duplicate replies return `None`.
    fn handle_reply(&mut self, id: &AttemptId) -> Option<CallInFlight> {
        self.last_reply = Some(Instant::now());
        self.in_flight.remove(id)
    }

    /// Marks all queued calls as written.
    fn mark_written(&mut self) {
        self.in_flight.values_mut().for_each(|call| call.is_written = true);
    }

    fn longest_ms(&self) -> Option<u64> {
        self.in_flight.values().map(|call| ms_since(call.since)).max()
    }

    fn retire(&mut self) -> BTreeMap<AttemptId, CallInFlight> {
        self.is_retired = true;
        std::mem::take(&mut self.in_flight)
    }
}

/// Mean latency of calls, from which the reply timeout of a connection follows. Calls that timed out count too, so
/// that a dependency that slows down is not mistaken for one that has failed.
pub(super) struct Latency {
    mean_ms: Cell<f64>,
    limits: Rc<Limits>,
}

impl Latency {
    pub(super) fn new(limits: Rc<Limits>) -> Self {
        Latency { mean_ms: Cell::new(limits.initial_latency_ms), limits }
    }

    fn update(&self, took_ms: u64) {
        let mean_ms = self.mean_ms.get();
        self.mean_ms.set(mean_ms + self.limits.latency_weight * (took_ms as f64 - mean_ms));
    }

    /// Returns the time without a reply after which a connection counts as broken, in milliseconds.
    fn reply_timeout_ms(&self) -> u64 {
        let reply_timeout_ms = (self.limits.reply_timeout_multiple * self.mean_ms.get()) as u64;
        reply_timeout_ms.clamp(self.limits.min_reply_timeout_ms, self.limits.max_reply_timeout_ms)
    }
}

/// Drives a connection to its end and reports the calls that end with it.
pub(super) async fn run_connection(
    address: SocketAddr,
    calls: Rc<RefCell<CallsInFlight>>,
    lines: Receiver<Vec<u8>>,
    events: Sender<Event>,
    latency: Rc<Latency>,
) {
    let connecting = Async::<TcpStream>::connect(address);
    let (outcome, error) = match with_timeout(latency.limits.connect_timeout_ms, connecting).await {
        Ok(stream) => {
            let connection =
                Connection { stream, calls: &calls, lines: &lines, events: &events, latency: &latency };
            // It is unknown whether the calls in flight on a broken connection were executed.
            (CallOutcome::ConnectionLost, connection.run().await.err())
        }
        Err(error) => (CallOutcome::NotExecuted, Some(error)),
    };
    let in_flight = calls.borrow_mut().retire();
    if let Some(error) = error {
        let message = format!("a dependency connection with {} calls ended: {error}", in_flight.len());
        let _ = events.send(Event::PeerError(message)).await;
    }
    for (id, CallInFlight { number, is_written, .. }) in in_flight {
        let outcome = if is_written { outcome } else { CallOutcome::NotExecuted };
        let result = CallResult::without_reply(number, outcome);
        let _ = events.send(Event::CallEnded { id, result }).await;
    }
}

struct Connection<'a> {
    stream: Async<TcpStream>,
    calls: &'a RefCell<CallsInFlight>,
    lines: &'a Receiver<Vec<u8>>,
    events: &'a Sender<Event>,
    latency: &'a Latency,
}

impl Connection<'_> {
    /// Runs until the connection is retired or idle, or returns an error if it breaks.
    async fn run(&self) -> io::Result<()> {
        self.stream.get_ref().set_nodelay(true)?;
        future::or(self.read(), future::or(self.write(), self.watch())).await
    }

    /// Returns whether no call is in flight and none will follow.
    fn is_finished(&self) -> bool {
        let calls = self.calls.borrow();
        calls.is_empty() && (calls.is_retired() || self.lines.is_closed())
    }

    async fn write(&self) -> io::Result<()> {
        while let Some(bytes) = recv_batch(self.lines).await {
            // Calls that were not taken from the queue before this point were certainly not executed.
            self.calls.borrow_mut().mark_written();
            write_all(&self.stream, &bytes, self.latency.limits.write_timeout_ms).await?;
            if self.is_finished() {
                return Ok(());
            }
        }
        // No more calls follow; the connection ends with its last call in flight.
        if self.is_finished() {
            return Ok(());
        }
        future::pending().await
    }

    /// Ends the connection if a reply takes too long, or if the connection stays idle.
    async fn watch(&self) -> io::Result<()> {
        let limits = &self.latency.limits;
        loop {
            let interval_ms = limits.reply_check_interval_ms.min(self.latency.reply_timeout_ms() / 4);
            Timer::after(Duration::from_millis(interval_ms)).await;
            let calls = self.calls.borrow();
            let reply_timeout_ms = self.latency.reply_timeout_ms();
            if let Some(longest_ms) = calls.longest_ms().filter(|longest_ms| *longest_ms >= reply_timeout_ms)
            {
                self.latency.update(longest_ms);
                return Err(io::Error::other("no reply within the timeout"));
            }
            if calls.idle_ms() >= limits.dependency_idle_ms {
                return Ok(());
            }
        }
    }

    async fn read(&self) -> io::Result<()> {
        let limits = &self.latency.limits;
        let mut buffer = ReadBuffer::new(limits.max_line_bytes, limits.read_chunk_bytes);
        loop {
            let decoded = dependency::decode_first(buffer.bytes(), limits.max_body_bytes);
            let Some((id, reply, used)) = decoded.map_err(io::Error::other)? else {
                if !self.fill(&mut buffer).await? {
                    let is_idle = self.calls.borrow().is_empty();
                    return if is_idle { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
                }
                continue;
            };
            let is_awaited = reply != Reply::NoWaitingRun;
            let (outcome, reply) = outcome_of(reply);
            buffer.consume(used);
            let answered = self.calls.borrow_mut().handle_reply(&id);
            if let Some(CallInFlight { number, since, .. }) = answered {
                self.latency.update(ms_since(since));
                let result = CallResult { number, outcome, is_awaited, reply };
                let _ = self.events.send(Event::CallEnded { id, result }).await;
            }
            if self.is_finished() {
                return Ok(());
            }
        }
    }

    /// Reads more bytes. Returns false at the end of the stream. Once a reply has begun, its remaining bytes must
    /// arrive within the reply timeout.
    async fn fill(&self, buffer: &mut ReadBuffer) -> io::Result<bool> {
        let has_begun = !buffer.is_empty();
        let reading = buffer.fill(&self.stream);
        if has_begun {
            with_timeout(self.latency.limits.partial_reply_timeout_ms, reading).await
        } else {
            reading.await
        }
    }
}

fn outcome_of(reply: Reply<'_>) -> (CallOutcome, Vec<u8>) {
    match reply {
        Reply::Done(result) => (CallOutcome::Completed, result.to_vec()),
        Reply::Rejected | Reply::NoWaitingRun => (CallOutcome::NotExecuted, Vec::new()),
        Reply::Failed => (CallOutcome::Unknown, Vec::new()),
        Reply::Expired => (CallOutcome::Abandoned, Vec::new()),
    }
}
