//! Heartbeats to the service registry, through which clients find this backend.

use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};

/// Sends a heartbeat every `interval` for as long as the program runs. The address may change at runtime. A lost
/// datagram is not sent again, as the next heartbeat replaces it.
pub(crate) async fn send_heartbeats(
    address: Rc<Cell<SocketAddr>>,
    name: String,
    draining: Rc<Cell<bool>>,
    interval: Duration,
) {
    loop {
        let is_ipv4 = address.get().is_ipv4();
        match bind_any(is_ipv4) {
            Ok(socket) => {
                while address.get().is_ipv4() == is_ipv4 {
                    let heartbeat = plovershelf_codec::registry::heartbeat(&name, draining.get());
                    if let Err(error) = socket.send_to(&heartbeat, address.get()).await {
                        tracing::debug!(event = "heartbeat_failed", "sending to the registry: {error}");
                    }
                    Timer::after(interval).await;
                }
            }
            Err(error) => {
                tracing::warn!(event = "heartbeat_failed", "no socket for the registry: {error}");
                Timer::after(interval).await;
            }
        }
    }
}

fn bind_any(is_ipv4: bool) -> io::Result<Async<UdpSocket>> {
    let any: SocketAddr =
        if is_ipv4 { (Ipv4Addr::UNSPECIFIED, 0).into() } else { (Ipv6Addr::UNSPECIFIED, 0).into() };
    Async::<UdpSocket>::bind(any)
}
