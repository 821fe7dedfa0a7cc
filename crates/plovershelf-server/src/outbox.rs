//! Frames on their way to one client, with bounds on the memory that they take.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};

use crate::connection_state::{ConnectionState, PhaseEvent};
use crate::limits::Limits;

/// Bytes that wait to be written, counted for one connection and for all of them.
#[derive(Clone, Default)]
pub(crate) struct UnwrittenBytes {
    connection: Rc<Cell<usize>>,
    all_connections: Rc<Cell<usize>>,
}

impl UnwrittenBytes {
    /// A new connection's, beside those that there are.
    pub(crate) fn beside(all_connections: Rc<Cell<usize>>) -> Self {
        UnwrittenBytes { connection: Rc::default(), all_connections }
    }

    fn add(&self, bytes: usize) {
        self.connection.set(self.connection.get() + bytes);
        self.all_connections.set(self.all_connections.get() + bytes);
    }

    /// Bytes are written, or will never be.
    pub(crate) fn subtract(&self, bytes: usize) {
        let bytes = bytes.min(self.connection.get());
        self.connection.set(self.connection.get() - bytes);
        self.all_connections.set(self.all_connections.get() - bytes);
    }

    /// None of this connection's bytes will be written any more.
    pub(crate) fn clear(&self) {
        self.subtract(usize::MAX);
    }
}

/// Why a frame is not queued.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum QueueFull {
    /// This connection has too much waiting, or is gone.
    Connection,
    /// All connections together have; the frame comes back.
    AllConnections(Vec<u8>),
}

/// Frames on their way to one connection. Dropping it ends the connection when all of them are written.
pub(crate) struct Outbox {
    frames: Sender<Vec<u8>>,
    unwritten: UnwrittenBytes,
    max_bytes: usize,
    max_bytes_of_all: usize,
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
            max_bytes_of_all: limits.max_unwritten_bytes,
            connection,
        };
        (outbox, receiver)
    }

    pub(crate) fn push(&self, frame: Vec<u8>) -> Result<(), QueueFull> {
        let length = frame.len();
        if self.unwritten.all_connections.get() + length > self.max_bytes_of_all {
            return Err(QueueFull::AllConnections(frame));
        }
        if self.unwritten_bytes() + length > self.max_bytes || self.frames.try_send(frame).is_err() {
            return Err(QueueFull::Connection);
        }
        self.unwritten.add(length);
        Ok(())
    }

    /// Bytes that wait to be written.
    pub(crate) fn unwritten_bytes(&self) -> usize {
        self.unwritten.connection.get()
    }

    pub(crate) fn connection(&self) -> &ConnectionState {
        &self.connection
    }

    /// Whether what comes is discarded, as it could not be answered or is not to be.
    pub(crate) fn is_discarding(&self) -> bool {
        !self.connection.phase().accepts_requests()
    }

    /// Ends the connection at once; what is unwritten is not counted any longer.
    pub(crate) fn abort(self) {
        self.unwritten.clear();
        self.connection.handle(PhaseEvent::Abort);
    }
}

impl Drop for Outbox {
    /// What still comes could not be answered. It is read and discarded, so that the last response reaches a peer that
    /// goes on writing.
    fn drop(&mut self) {
        self.connection.handle(PhaseEvent::Discard);
    }
}
