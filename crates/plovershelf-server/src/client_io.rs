//! Reading and writing of one client's connection.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{future, AsyncReadExt};
use plovershelf_codec::front::{self, LENGTH_BYTES};

use crate::connection_state::{ConnectionState, PhaseEvent};
use crate::event::{ConnectionId, Event, ReadError};
use crate::limits::Limits;
use crate::outbox::UnwrittenBytes;
use crate::streams::{recv_batch, with_timeout, write_all, ReadBuffer};

/// Reads frames until the connection ends, and what comes after them is discarded, up to a bound.
pub(crate) async fn read_until_end(
    state: &ConnectionState,
    connection: ConnectionId,
    events: &Sender<Event>,
    limits: &Limits,
) {
    let error = read_frames(state, connection, events, limits).await;
    let is_reported = events.send(Event::Disconnected { connection, error }).await.is_ok();
    if is_reported && error.is_some() {
        discard_input(state, limits).await;
    }
}

/// Hands on frames until the connection ends. Returns what is wrong where frames can't be told apart any more or do not
/// come in time: the first of a connection, and the rest of each that has begun.
async fn read_frames(
    state: &ConnectionState,
    connection: ConnectionId,
    events: &Sender<Event>,
    limits: &Limits,
) -> Option<ReadError> {
    let stream = state.stream()?;
    let timeout = Duration::from_millis(limits.message_timeout_ms);
    let mut buffer = ReadBuffer::new(LENGTH_BYTES + limits.max_frame_bytes, limits.read_chunk_bytes);
    let mut complete_by = Some(Instant::now() + timeout);
    loop {
        if !state.phase().accepts_requests() {
            return Some(ReadError::AfterEnd);
        }
        state.set_partial_frame(!buffer.is_empty());
        match front::decode_first(buffer.bytes(), limits.max_frame_bytes) {
            Ok(Some((frame, used))) => {
                let frame = frame.to_vec();
                buffer.consume(used);
                complete_by = None;
                // Counted before it waits for the queue, so that its connection is not considered idle.
                state.frame_queued();
                if events.send(Event::Frame { connection, frame }).await.is_err() {
                    return None;
                }
                // A client that sends at full speed takes turns with the others.
                future::yield_now().await;
            }
            Ok(None) => {
                if complete_by.is_none() && !buffer.is_empty() {
                    complete_by = Some(Instant::now() + timeout);
                }
                let late = async {
                    match complete_by {
                        Some(instant) => Timer::at(instant).await,
                        None => future::pending().await,
                    };
                    None
                };
                match future::or(async { Some(buffer.fill(stream).await) }, late).await {
                    Some(Ok(true)) => {}
                    Some(_) => return None,
                    None => return Some(ReadError::Timeout),
                }
            }
            Err(error) => return Some(error.into()),
        }
    }
}

/// Reads and discards until the connection ends, up to a bound. Guards against the reset that closing over unread bytes
/// would cause, which takes the last response from its peer.
async fn discard_input(state: &ConnectionState, limits: &Limits) {
    let Some(mut stream) = state.stream() else { return };
    let mut bytes = vec![0; limits.read_chunk_bytes];
    let mut left = limits.max_linger_bytes;
    while left > 0 {
        match stream.read(&mut bytes).await {
            Ok(count) if count > 0 => left = left.saturating_sub(count),
            _ => return,
        }
        future::yield_now().await;
    }
    // The rest is left unread until the writer ends the connection.
    Timer::after(Duration::from_millis(limits.linger_ms)).await;
}

/// Writes frames until there are no more, then lingers until the reader has ended, up to a time.
pub(crate) async fn write_until_end(
    state: Rc<ConnectionState>,
    frames: Receiver<Vec<u8>>,
    unwritten: UnwrittenBytes,
    reader_ended: Receiver<()>,
    limits: Rc<Limits>,
) {
    write_frames(&state, frames, &unwritten, limits.write_timeout_ms).await;
    state.handle(PhaseEvent::LastWritten);
    // A peer that still writes would lose the last response if this side just closed.
    let is_crowded = state.connection_count() > limits.crowded_connections;
    let linger_ms = if is_crowded { limits.linger_ms_when_crowded } else { limits.linger_ms };
    let _ = with_timeout(linger_ms, async { Ok(reader_ended.recv().await) }).await;
    state.handle(PhaseEvent::Drained);
    unwritten.clear();
}

/// Writes frames in order until there are no more or the peer reads none for too long. No further frame can be queued then.
pub(crate) async fn write_frames(
    state: &ConnectionState,
    frames: Receiver<Vec<u8>>,
    unwritten: &UnwrittenBytes,
    timeout_ms: u64,
) {
    let Some(stream) = state.stream() else { return };
    while let Some(bytes) = recv_batch(&frames).await {
        if write_all(stream, &bytes, timeout_ms).await.is_err() {
            state.handle(PhaseEvent::Abort);
            return;
        }
        unwritten.subtract(bytes.len());
    }
}
