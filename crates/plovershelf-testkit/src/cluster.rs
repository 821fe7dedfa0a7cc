//! The network and the files of a cluster of backends: a path between each two members, and an operator's file and
//! a storage folder for each.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::path::NetworkPath;
use crate::{free_address, Executor};

/// Name of the log in a member's storage folder.
const LOG_FILE: &str = "group.log";
/// Snapshots of a log that are kept, one a second: an outdated storage is the oldest of them.
const MAX_SNAPSHOTS: usize = 8;

/// What a cluster is like.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of zones, which members belong to in turn.
    pub zones: usize,
    /// Number of the first voters.
    pub founders: usize,
    /// Do members store their state on disk?
    pub folders: bool,
    /// Further lines of `[group]`, and further sections.
    pub more: String,
}

/// One member's address and files.
pub struct Member {
    /// Where it listens for other members.
    pub address: SocketAddr,
    /// The operator's file.
    pub config_file: PathBuf,
    /// Its storage folder.
    pub storage: Option<PathBuf>,
    /// While this file exists, the storage takes nothing.
    pub storage_full: PathBuf,
    /// Offset of its wall clock from its next start on.
    pub clock_offset_ms: f64,
    /// Snapshots of its log, oldest first.
    snapshots: VecDeque<Option<Vec<u8>>>,
}

/// Members and the paths between them.
pub struct Cluster {
    /// All members, in the backends' order.
    pub members: Vec<Member>,
    /// `paths[a][b]` leads from a to b.
    paths: Vec<Vec<Option<NetworkPath>>>,
}

/// The zone of a member.
pub fn zone(member: usize, zones: usize) -> String {
    format!("z{}", member % zones.max(1) + 1)
}

impl Cluster {
    /// Paths and files for so many members, none of which runs yet.
    ///
    /// Errors: as of binding listeners and writing files.
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

    /// Takes a snapshot of each member's log; called each second.
    pub(crate) fn take_snapshots(&mut self) {
        self.members.iter_mut().for_each(Member::take_snapshot);
    }

    /// The path from one member to another.
    pub(crate) fn path(&self, from: usize, to: usize) -> Option<&NetworkPath> {
        self.paths[from][to].as_ref()
    }

    /// All paths, with the members that they lead from and to.
    pub(crate) fn paths(&self) -> impl Iterator<Item = (usize, usize, &NetworkPath)> {
        self.paths.iter().enumerate().flat_map(|(from, row)| {
            row.iter().enumerate().filter_map(move |(to, path)| Some((from, to, path.as_ref()?)))
        })
    }

    /// The text of a member's operator's file; it reaches the others by its own paths.
    fn member_config(&self, member: &Member, index: usize, config: &ClusterConfig) -> String {
        let reached_at = |to: usize| self.path(index, to).map(|path| path.address);
        let seeds: Vec<String> =
            (0..config.founders).filter_map(reached_at).map(|address| address.to_string()).collect();
        let voters: Vec<String> = (0..config.founders).map(|founder| format!("n{}", founder + 1)).collect();
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
            if let Some(address) = reached_at(to) {
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
            storage_full: folder.join(format!("full-{name}")),
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

    /// Removes its storage.
    pub(crate) fn wipe_storage(&self) {
        if let Some(storage) = &self.storage {
            let _ = std::fs::remove_dir_all(storage);
        }
    }

    /// Sets its storage back to the oldest snapshot; without one it is removed.
    pub(crate) fn restore_oldest_snapshot(&self) {
        let Some(storage) = &self.storage else { return };
        let _ = match self.snapshots.front().cloned().flatten() {
            Some(log) => std::fs::write(storage.join(LOG_FILE), log),
            None => std::fs::remove_dir_all(storage),
        };
    }
}
