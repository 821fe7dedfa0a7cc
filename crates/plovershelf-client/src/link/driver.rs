//! The task that owns a caller: takes what handles ask and what connections tell, and carries out orders.

use std::cell::Cell;
use std::collections::HashMap;
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Weak;
use std::time::{Duration, Instant, SystemTime};

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;
use plovershelf_codec::front::client::{self as front, Attempt, Response};
use plovershelf_codec::AttemptId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::connection::{self, Event};
use super::{Ask, Invocation, Reply, Shared};
use crate::caller::terms::Terms;
use crate::caller::{CallFacts, CallId, Caller, Ending, LinkId, Order};
use crate::list::MemberList;

/// Between two looks at the list file; a change counts when two looks agree on it.
const LIST_MS: f64 = 250.0;
/// A peer that leaves more than this unread has stopped reading.
const MOST_UNWRITTEN: usize = 256 << 10;
/// Events that are taken before orders are carried out.
const EVENTS_AT_ONCE: usize = 64;

/// Bits that no other process has, from the source that seeds the standard library's tables.
pub fn entropy() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}

/// Reads a list of members; the error names the file.
pub fn read_list(path: &Path, most: usize) -> Result<MemberList, String> {
    let shown = path.display();
    let text = fs::read(path).map_err(|error| format!("{shown}: {error}"))?;
    let text = String::from_utf8(text).map_err(|_| format!("{shown}: it is not UTF-8"))?;
    MemberList::parse(&text, most).map_err(|bad| format!("{shown}: {bad}"))
}

/// What tells one state of a file from another.
type Stamp = (Option<SystemTime>, u64);

fn stamp(path: &Path) -> Option<Stamp> {
    fs::metadata(path).ok().map(|about| (about.modified().ok(), about.len()))
}

/// A list file that is watched.
struct Watched {
    path: PathBuf,
    used: Option<Stamp>,
    seen: Option<Stamp>,
    look_at: f64,
}

/// The queue of asks. What stands in it when its task ends would keep its askers waiting for good.
struct Asked(Receiver<Ask>);

impl Drop for Asked {
    fn drop(&mut self) {
        self.0.close();
        while self.0.try_recv().is_ok() {}
    }
}

struct Wire {
    frames: Sender<Vec<u8>>,
    unwritten: Rc<Cell<usize>>,
    /// Dropping it ends the connection.
    _task: Task<()>,
}

struct Pending {
    number: u64,
    invocation: Box<Invocation>,
    reply: Sender<Reply>,
}

struct Driver {
    caller: Caller,
    terms: Terms,
    number: u32,
    executor: Rc<LocalExecutor<'static>>,
    start: Instant,
    ids: Pcg64,
    wires: HashMap<LinkId, Wire>,
    pending: HashMap<CallId, Pending>,
    numbers: HashMap<u64, CallId>,
    events: Sender<Event>,
    watched: Option<Watched>,
    shared: Weak<Shared>,
}

pub async fn drive(
    caller: Caller,
    terms: Terms,
    number: u32,
    list: MemberList,
    file: Option<PathBuf>,
    asked: Receiver<Ask>,
    shared: Weak<Shared>,
) {
    let executor = Rc::new(LocalExecutor::new());
    let (events, inbox) = async_channel::bounded(256);
    let watched = file.map(|path| {
        let used = stamp(&path);
        Watched { path, used, seen: used, look_at: LIST_MS }
    });
    let ids = Pcg64::seed_from_u64(entropy());
    let mut driver = Driver {
        caller,
        terms,
        number,
        executor: executor.clone(),
        start: Instant::now(),
        ids,
        wires: HashMap::new(),
        pending: HashMap::new(),
        numbers: HashMap::new(),
        events,
        watched,
        shared,
    };
    driver.caller.list(0.0, &list);
    driver.carry_out(None);
    executor.run(driver.run(Asked(asked), inbox)).await;
}

impl Driver {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    async fn run(&mut self, queue: Asked, inbox: Receiver<Event>) {
        let asked = &queue.0;
        let mut timer = Timer::never();
        let mut timer_for = None;
        loop {
            let due = self.next_due();
            if due.map(f64::to_bits) != timer_for {
                timer_for = due.map(f64::to_bits);
                match due {
                    Some(at) => timer.set_at(self.start + Duration::from_secs_f64(at.max(0.0) / 1000.0)),
                    None => timer = Timer::never(),
                }
            }
            enum Next {
                Ask(Option<Ask>),
                Event(Option<Event>),
                Due,
            }
            let ask = async { Next::Ask(asked.recv().await.ok()) };
            let event = async { Next::Event(inbox.recv().await.ok()) };
            let late = async {
                (&mut timer).await;
                Next::Due
            };
            match future::or(event, future::or(late, ask)).await {
                Next::Event(Some(event)) => {
                    self.take(event);
                    for _ in 0..EVENTS_AT_ONCE {
                        let Ok(event) = inbox.try_recv() else { break };
                        self.take(event);
                    }
                }
                Next::Event(None) => return,
                Next::Due => timer_for = None,
                Next::Ask(Some(Ask::Close(done))) => {
                    self.end();
                    drop(done);
                    return;
                }
                Next::Ask(Some(ask)) => {
                    self.asked(ask);
                    for _ in 0..EVENTS_AT_ONCE {
                        // One that closes is left for the next turn.
                        if asked.is_empty() || asked.is_closed() {
                            break;
                        }
                        match asked.try_recv() {
                            Ok(Ask::Close(done)) => {
                                self.end();
                                drop(done);
                                return;
                            }
                            Ok(ask) => self.asked(ask),
                            Err(_) => break,
                        }
                    }
                }
                // The last handle is gone, and nobody waits for a call.
                Next::Ask(None) => {
                    self.end();
                    return;
                }
            }
            let now = self.now();
            if self.caller.next_wake().is_some_and(|at| at <= now) {
                self.caller.woke(now);
                self.carry_out(None);
            }
            self.look_at_list(now);
            // Handles that ask without end must not keep the connections from their turn.
            future::yield_now().await;
        }
    }

    fn next_due(&self) -> Option<f64> {
        let list = self.watched.as_ref().map(|watched| watched.look_at);
        match (self.caller.next_wake(), list) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    fn end(&mut self) {
        self.caller.close(self.now());
        self.carry_out(None);
    }

    fn asked(&mut self, ask: Ask) {
        match ask {
            Ask::Call { number, invocation, due, reply } => {
                let due = due.saturating_duration_since(self.start).as_secs_f64() * 1000.0;
                let facts = CallFacts {
                    offering: invocation.offering.clone(),
                    repeats: invocation.repeats,
                    rank: invocation.rank,
                    due,
                    subject: invocation.subject.unwrap_or(0),
                    bytes: invocation.body.len() + 512,
                };
                let call = self.caller.call(self.now(), facts);
                self.numbers.insert(number, call);
                self.pending.insert(call, Pending { number, invocation, reply });
            }
            Ask::Gone { number } => {
                if let Some(call) = self.numbers.get(&number).copied() {
                    self.caller.cancelled(self.now(), call);
                    self.forget(call);
                }
            }
            Ask::Members(list) => self.caller.list(self.now(), &list),
            Ask::Counts(give) => drop(give.try_send(self.caller.counts())),
            Ask::Close(_) => {}
        }
        self.carry_out(None);
    }

    fn forget(&mut self, call: CallId) -> Option<Pending> {
        let pending = self.pending.remove(&call)?;
        self.numbers.remove(&pending.number);
        if let Some(shared) = self.shared.upgrade() {
            shared.in_hand.fetch_sub(1, Ordering::Relaxed);
        }
        Some(pending)
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Connected(link) => self.caller.connected(now, link),
            Event::NotConnected(link) => {
                tracing::debug!(event = "not_connected", link = link.0);
                self.caller.not_connected(now, link);
            }
            Event::Ended { link, garbled } => {
                if self.wires.contains_key(&link) {
                    tracing::debug!(event = "connection_ended", link = link.0, garbled);
                    self.caller.ended(now, link, garbled.is_some());
                }
                self.wires.remove(&link);
            }
            Event::Frame(link, frame) => match front::decode_response(&frame) {
                Ok(heard) => {
                    let result = match heard {
                        Response::Succeeded { result, .. } => Some(result),
                        _ => None,
                    };
                    self.caller.heard(now, link, &heard);
                    return self.carry_out(result);
                }
                Err(error) => {
                    tracing::warn!(event = "garbled", link = link.0, what = error.to_string());
                    self.caller.ended(now, link, true);
                    self.wires.remove(&link);
                }
            },
        }
        self.carry_out(None);
    }

    /// `result` is that of the answer that was just heard, if it was a result.
    fn carry_out(&mut self, result: Option<&[u8]>) {
        loop {
            let orders = self.caller.take_orders();
            if orders.is_empty() {
                return;
            }
            for order in orders {
                match order {
                    Order::Connect { link, to } => {
                        tracing::debug!(event = "connect", link = link.0, to = %to);
                        let (frames, taken) = async_channel::unbounded();
                        let unwritten = Rc::new(Cell::new(0));
                        let serve =
                            connection::serve(link, to, taken, unwritten.clone(), self.events.clone());
                        let _task = self.executor.spawn(serve);
                        self.wires.insert(link, Wire { frames, unwritten, _task });
                    }
                    Order::Send { link, seqid, call, waits_ms, marked } => {
                        self.send(link, seqid, call, waits_ms, marked);
                    }
                    Order::Cancel { link, seqid } => self.write(link, front::cancel(seqid)),
                    Order::Probe { link, seqid } => self.write(link, front::alive(seqid)),
                    Order::Close { link } => drop(self.wires.remove(&link)),
                    Order::Finish { call, ending } => {
                        let Some(pending) = self.forget(call) else { continue };
                        let _ = pending.reply.try_send(reply(ending, result));
                    }
                }
            }
        }
    }

    fn send(&mut self, link: LinkId, seqid: i32, call: CallId, waits_ms: f64, marked: bool) {
        let id = self.attempt_id();
        let Some(Pending { invocation, .. }) = self.pending.get(&call) else { return };
        let came = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let one = Attempt {
            class: &invocation.offering,
            id,
            sent_ms: came.as_millis() as u64,
            caller: self.number,
            tenant: &invocation.tenant,
            timeout_ms: Some(waits_ms),
            memory_kb: invocation.footprint_kb,
            rank: invocation.rank,
            object: invocation.subject,
            idempotency_key: invocation.ticket.as_deref(),
            work_hint_ms: invocation.work_hint_ms,
            marked_retry: marked,
            body: &invocation.body,
        };
        let frame = front::dispatch(seqid, &one);
        self.write(link, frame);
    }

    fn attempt_id(&mut self) -> AttemptId {
        let mut id: AttemptId = [0; 16];
        let bits: u64 = self.ids.random();
        for (place, digit) in id.iter_mut().enumerate() {
            *digit = b"0123456789abcdef"[(bits >> (4 * place) & 15) as usize];
        }
        id
    }

    /// A peer that has stopped reading is lost.
    fn write(&mut self, link: LinkId, frame: Vec<u8>) {
        let Some(wire) = self.wires.get(&link) else { return };
        wire.unwritten.set(wire.unwritten.get() + frame.len());
        let full = wire.unwritten.get() > MOST_UNWRITTEN;
        if full || wire.frames.try_send(frame).is_err() {
            self.wires.remove(&link);
            self.caller.ended(self.now(), link, full);
        }
    }

    /// Reads the list file again where it has changed and two looks agree, so that one that is being written counts
    /// only when it is whole.
    fn look_at_list(&mut self, now: f64) {
        let Some(watched) = self.watched.as_mut().filter(|watched| watched.look_at <= now) else { return };
        watched.look_at = now + LIST_MS;
        let seen = stamp(&watched.path);
        let settled = seen == watched.seen;
        watched.seen = seen;
        if !settled || seen == watched.used {
            return;
        }
        watched.used = seen;
        match read_list(&watched.path, self.terms.members) {
            Ok(list) => {
                tracing::info!(event = "members", count = list.members.len(), doubled = list.doubled);
                self.caller.list(now, &list);
                self.carry_out(None);
            }
            Err(error) => tracing::warn!(event = "members_kept", "the list of before stays: {error}"),
        }
    }
}

fn reply(ending: Ending, result: Option<&[u8]>) -> Reply {
    let span = |ms: Option<f64>| ms.map(|ms| Duration::from_secs_f64(ms.max(0.0) / 1000.0));
    match ending {
        Ending::Succeeded => Reply::Succeeded(result.unwrap_or_default().to_vec()),
        Ending::Dismissed { come_back_ms, last } => Reply::Dismissed { come_back: span(come_back_ms), last },
        Ending::Scrapped { may_have_run } => Reply::Scrapped { may_have_run },
        Ending::OutOfTime { may_have_run } => Reply::OutOfTime { may_have_run },
        Ending::GivenUp { why, come_back_ms } => Reply::GivenUp { why, come_back: span(come_back_ms) },
    }
}
