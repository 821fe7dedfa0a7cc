//! Fleet: a set of real backends with one agent each, and a dependency and a registry that all of them share.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_io::Timer;
use serde_json::{json, Value};

use crate::agent::Agent;
use crate::backend::{Backend, ClusterFiles, ProcessConfig};
use crate::cluster::{Cluster, ClusterConfig};
use crate::cores::CoresConfig;
use crate::dependency::{Dependency, DependencyConfig};
use crate::effects::{EffectLedger, SharedLedger};
use crate::path::NetworkPath;
use crate::registry::Registry;
use crate::{free_address, Clock, Executor};

/// Seed of the first backend; the seed of backend `i` is greater by `i`.
const FIRST_SEED: u64 = 0x8c1f_30d2_7a5b_e964;
/// Seed that decides which reads the path to the dependency loses.
const DEPENDENCY_PATH_SEED: u64 = 0x0dec;
/// Interval at which [`Fleet::up`] checks the backends.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Path of the server program.
    pub program: PathBuf,
    /// Number of backends.
    pub backends: usize,
    /// Capacity of the cores of each agent.
    pub cores: CoresConfig,
    /// Capacity of the dependency.
    pub dependency: DependencyConfig,
    /// Value of `settings` in the start-up configuration.
    pub settings: Value,
    /// Memory limit of each backend, in megabytes.
    pub memory_mb: f64,
    /// Maximum number of sockets of each backend.
    pub sockets: u32,
    /// Time from the drain notice to the end of the process.
    pub stop_ms: f64,
    /// Folder of the logs, with one file per backend, named after it; without it the logs are discarded.
    pub logs: Option<PathBuf>,
    /// Path of the operator's file of bulkheads.
    pub pools: Option<PathBuf>,
    /// Configuration of a cluster of all backends, with a network path between every two of them and one to each agent.
    pub cluster: Option<ClusterConfig>,
    /// Whether the fleet has a network path to each agent and one to the dependency, on which faults are injected.
    pub peer_paths: bool,
}

/// Running fleet; dropping it kills its processes and removes its files.
pub struct Fleet {
    /// Backends, in the order of their indices.
    pub backends: Vec<Backend>,
    /// Dependency that all backends share.
    pub dependency: Dependency,
    /// Effects observed by the agents and the dependency.
    pub effects: SharedLedger,
    /// Registry that all backends share.
    pub registry: Registry,
    /// Network path to the dependency, on which faults are injected.
    pub dependency_path: Option<NetworkPath>,
    /// Network paths and files of the cluster, if the backends form one.
    pub cluster: Option<Cluster>,
    pub(crate) stop_ms: f64,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the peers and all backends.
    ///
    /// Errors: binding a listener, writing a file or starting a process fails.
    pub fn start(executor: &Executor, clock: Clock, config: &FleetConfig) -> io::Result<Self> {
        let effects = EffectLedger::shared();
        let dependency = Dependency::start(executor, clock, config.dependency, effects.clone())?;
        let registry = Registry::start(executor)?;
        let folder = create_folder()?;
        let cluster = config.cluster.as_ref();
        let cluster = cluster.map(|cluster| Cluster::start(executor, &folder, config.backends, cluster));
        let cluster = cluster.transpose()?;
        let (backends, stop_ms) = (Vec::new(), config.stop_ms);
        let dependency_path =
            config.peer_paths.then(|| NetworkPath::start(executor, dependency.address, DEPENDENCY_PATH_SEED));
        let dependency_path = dependency_path.transpose()?;
        let mut fleet =
            Fleet { backends, dependency, effects, registry, dependency_path, cluster, stop_ms, folder };
        for index in 0..config.backends {
            let mut backend = fleet.create_backend(executor, clock, config, index)?;
            backend.start()?;
            fleet.backends.push(backend);
        }
        Ok(fleet)
    }

    /// Returns the addresses on which the backends accept clients.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.backends.iter().map(|backend| backend.address).collect()
    }

    /// Waits until all backends accept connections and have subscribed to their agents; returns false on a timeout.
    pub async fn wait_until_up(&self, clock: Clock, timeout_ms: f64) -> bool {
        let deadline_ms = clock.now() + timeout_ms;
        while clock.now() < deadline_ms {
            let accepts = |backend: &Backend| std::net::TcpStream::connect(backend.address).is_ok();
            if self.backends.iter().all(|backend| backend.agent.processes() > 0 && accepts(backend)) {
                return true;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        false
    }

    fn create_backend(
        &self,
        executor: &Executor,
        clock: Clock,
        config: &FleetConfig,
        index: usize,
    ) -> io::Result<Backend> {
        let agent = Agent::start(executor, clock, index, config.cores, self.effects.clone())?;
        let (name, address) = (format!("n{}", index + 1), free_address()?);
        let has_path = self.cluster.is_some() || config.peer_paths;
        let agent_path = has_path.then(|| NetworkPath::start(executor, agent.address, index as u64));
        let agent_path = agent_path.transpose()?;
        let agent_address = agent_path.as_ref().map_or(agent.address, |path| path.address);
        let cluster = self.cluster.as_ref().map(|cluster| {
            let member = &cluster.members[index];
            ClusterFiles {
                config: member.config_file.clone(),
                storage_full_marker: member.storage_full_marker.clone(),
            }
        });
        let config_file = self.folder.join(format!("{name}.json"));
        let text = self.startup_config(config, index, address, agent_address);
        std::fs::write(&config_file, text.to_string())?;
        let process = ProcessConfig {
            program: config.program.clone(),
            config_file,
            log: config.logs.as_ref().map(|logs| logs.join(format!("{name}.log"))),
            bulkheads: config.pools.clone(),
            cluster,
            config_distribution: None,
            clock_offset_ms: 0.0,
        };
        Ok(Backend::new(name, address, agent, agent_path, process))
    }

    fn startup_config(
        &self,
        config: &FleetConfig,
        index: usize,
        address: SocketAddr,
        agent: SocketAddr,
    ) -> Value {
        json!({
            "name": format!("n{}", index + 1), "listen": address.to_string(), "agent": agent.to_string(),
            "records": self.dependency_path.as_ref().map_or(self.dependency.address, |path| path.address).to_string(), "registry": self.registry.address.to_string(),
            "seed": format!("{:016x}", FIRST_SEED + index as u64), "stop_ms": config.stop_ms,
            "limits": {"cores": 1.0, "memory_mb": config.memory_mb, "sockets": config.sockets},
            "settings": config.settings,
        })
    }
}

/// Creates a temporary folder for one fleet.
fn create_folder() -> io::Result<PathBuf> {
    let nanos = std::time::SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_nanos());
    let name = format!("plovershelf-trial-{}-{nanos}", std::process::id());
    let folder = Path::join(&std::env::temp_dir(), name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.backends.iter_mut().for_each(|backend| drop(backend.kill()));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
