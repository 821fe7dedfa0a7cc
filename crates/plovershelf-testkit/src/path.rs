//! A network path between two processes: a relay on loopback that can be partitioned, slowed, made lossy, or made
//! to reset connections in the middle of a message.

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

/// How long a TCP stream takes to retransmit what was lost.
const RETRANSMIT_MS: f64 = 200.0;
/// How often a partitioned or refusing path looks whether that has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Faults in effect on a path.
#[derive(Clone, Debug, Default)]
pub struct PathFaults {
    /// Partitions in effect, as several faults may overlap; nothing passes while there is one.
    pub partitions: u32,
    /// Connections are refused and open ones end, as if the other process were gone.
    pub refuses: bool,
    /// Added latency.
    pub delay_ms: f64,
    /// Fraction of reads that are lost and arrive after the retransmission time.
    pub loss: f64,
    /// Bytes a millisecond; 0 for no bound.
    pub throttle: f64,
    /// Each change of this number resets open connections in the middle of what passes next.
    pub resets: u64,
}

/// A path to one listener.
pub struct NetworkPath {
    /// Where the path listens.
    pub address: SocketAddr,
    /// Faults in effect; a change applies to what passes next.
    pub faults: Rc<RefCell<PathFaults>>,
    _accepting: Task<()>,
}

impl NetworkPath {
    /// A path to a listener, also to one that is not there yet. The seed decides which reads are lost.
    ///
    /// Errors: as of binding a listener.
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

    /// Takes one partition away.
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
        if faults.borrow().refuses {
            continue;
        }
        connection_seed = connection_seed.wrapping_add(1);
        connections.push(executor.spawn(relay(stream, to, faults.clone(), connection_seed)));
    }
}

async fn relay(near: Async<TcpStream>, to: SocketAddr, faults: Rc<RefCell<PathFaults>>, seed: u64) {
    // A partition also hides the attempt to connect from the other side.
    until_healed(&faults).await;
    let Ok(far) = Async::<TcpStream>::connect(to).await else { return };
    let _ = near.get_ref().set_nodelay(true);
    let _ = far.get_ref().set_nodelay(true);
    let there = forward(&near, &far, &faults, seed);
    let back = forward(&far, &near, &faults, !seed);
    future::or(there, back).await;
}

async fn until_healed(faults: &RefCell<PathFaults>) {
    while faults.borrow().partitions > 0 {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Reads what comes next; 0 at the stream's end or once the path refuses connections.
async fn read_unless_refused(
    from: &Async<TcpStream>,
    bytes: &mut [u8],
    faults: &RefCell<PathFaults>,
) -> std::io::Result<usize> {
    let refused = async {
        while !faults.borrow().refuses {
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(0)
    };
    future::or((&mut &*from).read(bytes), refused).await
}

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
        let passed = if reset { count.div_ceil(2) } else { count };
        if (&mut &*to).write_all(&bytes[..passed]).await.is_err() || reset {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
