//! One connection: frames in, frames out, until either side ends it.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_codec::front::client;

use crate::caller::LinkId;

/// What a connection tells the task that owns the caller.
pub enum Event {
    Connected(LinkId),
    NotConnected(LinkId),
    /// A whole frame without its length.
    Frame(LinkId, Vec<u8>),
    Ended {
        link: LinkId,
        garbled: Option<String>,
    },
}

/// The longest frame that a backend may send: a result of 4 KiB, its words, and room.
const LONGEST_FRAME: usize = 16 << 10;
const READ_BYTES: usize = 4 << 10;

/// Serves one connection; dropping the task ends it.
pub async fn serve(
    link: LinkId,
    to: SocketAddr,
    frames: Receiver<Vec<u8>>,
    unwritten: Rc<Cell<usize>>,
    events: Sender<Event>,
) {
    let Ok(stream) = Async::<TcpStream>::connect(to).await else {
        let _ = events.send(Event::NotConnected(link)).await;
        return;
    };
    let _ = stream.get_ref().set_nodelay(true);
    if events.send(Event::Connected(link)).await.is_err() {
        return;
    }
    let write = async {
        while let Ok(mut bytes) = frames.recv().await {
            while let Ok(more) = frames.try_recv() {
                bytes.extend_from_slice(&more);
            }
            if (&stream).write_all(&bytes).await.is_err() {
                break;
            }
            unwritten.set(unwritten.get().saturating_sub(bytes.len()));
        }
        // What the peer still said before it ended is read first.
        future::pending::<()>().await;
        None
    };
    let garbled = future::or(read(&stream, link, &events), write).await;
    let _ = events.send(Event::Ended { link, garbled }).await;
}

/// Hands on whole frames until the connection ends; tells what is wrong where they can't be told apart.
async fn read(stream: &Async<TcpStream>, link: LinkId, events: &Sender<Event>) -> Option<String> {
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let mut used = 0;
        loop {
            match client::decode_first(&bytes[used..], LONGEST_FRAME) {
                Ok(Some((frame, length))) => {
                    if events.send(Event::Frame(link, frame.to_vec())).await.is_err() {
                        return None;
                    }
                    used += length;
                }
                Ok(None) => break,
                Err(error) => return Some(error.to_string()),
            }
        }
        bytes.drain(..used);
        if bytes.is_empty() && bytes.capacity() > LONGEST_FRAME {
            bytes = Vec::new();
        }
        let had = bytes.len();
        bytes.resize(had + READ_BYTES, 0);
        let got: io::Result<usize> = (&mut &*stream).read(&mut bytes[had..]).await;
        bytes.truncate(had + got.as_ref().copied().unwrap_or(0));
        match got {
            Ok(count) if count > 0 => {}
            _ if !bytes.is_empty() => return Some("the connection ends inside a frame".to_string()),
            _ => return None,
        }
    }
}
