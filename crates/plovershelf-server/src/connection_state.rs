//! State of a client connection that its tasks share.
//!
//! | phase | input from the peer | output of this side |
//! | --- | --- | --- |
//! | `Open` | accepted | responses |
//! | `ClosingAnnounced` | accepted, as it may have been sent before the peer read the announcement | responses |
//! | `Discarding` | read and discarded | responses to earlier requests |
//! | `Draining` | read and discarded, up to a time and a size | none: the write side is shut down |
//! | `Closed` | not read | none: the descriptor is closed when its last owner drops it |
//!
//! | event | from | to |
//! | --- | --- | --- |
//! | `AnnounceClosing` | `Open` | `ClosingAnnounced` |
//! | `Discard` | `Open`, `ClosingAnnounced` | `Discarding` |
//! | `LastWritten` | all before `Draining` | `Draining` |
//! | `Drained` | `Draining` | `Closed` |
//! | `Abort` | all | `Closed` |
//!
//! Requests are passed on only in the first two phases, in which they can still be answered. The descriptor is closed
//! only after `Draining` or once the peer has gone: closing a socket with unread bytes would reset the connection,
//! and the peer would lose the last response.

use std::cell::Cell;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

use async_io::Async;

/// Phase of a connection's shutdown; see the module's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Open,
    ClosingAnnounced,
    Discarding,
    Draining,
    Closed,
}

/// An event that advances the phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PhaseEvent {
    /// The closing was announced, so that the peer sends no new requests.
    AnnounceClosing,
    /// Further input is no longer accepted.
    Discard,
    /// All frames are written and no more will follow.
    LastWritten,
    /// The peer has closed its side too, or a bound of the drain is reached.
    Drained,
    /// The peer has gone or has stopped reading.
    Abort,
}

impl Phase {
    /// Returns the phase after an event. The phase never moves backwards.
    pub(crate) fn after(self, event: PhaseEvent) -> Phase {
        match (self, event) {
            (Phase::Closed, _) | (_, PhaseEvent::Abort) | (Phase::Draining, PhaseEvent::Drained) => {
                Phase::Closed
            }
            (Phase::Draining, _) | (_, PhaseEvent::LastWritten) => Phase::Draining,
            (Phase::Discarding, _) | (_, PhaseEvent::Discard) => Phase::Discarding,
            (Phase::ClosingAnnounced, _) | (_, PhaseEvent::AnnounceClosing) => Phase::ClosingAnnounced,
            (Phase::Open, PhaseEvent::Drained) => Phase::Open,
        }
    }

    /// Returns whether a request that arrives in this phase can still be answered.
    pub(crate) fn accepts_requests(self) -> bool {
        matches!(self, Phase::Open | Phase::ClosingAnnounced)
    }
}

/// State of one connection that the reader, the writer and the event loop share.
///
/// The descriptor is closed when the last of them drops this state, and the slot is released after it, so that the
/// number of slots is never below the number of descriptors.
pub(crate) struct ConnectionState {
    phase: Cell<Phase>,
    queued_frames: Cell<usize>,
    has_partial_frame: Cell<bool>,
    stream: Option<Async<TcpStream>>,
    /// Cloned by each connection; the reference count is the number of connections.
    slot: Rc<()>,
}

impl ConnectionState {
    pub(crate) fn new(stream: Option<Async<TcpStream>>, slot: Rc<()>) -> Rc<Self> {
        Rc::new(ConnectionState {
            phase: Cell::new(Phase::Open),
            queued_frames: Cell::new(0),
            has_partial_frame: Cell::new(false),
            stream,
            slot,
        })
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub(crate) fn stream(&self) -> Option<&Async<TcpStream>> {
        self.stream.as_ref()
    }

    /// Returns the number of connections, including those that are ending.
    pub(crate) fn connection_count(&self) -> usize {
        Rc::strong_count(&self.slot)
    }

    /// Advances the phase and shuts down the socket accordingly. All phase changes go through this method.
    pub(crate) fn handle(&self, event: PhaseEvent) {
        let from = self.phase.get();
        let to = from.after(event);
        self.phase.set(to);
        let shutdown = match to {
            Phase::Draining if from != to => Shutdown::Write,
            Phase::Closed if from != to => Shutdown::Both,
            _ => return,
        };
        if let Some(stream) = &self.stream {
            let _ = stream.get_ref().shutdown(shutdown);
        }
    }

    /// Records that a frame was read and waits for the event loop.
    pub(crate) fn frame_queued(&self) {
        self.queued_frames.set(self.queued_frames.get() + 1);
    }

    /// Records that the event loop has received a frame.
    pub(crate) fn frame_received(&self) {
        self.queued_frames.set(self.queued_frames.get().saturating_sub(1));
    }

    /// Returns whether a complete frame waits for the event loop.
    pub(crate) fn has_queued_frame(&self) -> bool {
        self.queued_frames.get() > 0
    }

    pub(crate) fn set_partial_frame(&self, has_partial_frame: bool) {
        self.has_partial_frame.set(has_partial_frame);
    }

    /// Returns whether a frame has been received in part.
    pub(crate) fn has_partial_frame(&self) -> bool {
        self.has_partial_frame.get()
    }

    /// Returns whether received input has not reached the event loop yet.
    pub(crate) fn has_unhandled_input(&self) -> bool {
        let has_unread =
            |stream: &Async<TcpStream>| stream.get_ref().peek(&mut [0]).is_ok_and(|count| count > 0);
        self.has_queued_frame() || self.stream.as_ref().is_some_and(has_unread)
    }
}

#[cfg(test)]
mod tests;
