//! Network paths and files of a cluster of backends: a path between every two members, and an operator's file and a
//! storage folder for each member.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::path::NetworkPath;
use crate::{free_address, Executor};

/// Name of the log file in a member's storage folder.
const LOG_FILE: &str = "group.log";
/// Number of snapshots retained of each log, taken once per second. A fault that sets the storage back restores the
/// oldest one.
const MAX_SNAPSHOTS: usize = 8;

/// Configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of zones, assigned to the members in turn.
    pub zones: usize,
    /// Number of initial voters.
    pub initial_voters: usize,
    /// Whether members store their state on disk.
    pub folders: bool,
    /// Additional lines of the section `[group]`, and additional sections.
    pub more: String,
}

/// Address and files of one member.
pub struct Member {
    /// Address on which the member accepts other members.
    pub address: SocketAddr,
    /// Path of the operator's file.
    pub config_file: PathBuf,
    /// Path of the storage folder, if the member stores its state on disk.
    pub storage: Option<PathBuf>,
    /// Marker file; while it exists, writes to the storage fail.
    pub storage_full_marker: PathBuf,
    /// Offset of the member's wall clock that applies from the next start on.
    pub clock_offset_ms: f64,
    /// Snapshots of the log, oldest first; `None` where the log did not exist.
    snapshots: VecDeque<Option<Vec<u8>>>,
}

/// Members of a cluster and the network paths between them.
pub struct Cluster {
    /// All members, in the order of the backends.
    pub members: Vec<Member>,
    /// `paths[a][b]` leads from member a to member b.
    paths: Vec<Vec<Option<NetworkPath>>>,
}

/// Returns the name of a member's zone.
pub fn zone(member: usize, zones: usize) -> String {
    format!("z{}", member % zones.max(1) + 1)
}

impl Cluster {
    /// Creates the network paths and the files of the given number of members, without starting any of them.
    ///
    /// Errors: binding a listener or writing a file fails.
    pub fn start(
        executor: &Executor,
        folder: &Path,
        members: usize,
        config: &ClusterConfig,
    ) -> io::Result<Self> {
        let addresses = (0..members).map(|_| free_address()).collect::<io::Result<Vec<_>>>()?;
        let mut paths = Vec::new();
        for from in 0..members {
            let path = |to: usize| {
                let seed = (from * members + to) as u64;
                (to != from).then(|| NetworkPath::start(executor, addresses[to], seed)).transpose()
            };
            paths.push((0..members).map(path).collect::<io::Result<Vec<_>>>()?);
        }
        let mut cluster = Cluster { members: Vec::new(), paths };
        for (index, address) in addresses.into_iter().enumerate() {
            let member = Member::new(folder, index, address, config);
            std::fs::write(&member.config_file, cluster.member_config(&member, index, config))?;
            cluster.members.push(member);
        }
        Ok(cluster)
    }

    /// Takes a snapshot of each member's log; called once per second.
    pub(crate) fn take_snapshots(&mut self) {
        self.members.iter_mut().for_each(Member::take_snapshot);
    }

    /// Returns the path from one member to another.
    pub(crate) fn path(&self, from: usize, to: usize) -> Option<&NetworkPath> {
        self.paths[from][to].as_ref()
    }

    /// Returns all paths, each preceded by the indices of the members that it leads from and to.
    pub(crate) fn paths(&self) -> impl Iterator<Item = (usize, usize, &NetworkPath)> {
        self.paths.iter().enumerate().flat_map(|(from, row)| {
            row.iter().enumerate().filter_map(move |(to, path)| Some((from, to, path.as_ref()?)))
        })
    }

    /// Returns the text of a member's operator's file, in which the other members have the addresses of the paths that
    /// lead to them.
    fn member_config(&self, member: &Member, index: usize, config: &ClusterConfig) -> String {
        let path_address = |to: usize| self.path(index, to).map(|path| path.address);
        let seeds: Vec<String> =
            (0..config.initial_voters).filter_map(path_address).map(|address| address.to_string()).collect();
        let voters: Vec<String> = (0..config.initial_voters).map(|voter| format!("n{}", voter + 1)).collect();
        let mut text = format!(
            "[group]\nname = trial\nlisten = {}\nzone = {}\nregion = r{}\nseeds = {}\ncouncil = {}\n",
            member.address,
            zone(index, config.zones),
            1,
            seeds.join(", "),
            voters.join(", ")
        );
        if let Some(storage) = &member.storage {
            text += &format!("folder = {}\n", storage.display());
        }
        text += &config.more;
        text += "\n[ways]\n";
        for to in 0..self.paths.len() {
            if let Some(address) = path_address(to) {
                text += &format!("n{} = {address}\n", to + 1);
            }
        }
        text
    }
}

impl Member {
    fn new(folder: &Path, index: usize, address: SocketAddr, config: &ClusterConfig) -> Self {
        let name = format!("n{}", index + 1);
        Member {
            address,
            config_file: folder.join(format!("group-{name}.ini")),
            storage: config.folders.then(|| folder.join(format!("group-{name}"))),
            storage_full_marker: folder.join(format!("full-{name}")),
            clock_offset_ms: 0.0,
            snapshots: VecDeque::new(),
        }
    }

    fn take_snapshot(&mut self) {
        let log = self.storage.as_ref().and_then(|storage| std::fs::read(storage.join(LOG_FILE)).ok());
        self.snapshots.push_back(log);
        if self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// Removes the member's storage folder.
    pub(crate) fn wipe_storage(&self) {
        if let Some(storage) = &self.storage {
            let _ = std::fs::remove_dir_all(storage);
        }
    }

    /// Sets the member's storage back to the oldest snapshot; without one the storage folder is removed.
    pub(crate) fn restore_oldest_snapshot(&self) {
        let Some(storage) = &self.storage else { return };
        let _ = match self.snapshots.front().cloned().flatten() {
            Some(log) => std::fs::write(storage.join(LOG_FILE), log),
            None => std::fs::remove_dir_all(storage),
        };
    }
}
