//! Injects a plan's faults into the fleet and logs the resulting events of each backend.

use std::cell::RefCell;
use std::fs;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::rc::Rc;

use async_io::Timer;
use plovershelf_testkit::fleet::Fleet;
use plovershelf_testkit::path::NetworkPath;
use plovershelf_testkit::{Clock, Executor};
use rustix::process::Signal;

use super::plan::{FaultKind, LinkFault, Plan, PlannedFault};

/// Event in the history of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendEvent {
    /// The process was started again.
    Started,
    /// The drain notice was sent.
    DrainNoticeSent,
    /// The process was killed `stop_ms` after the drain notice.
    KilledAtStop,
    /// The process was killed without a drain notice.
    Killed,
    /// The process was paused (SIGSTOP).
    Paused,
    /// The process was resumed (SIGCONT).
    Resumed,
    /// A fault on the link to the agent began.
    AgentLinkFaulty,
    /// A fault on the link to the agent ended.
    AgentLinkRestored,
    /// The process exited without a drain notice or with a status other than success.
    Crashed,
    /// The process had not exited `stop_ms` after the drain notice.
    NotExitedInTime,
}

/// Entry of the event log.
#[derive(Clone, Copy, Debug)]
pub struct LogEntry {
    /// Time of the event, by the trial's clock.
    pub at_ms: f64,
    /// Index of the backend.
    pub backend: usize,
    /// Event that occurred.
    pub event: BackendEvent,
}

/// Fleet shared by the tasks of a run.
pub type SharedFleet = Rc<RefCell<Fleet>>;
/// Event log shared by the tasks of a run, in chronological order.
pub type SharedEventLog = Rc<RefCell<Vec<LogEntry>>>;

/// Injects faults into a fleet; clones share the fleet and the log.
#[derive(Clone)]
pub struct FaultInjector {
    pub clock: Clock,
    pub fleet: SharedFleet,
    pub log: SharedEventLog,
    /// Whether each backend is claimed by a fault that kills, drains or pauses it; at most one such fault at a time affects
    /// a backend.
    pub claimed: Rc<RefCell<Vec<bool>>>,
    /// Time from the drain notice to the kill.
    pub stop_ms: f64,
    /// Grace after the drain notice, after which no launch may happen.
    pub grace_ms: f64,
    /// Path of the operator's file of bulkheads.
    pub bulkheads_file: Option<PathBuf>,
}

impl FaultInjector {
    /// Injects all faults of a plan; returns when the last one has ended.
    pub async fn run(self, executor: &Executor, plan: &Plan) {
        let started_ms = self.clock.now();
        let mut tasks = Vec::new();
        for fault in &plan.faults {
            Timer::at(self.clock.at(started_ms + fault.at_ms)).await;
            match fault.kind {
                FaultKind::DrainAll | FaultKind::KillAll => {
                    let kind = if fault.kind == FaultKind::KillAll {
                        FaultKind::Kill
                    } else {
                        FaultKind::Drain { notices: 1, reloads: 0 }
                    };
                    for backend in 0..plan.backends {
                        let fault = PlannedFault { kind, backend, ..*fault };
                        let wait_ms = 900.0 * backend as f64 / plan.backends as f64;
                        tasks.push(executor.spawn(self.clone().run_fault(fault, wait_ms)));
                    }
                }
                _ => tasks.push(executor.spawn(self.clone().run_fault(*fault, 0.0))),
            }
        }
        for task in tasks {
            task.await;
        }
    }

    /// Restarts each backend that exits while no fault has claimed it, until the task is cancelled.
    pub async fn restart_crashed(self) {
        loop {
            self.wait(20.0).await;
            let backends = self.claimed.borrow().len();
            for backend in 0..backends {
                if self.claimed.borrow()[backend] {
                    continue;
                }
                let exit = self.fleet.borrow_mut().backends[backend].poll_exit();
                if exit.is_some() {
                    self.record(backend, BackendEvent::Crashed);
                    self.start(backend);
                }
            }
        }
    }

    async fn wait(&self, for_ms: f64) {
        Timer::at(self.clock.at(self.clock.now() + for_ms)).await;
    }

    fn record(&self, backend: usize, event: BackendEvent) {
        self.log.borrow_mut().push(LogEntry { at_ms: self.clock.now(), backend, event });
    }

    fn start(&self, backend: usize) {
        let _ = self.fleet.borrow_mut().backends[backend].start();
        self.record(backend, BackendEvent::Started);
    }

    fn signal(&self, backend: usize, signal: Signal) {
        self.fleet.borrow().backends[backend].signal(signal);
    }

    /// Claims the backend for a fault; returns false if another fault has claimed it.
    fn claim(&self, backend: usize) -> bool {
        !std::mem::replace(&mut self.claimed.borrow_mut()[backend], true)
    }

    /// Injects one fault after a delay of `wait_ms`; returns when the fault has ended.
    async fn run_fault(self, fault: PlannedFault, wait_ms: f64) {
        self.wait(wait_ms).await;
        let PlannedFault { kind, backend, for_ms, .. } = fault;
        match kind {
            FaultKind::AgentLink(link) => {
                self.record(backend, BackendEvent::AgentLinkFaulty);
                self.begin_link_fault(Some(backend), link);
                self.wait(for_ms).await;
                self.end_link_fault(Some(backend), link);
                self.record(backend, BackendEvent::AgentLinkRestored);
            }
            FaultKind::DependencyLink(link) => {
                self.begin_link_fault(None, link);
                self.wait(for_ms).await;
                self.end_link_fault(None, link);
            }
            FaultKind::RegistryDown => {
                self.fleet.borrow().registry.set_down(true);
                self.wait(for_ms).await;
                self.fleet.borrow().registry.set_down(false);
            }
            FaultKind::Reloads { count } => self.reload(backend, count).await,
            FaultKind::DrainAll | FaultKind::KillAll => {}
            FaultKind::Pause
            | FaultKind::Kill
            | FaultKind::Drain { .. }
            | FaultKind::DrainBeforeReady { .. } => {
                if self.claim(backend) {
                    self.run_backend_fault(backend, kind, for_ms).await;
                    self.claimed.borrow_mut()[backend] = false;
                }
            }
        }
    }

    /// Pauses, kills or drains a backend and brings it up again.
    async fn run_backend_fault(&self, backend: usize, kind: FaultKind, for_ms: f64) {
        match kind {
            FaultKind::Pause => {
                self.record(backend, BackendEvent::Paused);
                self.signal(backend, Signal::STOP);
                self.wait(for_ms).await;
                self.signal(backend, Signal::CONT);
                self.record(backend, BackendEvent::Resumed);
                return;
            }
            FaultKind::Kill => self.kill(backend, BackendEvent::Killed),
            FaultKind::DrainBeforeReady { after_ms } => {
                self.kill(backend, BackendEvent::Killed);
                let processes = self.fleet.borrow().backends[backend].agent.processes();
                self.start(backend);
                self.wait(after_ms).await;
                self.drain(backend, 1, 0, Some(processes)).await;
            }
            FaultKind::Drain { notices, reloads } => self.drain(backend, notices, reloads, None).await,
            _ => return,
        }
        self.wait(for_ms * 0.2).await;
        self.start(backend);
    }

    fn kill(&self, backend: usize, event: BackendEvent) {
        self.record(backend, event);
        let _ = self.fleet.borrow_mut().backends[backend].kill();
    }

    /// Sends reloads (SIGHUP), the drain notice (SIGTERM) and further notices and reloads, and kills the process exactly
    /// `stop_ms` after the first notice. `just_started` is the number of processes that the agent had seen before the
    /// process was started: until the agent has seen the new process, the process may also be terminated by the signal
    /// itself, because it has not installed its handler yet.
    async fn drain(&self, backend: usize, notices: u32, reloads: u32, just_started: Option<u32>) {
        for _ in 0..reloads {
            self.signal(backend, Signal::HUP);
        }
        let noticed_ms = self.clock.now();
        self.record(backend, BackendEvent::DrainNoticeSent);
        self.fleet.borrow_mut().backends[backend].start_drain(self.grace_ms);
        for _ in 1..notices {
            self.wait(3.0).await;
            self.signal(backend, Signal::TERM);
            self.signal(backend, Signal::HUP);
        }
        Timer::at(self.clock.at(noticed_ms + self.stop_ms)).await;
        let (exit, processes) = {
            let backend = &mut self.fleet.borrow_mut().backends[backend];
            (backend.poll_exit(), backend.agent.processes())
        };
        let had_not_subscribed = just_started == Some(processes);
        let killed_by_notice = |status: ExitStatus| status.signal() == Some(Signal::TERM.as_raw());
        match exit {
            Some(status) if status.success() || had_not_subscribed && killed_by_notice(status) => {}
            Some(_) => self.record(backend, BackendEvent::Crashed),
            None => self.record(backend, BackendEvent::NotExitedInTime),
        }
        self.kill(backend, BackendEvent::KilledAtStop);
    }

    /// Sends SIGHUP `count` times; the second time it also sends one while the operator's file of bulkheads is truncated.
    async fn reload(&self, backend: usize, count: u32) {
        for number in 0..count {
            if let Some(bulkheads_file) = self.bulkheads_file.as_ref().filter(|_| number == 1) {
                // Truncate the file during one reload, like an editor that does not replace the file atomically.
                let content = fs::read_to_string(bulkheads_file).unwrap_or_default();
                let _ = fs::write(bulkheads_file, &content[..content.len() / 2]);
                self.signal(backend, Signal::HUP);
                self.wait(1.0).await;
                let _ = fs::write(bulkheads_file, content);
            }
            self.signal(backend, Signal::HUP);
            self.wait(5.0 / f64::from(count)).await;
        }
    }

    /// Applies `change` to the path to the agent of the given backend or, without a backend, to the path to the
    /// dependency.
    fn with_path(&self, agent_of: Option<usize>, change: impl FnOnce(&NetworkPath)) {
        let fleet = self.fleet.borrow();
        let path = match agent_of {
            Some(backend) => fleet.backends[backend].agent_path.as_ref(),
            None => fleet.dependency_path.as_ref(),
        };
        if let Some(path) = path {
            change(path);
        }
    }

    fn begin_link_fault(&self, agent_of: Option<usize>, link: LinkFault) {
        self.with_path(agent_of, |path| match link {
            LinkFault::Partition => path.partition(),
            LinkFault::Refusal => path.faults.borrow_mut().refuse_connections = true,
            LinkFault::Delay => path.faults.borrow_mut().delay_ms = 60.0,
            LinkFault::Reset => path.faults.borrow_mut().resets += 1,
        });
    }

    fn end_link_fault(&self, agent_of: Option<usize>, link: LinkFault) {
        self.with_path(agent_of, |path| match link {
            LinkFault::Partition => path.heal(),
            LinkFault::Refusal => path.faults.borrow_mut().refuse_connections = false,
            LinkFault::Delay => path.faults.borrow_mut().delay_ms = 0.0,
            LinkFault::Reset => {}
        });
    }
}
