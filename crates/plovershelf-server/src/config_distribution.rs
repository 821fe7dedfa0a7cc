//! Configuration distribution on real sockets: connections, timers and queues around [`plovershelf_config_distribution`].
//!
//! A listener's driver runs on a thread of its own, beside the backend's driver; an origin's beside the cluster's thread, so that a
//! whole fleet that asks at once keeps the consensus group from nothing. Trials put many on one executor.
//!
//! The ordinary path of a change: the cluster's thread passes what was committed to an origin's driver, which sends it
//! to its relays; they send it to their leaves; each listener's driver publishes what is in force to its subscriber.
//!
//! | module | its job |
//! | --- | --- |
//! | [`admin`] | what people ask of a process, and what it answers |
//! | `driver` | carries out what the node decides |
//! | `origin` | proposals on their way to the consensus group, and what it committed |
//! | `storage` | the table of an origin, kept in a folder |
//! | `subscriber` | who receives what is in force |

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

/// Inputs that wait for a driver; more are dropped, as a network drops.
const MAX_QUEUED_INPUTS: usize = 1024;

/// Where a process of configuration distribution runs and whom it hears from.
#[derive(Clone, Debug)]
pub struct DistributionSetup {
    /// The cluster's name; connections of others are closed.
    pub cluster: String,
    /// Where it is reached.
    pub listen: SocketAddr,
    /// The zone it runs in.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// Where origins are reached; an origin has the others here.
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

/// Why a driver does not start, in one line.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address can't be listened on.
    #[error("the listener of changes on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The listener can't be waited on.
    #[error("{address}: {source}")]
    Poll {
        /// Its address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// There is no thread to run it on.
    #[error("the thread of changes: {0}")]
    Thread(#[source] std::io::Error),
    /// What an earlier start stored can't be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The operator's list of tenants can't be used.
    #[error(transparent)]
    InitialTable(#[from] file::InitialTableError),
}

/// All that can happen to a driver from outside.
pub enum Input {
    /// Something came over a connection.
    Received(LinkEvent),
    /// A connection ended, or could not be made.
    ConnectionLost(SocketAddr),
    /// The consensus group's state, from the cluster's thread to an origin.
    Consensus(ConsensusState),
    /// The process is about to end: others are notified, and the driver ends.
    Shutdown,
}

impl From<LinkEvent> for Input {
    fn from(heard: LinkEvent) -> Self {
        Input::Received(heard)
    }
}

/// Starts a listener's driver on a thread of its own.
///
/// # Errors
///
/// Its address can't be listened on, or no thread can be had.
pub fn start_listener(
    setup: DistributionSetup,
    name: String,
    subscriber: Subscriber,
) -> Result<Sender<Input>, StartError> {
    let listener = listen(&setup)?;
    run_on_thread(Startup::listener(setup, name, subscriber), listener)
}

/// Starts a listener's driver on an executor that others are on too. It ends, with its socket and connections, when the
/// task is dropped.
///
/// # Errors
///
/// Its address can't be listened on.
pub fn spawn_listener(
    executor: &'static LocalExecutor<'static>,
    setup: DistributionSetup,
    name: String,
    subscriber: Subscriber,
) -> Result<Task<()>, StartError> {
    let listener = listen(&setup)?;
    Ok(executor.spawn(driver::run(executor, Startup::listener(setup, name, subscriber), listener)?))
}

/// Starts an origin's driver on a thread of its own. It is sent the consensus group's state whenever that changes, and
/// proposes changes with `propose`.
///
/// # Errors
///
/// Its address can't be listened on, what its files hold can't be used, or no thread can be had.
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
        Startup { table, origin: Some(origin), ..Startup::listener(setup, name, Subscriber::Nobody) };
    run_on_thread(startup, listener)
}

/// What a driver starts with.
struct Startup {
    setup: DistributionSetup,
    name: String,
    subscriber: Subscriber,
    table: QuotaTable,
    origin: Option<OriginStartup>,
    inputs: (Sender<Input>, Receiver<Input>),
}

/// What an origin has besides: its way to the consensus group, and where its table is stored.
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
            Err(error) => tracing::error!("changes are not carried: {error}"),
        }
    };
    let thread = std::thread::Builder::new().name("changes".into()).spawn(run);
    thread.map(|_| inputs).map_err(StartError::Thread)
}
