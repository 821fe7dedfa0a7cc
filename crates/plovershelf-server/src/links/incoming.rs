//! Incoming links: connections of members and of people.

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

/// A peer says who it is within this.
const HELLO_TIMEOUT_MS: u64 = 1000;
/// A question is answered within this: later than a proposal is at the latest, sooner than the command gives up waiting.
const ANSWER_TIMEOUT_MS: u64 = 8000;
/// Accepting pauses for this long after an error.
const ACCEPT_PAUSE_MS: u64 = 20;
/// What a link may hold beside one frame, and what one read takes.
const BUFFER_SLACK_BYTES: usize = 64;
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Accepts links until nobody receives their events any more.
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

/// Whether a peer is on this machine.
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
    /// Its count tells how many links there are.
    _slot: Rc<()>,
}

impl<T: From<LinkEvent>> IncomingLink<T> {
    /// Hands on messages until the link ends; reports what can't be read.
    async fn run(self) {
        if let Err(what) = self.read().await {
            let line = format!("{} {what}; its link is closed", self.peer);
            let _ = self.events.try_send(LinkEvent::PeerError(line).into());
        }
    }

    /// # Errors
    /// What the peer did wrong.
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
                if !self.hand_on(wire).await {
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

    /// Reads more; false where the link has come to its end.
    async fn fill(&self, buffer: &mut ReadBuffer, is_greeted: bool) -> bool {
        let timeout_ms = if is_greeted { 2 * self.idle_timeout_ms } else { HELLO_TIMEOUT_MS };
        let closed = async {
            self.events.closed().await;
            Ok(false)
        };
        let read = with_timeout(timeout_ms, buffer.fill(&self.stream));
        matches!(future::or(closed, read).await, Ok(true))
    }

    /// Hands a message on, and answers where it is a question; false where the link has come to its end.
    async fn hand_on(&self, wire: Wire) -> bool {
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
