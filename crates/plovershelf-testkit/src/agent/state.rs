//! State of the agent: executions on the cores, and the backend's commands that start and stop them.
//!
//! | state of an execution | event | next |
//! | --- | --- | --- |
//! | none | `launch` | running |
//! | running | a segment is done and calls are left | awaiting a call |
//! | awaiting a call | `deliver` | running |
//! | running | the last segment is done | succeeded |
//! | running, awaiting a call | `freeze` | interrupted |

use std::collections::BTreeMap;

use async_channel::Sender;
use plovershelf_codec::AttemptId;

use super::notices::NoticeLog;
use super::reads::ReadQueue;
use super::utilization::Utilization;
use crate::cores::{Cores, CoresConfig};
use crate::effects::{ProcessId, SharedLedger};
use crate::work::WorkSpec;
use crate::Clock;

/// Execution of one attempt.
struct Execution {
    work: WorkSpec,
    calls_left: u32,
    /// Work between two consecutive outbound calls, in milliseconds.
    segment_ms: f64,
    started_ms: f64,
    awaiting_call: bool,
}

/// Task that occupies a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CoreTask {
    Execution(AttemptId),
    Read(u64),
}

/// Channels that wake the tasks driving the state.
pub(super) struct Wakers {
    /// Signals that tasks on the cores were added or removed.
    pub(super) cores_changed: Sender<()>,
    /// Signals that output is ready to be written.
    pub(super) output_ready: Sender<()>,
}

/// State of the agent of one backend.
pub(super) struct AgentState {
    pub(super) clock: Clock,
    pub(super) notices: NoticeLog,
    /// Number of processes that have subscribed as new ones.
    pub(super) processes: u32,
    /// Number of connections accepted so far; each replaces its predecessor.
    pub(super) connections: u64,
    config: CoresConfig,
    backend_index: usize,
    effects: SharedLedger,
    cores: Cores<CoreTask>,
    reads: ReadQueue,
    utilization: Utilization,
    executions: BTreeMap<AttemptId, Execution>,
    /// Time after which launches are counted as late; infinite without a drain notice.
    drain_deadline_ms: f64,
    wakers: Wakers,
}

impl AgentState {
    pub(super) fn new(
        clock: Clock,
        backend_index: usize,
        config: CoresConfig,
        effects: SharedLedger,
        wakers: Wakers,
    ) -> Self {
        AgentState {
            clock,
            notices: NoticeLog::default(),
            processes: 0,
            connections: 0,
            config,
            backend_index,
            effects,
            cores: Cores::new(config, clock.now()),
            reads: ReadQueue::default(),
            utilization: Utilization::default(),
            executions: BTreeMap::new(),
            drain_deadline_ms: f64::INFINITY,
            wakers,
        }
    }

    /// Registers an accepted connection and returns its number.
    pub(super) fn connect(&mut self) -> u64 {
        self.notices.connect();
        self.connections += 1;
        self.connections
    }

    /// Handles one command from the backend.
    pub(super) fn handle_command(&mut self, line: &str, body: &[u8]) {
        self.advance();
        let now_ms = self.clock.now();
        let mut words = line.split(' ');
        let (command, argument) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let id: Option<AttemptId> = argument.as_bytes().try_into().ok();
        match (command, id) {
            ("subscribe", _) => self.subscribe(argument.parse().unwrap_or(0), now_ms),
            ("launch", Some(id)) => {
                if !self.launch(id, argument, body, now_ms) {
                    return;
                }
            }
            ("freeze", Some(id)) => {
                if self.cores.cancel(&CoreTask::Execution(id)) || self.executions.contains_key(&id) {
                    self.finish(&id, "interrupted", b"");
                }
            }
            ("deliver", Some(id)) => self.deliver(id),
            ("sample", _) => {
                let busy = self.utilization.sample(now_ms, self.cores.busy_ms());
                let running = self.cores.running();
                self.notices.reply(&format!("sampled {argument} {busy:.3} {running} 0 0\r\n"));
            }
            _ => self.effects.borrow_mut().unexpected_commands += 1,
        }
        let _ = self.wakers.cores_changed.try_send(());
    }

    /// Advances executions and reads to the current time.
    pub(super) fn advance(&mut self) {
        let now_ms = self.clock.now();
        for task in self.cores.advance(now_ms) {
            match task {
                CoreTask::Execution(id) => self.finish_segment(&id),
                CoreTask::Read(number) => self.reads.complete(number),
            }
        }
        while let Some((number, cost_ms)) = self.reads.start_next(self.config.cores as usize) {
            self.cores.start(CoreTask::Read(number), cost_ms);
        }
        if self.notices.has_output() {
            let _ = self.wakers.output_ready.try_send(());
        }
    }

    /// Returns the predicted time of the next completion on the cores.
    pub(super) fn next_completion_ms(&self) -> Option<f64> {
        self.cores.next_completion_ms()
    }

    /// Queues a read that costs `cost_ms` of work; `done` is signalled when it completes.
    pub(super) fn queue_read(&mut self, cost_ms: f64, done: Sender<()>) {
        self.reads.push(cost_ms, done);
        self.advance();
        let _ = self.wakers.cores_changed.try_send(());
    }

    /// Sets the drain deadline to `drain_ms` from now; later launches are counted.
    pub(super) fn start_drain(&mut self, drain_ms: f64) {
        self.drain_deadline_ms = self.clock.now() + drain_ms;
    }

    /// Sets the factor by which the cores' speed is multiplied from now on.
    pub(super) fn set_speed_factor(&mut self, factor: f64) {
        self.advance();
        self.cores.speed_factor = factor;
    }

    /// Returns the number of executions on the cores and the number that the cores sustain.
    pub(super) fn concurrency(&mut self) -> (usize, f64) {
        self.advance();
        (self.executions_on_cores(), self.cores.sustained_concurrency(self.clock.now()))
    }

    /// Returns whether the execution awaits the answer to an outbound call.
    pub(super) fn awaits_call(&self, id: &AttemptId) -> bool {
        self.executions.get(id).is_some_and(|execution| execution.awaiting_call)
    }

    fn process(&self) -> ProcessId {
        (self.backend_index, self.processes)
    }

    fn executions_on_cores(&self) -> usize {
        self.cores.running() - self.reads.in_progress()
    }

    fn subscribe(&mut self, last_known: u64, now_ms: f64) {
        // Only a new process has received no notice yet.
        if last_known == 0 {
            self.start_process(now_ms);
        }
        self.notices.subscribe(last_known);
    }

    /// Discards the state of the previous process.
    fn start_process(&mut self, now_ms: f64) {
        self.processes += 1;
        self.executions.clear();
        let speed_factor = self.cores.speed_factor;
        self.cores = Cores::new(self.config, now_ms);
        self.cores.speed_factor = speed_factor;
        self.notices.reset();
        self.reads.clear();
        self.utilization.clear();
        self.drain_deadline_ms = f64::INFINITY;
    }

    /// Starts an execution; returns false if the launch is refused or the execution exists already.
    fn launch(&mut self, id: AttemptId, argument: &str, body: &[u8], now_ms: f64) -> bool {
        let Some(work) = WorkSpec::parse(body) else {
            self.effects.borrow_mut().unexpected_commands += 1;
            self.notices.reply(&format!("refusal launch {argument}\r\n"));
            return false;
        };
        if self.executions.contains_key(&id) {
            return false;
        }
        let segment_ms = work.work_ms / f64::from(work.outbound_calls + 1);
        self.cores.start(CoreTask::Execution(id), segment_ms);
        let sustained = self.config.overload_factor * self.config.cores;
        let overload = self.executions_on_cores() as f64 / sustained;
        let mut effects = self.effects.borrow_mut();
        effects.record_start(&work, self.process());
        effects.launched.entry(id).or_default().push(now_ms);
        effects.launched_after_drain += u64::from(now_ms > self.drain_deadline_ms);
        effects.peak_overload = effects.peak_overload.max(overload);
        let calls_left = work.outbound_calls;
        let execution = Execution { work, calls_left, segment_ms, started_ms: now_ms, awaiting_call: false };
        self.executions.insert(id, execution);
        true
    }

    /// Resumes an execution whose outbound call was answered.
    fn deliver(&mut self, id: AttemptId) {
        match self.executions.get_mut(&id).filter(|execution| execution.awaiting_call) {
            Some(execution) => {
                execution.awaiting_call = false;
                self.cores.start(CoreTask::Execution(id), execution.segment_ms);
            }
            None => self.effects.borrow_mut().unexpected_commands += 1,
        }
    }

    /// Completes the work up to the next outbound call or, without one, the execution.
    fn finish_segment(&mut self, id: &AttemptId) {
        let Some(execution) = self.executions.get_mut(id) else { return };
        self.effects.borrow_mut().work_done_ms += execution.segment_ms;
        let work = execution.work;
        if execution.calls_left > 0 {
            execution.calls_left -= 1;
            execution.awaiting_call = true;
            let call = format!("call for {}", work.number);
            let line = format!("request # {}", String::from_utf8_lossy(id));
            self.notices.append(&line, call.as_bytes());
            return;
        }
        let process = self.process();
        self.effects.borrow_mut().record_success(work.number, process);
        self.finish(id, "success", &work.result());
    }

    /// Removes an execution and notifies the backend of its outcome.
    fn finish(&mut self, id: &AttemptId, outcome: &str, result: &[u8]) {
        let Some(execution) = self.executions.remove(id) else { return };
        let duration_ms = self.clock.now() - execution.started_ms;
        self.effects.borrow_mut().execution_ms.insert(execution.work.number, duration_ms);
        let id = String::from_utf8_lossy(id);
        self.notices.append(&format!("outcome # {id} {outcome} {duration_ms:.3}"), result);
    }
}
