//! Test peers on loopback for everything that a backend talks to, written from the protocols, with fault injection and
//! a ledger of effects by which trials judge: never by what the backend reports of itself. All run on one thread's
//! executor.
//!
//! - Peers: [`agent`] (executes requests on modelled [`cores`]), [`dependency`], [`registry`], [`basic_client`], [`recording_client`],
//!   [`scripted`] (played message by message by a test), [`origin_servers`] of configuration distribution.
//! - Judging: [`work`] (what a request asks for), [`effects`] (what was done), [`tap`] (what passed on the wire).
//! - Real processes: [`backend`] (one), [`fleet`] (several with their peers), [`cluster`] (paths and files of a cluster
//!   of them).
//! - Faults: [`path`] (a network path with faults), [`fault_injection`] (a schedule of faults on a fleet).

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
/// Number of ports that it returns before it begins again.
const PORTS: u16 = 50_000;

/// An address on loopback to listen on later.
///
/// Its host number is this process's own, from which no connection is ever made, and no port is returned twice, so that
/// no other socket takes it. It is not bound to try it out: a process that is being started in that moment would inherit
/// the socket and hold it for a while.
///
/// Errors: none here; callers bind it.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process = std::process::id();
    let host = [127, 64 + (process >> 16 & 63) as u8, (process >> 8) as u8, (process as u8).max(1)];
    let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
    Ok((host, port).into())
}

/// The executor that all peers of a trial run on.
pub type Executor = Rc<async_executor::LocalExecutor<'static>>;

/// One clock for all of a trial, in milliseconds since it began.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Milliseconds since it began.
    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a time of this clock.
    pub fn at(&self, ms: f64) -> Instant {
        self.0 + Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }
}
