//! A way between two processes that can be cut, slowed, made lossy or broken off in the middle of something.

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

/// What goes wrong on it. Cuts are counted, as several faults may hold one.
#[derive(Clone, Debug, Default)]
pub struct Trouble {
    pub cuts: u32,
    /// Connections are refused and those that there are end: the other side is gone, as a process is.
    pub refused: bool,
    pub delay_ms: f64,
    /// So much of what passes is lost and comes again after the span in which a stream makes that good.
    pub loss: f64,
    /// Bytes a millisecond; 0 for as many as pass.
    pub throttle: f64,
    /// Connections are broken off in the middle of what passes next, each as this number changes.
    pub breaks: u64,
}

/// How long a stream takes to make good what was lost.
const AGAIN_MS: f64 = 200.0;
const LOOK: Duration = Duration::from_millis(5);

pub struct Way {
    pub address: SocketAddr,
    pub trouble: Rc<RefCell<Trouble>>,
    _accepting: Task<()>,
}

impl Way {
    /// A way to a listener, also to one that is not there yet.
    ///
    /// Errors: as of binding a listener.
    pub fn start(executor: &Executor, to: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let address = free_address()?;
        let listener = Async::<TcpListener>::bind(address)?;
        let trouble: Rc<RefCell<Trouble>> = Rc::default();
        let (own, spawn) = (trouble.clone(), executor.clone());
        let accept = async move {
            let mut lines: Vec<Task<()>> = Vec::new();
            let mut number = seed;
            while let Ok((stream, _)) = listener.accept().await {
                lines.retain(|line| !line.is_finished());
                if own.borrow().refused {
                    continue;
                }
                number = number.wrapping_add(1);
                lines.push(spawn.spawn(pass(stream, to, own.clone(), number)));
            }
        };
        let _accepting = executor.spawn(accept);
        Ok(Way { address, trouble, _accepting })
    }

    pub fn cut(&self, cut: bool) {
        let mut trouble = self.trouble.borrow_mut();
        trouble.cuts = if cut { trouble.cuts + 1 } else { trouble.cuts.saturating_sub(1) };
    }
}

async fn pass(near: Async<TcpStream>, to: SocketAddr, trouble: Rc<RefCell<Trouble>>, seed: u64) {
    // While it is cut nothing reaches the other side, not even that somebody wants to.
    while trouble.borrow().cuts > 0 {
        Timer::after(LOOK).await;
    }
    let Ok(far) = Async::<TcpStream>::connect(to).await else { return };
    let _ = near.get_ref().set_nodelay(true);
    let _ = far.get_ref().set_nodelay(true);
    let there = forward(&near, &far, &trouble, seed);
    let back = forward(&far, &near, &trouble, !seed);
    future::or(there, back).await;
}

async fn forward(from: &Async<TcpStream>, to: &Async<TcpStream>, trouble: &RefCell<Trouble>, seed: u64) {
    let mut chance = Pcg32::seed_from_u64(seed);
    let mut bytes = vec![0; 16 << 10];
    let breaks = trouble.borrow().breaks;
    loop {
        let refused = async {
            while !trouble.borrow().refused {
                Timer::after(LOOK).await;
            }
            Ok(0)
        };
        let Ok(count) = future::or((&mut &*from).read(&mut bytes), refused).await else { return };
        if count == 0 {
            return;
        }
        while trouble.borrow().cuts > 0 {
            Timer::after(LOOK).await;
        }
        let (delay_ms, broken) = {
            let trouble = trouble.borrow();
            let lost = trouble.loss > 0.0 && chance.random::<f64>() < trouble.loss;
            let slow = if trouble.throttle > 0.0 { count as f64 / trouble.throttle } else { 0.0 };
            (trouble.delay_ms + slow + if lost { AGAIN_MS } else { 0.0 }, trouble.breaks != breaks)
        };
        if delay_ms > 0.0 {
            Timer::after(Duration::from_secs_f64(delay_ms / 1000.0)).await;
        }
        let whole = if broken { count.div_ceil(2) } else { count };
        if (&mut &*to).write_all(&bytes[..whole]).await.is_err() || broken {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
