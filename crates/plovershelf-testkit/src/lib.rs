//! Stand-ins on loopback for those that a backend talks to: an agent with cores, a ledger, a roster, and a plain caller to
//! compare with. Each is written from the protocol, can be told to misbehave, and keeps an account of what it saw, by
//! which trials judge: never by what the backend says of itself. All run on one thread's executor.

pub mod account;
pub mod agent;
pub mod backend;
pub mod cores;
pub mod ledger;
pub mod plain;
pub mod rig;
pub mod scripted;
pub mod sources;
pub mod tap;
pub mod way;
pub mod work;

use std::rc::Rc;
use std::time::Instant;

/// An address on loopback to listen on later. It stands on a host number of this process's own, from which no connection
/// is ever made, and no port is given twice, so that no other socket takes it. It is not tried out: a process that is being
/// started in that moment would hold it on for a while.
///
/// Errors: none here; callers bind it.
pub fn free_address() -> std::io::Result<std::net::SocketAddr> {
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    let process = std::process::id();
    let host = [127, 64 + (process >> 16 & 63) as u8, (process >> 8) as u8, (process as u8).max(1)];
    let port = 10_000 + NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % 50_000;
    Ok((host, port).into())
}

/// The executor that all stand-ins of a trial run on.
pub type Executor = Rc<async_executor::LocalExecutor<'static>>;

/// One clock for all of a trial, in milliseconds since it began.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Self {
        Clock(Instant::now())
    }
    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1000.0
    }
    pub fn at(&self, ms: f64) -> Instant {
        self.0 + std::time::Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }
}
