//! Builds a client from its endpoints and settings.

use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::caller::Caller;
use crate::client::{Client, Shared};
use crate::config::{ClientConfig, ConfigError};
use crate::endpoint_list::EndpointList;
use crate::transport::{entropy, Driver, EndpointFile, EndpointFileError};

/// Reason why a client could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting is outside its range.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The endpoint file cannot be read or is not a valid list.
    #[error(transparent)]
    EndpointFile(#[from] EndpointFileError),
    /// The client's thread could not be spawned.
    #[error("cannot spawn the client thread: {0}")]
    Thread(#[source] std::io::Error),
    /// The client's thread ended before it had built the client.
    #[error("the client thread ended before the client was built")]
    ThreadEnded,
}

/// Source of the endpoint list.
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
    /// Creates a builder without endpoints and with the default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the endpoints. Replaces an endpoint file set earlier.
    pub fn endpoints(mut self, endpoints: &[SocketAddr]) -> Self {
        self.source = EndpointSource::List(EndpointList::from_addresses(endpoints));
        self
    }

    /// Sets a file that lists the endpoints, one address per line. The client reloads it when it changes and
    /// keeps the previous list if the file cannot be read or is not a valid list.
    pub fn endpoint_file(mut self, path: impl AsRef<Path>) -> Self {
        self.source = EndpointSource::File(path.as_ref().to_path_buf());
        self
    }

    /// Sets the number that identifies this client to the backends. Default: 0.
    pub fn client_number(mut self, number: u32) -> Self {
        self.client_number = number;
        self
    }

    /// Replaces the settings.
    pub fn config(mut self, config: ClientConfig) -> Self {
        self.config = config;
        self
    }

    /// Returns the client and the future that the host program must run for it. The future ends after
    /// [`Client::close`] or when the last handle is dropped. It is not `Send`.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is outside its range, or if the endpoint file cannot be read or is not a
    /// valid list.
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

    /// Returns the client and runs its task on a new thread.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ClientBuilder::build`], or an error if the thread cannot be spawned.
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
