//! The processes of a run: which members there are, in which process each runs, and its start and end. A rack is a process
//! of many members that all end with it; others have a process to themselves, so that they can be killed one at a time.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;

use crate::hollow::Line;

pub const ZONES: usize = 4;
pub const FOUNDERS: usize = 3;
/// Every member listens on the same ports of an address of its own: as a member of the group, and for changes.
pub const PORT: u16 = 7400;
pub const CHANGES_PORT: u16 = 7401;
pub const GROUP: &str = "scale";

pub fn zone(place: usize) -> (String, String) {
    let place = place % ZONES;
    (format!("z{}", place + 1), format!("r{}", place / (ZONES / 2) + 1))
}

/// How members belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// All are members of one group.
    Group,
    /// The founders are a group of their own and sources of changes; all others listen.
    Changes,
}

/// One member, hollow or real.
#[derive(Clone, Debug)]
pub struct Member {
    pub name: String,
    /// Where the trial asks it.
    pub address: SocketAddr,
    pub zone: usize,
    /// Its place among the processes; none for a real backend.
    pub process: Option<usize>,
    /// Killed or stopped by the trial at some time, so that nobody wonders that it is missing.
    pub touched: bool,
    /// Runs now, as far as the trial has seen to it.
    pub live: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Founder,
    Alone,
    Rack,
}

pub struct Process {
    pub kind: Kind,
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

    pub fn say(&mut self, line: &Line) -> Result<(), String> {
        let told = self.input.as_mut().map(|input| input.write_all(line.written().as_bytes()));
        match told {
            Some(Ok(())) => Ok(()),
            _ => Err(format!("the hollow process {} takes no commands", self.id())),
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

    /// Whether it ended without being asked to.
    pub fn fell(&mut self) -> bool {
        !self.killed && !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How many of each there are at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    pub real: usize,
    pub alone: usize,
    pub racks: usize,
    /// Members in all racks together.
    pub racked: usize,
}

/// Members of a rack at the most: what a rack of machines holds.
const RACK_MOST: usize = 45;
pub const REAL: usize = 4;

impl Shape {
    /// The fewest members that fill processes of each kind.
    pub const LEAST: usize = REAL + FOUNDERS + 4 + 4;

    /// Errors: too few members for processes of each kind.
    pub fn of(members: usize) -> Result<Self, String> {
        let alone = (members / 12).clamp(4, 16);
        if members < Self::LEAST {
            return Err(format!("--members {members}: at least {}", Self::LEAST));
        }
        let racked = members - REAL - FOUNDERS - alone;
        let racks = racked.div_ceil(RACK_MOST).max(2);
        Ok(Shape { real: REAL, alone, racks, racked })
    }

    pub fn hollow(&self) -> usize {
        FOUNDERS + self.alone + self.racked
    }

    pub fn processes(&self) -> usize {
        self.real + FOUNDERS + self.alone + self.racks
    }
}

/// All members and processes of a run, and the folder of their files.
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
    /// Places the members of a shape and starts their processes, none of which is a member yet. The real ones come first.
    ///
    /// Errors: a process that can't be started, or a file that can't be written.
    pub fn start(
        shape: Shape,
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
        // Above the addresses that other trials take; apart for each process and run.
        let host = [128 + (id % 100) as u8, run];
        let mut fleet =
            Fleet { members: Vec::new(), processes: Vec::new(), mode, folder, program, host, logs };
        if mode == Mode::Changes {
            let path = fleet.tenants_file();
            let names = super::calls::tenants(tenants).into_iter().map(|name| format!("{name} = 1000000\n"));
            std::fs::write(&path, format!("[tenants]\n{}", names.collect::<String>()))
                .map_err(|error| format!("{}: {error}", path.display()))?;
        }
        for place in 0..shape.real {
            fleet.member(place, None);
        }
        for place in 0..FOUNDERS {
            fleet.process(Kind::Founder, place, 1)?;
        }
        for place in 0..shape.alone {
            fleet.process(Kind::Alone, place, 1)?;
        }
        for place in 0..shape.racks {
            let count = shape.racked * (place + 1) / shape.racks - shape.racked * place / shape.racks;
            fleet.process(Kind::Rack, place, count)?;
        }
        Ok(fleet)
    }

    /// A new member of a name and an address that none had.
    fn member(&mut self, zone: usize, process: Option<usize>) -> usize {
        let place = self.members.len();
        self.members.push(Member {
            name: format!("m{}", place + 1),
            address: self.address(place, if self.mode == Mode::Group { PORT } else { CHANGES_PORT }),
            zone: zone % ZONES,
            process,
            touched: false,
            live: false,
        });
        place
    }

    /// The members that found the group.
    pub fn founders(&self) -> impl Iterator<Item = &Member> {
        let founder = |member: &&Member| {
            member.process.is_some_and(|place| self.processes[place].kind == Kind::Founder)
        };
        self.members.iter().filter(founder)
    }

    fn tenants_file(&self) -> PathBuf {
        self.folder.join("tenants.ini")
    }

    fn address(&self, place: usize, port: u16) -> SocketAddr {
        let [first, second] = self.host;
        // Runs stand sixteen apart in the second number, so that each has four thousand addresses.
        let address = [127, first, (second % 16) * 16 + (place / 250) as u8, (place % 250 + 1) as u8];
        (address, port).into()
    }

    /// Places of the founders, also before all of them are there.
    fn founders_told(&self) -> std::ops::Range<usize> {
        let real = self.members.iter().take_while(|member| member.process.is_none()).count();
        real..real + FOUNDERS
    }

    fn listens(&self, place: usize) -> bool {
        self.mode == Mode::Changes && !self.founders_told().contains(&place)
    }

    fn file(&self, place: usize) -> String {
        let founders = self.founders_told();
        let list = |port: u16, but: Option<usize>| {
            let others = founders.clone().filter(|founder| Some(*founder) != but);
            others.map(|founder| self.address(founder, port).to_string()).collect::<Vec<_>>().join(", ")
        };
        let names: Vec<String> = founders.clone().map(|founder| format!("m{}", founder + 1)).collect();
        let member = &self.members[place];
        let (zone, region) = zone(member.zone);
        if self.listens(place) {
            let (listen, sources) = (self.address(place, CHANGES_PORT), list(CHANGES_PORT, None));
            return format!(
                "[changes]\nname = {GROUP}\nlisten = {listen}\nzone = {zone}\nregion = {region}\nsources = {sources}\n"
            );
        }
        let mut text = format!(
            "[group]\nname = {GROUP}\nlisten = {}\nzone = {zone}\nregion = {region}\nseeds = {}\ncouncil = {}\n",
            self.address(place, PORT),
            list(PORT, None),
            names.join(", ")
        );
        if founders.contains(&place) {
            text += &format!("folder = {}\n", self.folder.join(&member.name).display());
            if self.mode == Mode::Changes {
                let (listen, others) = (self.address(place, CHANGES_PORT), list(CHANGES_PORT, Some(place)));
                let tenants = self.tenants_file();
                text += &format!(
                    "\n[changes]\nlisten = {listen}\nsources = {others}\ntenants = {}\n",
                    tenants.display()
                );
            }
        }
        text
    }

    /// Writes the file of a real backend's group.
    pub fn real_file(&self, place: usize) -> Result<PathBuf, String> {
        let path = self.folder.join(format!("{}.ini", self.members[place].name));
        std::fs::write(&path, self.file(place)).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }

    /// Starts one process; its members begin when it is told to.
    ///
    /// Errors: a file that can't be written, a program that can't be started.
    pub fn process(&mut self, kind: Kind, zone: usize, count: usize) -> Result<usize, String> {
        let own = self.processes.len();
        let members: Vec<usize> = (0..count).map(|_| self.member(zone, Some(own))).collect();
        let plan: Vec<_> = members
            .iter()
            .map(|place| json!({"name": self.members[*place].name, "file": self.file(*place), "listener": self.listens(*place)}))
            .collect();
        let path = self.folder.join(format!("hollow-{own}.json"));
        let wrong = |error: std::io::Error| format!("{}: {error}", path.display());
        std::fs::write(&path, json!(plan).to_string()).map_err(wrong)?;
        let log = match &self.logs {
            Some(logs) => std::fs::File::create(logs.join(format!("hollow-{}-{own}.log", self.host[1])))
                .map_err(|error| format!("{}: {error}", logs.display()))?
                .into(),
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
        Ok(own)
    }

    /// Its members start.
    pub fn begin(&mut self, process: usize) -> Result<(), String> {
        self.processes[process].say(&Line::Begin)?;
        for place in self.processes[process].members.clone() {
            self.members[place].live = true;
        }
        Ok(())
    }

    /// Ends a process at once, with all its members; tells their names.
    pub fn kill(&mut self, process: usize) -> Vec<String> {
        self.processes[process].kill();
        self.touch(process, false)
    }

    pub fn stop(&mut self, process: usize, stopped: bool) {
        self.processes[process].signal(if stopped { Signal::STOP } else { Signal::CONT });
        self.touch(process, !stopped);
    }

    fn touch(&mut self, process: usize, live: bool) -> Vec<String> {
        let places = self.processes[process].members.clone();
        let touched = places.into_iter().map(|place| {
            let member = &mut self.members[place];
            (member.touched, member.live) = (true, live);
            member.name.clone()
        });
        touched.collect()
    }

    /// Processes of a kind that run.
    pub fn running(&self, kind: Kind) -> Vec<usize> {
        let runs = |place: &usize| !self.processes[*place].killed && self.processes[*place].kind == kind;
        (0..self.processes.len()).filter(runs).collect()
    }

    /// Processes of one member each, by their id.
    pub fn alone(&self) -> BTreeMap<u32, std::net::IpAddr> {
        let one = self.processes.iter().filter(|process| process.members.len() == 1 && !process.killed);
        one.map(|process| (process.id(), self.members[process.members[0]].address.ip())).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
