//! Reports to the roster by which sidecars find this backend.

use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};

pub async fn keep_listed(
    address: Rc<Cell<SocketAddr>>,
    name: String,
    leaving: Rc<Cell<bool>>,
    every: Duration,
) {
    loop {
        let v4 = address.get().is_ipv4();
        let any: SocketAddr = if v4 { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
        match Async::<UdpSocket>::bind(any) {
            Ok(socket) => {
                while address.get().is_ipv4() == v4 {
                    let beat = plovershelf_codec::registry::heartbeat(&name, leaving.get());
                    // A beat that gets lost is made good by the next.
                    if let Err(error) = socket.send_to(&beat, address.get()).await {
                        tracing::debug!("reporting to the roster: {error}");
                    }
                    Timer::after(every).await;
                }
            }
            Err(error) => {
                tracing::warn!("no socket to report to the roster: {error}");
                Timer::after(every).await;
            }
        }
    }
}
