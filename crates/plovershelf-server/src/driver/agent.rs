//! Agent notices, agent commands and recovery after a broken link.
//!
//! Commands are numbered in the order in which they are written, and the tag of a sample is its own number. When the
//! agent answers a sample, it has read all commands up to that number. If a link breaks before a launch is known to
//! have been read, that launch is unacknowledged:
//!
//! | kind of run | recovery of an unacknowledged launch |
//! | --- | --- |
//! | idempotent | the launch is written again; this has no effect on a run in progress, but repeats a run that has just ended |
//! | other, client still waits | the launch stays unacknowledged until the agent reports the run or the deadline expires |
//! | other, already answered | the driver stops waiting for the run |
//!
//! A reply to a call that may have been lost with the link can't simply be written again, because the run may by now
//! wait for the reply to a later call. The driver places the call again and delivers its reply only after the agent
//! has confirmed that the run still waits for it.

use async_channel::Sender;
use plovershelf::admission::Backend;
use plovershelf::api::{CallOutcome, Gauges, Idempotency, RunOutcome, Timer};
use plovershelf_codec::agent::{self as commands, RunResult};
use plovershelf_codec::AttemptId;

use super::open_request::{LaunchState, OpenRequest};
use super::{Driver, Timeout};
use crate::event::AgentEvent;

/// Position of a command in the order of all commands to the agent, from 1.
pub(super) type CommandNumber = u64;

/// Longest span between two samples from which the work per request is estimated, in milliseconds.
const MAX_SAMPLE_SPAN_MS: f64 = 5000.0;
/// Number of runs over which the mean work per request is averaged.
const MEAN_WORK_RUNS: f64 = 50.0;

/// Counts commands written to the agent and those that it is known to have read.
#[derive(Default)]
pub(super) struct CommandCounters {
    written: CommandNumber,
    read: CommandNumber,
}

impl CommandCounters {
    /// Returns the number that the next command will have.
    pub(super) fn next(&self) -> CommandNumber {
        self.written + 1
    }

    fn record_written(&mut self) -> CommandNumber {
        self.written += 1;
        self.written
    }

    fn record_read(&mut self, number: CommandNumber) {
        self.read = self.read.max(number.min(self.written));
    }

    fn record_all_read(&mut self) {
        self.read = self.written;
    }

    fn is_read(&self, number: CommandNumber) -> bool {
        number <= self.read
    }
}

/// Actions for open requests once a link is up again.
#[derive(Default)]
struct Recovery {
    /// Requests whose launch is written again.
    relaunch: Vec<u32>,
    /// Replies that could not be written to any link.
    deliver: Vec<(u32, Vec<u8>)>,
    /// Requests whose call is placed again because its reply may be lost.
    replay_call: Vec<u32>,
}

impl Driver {
    pub(super) fn handle_agent_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Up { fresh, uptime_ms, commands, missed_notices } => {
                self.handle_agent_up(fresh, uptime_ms, commands);
                if missed_notices {
                    self.resolve_missed_notices();
                }
            }
            AgentEvent::Down { all_commands_read } => {
                self.agent = None;
                if all_commands_read {
                    self.commands.record_all_read();
                }
            }
            AgentEvent::RunEnded { id, result, body } => self.handle_run_result(id, result, body),
            AgentEvent::CallRequested { id, call } => self.handle_call_requested(id, call),
            AgentEvent::Sampled { tag, gauges } => self.handle_sample(tag, gauges),
            AgentEvent::CommandRejected { command, argument } => {
                self.handle_command_rejected(&command, &argument)
            }
        }
    }

    // ---- link ----------------------------------------------------------------------------------------

    pub(super) fn handle_agent_up(&mut self, fresh: bool, uptime_ms: f64, commands: Sender<Vec<u8>>) {
        self.agent = Some(commands);
        if self.backend.is_some() {
            self.recover_link();
        } else if !self.draining.get() {
            // A backend that got the drain notice before its agent was up accepts no requests.
            self.start_backend(fresh, uptime_ms);
        }
    }

    fn start_backend(&mut self, fresh: bool, uptime_ms: f64) {
        let mut config = self.startup.config.clone();
        config.cold_start = fresh;
        let (backend, effects) = Backend::start(self.now_ms - uptime_ms, config);
        self.backend = Some(backend);
        let state = if fresh { "fresh" } else { "warm" };
        tracing::info!(event = "agent_up", fresh, "the agent is up, {state}");
        self.apply_effects(effects);
        // Allows one run per core until the backend announces its capacity.
        let runs = self.startup.config.cores;
        let calls = self.startup.config.dependency_share.unwrap_or(f64::MAX);
        self.update_bulkheads(runs, calls);
    }

    fn recover_link(&mut self) {
        let Recovery { relaunch, deliver, replay_call } = self.plan_recovery();
        tracing::info!(
            event = "agent_link_recovered",
            launches = relaunch.len(),
            "the agent's link is up again, {} launches are written again",
            relaunch.len()
        );
        relaunch.into_iter().for_each(|id| self.start_run(id));
        deliver.into_iter().for_each(|(id, reply)| self.deliver(id, reply));
        for id in replay_call {
            self.decide(|backend, now_ms| backend.handle_call_requested(now_ms, id));
        }
    }

    /// Determines what the broken link may have lost for each open request; see the module's table.
    fn plan_recovery(&mut self) -> Recovery {
        let mut recovery = Recovery::default();
        for (id, request) in &mut self.requests {
            let idempotency = self.startup.config.classes[request.class].idempotency;
            let is_idempotent = idempotency == Idempotency::Idempotent;
            let call = &mut request.call;
            // Only the dependency knows whether the run still waits for a reply that may be lost.
            let may_be_lost = call.delivered.is_some_and(|number| !self.commands.is_read(number))
                || call.unconfirmed.is_some();
            if may_be_lost && !request.is_answered && is_idempotent {
                (call.delivered, call.unconfirmed, call.is_replay) = (None, None, true);
                recovery.replay_call.push(*id);
            }
            let is_unacknowledged = match request.launch {
                LaunchState::Sent(number) => !self.commands.is_read(number) && !request.is_run_reported,
                // This launch was never written to a link, so it must be written in any case.
                LaunchState::Unsent | LaunchState::None => false,
            };
            if request.launch == LaunchState::Unsent || (is_unacknowledged && is_idempotent) {
                recovery.relaunch.push(*id);
            }
            request.is_unacknowledged = is_unacknowledged;
            // The client already has its answer and the run must not be repeated: the driver stops waiting for it.
            if is_unacknowledged && request.is_answered && !is_idempotent {
                self.ended_runs.push_back((*id, RunOutcome::NotStarted));
            }
            if !request.is_answered {
                recovery.deliver.extend(request.call.undelivered.take().map(|reply| (*id, reply)));
            }
        }
        recovery
    }

    /// Resolves runs whose end may have been reported in notices that the agent no longer has, since it keeps a
    /// bounded number of them. Idempotent requests are launched again, which has no effect on a run in progress; the
    /// others count as failed.
    fn resolve_missed_notices(&mut self) {
        let launched = self.requests.iter().filter(|(_, request)| request.launch != LaunchState::None);
        let launched: Vec<u32> = launched.map(|(id, _)| *id).collect();
        self.log_peer_error(&format!(
            "the agent dropped notices: the outcome of {} runs is unknown",
            launched.len()
        ));
        for id in launched {
            let Some(request) = self.requests.get(&id) else { continue };
            match self.startup.config.classes[request.class].idempotency {
                Idempotency::Idempotent if !request.is_answered => self.start_run(id),
                // The run may have happened, so a request that isn't idempotent is never launched again.
                _ => self.ended_runs.push_back((id, RunOutcome::Failed)),
            }
        }
    }

    // ---- notices -------------------------------------------------------------------------------------

    fn handle_run_result(&mut self, attempt: AttemptId, result: RunResult, body: Vec<u8>) {
        let Some(&id) = self.request_by_attempt.get(&attempt) else { return };
        if self.replicate_outcome(id, result, &body) {
            return;
        }
        let outcome = match result {
            RunResult::Succeeded => RunOutcome::Completed,
            RunResult::Failed => RunOutcome::Failed,
            RunResult::Interrupted => RunOutcome::Cancelled,
            RunResult::NotStarted => RunOutcome::NotStarted,
        };
        self.handle_run_ended(id, outcome, body);
    }

    /// Records the end of a run and completes the duplicates that wait for its result.
    pub(super) fn handle_run_ended(&mut self, id: u32, outcome: RunOutcome, result: Vec<u8>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.result = result;
        let is_shared = outcome == RunOutcome::Completed && request.key.is_some();
        let result = is_shared.then(|| request.result.clone());
        self.end_duplicates_of(id, result.as_deref());
        self.decide(|backend, now_ms| backend.handle_run_ended(now_ms, id, outcome));
    }

    fn handle_call_requested(&mut self, attempt: AttemptId, call: Vec<u8>) {
        let Some(&id) = self.request_by_attempt.get(&attempt) else { return };
        // This call is not the one that was placed again, so the driver abandons the replay.
        let is_replayed = |request: &OpenRequest| request.call.is_replay && request.call.number.is_some();
        if self.requests.get(&id).is_some_and(is_replayed) {
            self.abandon_call(id);
            let outcome = CallOutcome::NotExecuted;
            self.decide(|backend, now_ms| backend.handle_call_ended(now_ms, id, outcome));
        }
        if let Some(request) = self.requests.get_mut(&id) {
            (request.is_run_reported, request.is_unacknowledged) = (true, false);
            let state = &mut request.call;
            (state.delivered, state.is_replay, state.unconfirmed) = (None, false, None);
            state.body = call;
        }
        self.decide(|backend, now_ms| backend.handle_call_requested(now_ms, id));
    }

    fn handle_sample(&mut self, tag: u64, gauges: Vec<f64>) {
        self.commands.record_read(tag);
        self.deliver_confirmed();
        if self.awaited_gauges == Some(tag) {
            self.awaited_gauges = None;
            let gauges = self.startup.gauges(gauges);
            if self.heartbeat.is_some() {
                self.update_mean_work(gauges.cores_busy);
            }
            self.handle_backend_timeout(Timer::Periodic, gauges);
        }
    }

    fn handle_command_rejected(&mut self, command: &str, argument: &[u8]) {
        let argument_text = String::from_utf8_lossy(argument);
        self.log_peer_error(&format!("the agent rejected command {command:?} for {argument_text:?}"));
        let ("launch", Ok(attempt)) = (command, AttemptId::try_from(argument)) else { return };
        // A rejected launch means a faulty client: the agent accepts every launch that a client of this system can
        // cause.
        let request = self.request_by_attempt.get(&attempt).and_then(|id| self.requests.get(id));
        let connection = request.filter(|request| !request.is_answered).map(|request| request.connection);
        self.handle_run_result(attempt, RunResult::NotStarted, Vec::new());
        if let Some(connection) = connection {
            self.stop_reading(connection, "the agent rejected a launch for its request");
        }
    }

    /// Updates the mean core time per request from the core time used since the last sample, divided by the runs that
    /// ended in that time.
    fn update_mean_work(&mut self, cores_busy: Option<f64>) {
        let span_ms = self.now_ms - std::mem::replace(&mut self.sampled_ms, self.now_ms);
        let runs = std::mem::take(&mut self.runs_since_sample);
        let work_ms = cores_busy.unwrap_or(0.0) * self.startup.config.cores * span_ms;
        if runs >= 1.0 && span_ms > 0.0 && span_ms < MAX_SAMPLE_SPAN_MS && work_ms > 0.0 {
            self.work_ms += (work_ms / runs - self.work_ms) * (runs / (runs + MEAN_WORK_RUNS));
        }
    }

    // ---- commands ------------------------------------------------------------------------------------

    /// Writes a command to the agent. Returns its number, or `None` while there is no link.
    pub(super) fn send_command(&mut self, bytes: Vec<u8>) -> Option<CommandNumber> {
        if self.agent.as_ref()?.try_send(bytes).is_err() {
            // The link has ended or its queue is full. Dropping the sender makes the link task connect again.
            self.agent = None;
            return None;
        }
        Some(self.commands.record_written())
    }

    pub(super) fn send_command_for(&mut self, id: u32, command: impl FnOnce(&AttemptId) -> Vec<u8>) {
        if let Some(bytes) = self.requests.get(&id).map(|request| command(&request.attempt)) {
            self.send_command(bytes);
        }
    }

    pub(super) fn start_run(&mut self, id: u32) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.startup.classes[request.class];
        let command = commands::launch(&request.attempt, class, request.body());
        let launch = self.send_command(command).map_or(LaunchState::Unsent, LaunchState::Sent);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.launch = launch;
        request.is_unacknowledged = false;
        if let Some(key) = &request.key {
            self.deduplication.handle_run_started(key, id);
        }
    }

    pub(super) fn deliver(&mut self, id: u32, reply: Vec<u8>) {
        let Some(request) = self.requests.get(&id) else { return };
        let number = self.send_command(commands::deliver(&request.attempt, &reply));
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.call.delivered = number;
        request.call.undelivered = number.is_none().then_some(reply);
    }

    /// Delivers the replies of replayed calls whose sample has been answered. The agent reported nothing of these
    /// runs before that sample, so they still wait for exactly this reply.
    fn deliver_confirmed(&mut self) {
        let is_reply_confirmed = |request: &OpenRequest| {
            request
                .call
                .unconfirmed
                .as_ref()
                .is_some_and(|unconfirmed| self.commands.is_read(unconfirmed.confirmed_by))
        };
        let confirmed = self.requests.iter().filter(|(_, request)| is_reply_confirmed(request));
        let confirmed: Vec<u32> = confirmed.map(|(id, _)| *id).collect();
        for id in confirmed {
            let unconfirmed = self.requests.get_mut(&id).and_then(|request| request.call.unconfirmed.take());
            unconfirmed.into_iter().for_each(|unconfirmed| self.deliver(id, unconfirmed.reply));
        }
    }

    /// Requests the gauges for a periodic measurement. Without a link the measurement proceeds without gauges.
    pub(super) fn start_periodic_measurement(&mut self) {
        self.close_idle();
        self.deduplication.remove_expired(self.now_ms);
        match self.send_command(commands::sample(self.commands.next())) {
            Some(tag) => {
                self.awaited_gauges = Some(tag);
                self.schedule(self.limits.gauge_timeout_ms, Timeout::Gauges(tag));
            }
            None => self.handle_backend_timeout(Timer::Periodic, Gauges::default()),
        }
    }
}
