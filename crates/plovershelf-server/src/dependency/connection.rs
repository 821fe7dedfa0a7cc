//! One connection to the dependency, from its first call until it breaks, is used up, or has been idle for long enough.
//!
//! | state | left by |
//! | --- | --- |
//! | connecting | connected: open; an error or the time-out: ended, and none of its calls was executed |
//! | open | an error, a malformed line, a partial reply, silence: ended, calls whose bytes may have gone are lost |
//! | open, retired | its last call ends: ended |
//! | open, idle for too long | ended |

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

/// A call that has not ended.
struct CallInFlight {
    number: CallNumber,
    since: Instant,
    /// Its bytes may have gone out.
    is_written: bool,
}

/// The calls of one connection.
#[derive(Default)]
pub(super) struct CallsInFlight {
    in_flight: BTreeMap<AttemptId, CallInFlight>,
    /// All that the connection has carried.
    carried: BTreeSet<AttemptId>,
    /// It takes no further calls.
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

    pub(super) fn carried(&self) -> usize {
        self.carried.len()
    }

    pub(super) fn contains(&self, id: &AttemptId) -> bool {
        self.in_flight.contains_key(id)
    }

    pub(super) fn has_carried(&self, id: &AttemptId) -> bool {
        self.carried.contains(id)
    }

    pub(super) fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Time since the last reply, where nothing is in flight.
    pub(super) fn idle_ms(&self) -> u64 {
        self.last_reply.filter(|_| self.in_flight.is_empty()).map_or(0, ms_since)
    }

    pub(super) fn insert(&mut self, id: AttemptId, number: CallNumber, since: Instant) {
        self.in_flight.insert(id, CallInFlight { number, since, is_written: false });
        self.carried.insert(id);
    }

    /// Nobody waits for a call any more. Whether the dependency would have replied is not known, so with nothing else in
    /// flight the connection is retired.
    pub(super) fn abandon(&mut self, id: &AttemptId) {
        self.in_flight.remove(id);
        self.is_retired |= self.in_flight.is_empty();
    }

    /// A reply came. Those to calls that were abandoned come too late to count, as do second copies.
    fn handle_reply(&mut self, id: &AttemptId) -> Option<CallInFlight> {
        self.last_reply = Some(Instant::now());
        self.in_flight.remove(id)
    }

    /// All calls that are queued go out now.
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

/// Mean latency of calls, from which follows after how long a connection counts as dead. Calls that were cut off count
/// too, so that a dependency that slows down is not taken for a dead one.
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

    /// Time without a reply after which a connection counts as dead.
    fn silence_ms(&self) -> u64 {
        let silence_ms = (self.limits.silence_multiple * self.mean_ms.get()) as u64;
        silence_ms.clamp(self.limits.min_silence_ms, self.limits.max_silence_ms)
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
            // What was in flight on a connection that broke proves nothing.
            (CallOutcome::ConnectionLost, connection.run().await.err())
        }
        Err(error) => (CallOutcome::NotExecuted, Some(error)),
    };
    let in_flight = calls.borrow_mut().retire();
    if let Some(error) = error {
        let what = format!("a dependency's connection with {} calls: {error}", in_flight.len());
        let _ = events.send(Event::PeerError(what)).await;
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
    /// Ends without an error where the connection is used up or idle, with one where it broke.
    async fn run(&self) -> io::Result<()> {
        self.stream.get_ref().set_nodelay(true)?;
        future::or(self.read(), future::or(self.write(), self.watch())).await
    }

    /// No call is in flight, and none will come.
    fn is_finished(&self) -> bool {
        let calls = self.calls.borrow();
        calls.is_empty() && (calls.is_retired() || self.lines.is_closed())
    }

    async fn write(&self) -> io::Result<()> {
        while let Some(bytes) = recv_batch(self.lines).await {
            // What has not been taken from the queue before this has surely never been executed.
            self.calls.borrow_mut().mark_written();
            write_all(&self.stream, &bytes, self.latency.limits.write_timeout_ms).await?;
            if self.is_finished() {
                return Ok(());
            }
        }
        // No more calls come; it ends with the last in flight.
        if self.is_finished() {
            return Ok(());
        }
        future::pending().await
    }

    /// Ends the connection when it has been silent for too long, or idle.
    async fn watch(&self) -> io::Result<()> {
        let limits = &self.latency.limits;
        loop {
            let interval_ms = limits.silence_check_ms.min(self.latency.silence_ms() / 4);
            Timer::after(Duration::from_millis(interval_ms)).await;
            let calls = self.calls.borrow();
            let silence_ms = self.latency.silence_ms();
            if let Some(longest_ms) = calls.longest_ms().filter(|longest_ms| *longest_ms >= silence_ms) {
                self.latency.update(longest_ms);
                return Err(io::Error::other("it is silent"));
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

    /// Reads more; false at the end of the stream. A reply that has begun is complete soon, or never.
    async fn fill(&self, buffer: &mut ReadBuffer) -> io::Result<bool> {
        let has_begun = !buffer.is_empty();
        let reading = buffer.fill(&self.stream);
        if has_begun {
            with_timeout(self.latency.limits.reply_timeout_ms, reading).await
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
