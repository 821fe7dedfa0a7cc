//! The link with the agent that runs requests on its cores. The task connects again whenever the link breaks.
//!
//! | state of a link | left when |
//! | --- | --- |
//! | connecting | connected: subscribed; failed: retried after a pause that doubles each time |
//! | subscribed from the last notice read; the agent accepts no command yet | its greeting arrives: catching up |
//! | catching up: the agent sends the missed notices | the fence, which follows them, is answered: up |
//! | up: commands and notices flow | an error: connecting; the address changes: handing over |
//! | handing over: a successor is connected and no further commands are written | a second fence is answered, so all commands were read: the successor is subscribed |
//!
//! A fence is a sample with tag [`FENCE_TAG`]. If a link ends with an error, the agent may or may not have read its
//! last commands; the event loop then recovers.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf_codec::agent::{self, Notice};

use crate::event::{AgentEvent, Event};
use crate::limits::Limits;
use crate::streams::{recv_batch, with_timeout, write_all, ReadBuffer};

/// Tag of the fence sample, whose answer confirms that all earlier commands were read. The event loop's own tags
/// begin at 1.
const FENCE_TAG: u64 = 0;

/// Task that keeps the link with the agent.
pub(crate) struct AgentLinks {
    /// Address of the agent; it may change at runtime.
    pub(crate) address: Rc<Cell<SocketAddr>>,
    /// Signals that the address may have changed. The new link is then connected before the old one is closed.
    pub(crate) address_changed: Receiver<()>,
    pub(crate) events: Sender<Event>,
    pub(crate) limits: Rc<Limits>,
}

/// A connection and the address to which it was made.
struct Connected {
    stream: Async<TcpStream>,
    address: SocketAddr,
}

/// Progress that successive links share.
#[derive(Default)]
struct Progress {
    /// Number of the last notice that was passed on.
    last_read: u64,
    /// True once the agent has sent its greeting on the current link.
    is_greeted: bool,
}

impl AgentLinks {
    /// Keeps a link until the event queue is closed.
    pub(crate) async fn run(self) {
        let mut progress = Progress::default();
        let mut pause_ms = self.limits.min_reconnect_ms;
        let mut successor = None;
        loop {
            let before = progress.last_read;
            progress.is_greeted = false;
            let connected = match successor.take() {
                Some(connected) => Ok(connected),
                None => self.connect().await,
            };
            let was_connected = connected.is_ok();
            let ended = match connected {
                Ok(connected) => self.drive(connected, &mut progress).await,
                Err(error) => Err(error),
            };
            let down = AgentEvent::Down { all_commands_read: ended.is_ok() };
            if self.events.send(Event::Agent(down)).await.is_err() {
                return;
            }
            let last_read = progress.last_read;
            match ended {
                Ok(connected) => {
                    let address = self.address.get();
                    tracing::info!(
                        event = "agent_link_moved",
                        last_read,
                        "the agent's link moves to {address} after notice {last_read}"
                    );
                    successor = Some(connected);
                }
                Err(error) => {
                    log_end(was_connected, last_read, &error);
                    let made_progress = progress.is_greeted || last_read > before;
                    pause_ms = if made_progress { self.limits.min_reconnect_ms } else { pause_ms };
                    Timer::after(Duration::from_millis(pause_ms)).await;
                    pause_ms = (2 * pause_ms).min(self.limits.max_reconnect_ms);
                }
            }
        }
    }

    async fn connect(&self) -> io::Result<Connected> {
        let address = self.address.get();
        let connecting = Async::<TcpStream>::connect(address);
        Ok(Connected { stream: with_timeout(self.limits.connect_timeout_ms, connecting).await?, address })
    }

    /// Connects to the agent's new address once the address differs from `from`.
    async fn connect_to_new_address(&self, from: SocketAddr) -> Connected {
        loop {
            while self.address.get() == from {
                if self.address_changed.recv().await.is_err() {
                    future::pending::<()>().await;
                }
            }
            match self.connect().await {
                Ok(connected) => return connected,
                Err(error) => tracing::debug!(
                    event = "agent_connect_failed",
                    "connecting to the agent's new address: {error}"
                ),
            }
            Timer::after(Duration::from_millis(self.limits.min_reconnect_ms)).await;
        }
    }

    /// Drives one link until it ends. Returns its successor's connection after a handover, or an error.
    async fn drive(&self, connected: Connected, progress: &mut Progress) -> io::Result<Connected> {
        let Connected { stream, address } = connected;
        let (events, limits) = (&self.events, &*self.limits);
        let successor = self.connect_to_new_address(address);
        drive_link(&stream, successor, progress, events, limits).await
    }
}

fn log_end(was_connected: bool, last_read: u64, error: &io::Error) {
    if was_connected {
        tracing::warn!(
            event = "agent_link_ended",
            last_read,
            "the agent's link ended after notice {last_read}: {error}"
        );
    } else {
        tracing::debug!(event = "agent_connect_failed", "connecting to the agent: {error}");
    }
}

fn protocol_error(message: impl Into<String>) -> io::Error {
    io::Error::other(message.into())
}

async fn drive_link(
    stream: &Async<TcpStream>,
    successor: impl Future<Output = Connected>,
    progress: &mut Progress,
    events: &Sender<Event>,
    limits: &Limits,
) -> io::Result<Connected> {
    stream.get_ref().set_nodelay(true)?;
    let (sender, commands) = async_channel::bounded::<Vec<u8>>(limits.command_queue);
    // The agent accepts no command until it is up, and only the fence until all missed notices have been read.
    write_all(stream, &agent::subscribe(progress.last_read), limits.write_timeout_ms).await?;
    let link = Link { stream, commands, is_up: Cell::new(false), limits };
    let next = RefCell::new(None);
    let follow = async {
        let connected = successor.await;
        *next.borrow_mut() = Some(connected);
        link.commands.close();
        // If no command could be written on this link, no fence is needed.
        if link.is_up.get() {
            future::pending::<()>().await;
        }
        Ok(())
    };
    let notices = NoticeReader::new(&link, sender, progress, events);
    future::or(notices.run(), future::or(link.write_commands(), follow)).await?;
    next.take().ok_or_else(|| protocol_error("the link ended without a successor"))
}

/// State that the reader and the writer of one link share.
struct Link<'a> {
    stream: &'a Async<TcpStream>,
    commands: Receiver<Vec<u8>>,
    /// True once all missed notices have arrived, so that commands may be written.
    is_up: Cell<bool>,
    limits: &'a Limits,
}

impl Link<'_> {
    async fn write_fence(&self) -> io::Result<()> {
        write_all(self.stream, &agent::sample(FENCE_TAG), self.limits.write_timeout_ms).await
    }

    /// Writes commands. When the queue is closed, writes the final fence and fails if its answer doesn't come within
    /// the handover timeout.
    async fn write_commands(&self) -> io::Result<()> {
        while let Some(bytes) = recv_batch(&self.commands).await {
            write_all(self.stream, &bytes, self.limits.write_timeout_ms).await?;
        }
        if self.is_up.get() {
            self.write_fence().await?;
            Timer::after(Duration::from_millis(self.limits.handover_timeout_ms)).await;
            return Err(protocol_error("no answer to the final fence in time"));
        }
        future::pending().await
    }
}

/// The agent's greeting.
#[derive(Clone, Copy)]
struct Greeting {
    fresh: bool,
    uptime_ms: f64,
}

/// Effect of a notice on its link.
enum NoticeEffect {
    /// The link continues; the event, if any, is passed on.
    Continue(Option<AgentEvent>),
    /// The agent has read all commands of this link, and its successor takes over.
    HandedOver,
}

/// Reader of the notices of one link.
struct NoticeReader<'a> {
    link: &'a Link<'a>,
    progress: &'a mut Progress,
    events: &'a Sender<Event>,
    greeting: Option<Greeting>,
    /// True if notices were lost before the link was up.
    missed_notices: bool,
    /// Sender of the command queue, until it is passed to the event loop.
    sender: Option<Sender<Vec<u8>>>,
}

impl<'a> NoticeReader<'a> {
    fn new(
        link: &'a Link<'a>,
        sender: Sender<Vec<u8>>,
        progress: &'a mut Progress,
        events: &'a Sender<Event>,
    ) -> Self {
        let (greeting, missed_notices, sender) = (None, false, Some(sender));
        NoticeReader { link, progress, events, greeting, missed_notices, sender }
    }

    /// Passes notices on until the link ends or is handed over.
    async fn run(mut self) -> io::Result<()> {
        let limits = self.link.limits;
        let mut buffer = ReadBuffer::new(limits.max_line_bytes, limits.read_chunk_bytes);
        loop {
            let decoded = agent::decode_first(buffer.bytes(), limits.max_body_bytes);
            let Some((notice, used)) = decoded.map_err(|error| protocol_error(error.to_string()))? else {
                if !buffer.fill(self.link.stream).await? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                continue;
            };
            let number = notice_number(&notice);
            let NoticeEffect::Continue(event) = self.handle_notice(notice).await? else { return Ok(()) };
            buffer.consume(used);
            if let Some(event) = event {
                let sent = self.events.send(Event::Agent(event)).await;
                sent.map_err(|_| protocol_error("the program is exiting"))?;
            }
            // Updated only after the event is queued: if the link ends while an event waits for the queue, the next
            // link must request its notice again.
            self.progress.last_read = self.progress.last_read.max(number.unwrap_or(0));
        }
    }

    async fn handle_notice(&mut self, notice: Notice<'_>) -> io::Result<NoticeEffect> {
        let last_read = self.progress.last_read;
        // Notices arrive in order, so a gap means lost notices. While a link is up the agent may skip numbers.
        self.missed_notices |= !self.link.is_up.get() && follows_gap(&notice, last_read);
        let is_new = notice_number(&notice).is_none_or(|number| is_new_notice(number, last_read));
        let event = match notice {
            Notice::Greeting { fresh, uptime_ms } => {
                self.handle_greeting(Greeting { fresh, uptime_ms }).await?;
                None
            }
            Notice::RunEnded { id, over, result, .. } => {
                Some(AgentEvent::RunEnded { id, result: over, body: result.to_vec() })
            }
            Notice::CallRequested { id, call, .. } => {
                Some(AgentEvent::CallRequested { id, call: call.to_vec() })
            }
            Notice::Sampled { tag, gauges } => return self.handle_sample(tag, gauges),
            Notice::CommandRejected { command, about } => Some(AgentEvent::CommandRejected {
                command: String::from_utf8_lossy(command).into_owned(),
                argument: about.to_vec(),
            }),
            Notice::Skipped { .. } => None,
        };
        Ok(NoticeEffect::Continue(event.filter(|_| is_new)))
    }

    async fn handle_greeting(&mut self, greeting: Greeting) -> io::Result<()> {
        if self.greeting.is_some() {
            return Err(protocol_error("the agent greeted twice"));
        }
        self.progress.is_greeted = true;
        self.greeting = Some(greeting);
        self.link.write_fence().await
    }

    fn handle_sample(&mut self, tag: &[u8], gauges: Vec<f64>) -> io::Result<NoticeEffect> {
        let tag = std::str::from_utf8(tag).ok().and_then(|tag| tag.parse().ok());
        let Some(tag) = tag else { return Err(protocol_error("a sample with an unknown tag")) };
        match (tag, self.greeting, self.sender.take()) {
            (FENCE_TAG, Some(Greeting { fresh, uptime_ms }), Some(commands)) => {
                self.link.is_up.set(true);
                let missed_notices = self.missed_notices;
                let up = AgentEvent::Up { fresh, uptime_ms, commands, missed_notices };
                Ok(NoticeEffect::Continue(Some(up)))
            }
            (FENCE_TAG, ..) if self.link.commands.is_closed() => Ok(NoticeEffect::HandedOver),
            (tag, _, sender) => {
                self.sender = sender;
                Ok(NoticeEffect::Continue(Some(AgentEvent::Sampled { tag, gauges })))
            }
        }
    }
}

/// Returns the number of a notice, if it has one.
fn notice_number(notice: &Notice<'_>) -> Option<u64> {
    match notice {
        Notice::RunEnded { number, .. }
        | Notice::CallRequested { number, .. }
        | Notice::Skipped { number } => Some(*number),
        _ => None,
    }
}

/// Returns whether notices before this one are missing.
fn follows_gap(notice: &Notice<'_>, last_read: u64) -> bool {
    notice_number(notice).is_some_and(|number| number > last_read.saturating_add(1))
}

/// Returns whether a notice is new. Repeated notices are ignored.
fn is_new_notice(number: u64, last_read: u64) -> bool {
    if number > last_read.saturating_add(1) {
        tracing::warn!(
            event = "notices_lost",
            last_read,
            number,
            "notices between {last_read} and {number} were never received"
        );
    }
    number > last_read
}

#[cfg(test)]
mod tests;
