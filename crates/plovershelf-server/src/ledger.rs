//! Calls to the ledger that all backends share. Each of a few connections mostly carries one call at a time, so
//! that one that goes bad costs no others; one that has gone bad is not used again.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf::api::CallOutcome;
use plovershelf_codec::dependency::{self, Reply};
use plovershelf_codec::AttemptId;

use crate::limits::Limits;
use crate::messages::{CallOver, Event, Order};
use crate::streams::{gather, within, write_all, Inflow};

struct Out {
    number: u64,
    since: Instant,
    written: bool,
}

/// What is shared with the task of one connection.
#[derive(Default)]
struct Carried {
    /// Calls that are out, since when, and whether their bytes may have gone; and all that the connection has carried: a second copy of an answer
    /// must not be taken for that to a later call of the same run.
    out: BTreeMap<AttemptId, Out>,
    ever: BTreeSet<AttemptId>,
    /// It takes no further calls.
    retired: bool,
    answered: Option<Instant>,
}

impl Carried {
    fn idle_ms(&self) -> u64 {
        self.answered.filter(|_| self.out.is_empty()).map_or(0, ms_since)
    }
}

/// What calls of late have taken, from which it follows how long one may be out before its connection is held
/// to have gone bad. Those that were cut off count too, so that a ledger that slows down is not taken for silent.
struct Pace {
    mean_ms: Cell<f64>,
    limits: Rc<Limits>,
}

impl Pace {
    fn learn(&self, took_ms: u64) {
        let mean_ms = self.mean_ms.get();
        self.mean_ms.set(mean_ms + self.limits.pace_weight * (took_ms as f64 - mean_ms));
    }

    fn silent_ms(&self) -> u64 {
        let [least, most] = self.limits.ledger_silent_ms;
        ((self.limits.silent_times * self.mean_ms.get()) as u64).clamp(least, most)
    }
}

fn ms_since(then: Instant) -> u64 {
    then.elapsed().as_millis() as u64
}

struct Line {
    to: SocketAddr,
    carried: Rc<RefCell<Carried>>,
    lines: Sender<Vec<u8>>,
}

impl Line {
    /// It takes no further calls.
    fn over(&self, to: SocketAddr, limits: &Limits) -> bool {
        let carried = self.carried.borrow();
        carried.retired || self.to != to || carried.ever.len() >= limits.calls_a_connection
    }

    /// How many calls one more would stand beside, if it may take one for this id at all.
    fn beside(&self, id: &AttemptId, to: SocketAddr, limits: &Limits) -> Option<usize> {
        let carried = self.carried.borrow();
        let stale = carried.idle_ms() >= limits.ledger_idle_ms;
        let fit = !self.over(to, limits) && !stale && !carried.ever.contains(id);
        fit.then_some(carried.out.len())
    }
}

pub async fn keep_calls(
    executor: &LocalExecutor<'static>,
    address: Rc<Cell<Option<SocketAddr>>>,
    orders: Receiver<Order>,
    inbox: Sender<Event>,
    limits: Rc<Limits>,
) {
    let mut lines: Vec<Line> = Vec::new();
    let pace = Rc::new(Pace { mean_ms: Cell::new(limits.pace_first_ms), limits: limits.clone() });
    while let Ok(order) = orders.recv().await {
        let Some(to) = address.get() else {
            // There is nowhere to place a call.
            if let Order::Call { id, number, .. } = order {
                let over = CallOver::without(number, CallOutcome::NotExecuted);
                let _ = inbox.send(Event::CallOver { id, over }).await;
            }
            continue;
        };
        // One that takes no more calls ends with the last it has out.
        lines.retain(|line| !(line.over(to, &limits) && line.carried.borrow().out.is_empty()));
        match order {
            Order::Call { id, number, within_ms, body } => {
                let free = lines.iter().filter_map(|line| Some((line.beside(&id, to, &limits)?, line)));
                // The one that was used last, so that the others fall idle.
                let best = free.min_by_key(|(beside, line)| (*beside, line.carried.borrow().idle_ms()));
                let full = lines.len() >= limits.ledger_connections;
                let line = match best {
                    Some((beside, line)) if beside == 0 || full => line,
                    // Those that take no more are as many as there may be, until their last calls are over.
                    None if lines.len() >= limits.ledger_connections + limits.ledger_spare => {
                        let over = CallOver::without(number, CallOutcome::NotExecuted);
                        let _ = inbox.send(Event::CallOver { id, over }).await;
                        continue;
                    }
                    _ => {
                        let carried = Rc::new(RefCell::new(Carried::default()));
                        let (sender, taken) = async_channel::unbounded();
                        let talk = talk(to, carried.clone(), taken, inbox.clone(), pace.clone());
                        executor.spawn(talk).detach();
                        lines.push(Line { to, carried, lines: sender });
                        &lines[lines.len() - 1]
                    }
                };
                let mut carried = line.carried.borrow_mut();
                carried.out.insert(id, Out { number, since: Instant::now(), written: false });
                carried.ever.insert(id);
                let _ = line.lines.try_send(dependency::call(&id, within_ms, &body));
            }
            Order::GiveUp { id } => {
                let has = |line: &&Line| line.carried.borrow().out.contains_key(&id);
                let Some(line) = lines.iter().find(has) else { continue };
                let mut carried = line.carried.borrow_mut();
                carried.out.remove(&id);
                // Whether it would have answered is not known: when nothing else is out, it ends.
                carried.retired |= carried.out.is_empty();
                let _ = line.lines.try_send(dependency::abandon(&id));
            }
        }
    }
}

/// One connection from its first call until it goes bad, is spent, or has been idle for long enough.
async fn talk(
    to: SocketAddr,
    carried: Rc<RefCell<Carried>>,
    lines: Receiver<Vec<u8>>,
    inbox: Sender<Event>,
    pace: Rc<Pace>,
) {
    let limits = &pace.limits;
    let (end, why) = match within(limits.connect_ms, Async::<TcpStream>::connect(to)).await {
        // What was out on a connection that went bad proves nothing.
        Ok(stream) => {
            (CallOutcome::ConnectionLost, converse(&stream, &carried, &lines, &inbox, &pace).await.err())
        }
        Err(error) => (CallOutcome::NotExecuted, Some(error)),
    };
    let out = {
        let mut carried = carried.borrow_mut();
        carried.retired = true;
        std::mem::take(&mut carried.out)
    };
    if let Some(error) = why {
        let _ =
            inbox.send(Event::Odd(format!("a ledger's connection with {} calls: {error}", out.len()))).await;
    }
    for (id, Out { number, written, .. }) in out {
        let end = if written { end } else { CallOutcome::NotExecuted };
        let _ = inbox.send(Event::CallOver { id, over: CallOver::without(number, end) }).await;
    }
}

async fn converse(
    stream: &Async<TcpStream>,
    carried: &RefCell<Carried>,
    lines: &Receiver<Vec<u8>>,
    inbox: &Sender<Event>,
    pace: &Pace,
) -> io::Result<()> {
    let limits = &pace.limits;
    stream.get_ref().set_nodelay(true)?;
    let over = || {
        let carried = carried.borrow();
        carried.out.is_empty() && (carried.retired || lines.is_closed())
    };
    let write = async {
        while let Some(bytes) = gather(lines).await {
            // All that stood in the queue goes now; what has not been taken from it has surely never run.
            carried.borrow_mut().out.values_mut().for_each(|out| out.written = true);
            write_all(stream, &bytes, limits.stall_ms).await?;
            if over() {
                return Ok(());
            }
        }
        // No more calls come; it ends with the last that is out.
        if over() {
            return Ok(());
        }
        future::pending().await
    };
    let watch = async {
        loop {
            Timer::after(Duration::from_millis(limits.watch_ms.min(pace.silent_ms() / 4))).await;
            let carried = carried.borrow();
            let longest = carried.out.values().map(|out| ms_since(out.since)).max();
            if let Some(out_ms) = longest.filter(|out_ms| *out_ms >= pace.silent_ms()) {
                pace.learn(out_ms);
                return Err(io::Error::other("it is silent"));
            }
            if carried.idle_ms() >= limits.ledger_idle_ms {
                return Ok(());
            }
        }
    };
    let read = async {
        let mut inflow = Inflow::new(limits.line_bytes, limits.read_bytes);
        loop {
            let took =
                dependency::decode_first(inflow.bytes(), limits.body_bytes).map_err(io::Error::other)?;
            let Some((id, answer, used)) = took else {
                // An answer that has begun comes whole at once, or never.
                let begun = !inflow.bytes().is_empty();
                let more = inflow.fill(stream);
                let came = if begun { within(limits.part_ms, more).await } else { more.await };
                if !came? {
                    let idle = carried.borrow().out.is_empty();
                    return if idle { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
                }
                continue;
            };
            let wanted = answer != Reply::NoWaitingRun;
            let (end, reply) = match answer {
                Reply::Done(reply) => (CallOutcome::Completed, reply.to_vec()),
                Reply::Rejected | Reply::NoWaitingRun => (CallOutcome::NotExecuted, Vec::new()),
                Reply::Failed => (CallOutcome::Unknown, Vec::new()),
                Reply::Expired => (CallOutcome::Abandoned, Vec::new()),
            };
            inflow.used(used);
            // Answers to calls that were given up come too late to count, as do second copies.
            let counts = {
                let mut carried = carried.borrow_mut();
                carried.answered = Some(Instant::now());
                carried.out.remove(&id)
            };
            if let Some(Out { number, since, .. }) = counts {
                pace.learn(ms_since(since));
                let over = CallOver { number, end, wanted, reply };
                let _ = inbox.send(Event::CallOver { id, over }).await;
            }
            if over() {
                return Ok(());
            }
        }
    };
    future::or(read, future::or(write, watch)).await
}

#[cfg(test)]
mod tests;
