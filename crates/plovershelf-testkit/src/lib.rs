//! Test peers on loopback for everything that a backend communicates with, implemented from the protocols, with fault
//! injection and a ledger of observed effects. Trials evaluate a backend by this ledger and never by what the backend
//! reports of itself. All peers run on the executor of one thread.
//!
//! - Peers: [`agent`] (executes requests on modelled [`cores`]), [`dependency`], [`registry`], [`basic_client`],
//!   [`recording_client`], [`scripted`] (driven message by message by a test), [`origin_servers`] of configuration
//!   distribution.
//! - Evaluation: [`work`] (work that a request asks for), [`effects`] (ledger of effects), [`tap`] (traffic counters).
//! - Real processes: [`backend`] (one backend), [`fleet`] (several backends with their peers), [`cluster`] (network paths
//!   and files of a cluster of backends).
//! - Faults: [`path`] (network path with faults), [`fault_injection`] (schedule of faults on a fleet).

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

pub mod agent;
pub mod backend;
pub mod basic_client;
pub mod cluster;
pub mod cores;
pub mod dependency;
pub mod effects;
pub mod fault_injection;
pub mod fleet;
mod framing;
pub mod origin_servers;
pub mod path;
pub mod recording_client;
pub mod registry;
pub mod scripted;
pub mod tap;
pub mod work;

/// First port that [`free_address`] returns.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that [`free_address`] returns before it starts again at [`FIRST_PORT`].
const PORTS: u16 = 50_000;

/// Returns an address on loopback to listen on later.
///
/// The host part is derived from this process's identifier, no outgoing connection uses that host, and no port is
/// returned twice before all 50,000 have been, so that no other socket takes the address. The function does not
/// bind the address to test it: a process started at that moment would inherit the socket and occupy the port.
///
/// Errors: none; the result type suits callers, which bind the address.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process = std::process::id();
    let host = [127, 64 + (process >> 16 & 63) as u8, (process >> 8) as u8, (process as u8).max(1)];
    let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
    Ok((host, port).into())
}

/// Executor that all peers of a trial run on.
pub type Executor = Rc<async_executor::LocalExecutor<'static>>;

/// Clock shared by all parts of a trial, in milliseconds since its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Returns the milliseconds since the start of the clock.
    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a time of this clock to an instant.
    pub fn at(&self, ms: f64) -> Instant {
        self.0 + Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }
}
