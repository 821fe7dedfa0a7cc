//! Configuration distribution over sockets: links, timers and queues for [`plovershelf_config_distribution`].
//!
//! The driver of a listener runs on a thread of its own beside the backend's driver. The driver of an origin runs
//! beside the cluster's thread, so that simultaneous requests of a whole fleet don't delay the consensus group.
//! Trials run many drivers on one executor.
//!
//! The cluster's thread passes a committed change to the origin's driver, which sends it to its relays. The relays
//! send it to their leaves, and each listener's driver publishes the configuration in force to its subscriber.
//!
//! | module | job |
//! | --- | --- |
//! | [`admin`] | requests of operators' commands and their answers |
//! | `driver` | drives the distribution node |
//! | `origin` | proposals to the consensus group, and committed changes |
//! | `storage` | file with the table of an origin |
//! | `subscriber` | receivers of the configuration in force |

pub mod admin;
mod driver;
mod origin;
mod storage;
mod subscriber;

pub use admin::KEY;
pub use origin::ConsensusState;
pub use subscriber::{QuotaUpdate, Subscriber, VersionInForce};

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use plovershelf_config::config_distribution as file;
use plovershelf_config_distribution::{DistributionConfig, QuotaTable};

use crate::links::LinkEvent;
use origin::Propose;
use storage::{StorageError, TableFile};

/// Capacity of a driver's input queue; further inputs are dropped, as on a network.
const MAX_QUEUED_INPUTS: usize = 1024;

/// Address, location and peers of a process that takes part in configuration distribution.
#[derive(Clone, Debug)]
pub struct DistributionSetup {
    /// Name of the cluster; links of other clusters are closed.
    pub cluster: String,
    /// Address on which the process listens.
    pub listen: SocketAddr,
    /// Zone of the process.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Addresses of the origins; for an origin, of the other origins.
    pub origins: Vec<SocketAddr>,
    /// Intervals, timeouts and fan-outs.
    pub config: DistributionConfig,
}

impl From<file::Listener> for DistributionSetup {
    fn from(file: file::Listener) -> Self {
        let file::Listener { cluster, listen, zone, region, origins, config } = file;
        DistributionSetup { cluster, listen, zone, region, origins, config }
    }
}

/// Error of starting a driver.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address can't be listened on.
    #[error("the listener of changes on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The listener can't be registered with the reactor.
    #[error("{address}: {source}")]
    Poll {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The driver's thread can't be started.
    #[error("the thread of changes: {0}")]
    Thread(#[source] std::io::Error),
    /// The stored table can't be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The operator's initial table can't be used.
    #[error(transparent)]
    InitialTable(#[from] file::InitialTableError),
}

/// An input of a driver.
pub enum Input {
    /// An event of an incoming link.
    Received(LinkEvent),
    /// An outgoing link broke or could not be opened.
    ConnectionLost(SocketAddr),
    /// State of the consensus group, from the cluster's thread to an origin.
    Consensus(ConsensusState),
    /// The process is about to exit: the driver notifies its peers and ends.
    Shutdown,
}

impl From<LinkEvent> for Input {
    fn from(event: LinkEvent) -> Self {
        Input::Received(event)
    }
}

/// Starts the driver of a listener on a thread of its own. Returns the sender of its inputs.
///
/// # Errors
///
/// Returns an error if the address can't be listened on or the thread can't be started.
pub fn start_listener(
    setup: DistributionSetup,
    name: String,
    subscriber: Subscriber,
) -> Result<Sender<Input>, StartError> {
    let listener = listen(&setup)?;
    run_on_thread(Startup::listener(setup, name, subscriber), listener)
}

/// Starts the driver of a listener on an executor that other drivers may share. Dropping the task ends the driver,
/// its socket and its links.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn spawn_listener(
    executor: &'static LocalExecutor<'static>,
    setup: DistributionSetup,
    name: String,
    subscriber: Subscriber,
) -> Result<Task<()>, StartError> {
    let listener = listen(&setup)?;
    Ok(executor.spawn(driver::run(executor, Startup::listener(setup, name, subscriber), listener)?))
}

/// Starts the driver of an origin on a thread of its own. The caller sends it each new state of the consensus group,
/// and it proposes changes with `propose`.
///
/// # Errors
///
/// Returns an error if the address can't be listened on, a file can't be used or the thread can't be started.
pub(crate) fn start_origin(
    cluster: &plovershelf_config::group::Group,
    file: &file::Origin,
    name: String,
    propose: Propose,
) -> Result<Sender<Input>, StartError> {
    let setup = DistributionSetup {
        cluster: cluster.name.clone(),
        listen: file.listen,
        zone: cluster.zone.clone(),
        region: cluster.region.clone(),
        origins: file.origins.clone(),
        config: file.config.clone(),
    };
    let path: Option<PathBuf> = cluster.folder.as_ref().map(|folder| folder.join("content"));
    let stored = path.as_deref().map(storage::load).transpose()?.flatten();
    let table = match stored {
        Some(table) => table,
        None => file.initial_table()?,
    };
    let listener = listen(&setup)?;
    let origin = OriginStartup { propose, file: path.map(TableFile::new) };
    let startup =
        Startup { table, origin: Some(origin), ..Startup::listener(setup, name, Subscriber::Discard) };
    run_on_thread(startup, listener)
}

/// Startup parameters of a driver.
struct Startup {
    setup: DistributionSetup,
    name: String,
    subscriber: Subscriber,
    table: QuotaTable,
    origin: Option<OriginStartup>,
    inputs: (Sender<Input>, Receiver<Input>),
}

/// Additional startup parameters of an origin: how it proposes changes and where its table is stored.
struct OriginStartup {
    propose: Propose,
    file: Option<TableFile>,
}

impl Startup {
    fn listener(setup: DistributionSetup, name: String, subscriber: Subscriber) -> Self {
        let inputs = async_channel::bounded(MAX_QUEUED_INPUTS);
        Startup { setup, name, subscriber, table: QuotaTable::default(), origin: None, inputs }
    }
}

fn listen(setup: &DistributionSetup) -> Result<TcpListener, StartError> {
    let address = setup.listen;
    TcpListener::bind(address).map_err(|source| StartError::Listen { address, source })
}

fn run_on_thread(startup: Startup, listener: TcpListener) -> Result<Sender<Input>, StartError> {
    let inputs = startup.inputs.0.clone();
    let run = move || {
        let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
        match driver::run(executor, startup, listener) {
            Ok(driver) => async_io::block_on(executor.run(driver)),
            Err(error) => tracing::error!("configuration distribution does not start: {error}"),
        }
    };
    let thread = std::thread::Builder::new().name("changes".into()).spawn(run);
    thread.map(|_| inputs).map_err(StartError::Thread)
}
