//! Listening for clients and accepting their connections.
//!
//! Accepting ends in two steps, so that no request that has come is cut off: once the event loop drops its end of `stop`,
//! the connections that stand in the listen queue are still accepted, and only then the listener closes.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use socket2::{Domain, Protocol, Socket, Type};
#[cfg(target_os = "linux")]
use socket2::{SockFilter, SockRef};
use thiserror::Error;

use crate::broken::{self, Broken};
use crate::client_io::{read_until_end, write_until_end};
use crate::connection_state::ConnectionState;
use crate::event::{ConnectionId, Event};
use crate::limits::Limits;
use crate::outbox::{Outbox, UnwrittenBytes};

/// The address can't be listened on.
#[derive(Debug, Error)]
#[error("\"listen\": {address}: {source}")]
pub(crate) struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Listens on an address. While a predecessor still holds it, it is tried again, within the bound that limits set.
///
/// # Errors
/// Why it can't be listened on.
pub(crate) async fn listen(address: SocketAddr, limits: &Limits) -> Result<Async<TcpListener>, ListenError> {
    let give_up_at = Instant::now() + Duration::from_millis(limits.listen_timeout_ms);
    let mut is_logged = false;
    loop {
        match bind(address, limits.listen_backlog) {
            Ok(listener) => return Ok(listener),
            Err(source) if source.kind() == io::ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                if !std::mem::replace(&mut is_logged, true) {
                    tracing::warn!(
                        event = "address_in_use",
                        "{address} is held by another, it is tried again for {} ms",
                        limits.listen_timeout_ms
                    );
                }
            }
            Err(source) => return Err(ListenError { address, source }),
        }
        Timer::after(Duration::from_millis(limits.listen_retry_ms)).await;
    }
}

/// The standard library's listener with a backlog for clients that all come back in one instant.
fn bind(address: SocketAddr, backlog: i32) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Async::new(socket.into())
}

/// No connection comes into being on a listener from now on: what asks for one is dropped, asks again after a second, and is refused
/// once the listener is closed. Without it a connection could come between the last look at the listen queue and the close, which
/// resets it though its peer may have sent a request. Where the system has no such filter, that moment stays.
fn stop_handshakes(listener: &TcpListener) {
    #[cfg(target_os = "linux")]
    {
        /// Accept no byte of any packet (`BPF_RET | BPF_K`, 0).
        const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);
        let _ = SockRef::from(listener).attach_filter(&[DROP_ALL]);
    }
    #[cfg(not(target_os = "linux"))]
    let _ = listener;
}

/// Accepts connections and runs a reader and a writer for each.
pub(crate) struct Acceptor {
    pub(crate) executor: &'static LocalExecutor<'static>,
    pub(crate) listener: Async<TcpListener>,
    /// Closed when accepting is to end.
    pub(crate) stop: Receiver<()>,
    /// Held by each connection: its count tells how many there are.
    pub(crate) slots: Rc<()>,
    pub(crate) events: Sender<Event>,
    pub(crate) limits: Rc<Limits>,
}

impl Acceptor {
    /// Accepts until `stop` is closed, then what stands in the listen queue.
    pub(crate) async fn run(self) {
        let unwritten_of_all = Rc::new(Cell::new(0));
        let mut last_accept = None;
        for connection in 0.. {
            if !self.wait_for_slot(&mut last_accept).await {
                return;
            }
            if self.is_full() {
                break;
            }
            let Some(stream) = self.next().await else { break };
            if !self.start(connection, stream, unwritten_of_all.clone()).await {
                return;
            }
        }
        drop(self.listener);
        let _ = self.events.send(Event::ListenerClosed).await;
    }

    fn is_full(&self) -> bool {
        Rc::strong_count(&self.slots) > self.limits.max_connections
    }

    /// Waits until one more connection is possible, and once accepting is to end no longer than what stands in the listen queue may
    /// wait; false where the program ends.
    async fn wait_for_slot(&self, last_accept: &mut Option<Instant>) -> bool {
        while self.is_full() && !self.is_over(last_accept) {
            let why = format!("{} connections are open", self.limits.max_connections);
            if !self.report_crowded(why).await {
                return false;
            }
            self.pause().await;
        }
        true
    }

    /// Whether accepting is to end and the time for the listen queue is over, which counts from the first call that finds the end.
    fn is_over(&self, last_accept: &mut Option<Instant>) -> bool {
        let timeout = Duration::from_millis(self.limits.listen_queue_timeout_ms);
        self.stop.is_closed()
            && *last_accept.get_or_insert_with(|| Instant::now() + timeout) <= Instant::now()
    }

    async fn report_crowded(&self, why: String) -> bool {
        let open = Rc::strong_count(&self.slots);
        self.events.send(Event::Crowded { why, open }).await.is_ok()
    }

    async fn pause(&self) {
        Timer::after(Duration::from_millis(self.limits.accept_pause_ms)).await;
    }

    /// The next connection; `None` when accepting is over and none is left in the listen queue.
    async fn next(&self) -> Option<Async<TcpStream>> {
        loop {
            if self.stop.is_closed() && broken::is(Broken::ListenQueueDropped) {
                return None;
            }
            if self.stop.is_closed() {
                // What comes between the last of the queue and the close would be reset with its request.
                return self.accept_queued().or_else(|| {
                    stop_handshakes(self.listener.get_ref());
                    self.accept_queued()
                });
            }
            let accepted = async { Some(self.listener.accept().await) };
            let stopped = async {
                let _ = self.stop.recv().await;
                None
            };
            match future::or(accepted, stopped).await {
                Some(Ok((stream, _))) => return Some(stream),
                Some(Err(error)) => {
                    self.report_crowded(format!("accepting: {error}")).await;
                    self.pause().await;
                }
                None => {}
            }
        }
    }

    /// The next connection of the listen queue, if there is one.
    fn accept_queued(&self) -> Option<Async<TcpStream>> {
        let (stream, _) = self.listener.get_ref().accept().ok()?;
        Async::new(stream).ok()
    }

    /// Starts the tasks of a connection; false where the program ends.
    async fn start(
        &self,
        connection: ConnectionId,
        stream: Async<TcpStream>,
        unwritten_of_all: Rc<Cell<usize>>,
    ) -> bool {
        let _ = stream.get_ref().set_nodelay(true);
        let state = ConnectionState::new(Some(stream), self.slots.clone());
        let unwritten = UnwrittenBytes::beside(unwritten_of_all);
        let (outbox, frames) = Outbox::new(state.clone(), unwritten.clone(), &self.limits);
        if self.events.send(Event::Connected { connection, outbox }).await.is_err() {
            return false;
        }
        // Dropped by the reader: the writer lingers until then.
        let (reader_runs, reader_ended) = async_channel::bounded::<()>(1);
        let writer = write_until_end(state.clone(), frames, unwritten, reader_ended, self.limits.clone());
        self.executor.spawn(writer).detach();
        let (events, limits) = (self.events.clone(), self.limits.clone());
        let reader = async move {
            read_until_end(&state, connection, &events, &limits).await;
            drop((state, reader_runs));
        };
        self.executor.spawn(reader).detach();
        true
    }
}

#[cfg(test)]
mod tests;
