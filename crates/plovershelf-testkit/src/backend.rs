//! A real backend as a server process, with its fake agent.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, Pid, Signal};

use crate::agent::Agent;
use crate::path::NetworkPath;

/// Why there is no server program to start.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The environment names a file that is not there.
    #[error("PLOVERSHELF_SERVER: no file {}", .0.display())]
    NoSuchFile(PathBuf),
    /// The path of this program is unknown.
    #[error("the path of this program: {0}")]
    CurrentProgram(#[source] io::Error),
    /// There is none beside this program.
    #[error("plovershelf-server is not built: `cargo build --release` builds it")]
    NotBuilt,
}

/// The server program: named by `PLOVERSHELF_SERVER`, or beside this program.
pub fn server_program() -> Result<PathBuf, ProgramError> {
    if let Some(path) = std::env::var_os("PLOVERSHELF_SERVER") {
        let path = PathBuf::from(path);
        return if path.is_file() { Ok(path) } else { Err(ProgramError::NoSuchFile(path)) };
    }
    let own = std::env::current_exe().map_err(ProgramError::CurrentProgram)?;
    let beside = own.ancestors().skip(1).take(2).map(|folder| folder.join("plovershelf-server"));
    beside.into_iter().find(|path| path.is_file()).ok_or(ProgramError::NotBuilt)
}

/// The files of a backend that is a cluster's member.
#[derive(Clone, Debug)]
pub(crate) struct ClusterFiles {
    /// The operator's file.
    pub(crate) config: PathBuf,
    /// While this file exists, the member's storage takes nothing.
    pub(crate) storage_full: PathBuf,
}

/// How a backend's process is started.
#[derive(Clone, Debug)]
pub(crate) struct ProcessConfig {
    pub(crate) program: PathBuf,
    /// The start-up configuration.
    pub(crate) config_file: PathBuf,
    /// Where its log goes; nowhere without.
    pub(crate) log: Option<PathBuf>,
    /// The operator's file of bulkheads.
    pub(crate) bulkheads: Option<PathBuf>,
    pub(crate) cluster: Option<ClusterFiles>,
    /// The operator's file of configuration distribution.
    pub(crate) config_distribution: Option<PathBuf>,
    /// Offset of its wall clock.
    pub(crate) clock_offset_ms: f64,
}

/// One backend, running or not.
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Where clients reach it.
    pub address: SocketAddr,
    /// Its agent.
    pub agent: Agent,
    /// The path to its agent, where faults are played.
    pub agent_path: Option<NetworkPath>,
    /// Exits that nobody asked for, and failed ones.
    pub crashes: u32,
    config: ProcessConfig,
    child: Option<Child>,
    /// It has got its drain notice.
    draining: bool,
    /// Faults in effect that hold it down.
    down_faults: u32,
    /// A fault has paused it.
    paused: bool,
}

impl Backend {
    /// A backend that does not run yet.
    pub(crate) fn new(
        name: String,
        address: SocketAddr,
        agent: Agent,
        agent_path: Option<NetworkPath>,
        config: ProcessConfig,
    ) -> Self {
        Backend {
            name,
            address,
            agent,
            agent_path,
            crashes: 0,
            config,
            child: None,
            draining: false,
            down_faults: 0,
            paused: false,
        }
    }

    /// Starts the process.
    ///
    /// Errors: as of opening its log and starting it.
    pub fn start(&mut self) -> io::Result<()> {
        let config = &self.config;
        let mut command = Command::new(&config.program);
        command.env("RELAY_CONFIG", &config.config_file).stdin(Stdio::null()).stdout(Stdio::null());
        if let Some(bulkheads) = &config.bulkheads {
            command.env("PLOVERSHELF_POOLS", bulkheads);
        }
        if let Some(cluster) = &config.cluster {
            command.env("PLOVERSHELF_GROUP", &cluster.config);
            command.env("PLOVERSHELF_TEST_FOLDER_FULL", &cluster.storage_full);
            command.env("PLOVERSHELF_TEST_CLOCK_OFF_MS", config.clock_offset_ms.to_string());
        }
        if let Some(file) = &config.config_distribution {
            command.env("PLOVERSHELF_CHANGES", file);
        }
        match &config.log {
            Some(log) => {
                let file = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
                command.stderr(file);
            }
            None => drop(command.stderr(Stdio::null())),
        }
        self.child = Some(command.spawn()?);
        self.draining = false;
        Ok(())
    }

    /// From its next start on it is a member by this operator's file; of no cluster without one.
    pub fn set_cluster_file(&mut self, file: Option<PathBuf>) {
        let storage_full = self.config.config_file.with_extension("full");
        self.config.cluster = file.map(|config| ClusterFiles { config, storage_full });
    }

    /// From its next start on it takes part in configuration distribution by this operator's file; not without one.
    pub fn set_config_distribution_file(&mut self, file: Option<PathBuf>) {
        self.config.config_distribution = file;
    }

    /// Ends the process at once, without notice.
    ///
    /// Errors: as of ending it.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Gives the drain notice.
    pub fn start_drain(&mut self, drain_ms: f64) {
        self.draining = true;
        self.agent.start_drain(drain_ms);
        self.signal(Signal::TERM);
    }

    /// Sends a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Its exit status, once it has exited; an exit that nobody asked for counts as a crash.
    pub fn poll_exit(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.crashes += u32::from(!self.draining || !status.success());
        Some(status)
    }

    /// The process's identifier, while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Its peak resident memory in kB, where the system tells.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let status = Path::new("/proc").join(self.process_id()?.to_string()).join("status");
        let status = std::fs::read_to_string(status).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    /// A fault kills it and holds it down; several may overlap.
    pub(crate) fn hold_down(&mut self) {
        self.down_faults += 1;
        if std::mem::take(&mut self.paused) {
            self.signal(Signal::CONT);
        }
        let _ = self.kill();
    }

    /// One fault that held it down is over; after the last one it starts again, with its clock off by so much.
    pub(crate) fn release(&mut self, clock_offset_ms: f64) {
        self.down_faults = self.down_faults.saturating_sub(1);
        if self.down_faults == 0 {
            self.config.clock_offset_ms = clock_offset_ms;
            let _ = self.start();
        }
    }

    /// A fault pauses it, unless another one holds it down.
    pub(crate) fn pause(&mut self) {
        if self.down_faults == 0 {
            self.signal(Signal::STOP);
            self.paused = true;
        }
    }

    /// The fault that paused it is over.
    pub(crate) fn resume(&mut self) {
        if self.down_faults == 0 {
            self.signal(Signal::CONT);
            self.paused = false;
        }
    }

    /// Starts again after a drain; a process that has not exited by now is killed and counts as a crash.
    pub(crate) fn restart_after_drain(&mut self) {
        if self.poll_exit().is_none() {
            self.crashes += 1;
            let _ = self.kill();
        }
        let _ = self.start();
    }
}
