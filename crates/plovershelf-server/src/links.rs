//! Links between processes: one outgoing link to each peer, and incoming links from peers.
//!
//! A link transfers frames in one direction only, except for the answer to a question. Frames may get lost, as on a
//! network: if a full queue or a broken link drops them, the state machines that need them send them again.
//!
//! | outgoing link | left when |
//! | --- | --- |
//! | none | `send` is called: connecting, unless the last link broke less than `RECONNECT_PAUSE_MS` ago |
//! | connecting, open | idle past the limit: none, and the next `send` reconnects at once; an error: broken |
//! | broken | the reconnect pause has passed: none |

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

/// Bounds on the number of links and their idle time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkLimits {
    /// Maximum number of outgoing links. A further one replaces the link that has been idle longest.
    pub(crate) max_outgoing: usize,
    /// Maximum number of incoming links; further ones are refused.
    pub(crate) max_incoming: usize,
    /// Time without a frame after which an outgoing link is closed, in milliseconds. Incoming links get twice this time.
    pub(crate) idle_timeout_ms: u64,
}

/// Enough links for the members that one member of a cluster communicates with.
pub(crate) const CLUSTER_LINKS: LinkLimits =
    LinkLimits { max_outgoing: 64, max_incoming: 256, idle_timeout_ms: 30_000 };

/// An event of an incoming link.
pub enum LinkEvent {
    /// A peer has sent a message.
    Message {
        /// The decoded message.
        wire: Box<Wire>,
        /// True if the sender runs on this machine.
        is_local: bool,
        /// Takes the answer if the message is a question.
        answer: Sender<Answer>,
    },
    /// A peer has sent malformed data or belongs to another cluster; one line of text.
    PeerError(String),
}

/// Returns a monotonic time in milliseconds that includes the time for which the machine was suspended, so that a
/// lease has expired after a resume.
pub fn now_ms() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

/// Maximum number of frames queued for one outgoing link; further ones are dropped.
const QUEUED_FRAMES: usize = 64;
/// Timeout for connecting an outgoing link, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Timeout for writing the hello or one frame to an outgoing link, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 2000;
/// Time in milliseconds for which a link that broke is not opened again.
const RECONNECT_PAUSE_MS: f64 = 100.0;

struct OutgoingLink {
    frames: Sender<Vec<u8>>,
    used_ms: f64,
    /// True if the link ended because it was idle, so that a new one may be opened at once.
    was_idle: Rc<Cell<bool>>,
}

/// The outgoing links of a process.
pub(crate) struct OutgoingLinks {
    executor: &'static LocalExecutor<'static>,
    limits: LinkLimits,
    hello: Vec<u8>,
    /// Addresses that replace the ones that members announce, by member name.
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

    /// Queues a frame for the link of an address, and opens the link if there is none. The frame may get lost.
    pub(crate) fn send(&mut self, address: SocketAddr, name: Option<&str>, wire: &Wire) {
        let address = name.and_then(|name| self.routes.get(name)).copied().unwrap_or(address);
        let now_ms = now_ms();
        let Some(frame) = self.queue(address, encode_frame(wire), now_ms) else { return };
        self.broken_ms.retain(|_, broken_ms| now_ms - *broken_ms < RECONNECT_PAUSE_MS);
        if self.broken_ms.contains_key(&address) {
            return;
        }
        if self.links.len() >= self.limits.max_outgoing {
            self.close_longest_idle();
        }
        self.open(address, frame, now_ms);
    }

    /// Queues a frame if the link is open, or returns it.
    fn queue(&mut self, address: SocketAddr, frame: Vec<u8>, now_ms: f64) -> Option<Vec<u8>> {
        let Some(link) = self.links.get_mut(&address) else { return Some(frame) };
        match link.frames.try_send(frame) {
            Ok(()) => {
                link.used_ms = now_ms;
                None
            }
            // If the peer doesn't read, the newest frame is dropped; the queued ones serve as well.
            Err(TrySendError::Full(_)) => None,
            Err(TrySendError::Closed(frame)) => {
                if self.links.remove(&address).is_some_and(|link| !link.was_idle.get()) {
                    self.broken_ms.insert(address, now_ms);
                }
                Some(frame)
            }
        }
    }

    fn close_longest_idle(&mut self) {
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

/// Reason for which an outgoing link ended.
enum LinkEnd {
    /// The link was idle past the limit.
    Idle,
    Broken,
}

/// Connects, sends the hello, then writes frames until the link is idle or the peer stops reading.
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
        // The peer sends nothing on this link, so a completed read means that the link has ended.
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
