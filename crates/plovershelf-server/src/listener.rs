//! Listens for clients and accepts their connections.
//!
//! Accepting ends in two steps, so that no received request is lost: when the event loop drops its end of `stop`, the
//! acceptor takes the connections that are already in the listen queue, and only then closes the listener.

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

/// Error of listening on the configured address.
#[derive(Debug, Error)]
#[error("\"listen\": {address}: {source}")]
pub(crate) struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Listens on an address. While another process uses the address, listening is retried until the configured timeout.
///
/// # Errors
/// Returns an error if the address can't be listened on.
pub(crate) async fn listen(address: SocketAddr, limits: &Limits) -> Result<Async<TcpListener>, ListenError> {
    let deadline = Instant::now() + Duration::from_millis(limits.listen_timeout_ms);
    let mut is_logged = false;
    loop {
        match bind(address, limits.listen_backlog) {
            Ok(listener) => return Ok(listener),
            Err(source) if source.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
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

/// Binds a listener with a larger backlog than the standard library's, because many clients may reconnect at the same
/// time.
fn bind(address: SocketAddr, backlog: i32) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Async::new(socket.into())
}

/// Stops the kernel from establishing further connections on a listener. Dropped connection attempts are retried by
/// their clients after a second, and are refused once the listener is closed. Without this filter a connection could
/// be established between the last check of the listen queue and the close, which would reset it although its client
/// may have sent a request. Systems without such a filter keep that race.
fn stop_handshakes(listener: &TcpListener) {
    #[cfg(target_os = "linux")]
    {
        /// A filter that drops all packets (`BPF_RET | BPF_K` with length 0).
        const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);
        let _ = SockRef::from(listener).attach_filter(&[DROP_ALL]);
    }
    #[cfg(not(target_os = "linux"))]
    let _ = listener;
}

/// Task that accepts connections and starts a reader and a writer for each.
pub(crate) struct Acceptor {
    pub(crate) executor: &'static LocalExecutor<'static>,
    pub(crate) listener: Async<TcpListener>,
    /// Closed by the event loop to end accepting.
    pub(crate) stop: Receiver<()>,
    /// Cloned by each connection; the reference count is the number of connections.
    pub(crate) slots: Rc<()>,
    pub(crate) events: Sender<Event>,
    pub(crate) limits: Rc<Limits>,
}

impl Acceptor {
    /// Accepts connections until `stop` is closed, then those left in the listen queue.
    pub(crate) async fn run(self) {
        let total_unwritten = Rc::new(Cell::new(0));
        let mut last_accept = None;
        for connection in 0.. {
            if !self.wait_for_slot(&mut last_accept).await {
                return;
            }
            if self.is_full() {
                break;
            }
            let Some(stream) = self.next().await else { break };
            if !self.start(connection, stream, total_unwritten.clone()).await {
                return;
            }
        }
        drop(self.listener);
        let _ = self.events.send(Event::ListenerClosed).await;
    }

    fn is_full(&self) -> bool {
        Rc::strong_count(&self.slots) > self.limits.max_connections
    }

    /// Waits until another connection is possible. While accepting ends, the wait is limited by the timeout of the
    /// listen queue. Returns false if the program is exiting.
    async fn wait_for_slot(&self, last_accept: &mut Option<Instant>) -> bool {
        while self.is_full() && !self.is_over(last_accept) {
            let reason = format!("{} connections are open", self.limits.max_connections);
            if !self.report_exhausted(reason).await {
                return false;
            }
            self.pause().await;
        }
        true
    }

    /// Returns whether accepting is ending and the timeout of the listen queue has passed. The timeout counts from
    /// the first call after `stop` is closed.
    fn is_over(&self, last_accept: &mut Option<Instant>) -> bool {
        let timeout = Duration::from_millis(self.limits.listen_queue_timeout_ms);
        self.stop.is_closed()
            && *last_accept.get_or_insert_with(|| Instant::now() + timeout) <= Instant::now()
    }

    async fn report_exhausted(&self, reason: String) -> bool {
        let open = Rc::strong_count(&self.slots);
        self.events.send(Event::ConnectionsExhausted { reason, open }).await.is_ok()
    }

    async fn pause(&self) {
        Timer::after(Duration::from_millis(self.limits.accept_pause_ms)).await;
    }

    /// Returns the next connection, or `None` once accepting has ended and the listen queue is empty.
    async fn next(&self) -> Option<Async<TcpStream>> {
        loop {
            if self.stop.is_closed() && broken::is(Broken::ListenQueueDropped) {
                return None;
            }
            if self.stop.is_closed() {
                // A connection that arrived between the last check and the close would be reset along with its
                // request.
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
                    self.report_exhausted(format!("accepting: {error}")).await;
                    self.pause().await;
                }
                None => {}
            }
        }
    }

    /// Returns the next connection of the listen queue, if there is one.
    fn accept_queued(&self) -> Option<Async<TcpStream>> {
        let (stream, _) = self.listener.get_ref().accept().ok()?;
        Async::new(stream).ok()
    }

    /// Starts the tasks of a connection. Returns false if the program is exiting.
    async fn start(
        &self,
        connection: ConnectionId,
        stream: Async<TcpStream>,
        total_unwritten: Rc<Cell<usize>>,
    ) -> bool {
        let _ = stream.get_ref().set_nodelay(true);
        let state = ConnectionState::new(Some(stream), self.slots.clone());
        let unwritten = UnwrittenBytes::sharing_total(total_unwritten);
        let (outbox, frames) = Outbox::new(state.clone(), unwritten.clone(), &self.limits);
        if self.events.send(Event::Connected { connection, outbox }).await.is_err() {
            return false;
        }
        // The reader drops this when it ends, and the writer lingers until then.
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
