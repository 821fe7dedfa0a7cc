//! Network path between two processes: a relay on loopback on which partitions, latency, loss and connection resets in
//! the middle of a message can be injected.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{free_address, Executor};

/// Time that a TCP stream takes to retransmit lost data.
const RETRANSMIT_MS: f64 = 200.0;
/// Interval at which a path checks whether a partition has healed or refusal has begun.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Faults in effect on a network path.
#[derive(Clone, Debug, Default)]
pub struct PathFaults {
    /// Number of partitions in effect, as several faults may overlap; nothing is forwarded while there is any.
    pub partitions: u32,
    /// Whether new connections are closed and open ones ended, as if the other process had exited.
    pub refuse_connections: bool,
    /// Latency added to each read.
    pub delay_ms: f64,
    /// Fraction of reads that are lost and therefore forwarded after the retransmission time.
    pub loss: f64,
    /// Bandwidth in bytes per millisecond; 0 for no limit.
    pub throttle: f64,
    /// Number of resets injected; each change ends every open connection in the middle of the next forwarded bytes.
    pub resets: u64,
}

/// Network path to one listener.
pub struct NetworkPath {
    /// Address on which the path accepts connections.
    pub address: SocketAddr,
    /// Faults in effect; a change applies to the bytes forwarded next.
    pub faults: Rc<RefCell<PathFaults>>,
    _accepting: Task<()>,
}

impl NetworkPath {
    /// Starts a path to a listener, which need not exist yet. The seed decides which reads are lost.
    ///
    /// Errors: binding the path's own listener fails.
    pub fn start(executor: &Executor, to: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let address = free_address()?;
        let listener = Async::<TcpListener>::bind(address)?;
        let faults: Rc<RefCell<PathFaults>> = Rc::default();
        let accept = accept(listener, executor.clone(), to, faults.clone(), seed);
        let _accepting = executor.spawn(accept);
        Ok(NetworkPath { address, faults, _accepting })
    }

    /// Adds a partition.
    pub fn partition(&self) {
        self.faults.borrow_mut().partitions += 1;
    }

    /// Removes one partition.
    pub fn heal(&self) {
        let mut faults = self.faults.borrow_mut();
        faults.partitions = faults.partitions.saturating_sub(1);
    }
}

async fn accept(
    listener: Async<TcpListener>,
    executor: Executor,
    to: SocketAddr,
    faults: Rc<RefCell<PathFaults>>,
    seed: u64,
) {
    let mut connections: Vec<Task<()>> = Vec::new();
    let mut connection_seed = seed;
    while let Ok((stream, _)) = listener.accept().await {
        connections.retain(|connection| !connection.is_finished());
        if faults.borrow().refuse_connections {
            continue;
        }
        connection_seed = connection_seed.wrapping_add(1);
        connections.push(executor.spawn(relay(stream, to, faults.clone(), connection_seed)));
    }
}

async fn relay(downstream: Async<TcpStream>, to: SocketAddr, faults: Rc<RefCell<PathFaults>>, seed: u64) {
    // A partition also hides the connection attempt from the listener.
    until_healed(&faults).await;
    let Ok(upstream) = Async::<TcpStream>::connect(to).await else { return };
    let _ = downstream.get_ref().set_nodelay(true);
    let _ = upstream.get_ref().set_nodelay(true);
    let to_upstream = forward(&downstream, &upstream, &faults, seed);
    let to_downstream = forward(&upstream, &downstream, &faults, !seed);
    future::or(to_upstream, to_downstream).await;
}

async fn until_healed(faults: &RefCell<PathFaults>) {
    while faults.borrow().partitions > 0 {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Reads the next bytes; returns 0 at the end of the stream or once the path refuses connections.
async fn read_unless_refused(
    from: &Async<TcpStream>,
    bytes: &mut [u8],
    faults: &RefCell<PathFaults>,
) -> std::io::Result<usize> {
    let refused = async {
        while !faults.borrow().refuse_connections {
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(0)
    };
    future::or((&mut &*from).read(bytes), refused).await
}

/// Forwards bytes in one direction with the faults in effect, until either side or a fault ends the connection.
async fn forward(from: &Async<TcpStream>, to: &Async<TcpStream>, faults: &RefCell<PathFaults>, seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    let resets_at_start = faults.borrow().resets;
    loop {
        let Ok(count) = read_unless_refused(from, &mut bytes, faults).await else { return };
        if count == 0 {
            return;
        }
        until_healed(faults).await;
        let (delay_ms, reset) = {
            let faults = faults.borrow();
            let lost = faults.loss > 0.0 && random.random::<f64>() < faults.loss;
            let transfer_ms = if faults.throttle > 0.0 { count as f64 / faults.throttle } else { 0.0 };
            let retransmit_ms = if lost { RETRANSMIT_MS } else { 0.0 };
            (faults.delay_ms + transfer_ms + retransmit_ms, faults.resets != resets_at_start)
        };
        if delay_ms > 0.0 {
            Timer::after(Duration::from_secs_f64(delay_ms / 1000.0)).await;
        }
        let forwarded = if reset { count.div_ceil(2) } else { count };
        if (&mut &*to).write_all(&bytes[..forwarded]).await.is_err() || reset {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
