//! Fake service registry, to which backends send heartbeats.

use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use crate::{free_address, Executor};

/// Size of the receive buffer; longer heartbeats are truncated.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Interval at which the registry checks whether it has been set down or up.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Handle on a running registry.
pub struct Registry {
    /// Address on which the registry receives heartbeats.
    pub address: SocketAddr,
    down: Rc<Cell<bool>>,
}

impl Registry {
    /// Starts a registry, which receives heartbeats and discards them.
    ///
    /// Errors: binding the socket fails.
    pub fn start(executor: &Executor) -> std::io::Result<Self> {
        let address = free_address()?;
        let down: Rc<Cell<bool>> = Rc::default();
        executor.spawn(receive(Async::<UdpSocket>::bind(address)?, down.clone())).detach();
        Ok(Registry { address, down })
    }

    /// Sets whether the registry is down; while it is down, its address refuses datagrams.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
    }
}

async fn receive(first: Async<UdpSocket>, down: Rc<Cell<bool>>) {
    let Ok(address) = first.get_ref().local_addr() else { return };
    let mut socket = Some(first);
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    loop {
        if down.get() {
            socket = None;
        } else if socket.is_none() {
            socket = Async::<UdpSocket>::bind(address).ok();
        }
        let pause = async {
            Timer::after(POLL_INTERVAL).await;
        };
        match &socket {
            Some(socket) => future::or(async { drop(socket.recv(&mut bytes).await) }, pause).await,
            None => pause.await,
        }
    }
}
