//! The agent's notices, commands to it, and what a broken link left in doubt.
//!
//! A command is proven to be read when a sample that was written after it is answered: a sample's tag is its place in the
//! order of commands. A launch of which that is not known when a link breaks is in doubt:
//!
//! | the run | the launch in doubt |
//! | --- | --- |
//! | idempotent | is written again: for a run under way that does nothing, one that has just ended runs again |
//! | other, its client still waits | stays in doubt until the agent reports it or its deadline |
//! | other, answered | nothing is waited for |
//!
//! A reply to a call that may be lost with a link is not simply written again, as the run may wait for a later one: the call
//! is placed again, and its reply delivered when the agent proves that the run still waits for it.

use async_channel::Sender;
use plovershelf::admission::Backend;
use plovershelf::api::{CallOutcome, Gauges, Idempotency, RunOutcome, Timer};
use plovershelf_codec::agent::{self as commands, RunResult};
use plovershelf_codec::AttemptId;

use super::open_request::{LaunchState, OpenRequest};
use super::{Driver, Timeout};
use crate::event::AgentEvent;

/// Place of a command in the order of all, from 1.
pub(super) type CommandNumber = u64;

/// Spans between samples that say something of the work of a request.
const MAX_SAMPLE_SPAN_MS: f64 = 5000.0;
/// Runs that the mean work of a request looks back on.
const WORK_MEMORY_RUNS: f64 = 50.0;

/// How many commands were written, and how many of them the agent has surely read.
#[derive(Default)]
pub(super) struct CommandLog {
    written: CommandNumber,
    read: CommandNumber,
}

impl CommandLog {
    /// The number of the next command.
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

/// What has to be done for open requests when a link is up again.
#[derive(Default)]
struct Recovery {
    /// Launches that are written again.
    relaunch: Vec<u32>,
    /// Replies that no link took.
    deliver: Vec<(u32, Vec<u8>)>,
    /// Calls that are placed again, as their replies may be lost.
    replay_call: Vec<u32>,
}

impl Driver {
    pub(super) fn handle_agent_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Up { fresh, up_for_ms, commands, missed_notices } => {
                self.handle_agent_up(fresh, up_for_ms, commands);
                if missed_notices {
                    self.settle_missed_notices();
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
            AgentEvent::CommandRejected { command, about } => self.handle_command_rejected(&command, &about),
        }
    }

    // ---- the link ------------------------------------------------------------------------------------

    pub(super) fn handle_agent_up(&mut self, fresh: bool, up_for_ms: f64, commands: Sender<Vec<u8>>) {
        self.agent = Some(commands);
        if self.backend.is_some() {
            self.recover_link();
        } else if !self.draining.get() {
            // One that was told to drain before its agent came up accepts nothing any more.
            self.start_backend(fresh, up_for_ms);
        }
    }

    fn start_backend(&mut self, fresh: bool, up_for_ms: f64) {
        let mut config = self.startup.config.clone();
        config.cold_start = fresh;
        let (backend, effects) = Backend::start(self.now_ms - up_for_ms, config);
        self.backend = Some(backend);
        let state = if fresh { "fresh" } else { "warm" };
        tracing::info!(event = "agent_up", fresh, "the agent is up, {state}");
        self.apply_effects(effects);
        // One run a core until the backend announces its capacity.
        let runs = self.startup.config.cores;
        let calls = self.startup.config.dependency_share.unwrap_or(f64::MAX);
        self.update_bulkheads(runs, calls);
    }

    fn recover_link(&mut self) {
        let Recovery { relaunch, deliver, replay_call } = self.plan_recovery();
        tracing::info!(
            event = "agent_link_recovered",
            launches = relaunch.len(),
            "the agent's link is back, {} launches are written anew",
            relaunch.len()
        );
        relaunch.into_iter().for_each(|id| self.start_run(id));
        deliver.into_iter().for_each(|(id, reply)| self.deliver(id, reply));
        for id in replay_call {
            self.decide(|backend, now_ms| backend.handle_call_requested(now_ms, id));
        }
    }

    /// Decides for each open request what the broken link may have lost; see the module's table.
    fn plan_recovery(&mut self) -> Recovery {
        let mut recovery = Recovery::default();
        for (id, request) in &mut self.requests {
            let idempotency = self.startup.config.classes[request.class].idempotency;
            let is_idempotent = idempotency == Idempotency::Idempotent;
            let call = &mut request.call;
            // Whether the run still waits for a reply that may be lost, the dependency knows.
            let may_be_lost = call.delivered.is_some_and(|number| !self.commands.is_read(number))
                || call.unproven.is_some();
            if may_be_lost && !request.is_answered && is_idempotent {
                (call.delivered, call.unproven, call.is_replay) = (None, None, true);
                recovery.replay_call.push(*id);
            }
            let is_in_doubt = match request.launch {
                LaunchState::Sent(number) => !self.commands.is_read(number) && !request.is_confirmed,
                // No link took it, so it is written anyhow.
                LaunchState::Unsent | LaunchState::None => false,
            };
            if request.launch == LaunchState::Unsent || (is_in_doubt && is_idempotent) {
                recovery.relaunch.push(*id);
            }
            request.is_in_doubt = is_in_doubt;
            // Over for its client, perhaps never started, and not to be started again: nothing is waited for.
            if is_in_doubt && request.is_answered && !is_idempotent {
                self.ended_runs.push_back((*id, RunOutcome::NotStarted));
            }
            if !request.is_answered {
                recovery.deliver.extend(request.call.undelivered.take().map(|reply| (*id, reply)));
            }
        }
        recovery
    }

    /// The agent remembers a bounded number of notices: ends before those are never reported. Idempotent requests are started
    /// again, which does nothing where they still run; for the rest nothing more is waited for.
    fn settle_missed_notices(&mut self) {
        let launched = self.requests.iter().filter(|(_, one)| one.launch != LaunchState::None);
        let launched: Vec<u32> = launched.map(|(id, _)| *id).collect();
        self.log_peer_error(&format!("the agent forgot notices: {} runs are in doubt", launched.len()));
        for id in launched {
            let Some(request) = self.requests.get(&id) else { continue };
            match self.startup.config.classes[request.class].idempotency {
                Idempotency::Idempotent if !request.is_answered => self.start_run(id),
                // Answered, or failed for its client: it may have run, and is never run again.
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

    /// A run has ended as its client and the duplicates learn of it.
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
        // The call that was placed again is not the one that the run waits for.
        let is_replayed = |request: &OpenRequest| request.call.is_replay && request.call.number.is_some();
        if self.requests.get(&id).is_some_and(is_replayed) {
            self.abandon_call(id);
            let outcome = CallOutcome::NotExecuted;
            self.decide(|backend, now_ms| backend.handle_call_ended(now_ms, id, outcome));
        }
        if let Some(request) = self.requests.get_mut(&id) {
            (request.is_confirmed, request.is_in_doubt) = (true, false);
            let state = &mut request.call;
            (state.delivered, state.is_replay, state.unproven) = (None, false, None);
            state.body = call;
        }
        self.decide(|backend, now_ms| backend.handle_call_requested(now_ms, id));
    }

    fn handle_sample(&mut self, tag: u64, gauges: Vec<f64>) {
        self.commands.record_read(tag);
        self.deliver_proven();
        if self.awaited_gauges == Some(tag) {
            self.awaited_gauges = None;
            let gauges = self.startup.gauges(gauges);
            if self.heartbeat.is_some() {
                self.learn_work(gauges.cores_busy);
            }
            self.handle_backend_timeout(Timer::Periodic, gauges);
        }
    }

    fn handle_command_rejected(&mut self, command: &str, about: &[u8]) {
        let shown = String::from_utf8_lossy(about);
        self.log_peer_error(&format!("the agent refused {command:?} for {shown:?}"));
        let ("launch", Ok(attempt)) = (command, AttemptId::try_from(about)) else { return };
        // No client sends what the agent does not know.
        let request = self.request_by_attempt.get(&attempt).and_then(|id| self.requests.get(id));
        let connection = request.filter(|request| !request.is_answered).map(|request| request.connection);
        self.handle_run_result(attempt, RunResult::NotStarted, Vec::new());
        if let Some(connection) = connection {
            self.stop_reading(connection, "the agent knows nothing of what it sends");
        }
    }

    /// Mean core time of a request: what the cores were busy with since the last sample, shared by the runs that ended.
    fn learn_work(&mut self, cores_busy: Option<f64>) {
        let span_ms = self.now_ms - std::mem::replace(&mut self.sampled_ms, self.now_ms);
        let runs = std::mem::take(&mut self.runs_since_sample);
        let work_ms = cores_busy.unwrap_or(0.0) * self.startup.config.cores * span_ms;
        if runs >= 1.0 && span_ms > 0.0 && span_ms < MAX_SAMPLE_SPAN_MS && work_ms > 0.0 {
            self.work_ms += (work_ms / runs - self.work_ms) * (runs / (runs + WORK_MEMORY_RUNS));
        }
    }

    // ---- commands ------------------------------------------------------------------------------------

    /// Writes a command; returns its number, or `None` while there is no link.
    pub(super) fn send_command(&mut self, bytes: Vec<u8>) -> Option<CommandNumber> {
        if self.agent.as_ref()?.try_send(bytes).is_err() {
            // The link is gone or accepts nothing: it is dropped, which opens a new one.
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
        request.is_in_doubt = false;
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

    /// Replies to calls that were placed again go to runs of which nothing was heard up to a sample behind them: so they wait
    /// for this reply and for no later one.
    fn deliver_proven(&mut self) {
        let is_proven = |request: &OpenRequest| {
            request.call.unproven.as_ref().is_some_and(|unproven| self.commands.is_read(unproven.proven_by))
        };
        let proven = self.requests.iter().filter(|(_, request)| is_proven(request));
        let proven: Vec<u32> = proven.map(|(id, _)| *id).collect();
        for id in proven {
            let unproven = self.requests.get_mut(&id).and_then(|request| request.call.unproven.take());
            unproven.into_iter().for_each(|unproven| self.deliver(id, unproven.reply));
        }
    }

    /// Asks for the gauges; without a link the measurement goes on without them.
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
