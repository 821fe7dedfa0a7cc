//! The one task that owns the module and all that is open. Everything else reaches it through its queue and
//! gets orders back through queues of its own; it never waits for any of them.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use plovershelf::interface::{
    Arrival, CallEnd, Change, Ending, Gauges, Outcome, Repeats, RunEnd, State, Wake,
};
use plovershelf::logic::Backend;
use plovershelf_codec::agent::RunOver;
use plovershelf_codec::front::{self, Complaint, Fault, Message, Words};
use plovershelf_codec::{agent as commands, name_of, TryId};
use plovershelf_facts::Start;

use crate::agent::Said;
use crate::ledger::Order;
use crate::limits::Limits;
use crate::repeats::{Mark, Remembered, Repeated};
use crate::sidecars::Outbox;

/// All that can happen to the owner from outside.
pub enum Event {
    Opened {
        connection: u64,
        outbox: Outbox,
    },
    Frame {
        connection: u64,
        frame: Vec<u8>,
    },
    /// The peer is gone, or what it sends can't be read any more.
    Ended {
        connection: u64,
        garbled: Option<&'static str>,
    },
    /// Descriptors are short: an idle connection must go.
    Crowded,
    Agent(Said),
    CallOver {
        id: TryId,
        end: CallEnd,
        reply: Vec<u8>,
    },
    Leave,
}

/// What the owner does by itself when its time has come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    Periodic,
    /// The sample of this tag has not been answered in time.
    GaugesLate(u64),
    GraceOver,
    Exit,
}

struct Connection {
    outbox: Outbox,
    /// Invocations read here and not answered yet, by sequence number.
    open: BTreeMap<i32, u32>,
    idle_since: f64,
    told_closing: bool,
    /// Nothing more is read from it; it ends with its last answer.
    deaf: bool,
}

/// An invocation from its reading until nothing of it is left below.
struct Open {
    id: TryId,
    connection: u64,
    seqid: i32,
    offering: usize,
    /// The frame as it came, and where in it the body stands.
    frame: Vec<u8>,
    body: Range<usize>,
    /// The caller takes no answer any more, or has had it.
    answered: bool,
    gone: bool,
    /// Place in the order of commands of its launch, if one was written; its run has been heard of.
    launched: Option<u64>,
    heard_of: bool,
    /// What its run asks of the ledger, and a reply that no link took yet.
    call: Vec<u8>,
    undelivered: Option<Vec<u8>>,
    result: Vec<u8>,
    mark: Option<Mark>,
}

pub struct Owner {
    inbox: Receiver<Event>,
    ledger: Sender<Order>,
    leaving_told: Rc<Cell<bool>>,
    limits: Rc<Limits>,
    start: Start,
    stop_ms: f64,
    /// There is none until the agent has said that it is up.
    backend: Option<Backend>,
    now: f64,
    due: BTreeSet<(u64, Due, u64)>,
    due_count: u64,
    connections: BTreeMap<u64, Connection>,
    open: BTreeMap<u32, Open>,
    open_bytes: usize,
    by_try: BTreeMap<TryId, u32>,
    next_id: u32,
    remembered: Remembered,
    /// Runs of repeats that ended with what they repeat, to be told to the module.
    ended: VecDeque<(u32, RunEnd)>,
    agent: Option<Sender<Vec<u8>>>,
    /// Commands written, how many of them the agent has surely read, and the samples on their way.
    commands: u64,
    commands_read: u64,
    samples: BTreeMap<u64, u64>,
    gauges_for: Option<u64>,
    advice: Option<f64>,
    fit: bool,
    idle_ms: f64,
    grace_over: bool,
    over: bool,
    complaints: (u64, u32),
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

impl Owner {
    pub fn new(
        start: Start,
        stop_ms: f64,
        limits: Rc<Limits>,
        inbox: Receiver<Event>,
        ledger: Sender<Order>,
        leaving_told: Rc<Cell<bool>>,
    ) -> Self {
        let idle_ms = start.facts.idle_most_ms;
        Owner {
            inbox,
            ledger,
            leaving_told,
            start,
            stop_ms,
            backend: None,
            now: unix_ms(),
            due: BTreeSet::new(),
            due_count: 0,
            connections: BTreeMap::new(),
            open: BTreeMap::new(),
            open_bytes: 0,
            by_try: BTreeMap::new(),
            next_id: 1,
            remembered: Remembered::new(limits.remembered_bytes, limits.read_late_ms),
            ended: VecDeque::new(),
            agent: None,
            commands: 0,
            commands_read: 0,
            samples: BTreeMap::new(),
            gauges_for: None,
            advice: None,
            fit: true,
            idle_ms,
            grace_over: false,
            over: false,
            complaints: (0, 0),
            limits,
        }
    }

    /// Takes events and due times in turn until the notice to leave has been carried out.
    pub async fn run(&mut self) {
        while !self.over {
            let event = match self.inbox.try_recv() {
                Ok(event) => Some(event),
                Err(_) => self.wait().await,
            };
            self.tick();
            match event {
                Some(event) => self.take(event),
                None => self.take_due(),
            }
            self.settle();
        }
    }

    async fn wait(&mut self) -> Option<Event> {
        let wait_ms = self.due.first().map_or(1000.0, |(at, ..)| (f64::from_bits(*at) - unix_ms()).max(0.0));
        let due = async {
            Timer::after(Duration::from_secs_f64(wait_ms / 1000.0)).await;
            None
        };
        let inbox = self.inbox.clone();
        future::or(async { inbox.recv().await.ok() }, due).await
    }

    /// The system's clock, which never goes back here.
    fn tick(&mut self) {
        self.now = self.now.max(unix_ms());
    }

    fn at(&mut self, wait_ms: f64, due: Due) {
        self.due_count += 1;
        self.due.insert(((self.now + wait_ms).max(0.0).to_bits(), due, self.due_count));
    }

    /// One due time a turn, so that events are not kept waiting behind many.
    fn take_due(&mut self) {
        let Some(&first) = self.due.first().filter(|(at, ..)| f64::from_bits(*at) <= self.now) else {
            return;
        };
        self.due.remove(&first);
        match first.1 {
            Due::Wake => self.wake(Wake::Due, Gauges::default()),
            Due::Periodic => self.ask_gauges(),
            Due::GaugesLate(tag) => {
                if self.gauges_for == Some(tag) {
                    self.gauges_for = None;
                    self.wake(Wake::Periodic, Gauges::default());
                }
            }
            Due::GraceOver => {
                self.grace_over = true;
                let all: Vec<u64> = self.connections.keys().copied().collect();
                all.into_iter().for_each(|connection| self.tell_closing(connection));
            }
            Due::Exit => self.over = true,
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Opened { connection, outbox } => {
                let idle_since = self.now;
                let fresh = Connection {
                    outbox,
                    open: BTreeMap::new(),
                    idle_since,
                    told_closing: false,
                    deaf: false,
                };
                self.connections.insert(connection, fresh);
            }
            Event::Frame { connection, frame } => self.read(connection, frame),
            Event::Ended { connection, garbled: Some(what) } => {
                self.complain(&format!("connection {connection}: {what}"));
                self.deafen(connection);
            }
            Event::Ended { connection, garbled: None } => self.lost(connection),
            Event::Crowded => {
                let idle = self.connections.iter().filter(|(_, c)| c.open.is_empty());
                let longest = idle.min_by(|(_, a), (_, b)| a.idle_since.total_cmp(&b.idle_since));
                if let Some(connection) = longest.map(|(number, _)| *number) {
                    self.tell_closing(connection);
                    self.connections.remove(&connection);
                }
            }
            Event::Agent(said) => self.hear(said),
            Event::CallOver { id, end, reply } => self.call_over(id, end, reply),
            Event::Leave => self.leave(),
        }
    }

    /// What follows from an event inside the owner itself.
    fn settle(&mut self) {
        while let Some((id, end)) = self.ended.pop_front() {
            self.decide(|backend, now| backend.run_ended(now, id, end));
        }
        let answered = self.open.values().all(|open| open.answered);
        if self.grace_over && answered && self.connections.is_empty() {
            self.over = true;
        }
    }

    /// Asks the module and carries out what it says.
    fn decide(&mut self, ask: impl FnOnce(&mut Backend, f64) -> Outcome) {
        let now = self.now;
        if let Some(outcome) = self.backend.as_mut().map(|backend| ask(backend, now)) {
            self.carry_out(outcome);
        }
    }

    // ---- what sidecars send -------------------------------------------------------------------------

    fn read(&mut self, connection: u64, frame: Vec<u8>) {
        let Some(peer) = self.connections.get_mut(&connection).filter(|peer| !peer.deaf) else { return };
        let decoded = front::decode(&frame);
        if decoded.is_ok() {
            peer.idle_since = self.now;
        }
        match decoded {
            Ok(Message::Dispatch { seqid, invocation }) => {
                let read = self.arrival(connection, seqid, &invocation);
                let (id, body) = (invocation.id, invocation.body);
                let from = body.as_ptr() as usize - frame.as_ptr() as usize;
                let body = from..from + body.len();
                match read {
                    Ok(read) => self.take_in(connection, seqid, id, frame, body, read),
                    Err(what) => self.refuse(connection, seqid, "dispatch", Complaint::Internal, &what),
                }
            }
            Ok(Message::Cancel { seqid }) => {
                if let Some(id) = peer.open.get(&seqid).copied() {
                    self.gone(id);
                }
            }
            Ok(Message::Alive { seqid }) => {
                let words = Words { advice: self.advice, ..Words::default() };
                self.send(connection, front::health(seqid, self.fit, &words));
            }
            Ok(Message::Other) => self.complain("a message that is not known"),
            Err(Fault::Refused { seqid, method, complaint, what }) => {
                self.refuse(connection, seqid, &method, complaint, &what)
            }
            Err(Fault::Garbled(what)) => {
                self.complain(&format!("connection {connection}: {what}"));
                self.deafen(connection);
            }
        }
    }

    /// An invocation as the module needs it, with the mark by which repeats of it are known.
    fn arrival(
        &self,
        connection: u64,
        seqid: i32,
        read: &front::Invocation<'_>,
    ) -> Result<(Arrival, Option<Mark>), String> {
        let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let offering = place(&self.start.offerings, read.offering).ok_or("no such class")?;
        let tenant = match place(&self.start.tenants, read.tenant) {
            Some(tenant) => tenant,
            None if self.start.tenants.is_empty() => 0,
            None => return Err("no such tenant".into()),
        };
        let open = &self.connections[&connection].open;
        if open.contains_key(&seqid) {
            return Err("the sequence number is in use".into());
        }
        if open.len() >= self.limits.open_each {
            return Err("too many are open on this connection".into());
        }
        if self.by_try.contains_key(&read.id) {
            return Err("the id is in use".into());
        }
        if self.backend.is_none() {
            return Err("not started yet".into());
        }
        let came = read.came_ms.min(self.now);
        let terms = &self.start.facts.offerings[offering];
        let mark = Mark::of(offering, terms.repeats, read.ticket, read.subject);
        let share_ms = self.start.facts.share_answers_ms;
        let ran_counts = terms.repeats == Repeats::Ticketed;
        let original = mark.as_ref().and_then(|m| self.remembered.original(m, came, ran_counts, share_ms));
        let arrival = Arrival {
            id: 0,
            offering,
            tenant,
            key: read.subject,
            gives_up_at: read.waits_ms.map(|waits| came + waits.min(terms.hard_limit_ms.max(1.0))),
            work_hint_ms: read.work_hint_ms,
            footprint_kb: read.footprint_kb,
            marked_repeat: read.marked_repeat,
            writes: read.subject == 0,
            unread_ms: self.now - came,
            original,
        };
        Ok((arrival, mark))
    }

    fn take_in(
        &mut self,
        connection: u64,
        seqid: i32,
        id: TryId,
        frame: Vec<u8>,
        body: Range<usize>,
        (mut arrival, mark): (Arrival, Option<Mark>),
    ) {
        if self.open_bytes + frame.len() > self.limits.open_bytes {
            self.complain("more is open than memory allows");
            self.send(connection, front::dismissed(seqid, &Words::default()));
            return;
        }
        while self.open.contains_key(&self.next_id) {
            self.next_id = self.next_id.wrapping_add(1).max(1);
        }
        arrival.id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1).max(1);
        self.open_bytes += frame.len();
        self.by_try.insert(id, arrival.id);
        if let Some(peer) = self.connections.get_mut(&connection) {
            peer.open.insert(seqid, arrival.id);
        }
        let open = Open {
            id,
            connection,
            seqid,
            offering: arrival.offering,
            frame,
            body,
            answered: false,
            gone: false,
            launched: None,
            heard_of: false,
            call: Vec::new(),
            undelivered: None,
            result: Vec::new(),
            mark,
        };
        self.open.insert(arrival.id, open);
        self.decide(|backend, now| backend.arrived(now, arrival));
    }

    /// The caller takes no answer any more.
    fn gone(&mut self, id: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.gone = true;
        self.close_answer(id);
        self.decide(|backend, now| backend.caller_gone(now, id));
    }

    /// A connection has ended: whatever is open on it has nobody left who waits.
    fn lost(&mut self, connection: u64) {
        let Some(peer) = self.connections.remove(&connection) else { return };
        for id in peer.open.into_values() {
            self.gone(id);
        }
    }

    /// Nothing more is read from a connection; what is open on it is still answered.
    fn deafen(&mut self, connection: u64) {
        let Some(peer) = self.connections.get_mut(&connection) else { return };
        peer.deaf = true;
        let ends = peer.open.is_empty();
        self.tell_closing(connection);
        if ends {
            self.connections.remove(&connection);
        }
    }

    fn tell_closing(&mut self, connection: u64) {
        let Some(peer) = self.connections.get_mut(&connection) else { return };
        if !std::mem::replace(&mut peer.told_closing, true) {
            self.send(connection, front::closing());
        }
    }

    fn send(&mut self, connection: u64, frame: Vec<u8>) {
        let Some(peer) = self.connections.get(&connection) else { return };
        if !peer.outbox.push(frame) {
            self.complain(&format!("connection {connection}: its peer reads too slowly"));
            self.lost(connection);
        }
    }

    fn refuse(&mut self, connection: u64, seqid: i32, method: &str, complaint: Complaint, what: &str) {
        self.complain(&format!("connection {connection}, {method:?}: {what}"));
        self.send(connection, front::complaint(seqid, method, complaint, what));
    }

    /// A line about what a peer does wrong, as many a second as the limits allow.
    fn complain(&mut self, what: &str) {
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

    // ---- what the module says -----------------------------------------------------------------------

    fn carry_out(&mut self, outcome: Outcome) {
        for change in outcome.changes {
            self.carry_out_change(change);
        }
        let words = outcome.words;
        self.advice = words.advice.or(self.advice);
        self.fit = words.fit.unwrap_or(self.fit);
        self.idle_ms = words.idle_ms.unwrap_or(self.idle_ms);
        for (wait_ms, wake) in words.wakes {
            self.at(wait_ms, if wake == Wake::Periodic { Due::Periodic } else { Due::Wake });
        }
        for note in words.notes {
            tracing::info!("{note}");
        }
    }

    fn carry_out_change(&mut self, change: Change) {
        let id = change.id;
        if let (Some(span), Some(open)) = (change.remember_ms, self.open.get(&id)) {
            if let Some(mark) = &open.mark {
                self.remembered.keep(mark.clone(), id, self.now + span);
            }
        }
        match (change.from, change.to) {
            (Some(State::Held), State::Running) => self.launch(id),
            (Some(State::AtCall), State::Running) => self.command_for(id, commands::forgo),
            (_, State::Calling { within_ms }) => self.place_call(id, within_ms),
            (_, State::Joined) => self.join(id),
            (Some(from), State::Spent { ending, stop }) => {
                self.drop_call(id, from);
                if !matches!(from, State::Spent { .. }) {
                    self.answer(id, ending);
                }
                if stop {
                    self.command_for(id, commands::freeze);
                }
            }
            (Some(from), State::Ended(ending)) => {
                self.drop_call(id, from);
                if !matches!(from, State::Spent { .. }) {
                    self.answer(id, ending);
                }
                self.forget(id);
            }
            _ => {}
        }
    }

    fn answer(&mut self, id: u32, ending: Ending) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if open.answered {
            return;
        }
        let (connection, seqid) = (open.connection, open.seqid);
        let mut words = Words { advice: self.advice, ..Words::default() };
        let frame = match ending {
            Ending::Succeeded => front::succeeded(seqid, &open.result, &words),
            Ending::Dismissed { cool_down_ms, elsewhere_helps } => {
                words.cool_down_ms = Some(cool_down_ms).filter(|span| *span > 0.0);
                words.last = !elsewhere_helps;
                front::dismissed(seqid, &words)
            }
            // A run can end because its caller has gone before this side was told; an answer does no harm.
            Ending::Scrapped | Ending::RunFailed | Ending::CallerGone => front::scrapped(seqid, &words),
        };
        self.close_answer(id);
        self.send(connection, frame);
        let ends = |peer: &Connection| peer.deaf && peer.open.is_empty();
        if self.connections.get(&connection).is_some_and(ends) {
            self.connections.remove(&connection);
        }
    }

    /// The caller is owed nothing any more.
    fn close_answer(&mut self, id: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.answered = true;
        if let Some(peer) = self.connections.get_mut(&open.connection) {
            if peer.open.get(&open.seqid) == Some(&id) {
                peer.open.remove(&open.seqid);
                peer.idle_since = self.now;
            }
        }
    }

    /// Nothing of the invocation is left here or below.
    fn forget(&mut self, id: u32) {
        let Some(open) = self.open.remove(&id) else { return };
        self.open_bytes -= open.frame.len();
        self.by_try.remove(&open.id);
        if let Some(mark) = &open.mark {
            for repeat in self.remembered.ended(mark, id, None, self.now) {
                self.end_repeat(repeat, None);
            }
        }
    }

    /// What a repeat repeats has come to its end; the module is told in the same turn.
    fn end_repeat(&mut self, repeat: u32, result: Option<&[u8]>) {
        if let Some(open) = self.open.get_mut(&repeat) {
            open.result = result.unwrap_or_default().to_vec();
            self.ended.push_back((repeat, if result.is_some() { RunEnd::Ok } else { RunEnd::Error }));
        }
    }

    fn join(&mut self, id: u32) {
        let mark = self.open.get(&id).and_then(|open| open.mark.clone());
        let result = match mark.as_ref().map(|mark| self.remembered.join(mark, id)) {
            Some(Repeated::Waits) => return,
            Some(Repeated::Has(result)) => Some(result.to_vec()),
            Some(Repeated::HasNone) | None => None,
        };
        self.end_repeat(id, result.as_deref());
    }

    // ---- the agent ----------------------------------------------------------------------------------

    fn hear(&mut self, said: Said) {
        match said {
            Said::Up { fresh, up_for_ms, orders } => self.agent_up(fresh, up_for_ms, orders),
            Said::Down => self.agent = None,
            Said::RunOver { id, over, result } => self.run_over(id, over, result),
            Said::WantsCall { id, call } => {
                let Some(&id) = self.by_try.get(&id) else { return };
                if let Some(open) = self.open.get_mut(&id) {
                    open.heard_of = true;
                    open.call = call;
                }
                self.decide(|backend, now| backend.wants_call(now, id));
            }
            Said::Sampled { tag, gauges } => {
                if let Some(read) = self.samples.remove(&tag) {
                    self.commands_read = self.commands_read.max(read);
                }
                if self.gauges_for == Some(tag) {
                    self.gauges_for = None;
                    let gauges = self.start.gauges(gauges);
                    self.wake(Wake::Periodic, gauges);
                }
            }
            Said::Refused { command, id } => {
                self.complain(&format!("the agent refused {command:?} for {}", name_of(&id)));
                if command == "launch" {
                    self.run_over(id, RunOver::Nothing, Vec::new());
                }
            }
        }
    }

    fn agent_up(&mut self, fresh: bool, up_for_ms: f64, orders: Sender<Vec<u8>>) {
        self.agent = Some(orders);
        self.samples.clear();
        if self.backend.is_none() {
            let mut facts = self.start.facts.clone();
            facts.just_started = fresh;
            let (backend, outcome) = Backend::start(self.now - up_for_ms, facts);
            self.backend = Some(backend);
            tracing::info!("the agent is up, {}", if fresh { "fresh" } else { "warm" });
            self.carry_out(outcome);
            return;
        }
        // What the last link may have lost. Work that may run once only is not launched anew in doubt.
        let read = self.commands_read;
        let lost = |open: &Open| match open.launched {
            _ if open.answered || open.heard_of => false,
            Some(0) => true,
            Some(place) => {
                place > read && self.start.facts.offerings[open.offering].repeats == Repeats::Rerunnable
            }
            None => false,
        };
        let again: Vec<u32> = self.open.iter().filter(|(_, open)| lost(open)).map(|(id, _)| *id).collect();
        tracing::info!("the agent's link is back, {} launches are written anew", again.len());
        again.into_iter().for_each(|id| self.launch(id));
        let waiting: Vec<u32> =
            self.open.iter().filter(|(_, open)| open.undelivered.is_some()).map(|(id, _)| *id).collect();
        for id in waiting {
            let Some(open) = self.open.get_mut(&id) else { continue };
            if let Some(reply) = open.undelivered.take() {
                self.deliver(id, reply);
            }
        }
    }

    /// Writes a command; tells its place in the order, or `None` while there is no link.
    fn command(&mut self, bytes: Vec<u8>) -> Option<u64> {
        if self.agent.as_ref()?.try_send(bytes).is_err() {
            // The link is gone or takes nothing: it is dropped, which opens a new one.
            self.agent = None;
            return None;
        }
        self.commands += 1;
        Some(self.commands)
    }

    fn command_for(&mut self, id: u32, command: impl FnOnce(&TryId) -> Vec<u8>) {
        if let Some(bytes) = self.open.get(&id).map(|open| command(&open.id)) {
            self.command(bytes);
        }
    }

    fn launch(&mut self, id: u32) {
        let Some(open) = self.open.get(&id) else { return };
        let offering = &self.start.offerings[open.offering];
        let bytes = commands::launch(&open.id, offering, &open.frame[open.body.clone()]);
        let place = self.command(bytes).unwrap_or(0);
        let Some(open) = self.open.get_mut(&id) else { return };
        open.launched = Some(place);
        if let Some(mark) = &open.mark {
            self.remembered.ran(mark, id);
        }
    }

    fn deliver(&mut self, id: u32, reply: Vec<u8>) {
        let Some(open) = self.open.get(&id) else { return };
        if self.command(commands::deliver(&open.id, &reply)).is_none() {
            if let Some(open) = self.open.get_mut(&id) {
                open.undelivered = Some(reply);
            }
        }
    }

    fn run_over(&mut self, id: TryId, over: RunOver, result: Vec<u8>) {
        let Some(&id) = self.by_try.get(&id) else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        let end = match over {
            RunOver::Success => RunEnd::Ok,
            RunOver::Failure => RunEnd::Error,
            RunOver::Interrupted => RunEnd::Stopped,
            RunOver::Nothing => RunEnd::NeverBegan,
        };
        open.result = result;
        if let Some(mark) = open.mark.clone() {
            let kept = (end == RunEnd::Ok).then(|| open.result.clone());
            for repeat in self.remembered.ended(&mark, id, kept.as_deref(), self.now) {
                self.end_repeat(repeat, kept.as_deref());
            }
        }
        self.decide(|backend, now| backend.run_ended(now, id, end));
    }

    fn ask_gauges(&mut self) {
        self.close_idle();
        self.remembered.sweep(self.now);
        let tag = self.due_count + 1;
        match self.command(commands::sample(tag)) {
            Some(place) => {
                self.samples.insert(tag, place);
                self.gauges_for = Some(tag);
                self.at(self.limits.gauges_ms, Due::GaugesLate(tag));
            }
            None => self.wake(Wake::Periodic, Gauges::default()),
        }
    }

    fn wake(&mut self, wake: Wake, gauges: Gauges) {
        self.decide(|backend, now| backend.woke(now, wake, gauges));
    }

    // ---- the ledger ---------------------------------------------------------------------------------

    fn place_call(&mut self, id: u32, within_ms: f64) {
        let Some(open) = self.open.get(&id) else { return };
        let order = Order::Call { id: open.id, within_ms, body: open.call.clone() };
        if self.ledger.try_send(order).is_err() {
            let id = open.id;
            self.complain("the queue to the ledger is full");
            self.call_over(id, CallEnd::ProvenNotRun, Vec::new());
        }
    }

    /// Gives a call up that nobody waits for any more.
    fn drop_call(&mut self, id: u32, from: State) {
        if let (State::Calling { .. }, Some(open)) = (from, self.open.get(&id)) {
            if self.ledger.try_send(Order::GiveUp { id: open.id }).is_err() {
                self.complain("the queue to the ledger is full");
            }
        }
    }

    fn call_over(&mut self, id: TryId, end: CallEnd, reply: Vec<u8>) {
        let Some(&id) = self.by_try.get(&id) else { return };
        if end == CallEnd::Ok && self.open.get(&id).is_some_and(|open| !open.answered) {
            self.deliver(id, reply);
        }
        self.decide(|backend, now| backend.call_ended(now, id, end));
    }

    // ---- leaving ------------------------------------------------------------------------------------

    fn leave(&mut self) {
        if self.leaving_told.replace(true) {
            return;
        }
        tracing::info!("told to leave");
        let all: Vec<u64> = self.connections.keys().copied().collect();
        all.into_iter().for_each(|connection| self.tell_closing(connection));
        let stop_ms = self.stop_ms;
        self.at(self.start.facts.grace_ms, Due::GraceOver);
        self.at((stop_ms - self.limits.exit_early_ms).max(0.0), Due::Exit);
        self.decide(|backend, now| backend.told_to_leave(now, now + stop_ms));
    }

    /// Connections that were not used for the module's idle span are told to close, and ended if they stay.
    fn close_idle(&mut self) {
        let before = self.now - self.idle_ms;
        let long = |c: &&Connection| c.open.is_empty() && c.idle_since <= before;
        let idle: Vec<u64> =
            self.connections.iter().filter(|(_, c)| long(c)).map(|(number, _)| *number).collect();
        idle.into_iter().for_each(|connection| self.tell_closing(connection));
    }
}
