//! Real backend that runs as a server process, with its fake agent.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, Pid, Signal};

use crate::agent::Agent;
use crate::path::NetworkPath;

/// Error of locating the server program.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The file that the environment variable names does not exist.
    #[error("PLOVERSHELF_SERVER: no file {}", .0.display())]
    NoSuchFile(PathBuf),
    /// The path of the running program could not be determined.
    #[error("the path of this program: {0}")]
    CurrentProgram(#[source] io::Error),
    /// No server program exists beside the running program.
    #[error("plovershelf-server is not built: `cargo build --release` builds it")]
    NotBuilt,
}

/// Returns the path of the server program: the value of `PLOVERSHELF_SERVER`, or a file in the folder of the running
/// program or in that folder's parent.
pub fn server_program() -> Result<PathBuf, ProgramError> {
    if let Some(path) = std::env::var_os("PLOVERSHELF_SERVER") {
        let path = PathBuf::from(path);
        return if path.is_file() { Ok(path) } else { Err(ProgramError::NoSuchFile(path)) };
    }
    let current = std::env::current_exe().map_err(ProgramError::CurrentProgram)?;
    let candidates = current.ancestors().skip(1).take(2).map(|folder| folder.join("plovershelf-server"));
    candidates.into_iter().find(|path| path.is_file()).ok_or(ProgramError::NotBuilt)
}

/// Files of a backend that is a member of a cluster.
#[derive(Clone, Debug)]
pub(crate) struct ClusterFiles {
    /// The operator's file of the consensus group.
    pub(crate) config: PathBuf,
    /// Marker file; while it exists, writes to the member's storage fail.
    pub(crate) storage_full_marker: PathBuf,
}

/// Configuration of a backend's process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessConfig {
    pub(crate) program: PathBuf,
    /// Path of the start-up configuration.
    pub(crate) config_file: PathBuf,
    /// Path of the log; without it the log is discarded.
    pub(crate) log: Option<PathBuf>,
    /// Path of the operator's file of bulkheads.
    pub(crate) bulkheads: Option<PathBuf>,
    pub(crate) cluster: Option<ClusterFiles>,
    /// Path of the operator's file of configuration distribution.
    pub(crate) config_distribution: Option<PathBuf>,
    /// Offset of the process's wall clock.
    pub(crate) clock_offset_ms: f64,
}

/// A backend, whose process may or may not run.
pub struct Backend {
    /// Name of the backend.
    pub name: String,
    /// Address on which the backend accepts clients.
    pub address: SocketAddr,
    /// Agent of the backend.
    pub agent: Agent,
    /// Network path from the backend to its agent, on which faults are injected.
    pub agent_path: Option<NetworkPath>,
    /// Number of exits without a drain notice or with a status other than success.
    pub crashes: u32,
    config: ProcessConfig,
    child: Option<Child>,
    /// Whether the current process has received its drain notice.
    draining: bool,
    /// Number of faults in effect that keep the process down.
    down_faults: u32,
    /// Whether a fault has paused the process.
    paused: bool,
}

impl Backend {
    /// Creates a backend without starting its process.
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
    /// Errors: opening the log or starting the process fails.
    pub fn start(&mut self) -> io::Result<()> {
        let config = &self.config;
        let mut command = Command::new(&config.program);
        command.env("RELAY_CONFIG", &config.config_file).stdin(Stdio::null()).stdout(Stdio::null());
        if let Some(bulkheads) = &config.bulkheads {
            command.env("PLOVERSHELF_POOLS", bulkheads);
        }
        if let Some(cluster) = &config.cluster {
            command.env("PLOVERSHELF_GROUP", &cluster.config);
            command.env("PLOVERSHELF_TEST_FOLDER_FULL", &cluster.storage_full_marker);
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

    /// Sets the operator's file of the consensus group that applies from the next start on; without one the backend belongs
    /// to no cluster.
    pub fn set_cluster_file(&mut self, file: Option<PathBuf>) {
        let storage_full_marker = self.config.config_file.with_extension("full");
        self.config.cluster = file.map(|config| ClusterFiles { config, storage_full_marker });
    }

    /// Sets the operator's file of configuration distribution that applies from the next start on; without one the backend
    /// takes no part in it.
    pub fn set_config_distribution_file(&mut self, file: Option<PathBuf>) {
        self.config.config_distribution = file;
    }

    /// Kills the process without a drain notice and waits for its exit.
    ///
    /// Errors: killing the process or waiting for it fails.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends the drain notice (SIGTERM).
    pub fn start_drain(&mut self, drain_ms: f64) {
        self.draining = true;
        self.agent.start_drain(drain_ms);
        self.signal(Signal::TERM);
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the exit status once the process has exited; an exit without a drain notice, or a failed one, counts as a
    /// crash.
    pub fn poll_exit(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.crashes += u32::from(!self.draining || !status.success());
        Some(status)
    }

    /// Returns the process identifier while the process runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the peak resident memory in kB, if the system reports it.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let status = Path::new("/proc").join(self.process_id()?.to_string()).join("status");
        let status = std::fs::read_to_string(status).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Kills the process at the start of a fault and keeps it down; such faults may overlap.
    pub(crate) fn take_down(&mut self) {
        self.down_faults += 1;
        if std::mem::take(&mut self.paused) {
            self.signal(Signal::CONT);
        }
        let _ = self.kill();
    }

    /// Ends one fault that kept the process down; after the last such fault the process is restarted with the given offset
    /// of its wall clock.
    pub(crate) fn bring_up(&mut self, clock_offset_ms: f64) {
        self.down_faults = self.down_faults.saturating_sub(1);
        if self.down_faults == 0 {
            self.config.clock_offset_ms = clock_offset_ms;
            let _ = self.start();
        }
    }

    /// Pauses the process at the start of a fault, unless another fault keeps it down.
    pub(crate) fn pause(&mut self) {
        if self.down_faults == 0 {
            self.signal(Signal::STOP);
            self.paused = true;
        }
    }

    /// Resumes the process at the end of the fault that paused it.
    pub(crate) fn resume(&mut self) {
        if self.down_faults == 0 {
            self.signal(Signal::CONT);
            self.paused = false;
        }
    }

    /// Restarts the process after a drain; a process that has not exited yet is killed and counts as a crash.
    pub(crate) fn restart_after_drain(&mut self) {
        if self.poll_exit().is_none() {
            self.crashes += 1;
            let _ = self.kill();
        }
        let _ = self.start();
    }
}
