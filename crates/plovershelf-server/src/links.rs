//! Links among processes: one outgoing link to each process that is talked to, frames in from those that talk to this one.
//!
//! A link carries frames one way, but for the answer to a question. Frames may get lost, as on a network: what a full queue
//! or a broken link loses is sent again by the state machines that need it.
//!
//! | outgoing link | left by |
//! | --- | --- |
//! | none | `send`: connecting, unless it broke a moment ago |
//! | connecting, open | idle for too long: none, and the next `send` opens it at once; an error: broken |
//! | broken | a pause: none |

mod incoming;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender, TrySendError};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf_cluster::status::Answer;
use plovershelf_cluster::wire::{encode_frame, Hello, Wire};

use crate::streams::{recv_batch, with_timeout, write_all};
pub(crate) use incoming::accept_links;

/// How many links there may be, and for how long one may be idle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkLimits {
    /// Outgoing links; the one idle for longest makes room.
    pub(crate) max_outgoing: usize,
    /// Incoming links; more are refused.
    pub(crate) max_incoming: usize,
    pub(crate) idle_timeout_ms: u64,
}

/// Enough for the members that one of a cluster talks to.
pub(crate) const CLUSTER_LINKS: LinkLimits =
    LinkLimits { max_outgoing: 64, max_incoming: 256, idle_timeout_ms: 30_000 };

/// What came over an incoming link.
pub enum LinkEvent {
    /// A message.
    Message {
        /// The message.
        wire: Box<Wire>,
        /// The sender is on this machine.
        is_local: bool,
        /// Takes the answer, where the message is a question.
        answer: Sender<Answer>,
    },
    /// Somebody sent what can't be read or belongs elsewhere, in one line.
    PeerError(String),
}

/// A clock that never goes back and goes on while the machine sleeps: so a lease is over when it wakes.
pub fn now_ms() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

/// Frames that wait for one link; more are dropped.
const QUEUED_FRAMES: usize = 64;
const CONNECT_TIMEOUT_MS: u64 = 500;
const WRITE_TIMEOUT_MS: u64 = 2000;
/// A link that broke is not opened again within this.
const RECONNECT_PAUSE_MS: f64 = 100.0;

struct OutgoingLink {
    frames: Sender<Vec<u8>>,
    used_ms: f64,
    /// It ended because it was idle, so the next may be opened at once.
    was_idle: Rc<Cell<bool>>,
}

/// The outgoing links of a process.
pub(crate) struct OutgoingLinks {
    executor: &'static LocalExecutor<'static>,
    limits: LinkLimits,
    hello: Vec<u8>,
    /// Addresses that take the place of those that members name, by name.
    routes: BTreeMap<String, SocketAddr>,
    /// Receives the address of each link that broke or could not be opened.
    broken: Option<Sender<SocketAddr>>,
    links: BTreeMap<SocketAddr, OutgoingLink>,
    broken_ms: BTreeMap<SocketAddr, f64>,
}

impl OutgoingLinks {
    pub(crate) fn new(
        executor: &'static LocalExecutor<'static>,
        cluster: &str,
        routes: BTreeMap<String, SocketAddr>,
        limits: LinkLimits,
        broken: Option<Sender<SocketAddr>>,
    ) -> Self {
        let hello = encode_frame(&Hello::of(cluster));
        let (links, broken_ms) = (BTreeMap::new(), BTreeMap::new());
        OutgoingLinks { executor, limits, hello, routes, broken, links, broken_ms }
    }

    /// Queues a frame for the link of its address, which is opened where there is none. It may get lost.
    pub(crate) fn send(&mut self, address: SocketAddr, name: Option<&str>, wire: &Wire) {
        let address = name.and_then(|name| self.routes.get(name)).copied().unwrap_or(address);
        let now_ms = now_ms();
        let Some(frame) = self.queue(address, encode_frame(wire), now_ms) else { return };
        self.broken_ms.retain(|_, broken_ms| now_ms - *broken_ms < RECONNECT_PAUSE_MS);
        if self.broken_ms.contains_key(&address) {
            return;
        }
        if self.links.len() >= self.limits.max_outgoing {
            self.close_idlest();
        }
        self.open(address, frame, now_ms);
    }

    /// Queues a frame where the link is open; else it comes back.
    fn queue(&mut self, address: SocketAddr, frame: Vec<u8>, now_ms: f64) -> Option<Vec<u8>> {
        let Some(link) = self.links.get_mut(&address) else { return Some(frame) };
        match link.frames.try_send(frame) {
            Ok(()) => {
                link.used_ms = now_ms;
                None
            }
            // A link whose peer reads nothing loses the newest: the older frames there are as good.
            Err(TrySendError::Full(_)) => None,
            Err(TrySendError::Closed(frame)) => {
                if self.links.remove(&address).is_some_and(|link| !link.was_idle.get()) {
                    self.broken_ms.insert(address, now_ms);
                }
                Some(frame)
            }
        }
    }

    fn close_idlest(&mut self) {
        let idlest = self.links.iter().min_by(|a, b| a.1.used_ms.total_cmp(&b.1.used_ms));
        if let Some(address) = idlest.map(|(address, _)| *address) {
            self.links.remove(&address);
        }
    }

    fn open(&mut self, address: SocketAddr, first_frame: Vec<u8>, now_ms: f64) {
        let (frames, queue) = async_channel::bounded(QUEUED_FRAMES);
        let _ = frames.try_send(first_frame);
        let (hello, broken) = (self.hello.clone(), self.broken.clone());
        let idle_timeout_ms = self.limits.idle_timeout_ms;
        let was_idle: Rc<Cell<bool>> = Rc::default();
        let idle = was_idle.clone();
        let link = async move {
            match (drive_link(address, hello, &queue, idle_timeout_ms).await, broken) {
                (LinkEnd::Idle, _) => idle.set(true),
                (LinkEnd::Broken, Some(broken)) => drop(broken.try_send(address)),
                (LinkEnd::Broken, None) => {}
            }
        };
        self.executor.spawn(link).detach();
        self.links.insert(address, OutgoingLink { frames, used_ms: now_ms, was_idle });
    }
}

/// How an outgoing link ended.
enum LinkEnd {
    /// It was not used for so long.
    Idle,
    Broken,
}

/// Connects, says who it is, then writes frames until there are none for long or nobody reads them.
async fn drive_link(
    address: SocketAddr,
    hello: Vec<u8>,
    frames: &Receiver<Vec<u8>>,
    idle_timeout_ms: u64,
) -> LinkEnd {
    let connecting = Async::<TcpStream>::connect(address);
    let Ok(stream) = with_timeout(CONNECT_TIMEOUT_MS, connecting).await else { return LinkEnd::Broken };
    let _ = stream.get_ref().set_nodelay(true);
    if write_all(&stream, &hello, WRITE_TIMEOUT_MS).await.is_err() {
        return LinkEnd::Broken;
    }
    loop {
        let next = async { recv_batch(frames).await.ok_or(LinkEnd::Idle) };
        let idle = async {
            Timer::after(Duration::from_millis(idle_timeout_ms)).await;
            Err(LinkEnd::Idle)
        };
        // The other side sends nothing on this link; when it ends, so does the link.
        let closed = async {
            let mut byte = [0; 1];
            let _ = futures_lite::AsyncReadExt::read(&mut &stream, &mut byte).await;
            Err(LinkEnd::Broken)
        };
        let bytes = match future::or(next, future::or(idle, closed)).await {
            Ok(bytes) => bytes,
            Err(end) => return end,
        };
        if write_all(&stream, &bytes, WRITE_TIMEOUT_MS).await.is_err() {
            return LinkEnd::Broken;
        }
    }
}

#[cfg(test)]
mod tests;
