//! A fake service registry: the address that backends send heartbeats to.

use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use crate::{free_address, Executor};

/// Longest heartbeat that is read.
const MAX_DATAGRAM_BYTES: usize = 256;

/// How often a registry that is down looks whether it is up again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running registry.
pub struct Registry {
    /// Where it receives heartbeats.
    pub address: SocketAddr,
    down: Rc<Cell<bool>>,
}

impl Registry {
    /// Starts a registry, which receives heartbeats and keeps none.
    ///
    /// Errors: as of binding a socket.
    pub fn start(executor: &Executor) -> std::io::Result<Self> {
        let address = free_address()?;
        let down: Rc<Cell<bool>> = Rc::default();
        executor.spawn(receive(Async::<UdpSocket>::bind(address)?, down.clone())).detach();
        Ok(Registry { address, down })
    }

    /// Down, its address refuses what is sent to it.
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
