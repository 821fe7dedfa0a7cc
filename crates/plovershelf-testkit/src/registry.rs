//! A fake service registry: the address that backends send heartbeats to.

use std::net::{SocketAddr, UdpSocket};

use async_io::Async;

use crate::Executor;

/// Longest heartbeat that is read.
const MAX_DATAGRAM_BYTES: usize = 256;

/// A running registry.
pub struct Registry {
    /// Where it receives heartbeats.
    pub address: SocketAddr,
}

impl Registry {
    /// Starts a registry, which receives heartbeats and keeps none.
    ///
    /// Errors: as of binding a socket.
    pub fn start(executor: &Executor) -> std::io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?;
        let address = socket.get_ref().local_addr()?;
        let receive = async move {
            let mut bytes = [0; MAX_DATAGRAM_BYTES];
            while socket.recv(&mut bytes).await.is_ok() {}
        };
        executor.spawn(receive).detach();
        Ok(Registry { address })
    }
}
