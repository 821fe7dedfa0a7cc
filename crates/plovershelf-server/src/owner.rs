//! The one task that owns the module and all that is open. Everything else reaches it through its queue and
//! gets orders back through queues of its own; it never waits for any of them.

mod below;
mod copied;
mod peers;
mod pooled;
mod tenant_quotas;
mod work;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use async_channel::{Receiver, Sender};
use async_io::Timer as IoTimer;
use futures_lite::future;
use plovershelf::admission::Backend;
use plovershelf::api::{Effects, Gauges, RunOutcome, Timer};
use plovershelf_codec::AttemptId;
use plovershelf_settings::Startup;

use crate::limits::Limits;
use crate::messages::{Event, Order, Outbox};
use crate::repeats::{Mark, Remembered};

/// What the owner does by itself when its time has come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    Periodic,
    /// The sample of this tag has not been answered in time.
    GaugesLate(u64),
    /// Connections are told to close before the grace is over.
    Closing,
    GraceOver,
    /// Connections that were told to close and rest are ended.
    Resting,
    Exit,
}

/// How far the end of accepting is.
enum Listener {
    Open {
        _until_dropped: Sender<()>,
    },
    /// What stands in the listen queue is still taken.
    Closing,
    Closed,
}

struct Connection {
    outbox: Outbox,
    /// Invocations read here and not answered yet, by sequence number.
    open: BTreeMap<i32, u32>,
    idle_since: f64,
    closing_since: Option<f64>,
    /// It has sent a message that could be read; what it did wrong where that may be another's fault.
    spoke: bool,
    faults: u32,
}

/// An invocation from its reading until nothing of it is left below.
struct Open {
    id: AttemptId,
    connection: u64,
    seqid: i32,
    offering: usize,
    /// The frame as it came, and where in it the body stands.
    frame: Vec<u8>,
    body: Range<usize>,
    /// The caller takes no answer any more, or has had it.
    answered: bool,
    /// Place in the order of commands of its launch, if one was written; its run has been heard of.
    launched: Option<u64>,
    heard_of: bool,
    /// A link broke before the agent had surely read the launch, and it was not written anew.
    doubtful: bool,
    /// When it was read.
    came: f64,
    /// What its run asks of the ledger, the number of the call that is out for it, and a reply that no link took
    /// yet.
    call: Vec<u8>,
    call_number: u64,
    undelivered: Option<Vec<u8>>,
    /// Place in the order of commands of the last reply, until its run is heard of again.
    delivered: Option<u64>,
    /// The call was placed anew, as its reply may be lost: whether the run still waits is asked with it, and a
    /// reply to it that waits for the answer to the sample of this place.
    asked_again: bool,
    proving: Option<(u64, Vec<u8>)>,
    result: Vec<u8>,
    mark: Option<Mark>,
    /// What its body says, where it has a mark.
    content: u64,
    /// Where tickets have copies: how far its claim is.
    copied: copied::Stage,
    /// Its ending stands on enough copies to be told if the due time comes before the rest; or its caller was told that it
    /// failed, so that no other ending is told to anybody.
    enough: Option<plovershelf_replication::copies::Ending>,
    told_failed: bool,
}

/// What an invocation is held to take of a core before any has run.
const FIRST_WORK_MS: f64 = 20.0;

/// The place of a launch that no link has taken; the number of no call.
const NEVER: u64 = 0;

pub struct Owner {
    inbox: Receiver<Event>,
    /// The notice to leave, with the time at which it came. It overtakes what waits in the queue, as its terms run
    /// from then on.
    notice: Receiver<f64>,
    ledger: Sender<Order>,
    leaving_told: Rc<Cell<bool>>,
    listener: Listener,
    limits: Rc<Limits>,
    startup: Startup,
    stop_ms: f64,
    /// There is none until the agent has said that it is up.
    backend: Option<Backend>,
    now: f64,
    due: BTreeSet<(u64, Due, u64)>,
    due_count: u64,
    timer: IoTimer,
    timer_for: Option<u64>,
    connections: BTreeMap<u64, Connection>,
    open: BTreeMap<u32, Open>,
    open_bytes: usize,
    by_try: BTreeMap<AttemptId, u32>,
    last_id: u32,
    remembered: Remembered,
    /// Runs of repeats that ended with what they repeat, to be told to the module.
    ended: VecDeque<(u32, RunOutcome)>,
    agent: Option<Sender<Vec<u8>>>,
    /// Commands written, and how many of them the agent has surely read. A sample's tag is its place in this
    /// order, so its answer proves that all before it were read.
    commands: u64,
    commands_read: u64,
    calls: u64,
    gauges_for: Option<u64>,
    advice: Option<f64>,
    fit: bool,
    idle_ms: f64,
    grace_over: bool,
    over: bool,
    complaints: (u64, u32),
    /// Pools of offerings, where an operator has set any, and when the log heard of them.
    pooled: Option<pooled::Pooled>,
    pools_told_at: f64,
    /// What a plan of zones needs to know, counted where there is a group; the work of an invocation, by what the cores were busy.
    counted: crate::group::Counted,
    runs_told: f64,
    work_ms: f64,
    worked_at: f64,
    /// Where a group wants to know that this goes round and does its work.
    pulse: Option<std::sync::Arc<crate::group::OwnerHeartbeat>>,
    /// Tenants' quotas that may change while this runs, where an operator has set it up.
    initial_quotas: Option<tenant_quotas::InitialQuotas>,
    /// Takes what is wanted of the copies, where tickets have any.
    copies: Option<Sender<crate::group::Incoming>>,
    /// What is held for others stands elsewhere, or nothing is.
    handed_on: bool,
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

impl Owner {
    pub fn new(
        startup: Startup,
        stop_ms: f64,
        limits: Rc<Limits>,
        (inbox, notice): (Receiver<Event>, Receiver<f64>),
        ledger: Sender<Order>,
        leaving_told: Rc<Cell<bool>>,
        listener: Option<Sender<()>>,
    ) -> Self {
        let idle_ms = startup.config.max_idle_ms;
        Owner {
            inbox,
            notice,
            ledger,
            leaving_told,
            listener: listener.map_or(Listener::Closed, |_until_dropped| Listener::Open { _until_dropped }),
            startup,
            stop_ms,
            backend: None,
            now: unix_ms(),
            due: BTreeSet::new(),
            due_count: 0,
            timer: IoTimer::never(),
            timer_for: None,
            connections: BTreeMap::new(),
            open: BTreeMap::new(),
            open_bytes: 0,
            by_try: BTreeMap::new(),
            last_id: 0,
            remembered: Remembered::new(limits.remembered, limits.remembered_bytes, limits.read_late_ms),
            ended: VecDeque::new(),
            agent: None,
            commands: 0,
            commands_read: 0,
            calls: 0,
            gauges_for: None,
            advice: None,
            fit: true,
            idle_ms,
            grace_over: false,
            over: false,
            complaints: (0, 0),
            pooled: None,
            pools_told_at: 0.0,
            counted: Default::default(),
            runs_told: 0.0,
            work_ms: FIRST_WORK_MS,
            worked_at: 0.0,
            pulse: None,
            initial_quotas: None,
            copies: None,
            handed_on: true,
            limits,
        }
    }

    /// Pools of offerings as an operator has set them.
    ///
    /// Errors: what the plan has against the backend's facts.
    pub fn with_pools(mut self, plan: Option<plovershelf_bulkhead::Plan>) -> Result<Self, String> {
        self.pooled = plan.map(|plan| pooled::Pooled::new(plan, &self.startup.config)).transpose()?;
        Ok(self)
    }

    pub fn with_pulse(mut self, pulse: Option<std::sync::Arc<crate::group::OwnerHeartbeat>>) -> Self {
        self.pulse = pulse;
        self
    }

    pub fn with_quota_updates(mut self, on: bool) -> Self {
        self.initial_quotas =
            on.then(|| tenant_quotas::InitialQuotas::new(&self.startup.config.tenant_quotas_per_s));
        self
    }

    pub fn with_copies(mut self, copies: Option<Sender<crate::group::Incoming>>) -> Self {
        self.handed_on = copies.is_none();
        self.copies = copies;
        self
    }

    /// Takes events and due times in turn until the notice to leave has been carried out. Hands back how long there is
    /// until the end, in which the last answers may still go out.
    pub async fn run(&mut self) -> Duration {
        while !self.over {
            self.tick();
            if let Ok(told_at) = self.notice.try_recv() {
                self.leave(told_at);
            }
            if !self.take_due() {
                let event = match self.inbox.try_recv() {
                    Ok(event) => Some(event),
                    Err(_) => self.wait().await,
                };
                self.tick();
                event.into_iter().for_each(|event| self.take(event));
            }
            self.settle();
            if let Some(pulse) = &self.pulse {
                pulse.record(self.backend.is_some() && self.agent.is_some());
                pulse.record_counts(self.startup.config.cores, &self.counted);
            }
        }
        let exit = self.due.iter().find(|(_, due, _)| *due == Due::Exit);
        let left_ms = exit.map_or(0.0, |(at, ..)| f64::from_bits(*at) - unix_ms());
        let most_ms = self.limits.linger_ms as f64 * 2.0;
        Duration::from_secs_f64(left_ms.clamp(self.limits.exit_early_ms / 2.0, most_ms) / 1000.0)
    }

    /// Until the next due time, or a while where there is none near.
    fn wait_ms(&self) -> f64 {
        self.due.first().map_or(1000.0, |(at, ..)| (f64::from_bits(*at) - unix_ms()).clamp(0.0, 1000.0))
    }

    /// The next event, or none where something is due first. The timer is set anew only for another time, as
    /// each setting costs system calls.
    async fn wait(&mut self) -> Option<Event> {
        let due_at = self.due.first().map(|(at, ..)| *at);
        if self.timer_for != due_at || due_at.is_none() {
            self.timer.set_after(Duration::from_secs_f64(self.wait_ms() / 1000.0));
            self.timer_for = due_at;
        }
        let (inbox, notice, timer) = (&self.inbox, &self.notice, &mut self.timer);
        enum Come {
            Event(Option<Event>),
            Notice(f64),
            Time,
        }
        let told = async {
            match notice.recv().await {
                Ok(at) => Come::Notice(at),
                Err(_) => future::pending().await,
            }
        };
        let events = async { Come::Event(inbox.recv().await.ok()) };
        let time = async {
            timer.await;
            Come::Time
        };
        match future::or(told, future::or(events, time)).await {
            Come::Event(event) => event,
            Come::Notice(told_at) => {
                self.tick();
                self.leave(told_at);
                None
            }
            Come::Time => {
                self.timer_for = None;
                None
            }
        }
    }

    /// The system's clock, which never goes back here.
    fn tick(&mut self) {
        self.now = self.now.max(unix_ms());
    }

    fn at(&mut self, wait_ms: f64, due: Due) {
        self.due_count += 1;
        self.due.insert(((self.now + wait_ms).max(0.0).to_bits(), due, self.due_count));
    }

    /// Does what is due first, if its time has come.
    fn take_due(&mut self) -> bool {
        let Some(&first) = self.due.first().filter(|(at, ..)| f64::from_bits(*at) <= self.now) else {
            return false;
        };
        self.due.remove(&first);
        match first.1 {
            Due::Wake => self.wake(Timer::Deadline, Gauges::default()),
            Due::Periodic => self.ask_gauges(),
            Due::GaugesLate(tag) => {
                if self.gauges_for == Some(tag) {
                    self.gauges_for = None;
                    self.wake(Timer::Periodic, Gauges::default());
                }
            }
            Due::Closing => self.tell_all_closing(),
            // What comes from now on would only be turned away: refused connections send it elsewhere sooner.
            Due::GraceOver => {
                self.grace_over = true;
                if matches!(self.listener, Listener::Open { .. }) {
                    self.listener = Listener::Closing;
                }
                self.tell_all_closing();
                self.at(self.limits.closing_last_ms, Due::Resting);
            }
            Due::Resting => {
                self.end_resting(self.limits.closing_last_ms);
                self.at(self.limits.closing_last_ms / 3.0, Due::Resting);
            }
            Due::Exit => self.over = true,
        }
        true
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Opened { connection, outbox } => {
                let idle_since = self.now;
                let fresh = Connection {
                    outbox,
                    open: BTreeMap::new(),
                    idle_since,
                    closing_since: None,
                    spoke: false,
                    faults: 0,
                };
                self.connections.insert(connection, fresh);
                if self.grace_over {
                    self.tell_closing(connection);
                }
                if self.connections.len() > self.limits.crowd {
                    self.make_room(self.limits.silent_ms, self.limits.idle_least_ms);
                }
            }
            Event::Frame { connection, frame } => {
                self.connections.get(&connection).into_iter().for_each(|peer| peer.outbox.arrived());
                self.read(connection, frame);
            }
            Event::Ended { connection, error: Some(error) } => self.deafen(connection, &error.to_string()),
            Event::Ended { connection, error: None } => self.lost(connection),
            Event::Crowded { why, open } => self.crowded(&why, open),
            Event::ListenerClosed => self.listener = Listener::Closed,
            Event::Agent(said) => self.hear(said),
            Event::Odd(what) => self.complain(&what),
            Event::CallOver { id, over } => self.call_over(id, over),
            Event::Copies(told) => self.copies_told(told),
            Event::Pools(plan) => self.replan(plan),
            Event::Quotas(update) => self.handle_quota_update(&update),
        }
    }

    /// What follows from an event inside the owner itself.
    fn settle(&mut self) {
        while let Some((id, end)) = self.ended.pop_front() {
            self.decide(|backend, now| backend.handle_run_ended(now, id, end));
        }
        let idle = || self.connections.is_empty() && self.open.values().all(|open| open.answered);
        let accepts = !matches!(self.listener, Listener::Closed);
        self.over |= self.grace_over && !accepts && self.handed_on && idle();
    }

    /// Asks the module and carries out what it says.
    fn decide(&mut self, ask: impl FnOnce(&mut Backend, f64) -> Effects) {
        let now = self.now;
        if let Some(outcome) = self.backend.as_mut().map(|backend| ask(backend, now)) {
            self.carry_out(outcome);
        }
    }

    /// The notice came at this time; what follows from it counts from then on, however late it is read.
    fn leave(&mut self, told_at: f64) {
        if self.leaving_told.replace(true) {
            return;
        }
        tracing::info!("told to leave");
        let late_ms = (self.now - told_at).clamp(0.0, self.stop_ms);
        let stop_ms = self.stop_ms - late_ms;
        let refuse_from =
            (self.startup.config.drain_grace_ms - late_ms).min(stop_ms - self.limits.refuse_early_ms);
        // What comes inside the grace is run, so its callers keep their connections until shortly before.
        self.at((refuse_from - self.limits.closing_early_ms).max(0.0), Due::Closing);
        self.at(refuse_from.max(0.0), Due::GraceOver);
        self.at((stop_ms - self.limits.exit_early_ms).max(0.0), Due::Exit);
        self.decide(|backend, now| backend.handle_drain_notice(now, now - late_ms, now + stop_ms));
    }
}

#[cfg(test)]
mod tests;
