//! Reading and writing of a client connection.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{future, AsyncReadExt};
use plovershelf_codec::front::{self, LENGTH_PREFIX_BYTES};

use crate::connection_state::{ConnectionState, PhaseEvent};
use crate::event::{ConnectionId, Event, ReadError};
use crate::limits::Limits;
use crate::outbox::UnwrittenBytes;
use crate::streams::{recv_batch, with_timeout, write_all, ReadBuffer};

/// Reads frames until the connection ends. After a read error it discards a bounded amount of further input.
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

/// Passes frames on until the connection ends. Returns an error if the input can't be split into frames any more, or
/// if the first frame of the connection or the rest of a started frame takes too long.
async fn read_frames(
    state: &ConnectionState,
    connection: ConnectionId,
    events: &Sender<Event>,
    limits: &Limits,
) -> Option<ReadError> {
    let stream = state.stream()?;
    let timeout = Duration::from_millis(limits.message_timeout_ms);
    let mut buffer = ReadBuffer::new(LENGTH_PREFIX_BYTES + limits.max_frame_bytes, limits.read_chunk_bytes);
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
                // Counted before waiting for the queue, so that the connection doesn't appear idle.
                state.frame_queued();
                if events.send(Event::Frame { connection, frame }).await.is_err() {
                    return None;
                }
                // Yields so that one fast client doesn't starve the others.
                future::yield_now().await;
            }
            Ok(None) => {
                if complete_by.is_none() && !buffer.is_empty() {
                    complete_by = Some(Instant::now() + timeout);
                }
                let timed_out = async {
                    match complete_by {
                        Some(instant) => Timer::at(instant).await,
                        None => future::pending().await,
                    };
                    None
                };
                match future::or(async { Some(buffer.fill(stream).await) }, timed_out).await {
                    Some(Ok(true)) => {}
                    Some(_) => return None,
                    None => return Some(ReadError::Timeout),
                }
            }
            Err(error) => return Some(error.into()),
        }
    }
}

/// Reads and discards a bounded amount of input until the connection ends. Closing a socket with unread bytes would
/// reset the connection, and the peer could lose the last response.
async fn discard_input(state: &ConnectionState, limits: &Limits) {
    let Some(mut stream) = state.stream() else { return };
    let mut bytes = vec![0; limits.read_chunk_bytes];
    let mut remaining_bytes = limits.max_linger_bytes;
    while remaining_bytes > 0 {
        match stream.read(&mut bytes).await {
            Ok(count) if count > 0 => remaining_bytes = remaining_bytes.saturating_sub(count),
            _ => return,
        }
        future::yield_now().await;
    }
    // The rest stays unread until the writer ends the connection.
    Timer::after(Duration::from_millis(limits.linger_ms)).await;
}

/// Writes frames until the queue is closed, then lingers until the reader has ended or the linger time has passed.
pub(crate) async fn write_until_end(
    state: Rc<ConnectionState>,
    frames: Receiver<Vec<u8>>,
    unwritten: UnwrittenBytes,
    reader_ended: Receiver<()>,
    limits: Rc<Limits>,
) {
    write_frames(&state, frames, &unwritten, limits.write_timeout_ms).await;
    state.handle(PhaseEvent::LastWritten);
    // If this side closed at once, a peer that is still writing could lose the last response.
    let is_above_threshold = state.connection_count() > limits.eviction_threshold;
    let linger_ms = if is_above_threshold { limits.linger_ms_under_pressure } else { limits.linger_ms };
    let _ = with_timeout(linger_ms, async { Ok(reader_ended.recv().await) }).await;
    state.handle(PhaseEvent::Drained);
    unwritten.clear();
}

/// Writes frames in order until the queue is closed or the peer stops reading. No further frame can be queued
/// afterwards.
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
