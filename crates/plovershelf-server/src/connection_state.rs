//! State of a client's connection, and what the tasks of one connection share.
//!
//! | phase | what the peer sends | what this side sends |
//! | --- | --- | --- |
//! | `Open` | is accepted | responses |
//! | `ClosingAnnounced` | crossed the announcement and is accepted | responses |
//! | `Discarding` | is read and discarded | responses to what was read before |
//! | `Draining` | is read and discarded, up to a time and a size | nothing: the write side is shut down |
//! | `Closed` | is not read | nothing: the descriptor goes with its last holder |
//!
//! | event | from | to |
//! | --- | --- | --- |
//! | `AnnounceClosing` | `Open` | `ClosingAnnounced` |
//! | `Discard` | `Open`, `ClosingAnnounced` | `Discarding` |
//! | `LastWritten` | all before `Draining` | `Draining` |
//! | `Drained` | `Draining` | `Closed` |
//! | `Abort` | all | `Closed` |
//!
//! A request is handed on only in the first two phases, in which it can still be answered. The descriptor is closed only
//! after `Draining` or when the peer is gone: a close over unread bytes would reset the connection, and the peer would
//! lose the last response.

use std::cell::Cell;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

use async_io::Async;

/// How far a connection is on its way to its end; see the module's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Open,
    ClosingAnnounced,
    Discarding,
    Draining,
    Closed,
}

/// What moves a connection towards its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PhaseEvent {
    /// The peer was told to send nothing new.
    AnnounceClosing,
    /// What the peer sends is not accepted any longer.
    Discard,
    /// No more frames will go out, and all are written.
    LastWritten,
    /// The peer has closed its side too, or the bounds of the drain are reached.
    Drained,
    /// The peer is gone or reads nothing.
    Abort,
}

impl Phase {
    /// The phase after an event; a connection never goes back.
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

    /// Whether a request that comes now can still be answered.
    pub(crate) fn accepts_requests(self) -> bool {
        matches!(self, Phase::Open | Phase::ClosingAnnounced)
    }
}

/// What the reader, the writer and the event loop share of one connection.
///
/// The descriptor goes with the last of them, and the slot after it, so that the count of slots is never below that of
/// descriptors.
pub(crate) struct ConnectionState {
    phase: Cell<Phase>,
    queued_frames: Cell<usize>,
    has_partial_frame: Cell<bool>,
    stream: Option<Async<TcpStream>>,
    /// Held by each connection; its count tells how many there are.
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

    /// Connections that exist, those that are ending among them.
    pub(crate) fn connection_count(&self) -> usize {
        Rc::strong_count(&self.slot)
    }

    /// The one place where the phase changes, with what a change does to the socket.
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

    /// A frame was read and is about to wait for the event loop.
    pub(crate) fn frame_queued(&self) {
        self.queued_frames.set(self.queued_frames.get() + 1);
    }

    /// The event loop has received a frame.
    pub(crate) fn frame_received(&self) {
        self.queued_frames.set(self.queued_frames.get().saturating_sub(1));
    }

    /// A complete frame of the peer waits for the event loop.
    pub(crate) fn has_queued_frame(&self) -> bool {
        self.queued_frames.get() > 0
    }

    pub(crate) fn set_partial_frame(&self, has_partial_frame: bool) {
        self.has_partial_frame.set(has_partial_frame);
    }

    /// The rest of a frame that has begun has not come yet.
    pub(crate) fn has_partial_frame(&self) -> bool {
        self.has_partial_frame.get()
    }

    /// Something that the peer sent has not reached the event loop.
    pub(crate) fn has_unhandled_input(&self) -> bool {
        let has_unread =
            |stream: &Async<TcpStream>| stream.get_ref().peek(&mut [0]).is_ok_and(|count| count > 0);
        self.has_queued_frame() || self.stream.as_ref().is_some_and(has_unread)
    }
}

#[cfg(test)]
mod tests;
