//! Builds a client from its endpoints and its settings.

use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::caller::Caller;
use crate::client::{Client, Shared};
use crate::config::{ClientConfig, ConfigError};
use crate::endpoint_list::EndpointList;
use crate::transport::{entropy, Driver, EndpointFile, EndpointFileError};

/// Why a client could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting is outside its range.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The endpoint file can't be read, or is no list.
    #[error(transparent)]
    EndpointFile(#[from] EndpointFileError),
    /// The client's thread could not be started.
    #[error("a thread for the client: {0}")]
    Thread(#[source] std::io::Error),
    /// The client's thread ended before the client was there.
    #[error("the client's thread ended")]
    ThreadEnded,
}

/// Where the endpoints come from.
#[derive(Clone, Debug)]
enum EndpointSource {
    List(EndpointList),
    File(PathBuf),
}

/// Builds a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientBuilder {
    config: ClientConfig,
    source: EndpointSource,
    client_number: u32,
}

impl Default for ClientBuilder {
    fn default() -> Self {
        ClientBuilder {
            config: ClientConfig::default(),
            source: EndpointSource::List(EndpointList::default()),
            client_number: 0,
        }
    }
}

impl ClientBuilder {
    /// A builder without endpoints, with the default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// The endpoints, in place of any endpoint file.
    pub fn endpoints(mut self, endpoints: &[SocketAddr]) -> Self {
        self.source = EndpointSource::List(EndpointList::from_addresses(endpoints));
        self
    }

    /// A file that lists the endpoints, an address a line. It is read again when it has changed; one that can't be read, or names no
    /// endpoint, changes nothing.
    pub fn endpoint_file(mut self, path: impl AsRef<Path>) -> Self {
        self.source = EndpointSource::File(path.as_ref().to_path_buf());
        self
    }

    /// The number by which backends know this client. Default: 0.
    pub fn client_number(mut self, number: u32) -> Self {
        self.client_number = number;
        self
    }

    /// The settings.
    pub fn config(mut self, config: ClientConfig) -> Self {
        self.config = config;
        self
    }

    /// The client, and the task that has to be run for it. The task ends after [`Client::close`], or when the last handle is gone, and
    /// stays on the thread that runs it.
    ///
    /// # Errors
    ///
    /// A setting outside its range; an endpoint file that can't be read or is no list.
    pub fn build(self) -> Result<(Client, impl Future<Output = ()>), StartError> {
        let mut config = self.config;
        if config.seed == 0 {
            config.seed = entropy() | 1;
        }
        let (max_endpoints, max_open_calls) = (config.max_endpoints, config.max_open_calls);
        let (list, file) = match self.source {
            EndpointSource::List(list) => (list, None),
            EndpointSource::File(path) => {
                let (file, list) = EndpointFile::open(path, max_endpoints)?;
                (list, Some(file))
            }
        };
        let caller = Caller::new(config)?;
        let (commands, queue) = async_channel::unbounded();
        let shared = Arc::new(Shared::new(commands, max_open_calls));
        let driver = Driver::new(caller, self.client_number, file, Arc::downgrade(&shared));
        Ok((Client::new(shared), driver.run(list, queue)))
    }

    /// The client, on a thread of its own.
    ///
    /// # Errors
    ///
    /// As of [`ClientBuilder::build`]; no thread can be started.
    pub fn start(self) -> Result<Client, StartError> {
        let (sender, receiver) = async_channel::bounded(1);
        let run = move || match self.build() {
            Ok((client, task)) => {
                let _ = sender.try_send(Ok(client));
                async_io::block_on(task);
            }
            Err(error) => drop(sender.try_send(Err(error))),
        };
        let thread = std::thread::Builder::new().name("plovershelf-client".into());
        thread.spawn(run).map_err(StartError::Thread)?;
        receiver.recv_blocking().map_err(|_| StartError::ThreadEnded)?
    }
}
