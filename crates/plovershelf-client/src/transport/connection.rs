//! One connection: frames in, frames out, until either side ends it.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_codec::front::{client as codec, FrameError};

use crate::caller::ConnectionId;

/// The longest frame that a backend may send: a result of 4 KiB, its signals, and reserve.
const MAX_FRAME_BYTES: usize = 16 << 10;
const READ_BYTES: usize = 4 << 10;

/// Why what came on a connection can't be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum MalformedStream {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the connection ends inside a frame")]
    Truncated,
}

/// What a connection reports to the task that owns the caller.
pub(super) enum Event {
    Connected(ConnectionId),
    ConnectFailed(ConnectionId),
    /// A whole frame without its length.
    Frame(ConnectionId, Vec<u8>),
    Closed {
        connection: ConnectionId,
        /// What was wrong with the last bytes, if anything.
        malformed: Option<MalformedStream>,
    },
}

/// Frames to write, and how many bytes of them are not written yet.
pub(super) struct Outgoing {
    pub(super) frames: Receiver<Vec<u8>>,
    pub(super) unwritten: Rc<Cell<usize>>,
}

/// Serves one connection; dropping the future ends it.
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

/// Writes frames. It never ends: what the peer wrote before it closed is read first.
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

/// Reports whole frames until the connection ends; hands back what is wrong with bytes that are none.
async fn read(
    stream: &Async<TcpStream>,
    connection: ConnectionId,
    events: &Sender<Event>,
) -> Option<MalformedStream> {
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let mut used = 0;
        loop {
            match codec::decode_first(&bytes[used..], MAX_FRAME_BYTES) {
                Ok(Some((frame, length))) => {
                    if events.send(Event::Frame(connection, frame.to_vec())).await.is_err() {
                        return None;
                    }
                    used += length;
                }
                Ok(None) => break,
                Err(error) => return Some(error.into()),
            }
        }
        bytes.drain(..used);
        if bytes.is_empty() && bytes.capacity() > MAX_FRAME_BYTES {
            bytes = Vec::new();
        }
        let kept = bytes.len();
        bytes.resize(kept + READ_BYTES, 0);
        let got: io::Result<usize> = (&mut &*stream).read(&mut bytes[kept..]).await;
        bytes.truncate(kept + got.as_ref().copied().unwrap_or(0));
        match got {
            Ok(count) if count > 0 => {}
            _ if !bytes.is_empty() => return Some(MalformedStream::Truncated),
            _ => return None,
        }
    }
}
