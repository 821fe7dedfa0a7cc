//! Reads and writes the frames of one connection until either side closes it.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_codec::front::{client as codec, FrameError};

use crate::caller::ConnectionId;

/// Longest frame that is accepted from a backend: a result of 4 KiB with its signals and a reserve.
const MAX_FRAME_BYTES: usize = 16 << 10;
/// Number of bytes that one read requests.
const READ_BYTES: usize = 4 << 10;

/// Reason why the received bytes are malformed.
#[derive(Debug, thiserror::Error)]
pub(super) enum MalformedStream {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the connection ended inside a frame")]
    Truncated,
}

/// Event of a connection, sent to the task that drives the state machine.
pub(super) enum Event {
    Connected(ConnectionId),
    ConnectFailed(ConnectionId),
    /// A complete frame without its length prefix.
    Frame(ConnectionId, Vec<u8>),
    Closed {
        connection: ConnectionId,
        /// Set if the peer sent malformed bytes.
        malformed: Option<MalformedStream>,
    },
}

/// Frames to write, and the number of their bytes that are not written yet.
pub(super) struct Outgoing {
    pub(super) frames: Receiver<Vec<u8>>,
    pub(super) unwritten: Rc<Cell<usize>>,
}

/// Opens and serves one connection. Dropping the future closes it.
pub(super) async fn serve(
    connection: ConnectionId,
    address: SocketAddr,
    outgoing: Outgoing,
    events: Sender<Event>,
) {
    let Ok(stream) = Async::<TcpStream>::connect(address).await else {
        let _ = events.send(Event::ConnectFailed(connection)).await;
        return;
    };
    let _ = stream.get_ref().set_nodelay(true);
    if events.send(Event::Connected(connection)).await.is_err() {
        return;
    }
    let malformed = future::or(read(&stream, connection, &events), write(&stream, outgoing)).await;
    let _ = events.send(Event::Closed { connection, malformed }).await;
}

/// Writes frames. The future never completes, not even after an error, so that the reader still gets
/// everything that the peer wrote before it closed the connection.
async fn write(stream: &Async<TcpStream>, outgoing: Outgoing) -> Option<MalformedStream> {
    let Outgoing { frames, unwritten } = outgoing;
    while let Ok(mut bytes) = frames.recv().await {
        while let Ok(more) = frames.try_recv() {
            bytes.extend_from_slice(&more);
        }
        if (&mut &*stream).write_all(&bytes).await.is_err() {
            break;
        }
        unwritten.set(unwritten.get().saturating_sub(bytes.len()));
    }
    future::pending().await
}

/// Reports complete frames until the connection ends. Returns the error if the peer sent malformed bytes.
async fn read(
    stream: &Async<TcpStream>,
    connection: ConnectionId,
    events: &Sender<Event>,
) -> Option<MalformedStream> {
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let mut consumed = 0;
        loop {
            match codec::decode_first(&bytes[consumed..], MAX_FRAME_BYTES) {
                Ok(Some((frame, length))) => {
                    if events.send(Event::Frame(connection, frame.to_vec())).await.is_err() {
                        return None;
                    }
                    consumed += length;
                }
                Ok(None) => break,
                Err(error) => return Some(error.into()),
            }
        }
        bytes.drain(..consumed);
        if bytes.is_empty() && bytes.capacity() > MAX_FRAME_BYTES {
            bytes = Vec::new();
        }
        let buffered = bytes.len();
        bytes.resize(buffered + READ_BYTES, 0);
        let read: io::Result<usize> = (&mut &*stream).read(&mut bytes[buffered..]).await;
        bytes.truncate(buffered + read.as_ref().copied().unwrap_or(0));
        match read {
            Ok(count) if count > 0 => {}
            _ if !bytes.is_empty() => return Some(MalformedStream::Truncated),
            _ => return None,
        }
    }
}
