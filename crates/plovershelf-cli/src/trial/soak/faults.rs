//! Plays a plan's faults on the fleet, and writes down what was done to which backend when.

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

/// What was done to a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    Started,
    /// The drain notice.
    Noticed,
    /// Killed `stop_ms` after the notice.
    KilledAtStop,
    /// Killed without a notice.
    Killed,
    Paused,
    Resumed,
    /// Its agent's link is out of order, and is in order again.
    AgentLost,
    AgentBack,
    /// It ended by itself without being told to, or with a status that says that it failed.
    Crashed,
    /// Told to leave, it had not ended by the time at which it is killed.
    StillRunning,
}

/// One line of the log of deeds.
#[derive(Clone, Copy, Debug)]
pub struct Logged {
    pub at_ms: f64,
    pub backend: usize,
    pub deed: Deed,
}

pub type SharedFleet = Rc<RefCell<Fleet>>;
pub type SharedLog = Rc<RefCell<Vec<Logged>>>;

/// Whoever plays faults.
#[derive(Clone)]
pub struct Player {
    pub clock: Clock,
    pub fleet: SharedFleet,
    pub log: SharedLog,
    /// Backends that are down or about to be: two faults never bring one down together.
    pub down: Rc<RefCell<Vec<bool>>>,
    pub stop_ms: f64,
    pub grace_ms: f64,
    pub pools: Option<PathBuf>,
}

impl Player {
    /// Plays all faults; returns when the last is over.
    pub async fn play(self, executor: &Executor, plan: &Plan) {
        let began_ms = self.clock.now();
        let mut tasks = Vec::new();
        for fault in &plan.faults {
            Timer::at(self.clock.at(began_ms + fault.at_ms)).await;
            match fault.kind {
                FaultKind::DrainAll | FaultKind::KillAll => {
                    let one = if fault.kind == FaultKind::KillAll {
                        FaultKind::Kill
                    } else {
                        FaultKind::Drain { notices: 1, reloads: 0 }
                    };
                    for backend in 0..plan.backends {
                        let fault = PlannedFault { kind: one, backend, ..*fault };
                        let wait_ms = 900.0 * backend as f64 / plan.backends as f64;
                        tasks.push(executor.spawn(self.clone().play_one(fault, wait_ms)));
                    }
                }
                _ => tasks.push(executor.spawn(self.clone().play_one(*fault, 0.0))),
            }
        }
        for task in tasks {
            task.await;
        }
    }

    /// Restarts whoever ended by itself.
    pub async fn watch_for_crashes(self) {
        loop {
            self.wait(20.0).await;
            let backends = self.down.borrow().len();
            for backend in 0..backends {
                if self.down.borrow()[backend] {
                    continue;
                }
                let exit = self.fleet.borrow_mut().backends[backend].poll_exit();
                if exit.is_some() {
                    self.note(backend, Deed::Crashed);
                    self.start(backend);
                }
            }
        }
    }

    async fn wait(&self, for_ms: f64) {
        Timer::at(self.clock.at(self.clock.now() + for_ms)).await;
    }

    fn note(&self, backend: usize, deed: Deed) {
        self.log.borrow_mut().push(Logged { at_ms: self.clock.now(), backend, deed });
    }

    fn start(&self, backend: usize) {
        let _ = self.fleet.borrow_mut().backends[backend].start();
        self.note(backend, Deed::Started);
    }

    fn signal(&self, backend: usize, signal: Signal) {
        self.fleet.borrow().backends[backend].signal(signal);
    }

    /// Takes the backend, unless another fault has it down.
    fn take_down(&self, backend: usize) -> bool {
        !std::mem::replace(&mut self.down.borrow_mut()[backend], true)
    }

    async fn play_one(self, fault: PlannedFault, wait_ms: f64) {
        self.wait(wait_ms).await;
        let PlannedFault { kind, backend, for_ms, .. } = fault;
        match kind {
            FaultKind::Agent(link) => {
                self.note(backend, Deed::AgentLost);
                self.begin_link_fault(Some(backend), link);
                self.wait(for_ms).await;
                self.end_link_fault(Some(backend), link);
                self.note(backend, Deed::AgentBack);
            }
            FaultKind::Dependency(link) => {
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
            | FaultKind::NoticeBeforeReady { .. } => {
                if self.take_down(backend) {
                    self.bring_down(backend, kind, for_ms).await;
                    self.down.borrow_mut()[backend] = false;
                }
            }
        }
    }

    async fn bring_down(&self, backend: usize, kind: FaultKind, for_ms: f64) {
        match kind {
            FaultKind::Pause => {
                self.note(backend, Deed::Paused);
                self.signal(backend, Signal::STOP);
                self.wait(for_ms).await;
                self.signal(backend, Signal::CONT);
                self.note(backend, Deed::Resumed);
                return;
            }
            FaultKind::Kill => self.kill(backend, Deed::Killed),
            FaultKind::NoticeBeforeReady { after_ms } => {
                self.kill(backend, Deed::Killed);
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

    fn kill(&self, backend: usize, deed: Deed) {
        self.note(backend, deed);
        let _ = self.fleet.borrow_mut().backends[backend].kill();
    }

    /// The notice, more of them and reloads in series, and the kill to the millisecond. A process that was just started, when its agent
    /// had heard of so many, may be ended by the signal itself, as long as the agent has not heard of it: it had not begun.
    async fn drain(&self, backend: usize, notices: u32, reloads: u32, just_started: Option<u32>) {
        for _ in 0..reloads {
            self.signal(backend, Signal::HUP);
        }
        let noticed_ms = self.clock.now();
        self.note(backend, Deed::Noticed);
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
        let had_not_begun = just_started == Some(processes);
        let by_notice = |status: ExitStatus| status.signal() == Some(Signal::TERM.as_raw());
        match exit {
            Some(status) if status.success() || had_not_begun && by_notice(status) => {}
            Some(_) => self.note(backend, Deed::Crashed),
            None => self.note(backend, Deed::StillRunning),
        }
        self.kill(backend, Deed::KilledAtStop);
    }

    async fn reload(&self, backend: usize, count: u32) {
        for number in 0..count {
            if let Some(pools) = self.pools.as_ref().filter(|_| number == 1) {
                // Torn for the moment of one reload, as by an editor that does not replace the file at once.
                let whole = fs::read_to_string(pools).unwrap_or_default();
                let _ = fs::write(pools, &whole[..whole.len() / 2]);
                self.signal(backend, Signal::HUP);
                self.wait(1.0).await;
                let _ = fs::write(pools, whole);
            }
            self.signal(backend, Signal::HUP);
            self.wait(5.0 / f64::from(count)).await;
        }
    }

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
            LinkFault::Silent => path.partition(),
            LinkFault::Refuses => path.faults.borrow_mut().refuses = true,
            LinkFault::Slow => path.faults.borrow_mut().delay_ms = 60.0,
            LinkFault::Cut => path.faults.borrow_mut().resets += 1,
        });
    }

    fn end_link_fault(&self, agent_of: Option<usize>, link: LinkFault) {
        self.with_path(agent_of, |path| match link {
            LinkFault::Silent => path.heal(),
            LinkFault::Refuses => path.faults.borrow_mut().refuses = false,
            LinkFault::Slow => path.faults.borrow_mut().delay_ms = 0.0,
            LinkFault::Cut => {}
        });
    }
}
