//! Queue of frames to one client, with bounds on its memory.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};

use crate::connection_state::{ConnectionState, PhaseEvent};
use crate::limits::Limits;

/// Bytes that wait to be written, counted per connection and in total.
#[derive(Clone, Default)]
pub(crate) struct UnwrittenBytes {
    connection: Rc<Cell<usize>>,
    all_connections: Rc<Cell<usize>>,
}

impl UnwrittenBytes {
    /// Returns the counter of a new connection that shares the total of all connections.
    pub(crate) fn sharing_total(all_connections: Rc<Cell<usize>>) -> Self {
        UnwrittenBytes { connection: Rc::default(), all_connections }
    }

    fn add(&self, bytes: usize) {
        self.connection.set(self.connection.get() + bytes);
        self.all_connections.set(self.all_connections.get() + bytes);
    }

    /// Subtracts bytes that were written, or that never will be.
    pub(crate) fn subtract(&self, bytes: usize) {
        let bytes = bytes.min(self.connection.get());
        self.connection.set(self.connection.get() - bytes);
        self.all_connections.set(self.all_connections.get() - bytes);
    }

    /// Subtracts all bytes of this connection, because none of them will be written any more.
    pub(crate) fn clear(&self) {
        self.subtract(usize::MAX);
    }
}

/// Reason for which a frame is not queued.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum QueueFull {
    /// This connection has too many unwritten bytes, or has ended.
    Connection,
    /// All connections together have too many unwritten bytes. The frame is returned.
    AllConnections(Vec<u8>),
}

/// Sender of frames to one connection. Dropping it ends the connection once all queued frames are written.
pub(crate) struct Outbox {
    frames: Sender<Vec<u8>>,
    unwritten: UnwrittenBytes,
    max_bytes: usize,
    max_total_bytes: usize,
    connection: Rc<ConnectionState>,
}

impl Outbox {
    pub(crate) fn new(
        connection: Rc<ConnectionState>,
        unwritten: UnwrittenBytes,
        limits: &Limits,
    ) -> (Self, Receiver<Vec<u8>>) {
        let (frames, receiver) = async_channel::unbounded();
        let outbox = Outbox {
            frames,
            unwritten,
            max_bytes: limits.max_unwritten_bytes_per_connection,
            max_total_bytes: limits.max_unwritten_bytes,
            connection,
        };
        (outbox, receiver)
    }

    pub(crate) fn push(&self, frame: Vec<u8>) -> Result<(), QueueFull> {
        let length = frame.len();
        if self.unwritten.all_connections.get() + length > self.max_total_bytes {
            return Err(QueueFull::AllConnections(frame));
        }
        if self.unwritten_bytes() + length > self.max_bytes || self.frames.try_send(frame).is_err() {
            return Err(QueueFull::Connection);
        }
        self.unwritten.add(length);
        Ok(())
    }

    /// Returns the number of bytes that wait to be written.
    pub(crate) fn unwritten_bytes(&self) -> usize {
        self.unwritten.connection.get()
    }

    pub(crate) fn connection(&self) -> &ConnectionState {
        &self.connection
    }

    /// Returns whether further input of the connection is discarded instead of answered.
    pub(crate) fn is_discarding(&self) -> bool {
        !self.connection.phase().accepts_requests()
    }

    /// Ends the connection at once and stops counting its unwritten bytes.
    pub(crate) fn abort(self) {
        self.unwritten.clear();
        self.connection.handle(PhaseEvent::Abort);
    }
}

impl Drop for Outbox {
    /// Discards further input, as it could not be answered. The reader continues to read, so that the last response
    /// reaches a peer that is still writing.
    fn drop(&mut self) {
        self.connection.handle(PhaseEvent::Discard);
    }
}
