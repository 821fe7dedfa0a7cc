//! Incoming links from members and from operators' commands.

use std::net::{IpAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Sender, TrySendError};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf_cluster::status::Answer;
use plovershelf_cluster::wire::{decode, encode_frame, read_frame, Hello, Wire, MAX_FRAME_BYTES};

use super::{LinkEvent, LinkLimits, WRITE_TIMEOUT_MS};
use crate::streams::{with_timeout, write_all, ReadBuffer};

/// Time within which a peer must send its hello.
const HELLO_TIMEOUT_MS: u64 = 1000;
/// Time within which a question is answered: more than a proposal takes at most, and less than the command waits.
const ANSWER_TIMEOUT_MS: u64 = 8000;
/// Pause after a failed accept.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Bytes that the buffer of a link may hold beyond one frame.
const BUFFER_SLACK_BYTES: usize = 64;
/// Maximum number of bytes per read.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Accepts links until the event queue is closed.
pub(crate) async fn accept_links<T: From<LinkEvent> + 'static>(
    executor: &'static LocalExecutor<'static>,
    listener: Async<TcpListener>,
    cluster: Rc<str>,
    events: Sender<T>,
    limits: LinkLimits,
) {
    let slots = Rc::new(());
    let own_address = listener.get_ref().local_addr().map(|address| address.ip()).ok();
    loop {
        let closed = async {
            events.closed().await;
            None
        };
        let Some(accepted) = future::or(closed, async { Some(listener.accept().await) }).await else {
            return;
        };
        match accepted {
            Ok((stream, peer)) if Rc::strong_count(&slots) <= limits.max_incoming => {
                let _ = stream.get_ref().set_nodelay(true);
                let link = IncomingLink {
                    stream,
                    peer: peer.ip(),
                    is_local: is_local(peer.ip(), own_address),
                    cluster: cluster.clone(),
                    events: events.clone(),
                    idle_timeout_ms: limits.idle_timeout_ms,
                    _slot: slots.clone(),
                };
                executor.spawn(link.run()).detach();
            }
            Ok(_) => {}
            Err(_) => drop(Timer::after(Duration::from_millis(ACCEPT_PAUSE_MS)).await),
        }
    }
}

/// Returns whether a peer runs on this machine.
fn is_local(peer: IpAddr, own_address: Option<IpAddr>) -> bool {
    let listens_on_loopback = own_address.is_some_and(|address| address.is_loopback());
    (peer.is_loopback() && listens_on_loopback) || own_address == Some(peer)
}

struct IncomingLink<T> {
    stream: Async<TcpStream>,
    peer: IpAddr,
    is_local: bool,
    cluster: Rc<str>,
    events: Sender<T>,
    idle_timeout_ms: u64,
    /// Cloned by each link; the reference count is the number of links.
    _slot: Rc<()>,
}

impl<T: From<LinkEvent>> IncomingLink<T> {
    /// Passes messages on until the link ends, and reports what can't be decoded.
    async fn run(self) {
        if let Err(message) = self.read().await {
            let line = format!("{} {message}; its link is closed", self.peer);
            let _ = self.events.try_send(LinkEvent::PeerError(line).into());
        }
    }

    /// # Errors
    /// Returns a description of the peer's fault.
    async fn read(&self) -> Result<(), String> {
        let mut buffer = ReadBuffer::new(MAX_FRAME_BYTES + BUFFER_SLACK_BYTES, READ_CHUNK_BYTES);
        let mut is_greeted = false;
        loop {
            let frame = read_frame(buffer.bytes()).map_err(|error| format!("sent {error}"))?;
            let Some((content, used)) = frame else {
                if !self.fill(&mut buffer, is_greeted).await {
                    return Ok(());
                }
                continue;
            };
            if is_greeted {
                let wire = decode::<Wire>(content).map_err(|error| format!("sent {error}"))?;
                if !self.forward(wire).await {
                    return Ok(());
                }
            } else {
                let hello = decode::<Hello>(content).map_err(|error| format!("sent {error}"))?;
                hello.check(&self.cluster).map_err(|error| error.to_string())?;
                is_greeted = true;
            }
            buffer.consume(used);
        }
    }

    /// Reads more bytes. Returns false if the link has ended.
    async fn fill(&self, buffer: &mut ReadBuffer, is_greeted: bool) -> bool {
        let timeout_ms = if is_greeted { 2 * self.idle_timeout_ms } else { HELLO_TIMEOUT_MS };
        let closed = async {
            self.events.closed().await;
            Ok(false)
        };
        let read = with_timeout(timeout_ms, buffer.fill(&self.stream));
        matches!(future::or(closed, read).await, Ok(true))
    }

    /// Passes a message on, and writes the answer if it is a question. Returns false if the link has ended.
    async fn forward(&self, wire: Wire) -> bool {
        let is_question = matches!(wire, Wire::Question(_));
        let (answer, answers) = async_channel::bounded::<Answer>(1);
        let message = LinkEvent::Message { wire: Box::new(wire), is_local: self.is_local, answer };
        match self.events.try_send(message.into()) {
            Ok(()) | Err(TrySendError::Full(_)) => {}
            Err(TrySendError::Closed(_)) => return false,
        }
        if !is_question {
            return true;
        }
        let answer = async { answers.recv().await.map_err(std::io::Error::other) };
        let answer = with_timeout(ANSWER_TIMEOUT_MS, answer).await;
        let answer = answer.unwrap_or_else(|_| Answer::Refused("no answer came in time".into()));
        write_all(&self.stream, &encode_frame(&Wire::Answer(Box::new(answer))), WRITE_TIMEOUT_MS)
            .await
            .is_ok()
    }
}
