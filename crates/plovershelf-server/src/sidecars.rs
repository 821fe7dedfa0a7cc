//! Connections of sidecars: accepting them, frames in, frames out.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt};
use plovershelf_codec::front;
use socket2::{Domain, Protocol, Socket, Type};

use crate::connection::{Shared, Step};
use crate::limits::Limits;
use crate::messages::{written, Event, Outbox, ReadError};
use crate::streams::{gather, within, write_all, Inflow};

/// Listens there. While a predecessor still holds the address it is tried again, within the bound that limits set.
///
/// Errors: why it can't be listened on.
pub async fn listen(at: SocketAddr, limits: &Limits) -> Result<Async<TcpListener>, String> {
    let until = Instant::now() + Duration::from_millis(limits.listen_within_ms);
    let mut told = false;
    loop {
        match bind(at, limits.backlog) {
            Ok(listener) => return Ok(listener),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < until => {
                if !std::mem::replace(&mut told, true) {
                    tracing::warn!(
                        "{at} is held by another, it is tried again for {} ms",
                        limits.listen_within_ms
                    );
                }
            }
            Err(error) => return Err(format!("\"listen\": {at}: {error}")),
        }
        Timer::after(Duration::from_millis(limits.listen_rest_ms)).await;
    }
}

/// The standard library's listener with room for callers that all come back in one instant.
fn bind(at: SocketAddr, backlog: i32) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(backlog)?;
    Async::new(socket.into())
}

/// Accepts until `stop` says so; then takes what stands in the listen queue, so that no request that has come is cut
/// off, and ends. `slots` is held by each connection: its count tells how many there are.
pub async fn accept(
    executor: &'static LocalExecutor<'static>,
    listener: Async<TcpListener>,
    stop: Receiver<()>,
    slots: Rc<()>,
    inbox: Sender<Event>,
    limits: Rc<Limits>,
) {
    let unwritten_all = Rc::new(Cell::new(0));
    let stopped = || stop.is_closed();
    for number in 0.. {
        let full = || Rc::strong_count(&slots) > limits.connections;
        while full() && !stopped() {
            let open = Rc::strong_count(&slots);
            let why = format!("{} connections are open", limits.connections);
            if inbox.send(Event::Crowded { why, open }).await.is_err() {
                return;
            }
            Timer::after(Duration::from_millis(limits.accept_rest_ms)).await;
        }
        if full() {
            break;
        }
        let Some(stream) = next(&listener, &stop, &slots, &inbox, &limits).await else { break };
        let _ = stream.get_ref().set_nodelay(true);
        let shared = Shared::new(Some(stream), slots.clone());
        let (outbox, frames) = Outbox::new(shared.clone(), unwritten_all.clone(), &limits);
        let (unwritten, all) = (outbox.unwritten.clone(), unwritten_all.clone());
        if inbox.send(Event::Opened { connection: number, outbox }).await.is_err() {
            return;
        }
        let (reads, read_over) = async_channel::bounded::<()>(1);
        let (writing, own) = (shared.clone(), limits.clone());
        let write = async move {
            write_frames(&writing, frames, &unwritten, &all, own.stall_ms).await;
            writing.step(Step::LastWritten);
            // A peer that still writes would lose the last answer if this side just closed.
            let crowded = Rc::strong_count(&writing.slot) > own.crowd;
            let linger_ms = if crowded { own.linger_crowded_ms } else { own.linger_ms };
            let _ = within(linger_ms, async { Ok(read_over.recv().await) }).await;
            writing.step(Step::Drained);
            written(&unwritten, &all, usize::MAX);
        };
        executor.spawn(write).detach();
        let (inbox, limits) = (inbox.clone(), limits.clone());
        let read = async move {
            let error = read_frames(&shared, number, &inbox, &limits).await;
            let told = inbox.send(Event::Ended { connection: number, error }).await.is_ok();
            if told && error.is_some() {
                throw_away(&shared, &limits).await;
            }
            drop((shared, reads));
        };
        executor.spawn(read).detach();
    }
    drop(listener);
    let _ = inbox.send(Event::ListenerClosed).await;
}

/// The next connection; `None` when accepting is over and none is left in the listen queue.
async fn next(
    listener: &Async<TcpListener>,
    stop: &Receiver<()>,
    slots: &Rc<()>,
    inbox: &Sender<Event>,
    limits: &Limits,
) -> Option<Async<TcpStream>> {
    loop {
        if stop.is_closed() {
            return listener.get_ref().accept().ok().and_then(|(stream, _)| Async::new(stream).ok());
        }
        let come = async { Some(listener.accept().await) };
        let over = async {
            let _ = stop.recv().await;
            None
        };
        match future::or(come, over).await {
            Some(Ok((stream, _))) => return Some(stream),
            Some(Err(error)) => {
                let open = Rc::strong_count(slots);
                let _ = inbox.send(Event::Crowded { why: format!("accepting: {error}"), open }).await;
                Timer::after(Duration::from_millis(limits.accept_rest_ms)).await;
            }
            None => {}
        }
    }
}

/// Reads what nobody wants, up to a bound, until the connection ends.
async fn throw_away(shared: &Shared, limits: &Limits) {
    let Some(mut stream) = shared.stream() else { return };
    let mut bytes = vec![0; limits.read_bytes];
    let mut left = limits.linger_bytes;
    while left > 0 {
        match stream.read(&mut bytes).await {
            Ok(count) if count > 0 => left = left.saturating_sub(count),
            _ => return,
        }
        future::yield_now().await;
    }
    // Enough is enough: the rest is left unread until the writer ends the connection.
    Timer::after(Duration::from_millis(limits.linger_ms)).await;
}

/// Hands on frames until the connection ends; tells what is wrong if they can't be told apart any more, or do
/// not come in time: the first of a connection, and the rest of each that has begun.
async fn read_frames(
    shared: &Shared,
    connection: u64,
    inbox: &Sender<Event>,
    limits: &Limits,
) -> Option<ReadError> {
    let stream = shared.stream()?;
    let mut inflow = Inflow::new(4 + limits.frame_bytes, limits.read_bytes);
    let mut whole_by = Some(Instant::now() + Duration::from_millis(limits.whole_ms));
    loop {
        if !shared.phase().takes() {
            return Some(ReadError::AfterEnd);
        }
        shared.inside.set(!inflow.bytes().is_empty());
        match front::frame_length(inflow.bytes(), limits.frame_bytes) {
            Ok(Some(length)) if inflow.bytes().len() >= 4 + length => {
                let frame = inflow.bytes()[4..4 + length].to_vec();
                inflow.used(4 + length);
                whole_by = None;
                // Counted before it waits for the queue, so that its connection is not held to be idle.
                shared.waiting.set(shared.waiting.get() + 1);
                if inbox.send(Event::Frame { connection, frame }).await.is_err() {
                    return None;
                }
                // One that sends at full speed takes turns with the others.
                future::yield_now().await;
            }
            Ok(_) => {
                let begun = !inflow.bytes().is_empty();
                let span = Duration::from_millis(limits.whole_ms);
                let until = whole_by.or(begun.then(|| Instant::now() + span));
                whole_by = until;
                let late = async {
                    match until {
                        Some(until) => Timer::at(until).await,
                        None => future::pending().await,
                    };
                    None
                };
                match future::or(async { Some(inflow.fill(stream).await) }, late).await {
                    Some(Ok(true)) => {}
                    Some(_) => return None,
                    None => return Some(ReadError::Late),
                }
            }
            Err(error) => return Some(error.into()),
        }
    }
}

/// Writes frames in order until there are no more or the peer takes none for too long.
async fn write_frames(
    shared: &Shared,
    frames: Receiver<Vec<u8>>,
    unwritten: &Cell<usize>,
    all: &Cell<usize>,
    stall_ms: u64,
) {
    let Some(stream) = shared.stream() else { return };
    while let Some(bytes) = gather(&frames).await {
        if write_all(stream, &bytes, stall_ms).await.is_err() {
            shared.step(Step::Abort);
            return;
        }
        written(unwritten, all, bytes.len());
    }
}

#[cfg(test)]
mod tests;
