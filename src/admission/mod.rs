//! Admission control, load shedding and scheduling of one server: every decision about its requests.
//!
//! A driver creates a [`Backend`] with [`Backend::start`] and calls one function for each event; each returns
//! [`Effects`]: the state changes, and what the backend announces. The driver owns the clock, the connections
//! and the executions. The same inputs give the same effects: the inputs and the seed are the only sources of
//! time and randomness.
//!
//! [`Backend`] has no policy of its own. It consults the rules, one per module, in the order of a request's
//! lifecycle, and is the only place where a rule's result becomes a state change (`request` has the state table).
//!
//! | input | rules, in the order in which they are consulted |
//! | --- | --- |
//! | any | `cpu` (execution clock), `deadline` (expired requests) |
//! | a request was read, first | `retry_detection`, `deadline`, `deduplication` (duplicates join) |
//! | then | `concurrency` (expected to end in time), `drain`, `tenant_quota` |
//! | then | `shedding` by `priority`, `bulkhead`, `memory`, `scheduling` |
//! | the client disconnected | `scheduling` |
//! | a request needs a call; a call ended | `outbound`, `bulkhead`, `scheduling` |
//! | an execution ended | `health`, `concurrency`, `outbound`, `scheduling` |
//! | drain notice | `drain`, `deadline`, `health`, `idle_timeout`, `backpressure` |
//! | a period ended, first | `outbound`, `deduplication`, `cpu`, `concurrency`, `shedding` |
//! | then | `health`, `idle_timeout`, `backpressure`, `scheduling` |
//!
//! `docs/design.md` has the source of the design and the departures of the rules from it.

mod backpressure;
mod bulkhead;
mod concurrency;
mod cpu;
mod deadline;
mod deduplication;
mod drain;
mod health;
mod idle_timeout;
mod memory;
mod outbound;
mod priority;
mod random;
mod request;
mod retry_detection;
mod scheduling;
mod shedding;
mod statistics;
mod tenant_quota;
mod time;

#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;

use crate::api::{
    BackendConfig, Bulkheads, CallOutcome, Cancellation, ClassConfig, Completion, Effects, Gauges,
    Idempotency, Request, RequestState, RunOutcome, Timer, Transition,
};

use backpressure::{retry_after_ms, Backpressure, LevelInputs, ShedClass};
use bulkhead::{BackendLoad, BulkheadAdmission};
use concurrency::{Concurrency, Limits};
use cpu::CpuUsage;
use deadline::{ClientTimes, Deadlines};
use deduplication::{Deduplication, Retention};
use drain::Drain;
use health::Health;
use idle_timeout::IdleTimeout;
use memory::Memory;
use outbound::{call_timeout_ms, AfterCall, Outbound};
use priority::Priorities;
use random::Pcg32;
use request::{is_answered, Clock, InFlightRequest, RequestTable};
use retry_detection::RetryDetection;
use scheduling::{Scheduling, SchedulingKey};
use shedding::{Load, Shedding, SheddingLevel, SheddingTier};
use statistics::DecayClock;
use tenant_quota::TenantQuotas;

/// Time between two gauge readings.
const PERIOD_MS: f64 = 100.0;
/// Shortest first period, as a fraction of [`PERIOD_MS`]. A random part of up to one period is added, so that
/// servers started at the same time do not announce in lockstep.
const MIN_FIRST_PERIOD_FRACTION: f64 = 0.5;

/// Admission decision about a request that was just read.
enum Admission {
    Execute,
    /// The request is a duplicate and gets the outcome of the first request.
    Join,
    /// The request is a duplicate and there is not enough memory for it.
    Fail,
    /// The request is rejected. If load is the reason, `level` is its shedding level.
    Reject {
        retry_after_ms: f64,
        level: Option<SheddingLevel>,
    },
}

/// State machine that takes all decisions of one server, without I/O or a clock.
pub struct Backend {
    classes: Vec<ClassConfig>,
    cancellation: Cancellation,
    priorities: Priorities,
    now_ms: f64,
    tally_decay: DecayClock,
    requests: RequestTable,
    memory: Memory,
    cpu: CpuUsage,
    concurrency: Concurrency,
    shedding: Shedding,
    bulkheads: BulkheadAdmission,
    tenant_quotas: TenantQuotas,
    deadlines: Deadlines,
    retry_detection: RetryDetection,
    scheduling: Scheduling,
    deduplication: Deduplication,
    outbound: Outbound,
    health: Health,
    backpressure: Backpressure,
    idle_timeout: IdleTimeout,
    drain: Drain,
    effects: Effects,
}

impl Backend {
    /// Returns a backend that starts at `now_ms` on the driver's clock, and its first announcements.
    pub fn start(now_ms: f64, config: BackendConfig) -> (Self, Effects) {
        let priorities = Priorities::new(&config.classes);
        let mut effects = Effects::default();
        effects.announcements.ready = Some(true);
        let random_fraction = Pcg32::new(config.seed).next_fraction();
        let first_period_ms = PERIOD_MS * (MIN_FIRST_PERIOD_FRACTION + random_fraction);
        effects.announcements.timers.push((first_period_ms, Timer::Periodic));
        let backend = Backend {
            cancellation: config.cancellation,
            now_ms,
            tally_decay: DecayClock::new(now_ms),
            requests: RequestTable::default(),
            memory: Memory::new(&config),
            cpu: CpuUsage::new(config.cores),
            concurrency: Concurrency::new(now_ms, &config),
            shedding: Shedding::new(priorities.ranks()),
            bulkheads: BulkheadAdmission::default(),
            tenant_quotas: TenantQuotas::new(now_ms, &config),
            deadlines: Deadlines::new(),
            retry_detection: RetryDetection::new(&config),
            scheduling: Scheduling::default(),
            deduplication: Deduplication::new(config.shared_response_ms),
            outbound: Outbound::new(now_ms, &config),
            health: Health::new(config.discovery_follows_health),
            backpressure: Backpressure::new(&config),
            idle_timeout: IdleTimeout::new(&config),
            drain: Drain::new(config.drain_grace_ms),
            effects: Effects::default(),
            priorities,
            classes: config.classes,
        };
        (backend, effects)
    }

    // ---- inputs: events of requests, the drain notice, timers, updates of the configuration -------------

    /// Handles a request that was read: executes it, joins it to the request that it duplicates, or rejects it.
    pub fn handle_request(&mut self, now_ms: f64, request: Request) -> Effects {
        self.advance_to(now_ms);
        let valuable_for_ms = self.enqueue(&request);
        match self.admission(&request, valuable_for_ms) {
            Admission::Execute => {
                self.tenant_quotas.record_admission(request.tenant, now_ms);
                self.retain(&request);
                self.run_queued();
            }
            Admission::Join => self.transition(request.id, RequestState::Joined),
            Admission::Fail => self.transition(request.id, RequestState::Completed(Completion::Failed)),
            Admission::Reject { retry_after_ms, level } => self.reject(request.id, retry_after_ms, level),
        }
        self.take_effects()
    }

    /// Handles a client that no longer waits for the response to a request.
    pub fn handle_client_gone(&mut self, now_ms: f64, id: u32) -> Effects {
        self.advance_to(now_ms);
        if self.requests.state(id).is_some() {
            self.answer(id, Completion::ClientGone);
            self.run_queued();
        }
        self.take_effects()
    }

    /// Handles an execution that needs its outbound call.
    pub fn handle_call_requested(&mut self, now_ms: f64, id: u32) -> Effects {
        self.advance_to(now_ms);
        if self.requests.state(id) == Some(RequestState::Running) {
            self.transition(id, RequestState::AwaitingCall);
            self.place_calls();
            self.run_queued();
        }
        self.take_effects()
    }

    /// Handles the end of an outbound call.
    pub fn handle_call_ended(&mut self, now_ms: f64, id: u32, outcome: CallOutcome) -> Effects {
        self.advance_to(now_ms);
        let request = self.requests.get(id);
        let calling = request.filter(|request| matches!(request.state(), RequestState::Calling { .. }));
        if let Some(request) = calling {
            let after_call = AfterCall::new(outcome, &self.classes[request.class()]);
            self.outbound.handle_call_ended(now_ms, now_ms - request.call_started_ms(), outcome);
            if outcome != CallOutcome::Completed {
                self.transition(id, RequestState::AwaitingCall);
            }
            match after_call {
                AfterCall::Resume => self.transition(id, RequestState::Running),
                AfterCall::Retry => {}
                AfterCall::Terminate => self.terminate(id),
            }
            self.place_calls();
        }
        self.take_effects()
    }

    /// Handles the end of an execution.
    pub fn handle_run_ended(&mut self, now_ms: f64, id: u32, outcome: RunOutcome) -> Effects {
        self.advance_to(now_ms);
        if let Some(state) = self.requests.state(id) {
            let completion = match (state, outcome) {
                (RequestState::Answered { completion, .. }, _) => completion,
                (_, RunOutcome::Completed) => Completion::Succeeded,
                (_, RunOutcome::Failed) => Completion::ExecutionFailed,
                (_, RunOutcome::Cancelled | RunOutcome::NotStarted) => Completion::ClientGone,
            };
            self.record_execution(id, outcome);
            self.transition(id, RequestState::Completed(completion));
            self.place_calls();
            self.run_queued();
        }
        self.take_effects()
    }

    /// Handles a drain notice, which announces that the process will be stopped. The notice may be read later
    /// than it was issued; its times count from its issue at `issued_ms`.
    pub fn handle_drain_notice(&mut self, now_ms: f64, issued_ms: f64, stop_ms: f64) -> Effects {
        self.advance_to(now_ms);
        self.drain.handle_notice(issued_ms, stop_ms);
        self.requests.unanswered().into_iter().for_each(|id| self.update_deadline(id));
        self.announce();
        self.take_effects()
    }

    /// Handles a timer that was requested in [`Announcements::timers`](crate::api::Announcements::timers).
    pub fn handle_timeout(&mut self, now_ms: f64, timer: Timer, gauges: Gauges) -> Effects {
        self.advance_to(now_ms);
        self.cpu.update_utilization(gauges.cores_busy);
        match timer {
            Timer::Periodic => self.handle_period(&gauges),
            Timer::Deadline => self.deadlines.handle_timer(now_ms),
        }
        self.place_calls();
        self.run_queued();
        self.take_effects()
    }

    /// Updates the capacities of the bulkheads. Without bulkheads, the backend's limits apply to all classes
    /// alike.
    pub fn update_bulkheads(&mut self, now_ms: f64, bulkheads: Option<Bulkheads>) -> Effects {
        self.advance_to(now_ms);
        let in_flight = self.requests.iter().map(|(_, request)| (request.class(), request.state()));
        self.bulkheads.update(bulkheads, in_flight);
        self.place_calls();
        self.take_effects()
    }

    /// Updates quotas of tenants, as pairs of the tenant's index in the settings and requests per second over
    /// the whole fleet. The new quotas apply to subsequent arrivals, against the existing counts. If any is not
    /// valid, none changes and a note names it.
    pub fn update_tenant_quotas(&mut self, now_ms: f64, changed: &[(usize, f64)]) -> Effects {
        self.advance_to(now_ms);
        if let Err(error) = self.tenant_quotas.update(changed) {
            self.effects.announcements.notes.push(error.to_string());
        }
        self.take_effects()
    }

    // ---- steps of the inputs ----------------------------------------------------------------------------

    fn advance_to(&mut self, now_ms: f64) {
        self.cpu.advance((now_ms - self.now_ms).max(0.0), self.requests.running());
        self.now_ms = now_ms;
        while let Some(id) = self.deadlines.pop_expired(now_ms) {
            self.terminate(id);
        }
    }

    /// Adds a request to the queue; returns for how long a response still has value.
    fn enqueue(&mut self, request: &Request) -> f64 {
        let decay_factor = self.tally_decay.advance_to(self.now_ms);
        self.shedding.decay(decay_factor);
        self.concurrency.record_arrival(request.class, request.unread_ms, decay_factor);
        let class = &self.classes[request.class];
        let times = ClientTimes::new(self.now_ms, request, class);
        let prior_wait_ms = self.retry_detection.observe(request, times.attempt_timeout_ms());
        let valuable_until_ms = times.valuable_until_ms(request, class, prior_wait_ms);
        let expires_ms = times.expires_ms(self.now_ms, valuable_until_ms, class.idempotency);
        let deadline_ms = self.drain.deadline_ms(expires_ms, self.now_ms);
        self.memory.add_request(request.memory_kb);
        let in_flight = InFlightRequest::new(request, expires_ms, deadline_ms);
        self.requests.insert(request.id, in_flight);
        self.deadlines.insert(request.id, deadline_ms);
        let key = SchedulingKey::new(self.priorities.rank(request.class), deadline_ms, request.id);
        self.scheduling.enter(RequestState::Queued, key);
        self.record_transition(request.id, None, RequestState::Queued, None);
        valuable_until_ms - self.now_ms
    }

    fn admission(&mut self, request: &Request, valuable_for_ms: f64) -> Admission {
        if request.duplicate_of.is_some() {
            let joins = self.memory.allows_join(self.deduplication.entries());
            return if joins { Admission::Join } else { Admission::Fail };
        }
        // If nothing else is running, a request that is expected to end too late is executed anyway: the
        // expected duration may be outdated.
        let running = self.requests.running();
        let expected_ms = self.concurrency.expected_duration_ms(request.class, request.work_hint_ms, running);
        if valuable_for_ms <= 0.0 || (valuable_for_ms < expected_ms && running > 0) {
            return Admission::Reject { retry_after_ms: self.concurrency.unread_ms(), level: None };
        }
        if self.drain.rejects(self.now_ms - request.unread_ms) {
            return Admission::Reject { retry_after_ms: self.backpressure.max_retry_after_ms(), level: None };
        }
        self.admission_under_load(request)
    }

    fn admission_under_load(&mut self, request: &Request) -> Admission {
        let over_quota = self.tenant_quotas.is_over_quota(request.tenant, self.now_ms);
        let tier =
            if over_quota || request.marked_retry { SheddingTier::Demoted } else { SheddingTier::Ordinary };
        let level = self.shedding.level(self.priorities.rank(request.class), tier);
        self.shedding.record_arrival(level);
        let (load, limits) = self.load_and_limits();
        let backend_load =
            if load.is_within(&limits) { BackendLoad::WithinLimits } else { BackendLoad::AtLimit };
        let fraction = load.admitted_fraction(&limits);
        let fraction = self.bulkheads.admitted_fraction(request.class, fraction, backend_load);
        if fraction <= 0.0
            || !self.memory_allows_execution(request.id)
            || self.shedding.should_shed(level, fraction)
        {
            let retry_after_ms = retry_after_ms(fraction, self.concurrency.unread_ms());
            return Admission::Reject { retry_after_ms, level: Some(level) };
        }
        Admission::Execute
    }

    fn load_and_limits(&self) -> (Load, Limits) {
        let load = Load {
            running_per_core: self.concurrency.running_per_core(self.requests.running()),
            awaiting_call: self.requests.awaiting_call() as f64,
            utilization: self.cpu.utilization(),
        };
        (load, self.concurrency.limits(self.now_ms))
    }

    fn memory_allows_execution(&self, id: u32) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let new_entries = Deduplication::entries_for(&self.classes[request.class()]);
        self.memory.allows_execution(request.memory_kb(), self.deduplication.entries(), new_entries)
    }

    /// Has the driver retain a request before its execution, so that duplicates of it are detected.
    fn retain(&mut self, request: &Request) {
        let retention = self.deduplication.retention(request, &self.classes[request.class]);
        let allows_sharing = || self.memory.allows_sharing(self.deduplication.entries());
        let retain_ms = match retention {
            Some(Retention::Keyed { retain_ms }) => retain_ms,
            Some(Retention::SharedRead { retain_ms }) if allows_sharing() => retain_ms,
            _ => return,
        };
        self.deduplication.retain(request.id, self.now_ms, retain_ms);
        let queued = RequestState::Queued;
        self.record_transition(request.id, Some(queued), queued, Some(retain_ms));
    }

    fn run_queued(&mut self) {
        while let Some(id) = self.scheduling.next_queued() {
            let (load, limits) = self.load_and_limits();
            if !load.is_within(&limits) || !self.memory_allows_execution(id) {
                return;
            }
            self.transition(id, RequestState::Running);
        }
    }

    fn place_calls(&mut self) {
        while self.outbound.allows_call(self.now_ms, self.requests.calls_in_flight()) {
            let request = |id| self.requests.get(id);
            let may_call =
                |id| request(id).is_some_and(|request| self.bulkheads.allows_call(request.class()));
            let next = self.scheduling.next_awaiting_call(may_call);
            let Some((id, request)) = next.and_then(|id| Some((id, request(id)?))) else { return };
            let timeout_ms = call_timeout_ms(request.deadline_ms(), self.now_ms);
            self.transition(id, RequestState::Calling { timeout_ms });
        }
    }

    /// Ends a request whose deadline has passed or whose call must not be repeated, and answers it at once.
    fn terminate(&mut self, id: u32) {
        let Some(request) = self.requests.get(id) else { return };
        let idempotency = self.classes[request.class()].idempotency;
        if request.may_have_executed() && idempotency != Idempotency::Idempotent {
            self.answer(id, Completion::Failed);
            return;
        }
        self.record_execution(id, RunOutcome::Cancelled);
        self.reject(id, self.backpressure.max_retry_after_ms(), None);
    }

    fn reject(&mut self, id: u32, retry_after_ms: f64, level: Option<SheddingLevel>) {
        let level_admitted_fraction = level.map(|level| self.shedding.recent_level_admitted_fraction(level));
        let is_unhealthy = self.health.is_unhealthy();
        let completion = self.backpressure.rejection(retry_after_ms, is_unhealthy, level_admitted_fraction);
        self.answer(id, completion);
    }

    /// Sends the final response. A running execution is cancelled if its class is idempotent and the host
    /// supports cancellation.
    fn answer(&mut self, id: u32, completion: Completion) {
        let Some(request) = self.requests.get(id) else { return };
        let idempotency = self.classes[request.class()].idempotency;
        if let Some(to) = request.state_after_answer(completion, idempotency, self.cancellation) {
            self.transition(id, to);
        }
    }

    /// Records the core time of an execution. For a cancelled execution it is a lower bound of the full time.
    fn record_execution(&mut self, id: u32, outcome: RunOutcome) {
        let Some(request) = self.requests.get(id) else { return };
        if request.state() != RequestState::Running || outcome == RunOutcome::NotStarted {
            return;
        }
        self.health.record_execution(outcome, self.cpu.contention());
        if outcome != RunOutcome::Failed {
            let core_ms = request.core_ms_at(self.cpu.execution_clock_ms());
            self.concurrency.record_execution(request.class(), core_ms, request.work_hint_ms());
        }
    }

    fn handle_period(&mut self, gauges: &Gauges) {
        self.effects.announcements.timers.push((PERIOD_MS, Timer::Periodic));
        self.outbound.handle_period(self.now_ms);
        self.deduplication.expire(self.now_ms);
        self.repeat_cancellations();
        self.cpu.update_runnable(gauges.runnable, self.requests.running());
        self.concurrency.handle_period();
        let (load, limits) = self.load_and_limits();
        self.shedding.update_recent_fraction(load.admitted_fraction(&limits));
        self.announce();
        if self.bulkheads.is_configured() {
            let max_calls = self.outbound.max_in_flight().min(limits.awaiting_call);
            let capacity = (self.concurrency.max_running(&limits), max_calls);
            self.effects.announcements.total_capacity = Some(capacity);
        }
    }

    /// Repeats cancellations, because an execution may have missed one while the cores were stalled.
    fn repeat_cancellations(&mut self) {
        for (id, state) in self.requests.cancelling() {
            self.transition(id, state);
        }
    }

    fn announce(&mut self) {
        let admitted_fraction = self.shedding.recent_fraction();
        let health = self.health.update(self.drain.phase(self.now_ms), admitted_fraction);
        let level_inputs = LevelInputs {
            is_unhealthy: self.health.is_unhealthy(),
            admitted_fraction,
            speed_fraction: self.concurrency.speed_fraction(self.now_ms),
            max_running: self.concurrency.max_running(&self.concurrency.limits(self.now_ms)),
        };
        let shedding = &self.shedding;
        let shed_classes = self.priorities.iter().map(|priority| {
            let level = shedding.level(priority.rank, SheddingTier::Ordinary);
            ShedClass {
                priority: *priority,
                shed_fraction: 1.0 - shedding.recent_level_admitted_fraction(level),
            }
        });
        let recent_arrivals = self.concurrency.recent_arrivals();
        let announcements = &mut self.effects.announcements;
        announcements.ready = health.ready;
        announcements.notes.extend(health.note.map(String::from));
        announcements.idle_timeout_ms = self.idle_timeout.update(recent_arrivals, self.cpu.contention());
        announcements.backpressure = self.backpressure.update(&level_inputs, shed_classes);
    }

    fn update_deadline(&mut self, id: u32) {
        let Some(request) = self.requests.get(id) else { return };
        let (state, rank) = (request.state(), self.priorities.rank(request.class()));
        let old_ms = request.deadline_ms();
        let new_ms = self.drain.deadline_ms(request.expires_ms(), self.now_ms);
        self.requests.set_deadline(id, new_ms);
        self.deadlines.remove(id, old_ms);
        self.deadlines.insert(id, new_ms);
        self.scheduling.leave(state, SchedulingKey::new(rank, old_ms, id));
        self.scheduling.enter(state, SchedulingKey::new(rank, new_ms, id));
    }

    // ---- the only function that changes states of requests, and its results ------------------------------

    fn transition(&mut self, id: u32, to: RequestState) {
        let clock = Clock { now_ms: self.now_ms, execution_ms: self.cpu.execution_clock_ms() };
        let Some(change) = self.requests.transition(id, to, clock) else { return };
        let key = SchedulingKey::new(self.priorities.rank(change.class), change.deadline_ms, id);
        self.scheduling.leave(change.from, key);
        self.scheduling.enter(to, key);
        self.memory.update_request(change.memory_kb, change.from, to);
        self.bulkheads.leave(change.class, change.from);
        self.bulkheads.enter(change.class, to);
        if is_answered(to) {
            self.deadlines.remove(id, change.deadline_ms);
        }
        if let Some(took_ms) = change.abandoned_call_ms {
            self.outbound.handle_call_abandoned(self.now_ms, took_ms);
        }
        self.record_transition(id, Some(change.from), to, None);
    }

    fn record_transition(
        &mut self,
        id: u32,
        from: Option<RequestState>,
        to: RequestState,
        retain_ms: Option<f64>,
    ) {
        self.effects.transitions.push(Transition { id, from, to, retain_ms });
    }

    /// Returns the effects since the last input, including a timer if the next deadline needs one.
    fn take_effects(&mut self) -> Effects {
        if let Some(wait_ms) = self.deadlines.poll_timer(self.now_ms) {
            self.effects.announcements.timers.push((wait_ms, Timer::Deadline));
        }
        std::mem::take(&mut self.effects)
    }
}
