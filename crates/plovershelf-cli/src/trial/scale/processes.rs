//! The processes of a run: which members exist, which process runs each member, and how processes start and end. A rack
//! is a process with many members that all end with it. Other members have a process to themselves, so that they can be
//! killed individually.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;

use crate::hollow::HollowCommand;

pub const ZONES: usize = 4;
pub const VOTERS: usize = 3;
/// Port for the group's protocol; every member listens on its own address.
pub const CLUSTER_PORT: u16 = 7400;
/// Port for configuration distribution.
pub const CONFIG_DISTRIBUTION_PORT: u16 = 7401;
pub const GROUP: &str = "scale";

/// Returns the names of a zone and of its region.
pub fn zone_and_region(index: usize) -> (String, String) {
    let index = index % ZONES;
    (format!("z{}", index + 1), format!("r{}", index / (ZONES / 2) + 1))
}

/// How the members form a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// All are members of one group.
    Group,
    /// The voters form a separate group and are origins of configuration; all others are listeners.
    ConfigDistribution,
}

/// One member, hollow or real.
#[derive(Clone, Debug)]
pub struct Member {
    pub name: String,
    /// Address at which the trial polls the member.
    pub address: SocketAddr,
    pub zone: usize,
    /// Index of the process that runs the member; `None` for a real backend.
    pub process: Option<usize>,
    /// True once the trial has killed or paused the member, or started it late; such members are excluded from evaluation.
    pub touched: bool,
    /// True while the trial expects the member to run.
    pub running: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    /// One voter of the consensus group.
    Voter,
    /// One hollow member.
    Single,
    /// Many hollow members.
    Rack,
}

/// A `plovershelf hollow` process and the members that it runs.
pub struct Process {
    pub kind: ProcessKind,
    pub members: Vec<usize>,
    pub zone: usize,
    child: Child,
    input: Option<ChildStdin>,
    pub killed: bool,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Writes a command to the process's standard input.
    pub fn send(&mut self, command: &HollowCommand) -> Result<(), String> {
        let written = self.input.as_mut().map(|input| input.write_all(command.to_line().as_bytes()));
        match written {
            Some(Ok(())) => Ok(()),
            _ => Err(format!("the hollow process {} accepts no commands", self.id())),
        }
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(id) = Pid::from_raw(self.id() as i32).filter(|_| !self.killed) {
            let _ = kill_process(id, signal);
        }
    }

    pub fn kill(&mut self) {
        if !std::mem::replace(&mut self.killed, true) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        self.input = None;
    }

    /// Returns true if the process has ended without the trial killing it.
    pub fn has_crashed(&mut self) -> bool {
        !self.killed && !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How many members and processes of each kind a group of a given size has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Topology {
    pub real: usize,
    pub single: usize,
    pub racks: usize,
    /// Number of members in all racks.
    pub racked: usize,
}

/// Largest number of members in a rack: the number of machines in a server rack.
const MAX_RACK_MEMBERS: usize = 45;
pub const REAL_BACKENDS: usize = 4;

impl Topology {
    /// Smallest number of members for which every kind of process has one.
    pub const MIN_MEMBERS: usize = REAL_BACKENDS + VOTERS + 4 + 4;

    /// Returns the topology of a group with `members` members.
    ///
    /// Errors: too few members for a process of each kind.
    pub fn of(members: usize) -> Result<Self, String> {
        let single = (members / 12).clamp(4, 16);
        if members < Self::MIN_MEMBERS {
            return Err(format!("--members {members}: at least {}", Self::MIN_MEMBERS));
        }
        let racked = members - REAL_BACKENDS - VOTERS - single;
        let racks = racked.div_ceil(MAX_RACK_MEMBERS).max(2);
        Ok(Topology { real: REAL_BACKENDS, single, racks, racked })
    }

    pub fn hollow(&self) -> usize {
        VOTERS + self.single + self.racked
    }

    pub fn processes(&self) -> usize {
        self.real + VOTERS + self.single + self.racks
    }
}

/// All members and processes of a run, and the folder with their configuration files.
pub struct Fleet {
    pub members: Vec<Member>,
    pub processes: Vec<Process>,
    pub mode: Mode,
    folder: PathBuf,
    program: PathBuf,
    host: [u8; 2],
    logs: Option<PathBuf>,
}

impl Fleet {
    /// Assigns members to processes and starts the hollow processes, whose members don't join the group yet. Real backends
    /// have the first indices.
    ///
    /// Errors: a process that can't be started, or a file that can't be written.
    pub fn start(
        topology: Topology,
        mode: Mode,
        tenants: usize,
        run: u8,
        logs: Option<PathBuf>,
    ) -> Result<Self, String> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("plovershelf-scale-{id}-{run}"));
        std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let program =
            std::env::current_exe().map_err(|error| format!("the path of this program: {error}"))?;
        // Above the loopback addresses of the other trials, and distinct for each process and run.
        let host = [128 + (id % 100) as u8, run];
        let mut fleet =
            Fleet { members: Vec::new(), processes: Vec::new(), mode, folder, program, host, logs };
        if mode == Mode::ConfigDistribution {
            let path = fleet.tenants_file();
            let names =
                super::real_backends::tenants(tenants).into_iter().map(|name| format!("{name} = 1000000\n"));
            std::fs::write(&path, format!("[tenants]\n{}", names.collect::<String>()))
                .map_err(|error| format!("{}: {error}", path.display()))?;
        }
        for index in 0..topology.real {
            fleet.add_member(index, None);
        }
        for index in 0..VOTERS {
            fleet.start_process(ProcessKind::Voter, index, 1)?;
        }
        for index in 0..topology.single {
            fleet.start_process(ProcessKind::Single, index, 1)?;
        }
        for index in 0..topology.racks {
            let count =
                topology.racked * (index + 1) / topology.racks - topology.racked * index / topology.racks;
            fleet.start_process(ProcessKind::Rack, index, count)?;
        }
        Ok(fleet)
    }

    /// Adds a member with an unused name and address; returns its index.
    fn add_member(&mut self, zone: usize, process: Option<usize>) -> usize {
        let index = self.members.len();
        self.members.push(Member {
            name: format!("m{}", index + 1),
            address: self.address(
                index,
                if self.mode == Mode::Group { CLUSTER_PORT } else { CONFIG_DISTRIBUTION_PORT },
            ),
            zone: zone % ZONES,
            process,
            touched: false,
            running: false,
        });
        index
    }

    /// Returns the voters of the consensus group.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        let is_voter = |member: &&Member| {
            member.process.is_some_and(|index| self.processes[index].kind == ProcessKind::Voter)
        };
        self.members.iter().filter(is_voter)
    }

    fn tenants_file(&self) -> PathBuf {
        self.folder.join("tenants.ini")
    }

    fn address(&self, index: usize, port: u16) -> SocketAddr {
        let [first, second] = self.host;
        // Each run has sixteen values of the third octet, that is, four thousand addresses.
        let address = [127, first, (second % 16) * 16 + (index / 250) as u8, (index % 250 + 1) as u8];
        (address, port).into()
    }

    /// Returns the indices of the voters, also before all of them have been added.
    fn voter_indices(&self) -> std::ops::Range<usize> {
        let real = self.members.iter().take_while(|member| member.process.is_none()).count();
        real..real + VOTERS
    }

    /// Returns true if the member only listens to configuration distribution.
    fn is_listener(&self, index: usize) -> bool {
        self.mode == Mode::ConfigDistribution && !self.voter_indices().contains(&index)
    }

    /// Returns the text of the member's `group.ini` or `changes.ini`.
    fn config_text(&self, index: usize) -> String {
        let voters = self.voter_indices();
        let list = |port: u16, excluded: Option<usize>| {
            let others = voters.clone().filter(|voter| Some(*voter) != excluded);
            others.map(|voter| self.address(voter, port).to_string()).collect::<Vec<_>>().join(", ")
        };
        let names: Vec<String> = voters.clone().map(|voter| format!("m{}", voter + 1)).collect();
        let member = &self.members[index];
        let (zone, region) = zone_and_region(member.zone);
        if self.is_listener(index) {
            let (listen, sources) =
                (self.address(index, CONFIG_DISTRIBUTION_PORT), list(CONFIG_DISTRIBUTION_PORT, None));
            return format!(
                "[changes]\nname = {GROUP}\nlisten = {listen}\nzone = {zone}\nregion = {region}\nsources = {sources}\n"
            );
        }
        let mut text = format!(
            "[group]\nname = {GROUP}\nlisten = {}\nzone = {zone}\nregion = {region}\nseeds = {}\ncouncil = {}\n",
            self.address(index, CLUSTER_PORT),
            list(CLUSTER_PORT, None),
            names.join(", ")
        );
        if voters.contains(&index) {
            text += &format!("folder = {}\n", self.folder.join(&member.name).display());
            if self.mode == Mode::ConfigDistribution {
                let (listen, others) = (
                    self.address(index, CONFIG_DISTRIBUTION_PORT),
                    list(CONFIG_DISTRIBUTION_PORT, Some(index)),
                );
                let tenants = self.tenants_file();
                text += &format!(
                    "\n[changes]\nlisten = {listen}\nsources = {others}\ntenants = {}\n",
                    tenants.display()
                );
            }
        }
        text
    }

    /// Writes the configuration file of a real backend; returns its path.
    pub fn write_real_backend_config(&self, index: usize) -> Result<PathBuf, String> {
        let path = self.folder.join(format!("{}.ini", self.members[index].name));
        std::fs::write(&path, self.config_text(index))
            .map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }

    /// Starts one hollow process; its members join the group on `start_members`. Returns the index of the process.
    ///
    /// Errors: a file that can't be written, a program that can't be started.
    pub fn start_process(&mut self, kind: ProcessKind, zone: usize, count: usize) -> Result<usize, String> {
        let process_index = self.processes.len();
        let members: Vec<usize> = (0..count).map(|_| self.add_member(zone, Some(process_index))).collect();
        let plan: Vec<_> = members
            .iter()
            .map(|index| json!({"name": self.members[*index].name, "file": self.config_text(*index), "listener": self.is_listener(*index)}))
            .collect();
        let path = self.folder.join(format!("hollow-{process_index}.json"));
        let failed = |error: std::io::Error| format!("{}: {error}", path.display());
        std::fs::write(&path, json!(plan).to_string()).map_err(failed)?;
        let log = match &self.logs {
            Some(logs) => {
                std::fs::File::create(logs.join(format!("hollow-{}-{process_index}.log", self.host[1])))
                    .map_err(|error| format!("{}: {error}", logs.display()))?
                    .into()
            }
            None => Stdio::null(),
        };
        let mut child = Command::new(&self.program)
            .args([Path::new("hollow"), Path::new("--file"), &path])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("starting {}: {error}", self.program.display()))?;
        let input = child.stdin.take();
        self.processes.push(Process { kind, members, zone: zone % ZONES, child, input, killed: false });
        Ok(process_index)
    }

    /// Starts the members of a process.
    pub fn start_members(&mut self, process: usize) -> Result<(), String> {
        self.processes[process].send(&HollowCommand::Begin)?;
        for index in self.processes[process].members.clone() {
            self.members[index].running = true;
        }
        Ok(())
    }

    /// Kills a process with all its members; returns their names.
    pub fn kill(&mut self, process: usize) -> Vec<String> {
        self.processes[process].kill();
        self.mark_touched(process, false)
    }

    /// Pauses a process with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_paused(&mut self, process: usize, paused: bool) {
        self.processes[process].signal(if paused { Signal::STOP } else { Signal::CONT });
        self.mark_touched(process, !paused);
    }

    /// Marks the members of a process as touched by the trial; returns their names.
    fn mark_touched(&mut self, process: usize, running: bool) -> Vec<String> {
        let members = self.processes[process].members.clone();
        let touched = members.into_iter().map(|index| {
            let member = &mut self.members[index];
            (member.touched, member.running) = (true, running);
            member.name.clone()
        });
        touched.collect()
    }

    /// Returns the indices of processes of a kind that have not been killed.
    pub fn running(&self, kind: ProcessKind) -> Vec<usize> {
        let runs = |index: &usize| !self.processes[*index].killed && self.processes[*index].kind == kind;
        (0..self.processes.len()).filter(runs).collect()
    }

    /// Returns the member's address by process id for processes with a single member.
    pub fn single_member_processes(&self) -> BTreeMap<u32, std::net::IpAddr> {
        let single = self.processes.iter().filter(|process| process.members.len() == 1 && !process.killed);
        single.map(|process| (process.id(), self.members[process.members[0]].address.ip())).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
