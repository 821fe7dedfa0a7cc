//! The event loop: a single task that owns the [`Backend`], all client connections and all open requests.
//!
//! Each input is an [`Event`] from the inbox, the drain notice or an expired [`Timeout`]. The loop passes it to the
//! backend ([`Driver::decide`]) and turns the returned effects into commands and responses. The driver never blocks
//! on an outgoing queue: it treats a full queue as a peer that has stopped reading, so that two full queues can't
//! deadlock.
//!
//! | module | job |
//! | --- | --- |
//! | `open_request` | state of one request from its arrival until its removal |
//! | `requests` | applies the backend's effects: starts, calls, answers and ends of requests |
//! | `clients` | client frames and connection state |
//! | `admission` | request validation and deduplication before the backend decides |
//! | `agent` | agent notices, agent commands and recovery of a broken link |
//! | `calls` | outbound calls and their replies |
//! | `bulkheads` | bulkheads, if a plan is configured |
//! | `replication` | replication of keyed requests, if a cluster is configured |
//! | `tenant_quotas` | tenant quotas that change at runtime |

mod admission;
mod agent;
mod bulkheads;
mod calls;
mod clients;
mod open_request;
mod replication;
mod requests;
mod tenant_quotas;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use plovershelf::admission::Backend;
use plovershelf::api::{Effects, Gauges, RunOutcome, Timer as BackendTimer};
use plovershelf_codec::AttemptId;
use plovershelf_settings::Startup;

use crate::cluster;
use crate::deduplication::{DeduplicationLimits, DeduplicationRecords};
use crate::event::{CallCommand, ConnectionId, Event};
use crate::limits::Limits;
use crate::log_limit::LogLimit;
use agent::CommandCounters;
pub(crate) use bulkheads::check_bulkheads;
use bulkheads::BulkheadState;
use clients::ClientConnection;
use open_request::OpenRequest;
use tenant_quotas::InitialQuotas;

/// Longest wait for an event when no timeout is scheduled sooner.
const MAX_WAIT_MS: f64 = 1000.0;
/// Assumed core time per request until the first runs have been measured.
const INITIAL_WORK_MS: f64 = 20.0;

/// An action that the driver has scheduled for a later time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timeout {
    /// The backend's earliest deadline expires.
    Deadline,
    /// The backend's periodic measurement is due.
    Periodic,
    /// The agent has not answered the sample with this tag in time.
    Gauges(u64),
    /// The driver announces the closing of all client connections, shortly before the grace ends.
    AnnounceClosing,
    /// The grace ends: the listener stops accepting connections.
    RefuseConnections,
    /// The driver closes idle connections whose closing was announced.
    CloseAnnounced,
    /// The program exits.
    Exit,
}

/// A timeout in due order: the bits of its time, the action, and a sequence number that makes the entry unique.
type ScheduledTimeout = (u64, Timeout, u64);

/// State of the listener as the driver controls it.
enum ListenerState {
    Open {
        _until_dropped: Sender<()>,
    },
    /// The listener accepts only the connections that are already in its listen queue.
    Closing,
    Closed,
}

/// Queues between the driver and the other tasks.
pub(crate) struct DriverQueues {
    pub(crate) inbox: Receiver<Event>,
    /// Delivers the drain notice with its arrival time. It bypasses the inbox because the grace and the stop time
    /// count from that arrival time.
    pub(crate) notice: Receiver<f64>,
    pub(crate) calls: Sender<CallCommand>,
}

/// An input of the event loop.
enum Input {
    Event(Event),
    DrainNotice(f64),
    /// The timer has expired, so a timeout may be due.
    TimerExpired,
    QueueClosed,
}

/// The event loop and all the state that it owns.
pub(crate) struct Driver {
    queues: DriverQueues,
    draining: Rc<Cell<bool>>,
    listener: ListenerState,
    limits: Rc<Limits>,
    startup: Startup,
    /// Time from the drain notice to the forced kill, in milliseconds.
    stop_ms: f64,
    /// `None` until the agent is up.
    backend: Option<Backend>,
    now_ms: f64,

    timeouts: BTreeSet<ScheduledTimeout>,
    timeouts_scheduled: u64,
    timer: Timer,
    /// The time for which the timer is set, as the bits of an `f64`. The driver resets the timer only when this
    /// changes, because each reset costs system calls.
    timer_set_for: Option<u64>,

    connections: BTreeMap<ConnectionId, ClientConnection>,
    peer_errors: LogLimit,
    requests: BTreeMap<u32, OpenRequest>,
    request_by_attempt: BTreeMap<AttemptId, u32>,
    open_bytes: usize,
    last_request_id: u32,
    deduplication: DeduplicationRecords,
    /// Runs that ended inside the driver and are reported to the backend at the end of the current turn of the event
    /// loop.
    ended_runs: VecDeque<(u32, RunOutcome)>,

    agent: Option<Sender<Vec<u8>>>,
    commands: CommandCounters,
    calls_placed: u64,
    /// Tag of the sample whose gauges the periodic measurement awaits.
    awaited_gauges: Option<u64>,

    backpressure: Option<f64>,
    is_ready: bool,
    idle_timeout_ms: f64,
    is_grace_over: bool,
    is_over: bool,

    bulkheads: Option<BulkheadState>,
    bulkheads_logged_ms: f64,
    /// Counters for the cluster's traffic plan.
    counters: cluster::TrafficCounts,
    runs_since_sample: f64,
    work_ms: f64,
    sampled_ms: f64,
    /// Reports to the cluster that the event loop makes progress.
    heartbeat: Option<Arc<cluster::DriverHeartbeat>>,
    initial_quotas: Option<InitialQuotas>,
    /// Sends requests to the replication driver, if keyed requests are replicated.
    replication: Option<Sender<cluster::Incoming>>,
    /// True if this backend holds no records for other nodes, or has handed all of them off.
    is_handed_off: bool,
}

/// Returns the system clock in Unix milliseconds.
pub(crate) fn unix_ms() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

impl Driver {
    /// Returns a driver that starts its backend once the agent is up. Dropping `listening` stops the listener.
    pub(crate) fn new(
        startup: Startup,
        stop_ms: f64,
        limits: Rc<Limits>,
        queues: DriverQueues,
        draining: Rc<Cell<bool>>,
        listening: Option<Sender<()>>,
    ) -> Self {
        let idle_timeout_ms = startup.config.max_idle_ms;
        let deduplication = DeduplicationRecords::new(DeduplicationLimits {
            max_keys: limits.max_deduplication_keys,
            max_result_bytes: limits.max_result_bytes,
            grace_ms: limits.deduplication_grace_ms,
        });
        let listener =
            listening.map_or(ListenerState::Closed, |_until_dropped| ListenerState::Open { _until_dropped });
        Driver {
            queues,
            draining,
            listener,
            startup,
            stop_ms,
            backend: None,
            now_ms: unix_ms(),
            timeouts: BTreeSet::new(),
            timeouts_scheduled: 0,
            timer: Timer::never(),
            timer_set_for: None,
            connections: BTreeMap::new(),
            peer_errors: LogLimit::new(limits.max_peer_errors_per_s),
            requests: BTreeMap::new(),
            request_by_attempt: BTreeMap::new(),
            open_bytes: 0,
            last_request_id: 0,
            deduplication,
            ended_runs: VecDeque::new(),
            agent: None,
            commands: CommandCounters::default(),
            calls_placed: 0,
            awaited_gauges: None,
            backpressure: None,
            is_ready: true,
            idle_timeout_ms,
            is_grace_over: false,
            is_over: false,
            bulkheads: None,
            bulkheads_logged_ms: 0.0,
            counters: Default::default(),
            runs_since_sample: 0.0,
            work_ms: INITIAL_WORK_MS,
            sampled_ms: 0.0,
            heartbeat: None,
            initial_quotas: None,
            replication: None,
            is_handed_off: true,
            limits,
        }
    }

    /// Adds the bulkheads of an operator's plan.
    ///
    /// # Errors
    /// Returns an error if the plan contradicts the backend's configuration.
    pub(crate) fn with_bulkheads(
        mut self,
        plan: Option<plovershelf_bulkhead::BulkheadPlan>,
    ) -> Result<Self, plovershelf_bulkhead::BulkheadError> {
        self.bulkheads = plan.map(|plan| BulkheadState::new(plan, &self.startup.config)).transpose()?;
        Ok(self)
    }

    /// Adds a heartbeat that reports to the cluster that the event loop makes progress.
    pub(crate) fn with_heartbeat(mut self, heartbeat: Option<Arc<cluster::DriverHeartbeat>>) -> Self {
        self.heartbeat = heartbeat;
        self
    }

    /// Enables tenant quotas that change at runtime.
    pub(crate) fn with_changing_quotas(mut self, is_on: bool) -> Self {
        self.initial_quotas = is_on.then(|| InitialQuotas::new(&self.startup.config.tenant_quotas_per_s));
        self
    }

    /// Enables replication of keyed requests.
    pub(crate) fn with_replication(mut self, replication: Option<Sender<cluster::Incoming>>) -> Self {
        self.is_handed_off = replication.is_none();
        self.replication = replication;
        self
    }

    /// Handles inputs until the drain is complete. Returns the time left until the process exits, in which the last
    /// responses may still be written.
    pub(crate) async fn run(&mut self) -> Duration {
        while !self.is_over {
            self.update_clock();
            if let Ok(noticed_ms) = self.queues.notice.try_recv() {
                self.handle_drain_notice(noticed_ms);
            }
            if !self.handle_due_timeout() {
                let input = match self.queues.inbox.try_recv() {
                    Ok(event) => Input::Event(event),
                    Err(_) => self.next_input().await,
                };
                self.update_clock();
                match input {
                    Input::Event(event) => self.handle_event(event),
                    Input::DrainNotice(noticed_ms) => self.handle_drain_notice(noticed_ms),
                    Input::TimerExpired => self.timer_set_for = None,
                    Input::QueueClosed => {}
                }
            }
            self.finish_turn();
        }
        self.time_to_exit()
    }

    fn time_to_exit(&self) -> Duration {
        let exit = self.timeouts.iter().find(|(_, timeout, _)| *timeout == Timeout::Exit);
        let left_ms = exit.map_or(0.0, |(time, ..)| f64::from_bits(*time) - unix_ms());
        let max_ms = self.limits.linger_ms as f64 * 2.0;
        Duration::from_secs_f64(left_ms.clamp(self.limits.exit_margin_ms / 2.0, max_ms) / 1000.0)
    }

    /// Returns whether the program exits within `within_ms`.
    fn is_about_to_exit(&self, within_ms: f64) -> bool {
        let exit = self.timeouts.iter().find(|(_, timeout, _)| *timeout == Timeout::Exit);
        exit.is_some_and(|(time, ..)| f64::from_bits(*time) - self.now_ms <= within_ms)
    }

    /// Waits for the next event or drain notice, or for the timer.
    async fn next_input(&mut self) -> Input {
        self.set_timer();
        let DriverQueues { inbox, notice, .. } = &self.queues;
        let timer = &mut self.timer;
        let notices = async {
            match notice.recv().await {
                Ok(noticed_ms) => Input::DrainNotice(noticed_ms),
                Err(_) => future::pending().await,
            }
        };
        let events = async { inbox.recv().await.map_or(Input::QueueClosed, Input::Event) };
        let expiry = async {
            timer.await;
            Input::TimerExpired
        };
        future::or(notices, future::or(events, expiry)).await
    }

    /// Sets the timer to the next timeout, or to [`MAX_WAIT_MS`] if none is scheduled.
    fn set_timer(&mut self) {
        let next = self.timeouts.first().map(|(time, ..)| *time);
        if self.timer_set_for != next || next.is_none() {
            self.timer.set_after(Duration::from_secs_f64(self.wait_ms() / 1000.0));
            self.timer_set_for = next;
        }
    }

    fn wait_ms(&self) -> f64 {
        let until = |time: u64| (f64::from_bits(time) - unix_ms()).clamp(0.0, MAX_WAIT_MS);
        self.timeouts.first().map_or(MAX_WAIT_MS, |(time, ..)| until(*time))
    }

    /// Advances the driver's clock to the system clock; it never goes backwards.
    fn update_clock(&mut self) {
        self.now_ms = self.now_ms.max(unix_ms());
    }

    fn schedule(&mut self, after_ms: f64, timeout: Timeout) {
        self.timeouts_scheduled += 1;
        let time = (self.now_ms + after_ms).max(0.0).to_bits();
        self.timeouts.insert((time, timeout, self.timeouts_scheduled));
    }

    /// Handles the earliest timeout if it is due. Returns whether one was due.
    fn handle_due_timeout(&mut self) -> bool {
        let now_ms = self.now_ms;
        let due = self.timeouts.first().filter(|(time, ..)| f64::from_bits(*time) <= now_ms).copied();
        let Some(due) = due else { return false };
        self.timeouts.remove(&due);
        self.handle_timeout(due.1);
        true
    }

    fn handle_timeout(&mut self, timeout: Timeout) {
        match timeout {
            Timeout::Deadline => self.handle_backend_timeout(BackendTimer::Deadline, Gauges::default()),
            Timeout::Periodic => self.start_periodic_measurement(),
            Timeout::Gauges(tag) => {
                if self.awaited_gauges == Some(tag) {
                    self.awaited_gauges = None;
                    self.handle_backend_timeout(BackendTimer::Periodic, Gauges::default());
                }
            }
            Timeout::AnnounceClosing => self.announce_closing_to_all(),
            Timeout::RefuseConnections => self.refuse_connections(),
            Timeout::CloseAnnounced => {
                self.close_announced(self.limits.final_closing_timeout_ms);
                self.schedule(self.limits.final_closing_timeout_ms / 3.0, Timeout::CloseAnnounced);
            }
            Timeout::Exit => self.is_over = true,
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Connected { connection, outbox } => self.handle_connected(connection, outbox),
            Event::Frame { connection, frame } => self.handle_frame(connection, frame),
            Event::Disconnected { connection, error } => self.handle_disconnected(connection, error),
            Event::ConnectionsExhausted { reason, open } => self.handle_connections_exhausted(&reason, open),
            Event::ListenerClosed => self.listener = ListenerState::Closed,
            Event::Agent(event) => self.handle_agent_event(event),
            Event::PeerError(message) => self.log_peer_error(&message),
            Event::CallEnded { id, result } => self.handle_call_ended(id, result),
            Event::Replication(event) => self.handle_replication_event(event),
            Event::Bulkheads(plan) => self.replace_bulkheads(plan),
            Event::Quotas(update) => self.handle_quota_update(&update),
        }
    }

    /// Completes a turn of the event loop: reports runs that ended inside the driver, checks for the end of the drain
    /// and updates the heartbeat.
    fn finish_turn(&mut self) {
        while let Some((id, outcome)) = self.ended_runs.pop_front() {
            self.decide(|backend, now_ms| backend.handle_run_ended(now_ms, id, outcome));
        }
        let is_idle =
            || self.connections.is_empty() && self.requests.values().all(|request| request.is_answered);
        let accepts = !matches!(self.listener, ListenerState::Closed);
        self.is_over |= self.is_grace_over && !accepts && self.is_handed_off && is_idle();
        if let Some(heartbeat) = &self.heartbeat {
            heartbeat.record(self.backend.is_some() && self.agent.is_some());
            heartbeat.record_counts(self.startup.config.cores, &self.counters);
        }
    }

    /// Asks the backend for a decision and applies the effects that it returns.
    fn decide(&mut self, ask: impl FnOnce(&mut Backend, f64) -> Effects) {
        let now_ms = self.now_ms;
        if let Some(effects) = self.backend.as_mut().map(|backend| ask(backend, now_ms)) {
            self.apply_effects(effects);
        }
    }

    fn handle_backend_timeout(&mut self, timer: BackendTimer, gauges: Gauges) {
        self.decide(|backend, now_ms| backend.handle_timeout(now_ms, timer, gauges));
    }

    /// Starts the drain. The grace and the stop time count from `noticed_ms`, however late the driver handles the
    /// notice.
    fn handle_drain_notice(&mut self, noticed_ms: f64) {
        if self.draining.replace(true) {
            return;
        }
        tracing::info!(event = "drain_notice", "drain notice received");
        let late_ms = (self.now_ms - noticed_ms).clamp(0.0, self.stop_ms);
        let stop_ms = self.stop_ms - late_ms;
        let grace_ms = self.startup.config.drain_grace_ms - late_ms;
        let refuse_ms = grace_ms.min(stop_ms - self.limits.min_refuse_margin_ms);
        // Requests that arrive within the grace still run, so clients keep their connections until shortly before its
        // end.
        self.schedule((refuse_ms - self.limits.closing_lead_ms).max(0.0), Timeout::AnnounceClosing);
        self.schedule(refuse_ms.max(0.0), Timeout::RefuseConnections);
        self.schedule((stop_ms - self.limits.exit_margin_ms).max(0.0), Timeout::Exit);
        self.decide(|backend, now_ms| {
            backend.handle_drain_notice(now_ms, now_ms - late_ms, now_ms + stop_ms)
        });
    }

    /// Ends the grace. Requests that arrive from now on would only be rejected; refusing their connections makes
    /// clients turn to other backends sooner.
    fn refuse_connections(&mut self) {
        self.is_grace_over = true;
        if matches!(self.listener, ListenerState::Open { .. }) {
            self.listener = ListenerState::Closing;
        }
        self.announce_closing_to_all();
        self.schedule(self.limits.final_closing_timeout_ms, Timeout::CloseAnnounced);
    }
}

#[cfg(test)]
mod tests;
