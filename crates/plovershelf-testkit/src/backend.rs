//! Real backends as processes, each with a stand-in agent, and a ledger and a roster for all of them.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;

use async_io::{Async, Timer};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use crate::account::{Account, Shared};
use crate::agent::Agent;
use crate::ledger::{self, Ledger};
use crate::rig::{self, Rig};
use crate::way::Way;
use crate::{cores, free_address, Clock, Executor};

/// What a set of backends is like.
#[derive(Clone, Debug)]
pub struct Plan {
    pub program: PathBuf,
    pub backends: usize,
    pub cores: cores::Shape,
    pub ledger: ledger::Shape,
    /// The object under `settings`.
    pub settings: Value,
    pub memory_mb: f64,
    pub sockets: u32,
    pub stop_ms: f64,
    /// Where each one's log goes, by its name; nowhere without.
    pub logs: Option<PathBuf>,
    /// The operator's file of pools.
    pub pools: Option<PathBuf>,
    /// A group of all of them, with a way between each two and before each one's agent.
    pub group: Option<rig::Plan>,
}

pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub agent: Agent,
    file: PathBuf,
    program: PathBuf,
    log: Option<PathBuf>,
    pools: Option<PathBuf>,
    /// The file of its group, and the file whose presence means that its folder takes nothing.
    group: Option<(PathBuf, PathBuf)>,
    /// The file of the changes that it hears of.
    changes: Option<PathBuf>,
    /// Its wall clock is off by so much from its next start on.
    pub clock_off_ms: f64,
    /// Stands before its agent where faults are played.
    pub agent_way: Option<Way>,
    /// Faults that hold it down; stopped by one.
    pub(crate) down: u32,
    pub(crate) stopped: bool,
    child: Option<Child>,
    /// Ends that nobody asked for.
    pub crashes: u32,
    told: bool,
}

pub struct Fleet {
    pub backends: Vec<Backend>,
    pub ledger: Ledger,
    pub account: Shared,
    /// The last beat of each name, and when.
    pub beats: Rc<RefCell<std::collections::BTreeMap<String, f64>>>,
    /// The group's ways and folders, where there is one.
    pub rig: Option<Rig>,
    pub(crate) stop_ms: f64,
    folder: PathBuf,
}

/// The server's program: named by `PLOVERSHELF_SERVER`, or beside this one.
pub fn program() -> Result<PathBuf, String> {
    if let Some(path) = std::env::var_os("PLOVERSHELF_SERVER") {
        let path = PathBuf::from(path);
        return if path.is_file() {
            Ok(path)
        } else {
            Err(format!("PLOVERSHELF_SERVER: no file {}", path.display()))
        };
    }
    let own = std::env::current_exe().map_err(|error| format!("the path of this program: {error}"))?;
    let beside = own.ancestors().skip(1).take(2).map(|folder| folder.join("plovershelf-server"));
    let found = beside.into_iter().find(|path| path.is_file());
    found.ok_or_else(|| "plovershelf-server is not built: `cargo build --release` builds it".into())
}

impl Fleet {
    /// Starts the stand-ins and all backends.
    pub fn start(executor: &Executor, clock: Clock, plan: &Plan) -> io::Result<Self> {
        let account = Account::shared();
        let ledger = Ledger::start(executor, clock, plan.ledger, account.clone())?;
        let roster = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?;
        let roster_at = roster.get_ref().local_addr()?;
        let beats: Rc<RefCell<std::collections::BTreeMap<String, f64>>> = Rc::default();
        let heard = beats.clone();
        let listen = async move {
            let mut bytes = [0; 256];
            while let Ok(count) = roster.recv(&mut bytes).await {
                let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
                if let Some(name) = text.split(' ').nth(1) {
                    heard.borrow_mut().insert(name.to_string(), clock.now());
                }
            }
        };
        executor.spawn(listen).detach();
        let nanos = std::time::SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_nanos());
        let folder = std::env::temp_dir().join(format!("plovershelf-trial-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let rig = plan.group.as_ref().map(|group| Rig::start(executor, &folder, plan.backends, group));
        let rig = rig.transpose()?;
        let mut backends = Vec::new();
        for place in 0..plan.backends {
            let agent = Agent::start(executor, clock, place, plan.cores, account.clone())?;
            let (name, address) = (format!("n{}", place + 1), free_address()?);
            let agent_way =
                rig.as_ref().map(|_| Way::start(executor, agent.address, place as u64)).transpose()?;
            let agent_at = agent_way.as_ref().map_or(agent.address, |way| way.address);
            let group =
                rig.as_ref().map(|rig| (rig.members[place].file.clone(), rig.members[place].full.clone()));
            let configuration = json!({
                "name": name, "listen": address.to_string(), "agent": agent_at.to_string(),
                "records": ledger.address.to_string(), "registry": roster_at.to_string(),
                "seed": format!("{:016x}", 0x8c1f_30d2_7a5b_e964u64 + place as u64), "stop_ms": plan.stop_ms,
                "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.sockets},
                "settings": plan.settings,
            });
            let file = folder.join(format!("{name}.json"));
            std::fs::write(&file, configuration.to_string())?;
            let log = plan.logs.as_ref().map(|logs| logs.join(format!("{name}.log")));
            let (program, pools) = (plan.program.clone(), plan.pools.clone());
            let mut backend = Backend {
                name,
                address,
                agent,
                file,
                program,
                log,
                pools,
                group,
                changes: None,
                clock_off_ms: 0.0,
                agent_way,
                down: 0,
                stopped: false,
                child: None,
                crashes: 0,
                told: false,
            };
            backend.start()?;
            backends.push(backend);
        }
        Ok(Fleet { backends, ledger, account, beats, rig, stop_ms: plan.stop_ms, folder })
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.backends.iter().map(|backend| backend.address).collect()
    }

    /// Waits until all answer their agents, or the span is over. Tells whether they do.
    pub async fn up(&self, clock: Clock, within_ms: f64) -> bool {
        let until = clock.now() + within_ms;
        while clock.now() < until {
            let listens = |backend: &Backend| std::net::TcpStream::connect(backend.address).is_ok();
            if self.backends.iter().all(|backend| backend.agent.lives() > 0 && listens(backend)) {
                return true;
            }
            Timer::after(std::time::Duration::from_millis(10)).await;
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.backends.iter_mut().for_each(|backend| drop(backend.kill()));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Backend {
    pub fn start(&mut self) -> io::Result<()> {
        let mut command = Command::new(&self.program);
        command.env("RELAY_CONFIG", &self.file).stdin(Stdio::null()).stdout(Stdio::null());
        if let Some(pools) = &self.pools {
            command.env("PLOVERSHELF_POOLS", pools);
        }
        if let Some((group, full)) = &self.group {
            command.env("PLOVERSHELF_GROUP", group).env("PLOVERSHELF_TEST_FOLDER_FULL", full);
            command.env("PLOVERSHELF_TEST_CLOCK_OFF_MS", self.clock_off_ms.to_string());
        }
        if let Some(changes) = &self.changes {
            command.env("PLOVERSHELF_CHANGES", changes);
        }
        match &self.log {
            Some(log) => {
                let file = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
                command.stderr(file);
            }
            None => drop(command.stderr(Stdio::null())),
        }
        self.child = Some(command.spawn()?);
        self.told = false;
        Ok(())
    }

    /// From its next start on it belongs to the group that this file tells of; to none without one.
    pub fn in_group(&mut self, file: Option<PathBuf>) {
        self.group = file.map(|file| (file, self.file.with_extension("full")));
    }

    /// From its next start on it hears of changes as this file tells; of none without one.
    pub fn hears_changes(&mut self, file: Option<PathBuf>) {
        self.changes = file;
    }

    /// Ends it at once, without notice.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// The notice to leave.
    pub fn leave(&mut self, grace_ms: f64) {
        self.told = true;
        self.agent.leaves(grace_ms);
        self.signal(Signal::TERM);
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Its end, if it has come to it; one that nobody asked for is a crash.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.crashes += u32::from(!self.told || !status.success());
        Some(status)
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Its memory at the most, in kB, where the system tells.
    pub fn peak_kb(&self) -> Option<u64> {
        let status =
            std::fs::read_to_string(Path::new("/proc").join(self.id()?.to_string()).join("status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }
}
