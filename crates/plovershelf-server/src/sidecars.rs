//! Connections of sidecars: accepting them, frames in, frames out.

use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt};
use plovershelf_codec::front;

use crate::limits::Limits;
use crate::messages::{written, Event, Outbox};
use crate::streams::{gather, within, write_all, Inflow};

/// Accepts until the listener's owner drops the task. `slots` is held by each connection: its count tells
/// how many there are.
pub async fn accept(
    executor: &LocalExecutor<'static>,
    listener: Async<TcpListener>,
    slots: Rc<()>,
    inbox: Sender<Event>,
    limits: Rc<Limits>,
) {
    let unwritten_all = Rc::new(Cell::new(0));
    for number in 0.. {
        while Rc::strong_count(&slots) > limits.connections {
            let why = format!("{} connections are open", limits.connections);
            if inbox.send(Event::Crowded { why }).await.is_err() {
                return;
            }
            Timer::after(Duration::from_millis(limits.accept_rest_ms)).await;
        }
        let stream = loop {
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(error) => {
                    let _ = inbox.send(Event::Crowded { why: format!("accepting: {error}") }).await;
                    Timer::after(Duration::from_millis(limits.accept_rest_ms)).await;
                }
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Rc::new(stream);
        let (outbox, frames) = Outbox::new(Some(stream.clone()), unwritten_all.clone(), &limits);
        let (unwritten, all) = (outbox.unwritten.clone(), unwritten_all.clone());
        let deaf = outbox.deaf.clone();
        if inbox.send(Event::Opened { connection: number, outbox }).await.is_err() {
            return;
        }
        let (reads, read_over) = async_channel::bounded::<()>(1);
        let (writing, held, ignored, own) = (stream.clone(), slots.clone(), deaf.clone(), limits.clone());
        let write = async move {
            write_frames(&writing, frames, &unwritten, &all, own.stall_ms).await;
            if ignored.get() {
                // A peer that still writes would lose the last answer if this side just closed.
                let _ = writing.get_ref().shutdown(std::net::Shutdown::Write);
                let _ = within(own.linger_ms, async { Ok(read_over.recv().await) }).await;
            }
            let _ = writing.get_ref().shutdown(std::net::Shutdown::Both);
            written(&unwritten, &all, usize::MAX);
            drop(held);
        };
        executor.spawn(write).detach();
        let (inbox, limits) = (inbox.clone(), limits.clone());
        let read = async move {
            let garbled = read_frames(&stream, number, &deaf, &inbox, &limits).await;
            if inbox.send(Event::Ended { connection: number, garbled }).await.is_ok() && garbled.is_some() {
                throw_away(&stream, &limits).await;
            }
            drop((stream, reads));
        };
        executor.spawn(read).detach();
    }
}

/// Reads what nobody wants, up to a bound, until the connection ends.
async fn throw_away(mut stream: &Async<TcpStream>, limits: &Limits) {
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
    stream: &Async<TcpStream>,
    connection: u64,
    deaf: &Cell<bool>,
    inbox: &Sender<Event>,
    limits: &Limits,
) -> Option<&'static str> {
    let mut inflow = Inflow::new(4 + limits.frame_bytes, limits.read_bytes);
    let mut whole_by = Some(Instant::now() + Duration::from_millis(limits.whole_ms));
    loop {
        if deaf.get() {
            return Some("more came after what was wrong");
        }
        match front::frame_length(inflow.bytes(), limits.frame_bytes) {
            Ok(Some(length)) if inflow.bytes().len() >= 4 + length => {
                let frame = inflow.bytes()[4..4 + length].to_vec();
                inflow.used(4 + length);
                whole_by = None;
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
                    None => return Some("no whole message came in time"),
                }
            }
            Err(what) => return Some(what),
        }
    }
}

/// Writes frames in order until there are no more or the peer takes none for too long.
async fn write_frames(
    stream: &Async<TcpStream>,
    frames: Receiver<Vec<u8>>,
    unwritten: &Cell<usize>,
    all: &Cell<usize>,
    stall_ms: u64,
) {
    while let Some(bytes) = gather(&frames).await {
        if write_all(stream, &bytes, stall_ms).await.is_err() {
            return;
        }
        written(unwritten, all, bytes.len());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::Unwritten;

    #[test]
    fn a_peer_that_takes_nothing_ends_its_writer() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let near = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        let (_far, _) = listener.accept().expect("its other end");
        let stream = Async::new(near).expect("a stream");
        let limits =
            Limits { unwritten_each: usize::MAX, unwritten_bytes: usize::MAX, ..Limits::of(64.0, 64) };
        let (outbox, frames) = Outbox::new(None, Rc::default(), &limits);
        (0..64).for_each(|_| outbox.push(vec![0; 1 << 20]).expect("room"));
        let (unwritten, all) = (outbox.unwritten.clone(), outbox.unwritten_all.clone());
        async_io::block_on(write_frames(&stream, frames, &unwritten, &all, 50));
        assert!(outbox.waits() > 0);
        assert_eq!(outbox.push(vec![0]), Err(Unwritten::Here));
    }
}
