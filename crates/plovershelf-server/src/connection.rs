//! The end of a sidecar's connection as a state machine, and what the tasks of one connection share.
//!
//! | phase | what comes | what goes out |
//! | --- | --- | --- |
//! | `Open` | is taken | answers |
//! | `ClosingTold` | crossed the word and is taken | answers |
//! | `Deaf` | is read and thrown away | answers to what was read before |
//! | `Draining` | is read and thrown away, for a bounded time and size | nothing: the write side is shut |
//! | `Closed` | is not read | nothing: the descriptor goes with its last holder |
//!
//! A request is handed on only in the first two, in which it can still be answered. The descriptor is closed only after
//! `Draining` or when the peer is gone: a close over unread bytes would reset the connection, and the last answer with it.

use std::cell::Cell;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

use async_io::Async;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Open,
    ClosingTold,
    Deaf,
    Draining,
    Closed,
}

/// What moves a connection towards its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The peer was told to send nothing new.
    TellClosing,
    /// What it sends is not taken any longer.
    Deafen,
    /// No more frames will go out, and all are written.
    LastWritten,
    /// The peer has ended it too, or the bounds of the drain are reached.
    Drained,
    /// The peer is gone or takes nothing.
    Abort,
}

impl Phase {
    /// The phase that follows; a connection never goes back.
    pub fn after(self, step: Step) -> Phase {
        match (self, step) {
            (Phase::Closed, _) | (_, Step::Abort) | (Phase::Draining, Step::Drained) => Phase::Closed,
            (Phase::Draining, _) | (_, Step::LastWritten) => Phase::Draining,
            (Phase::Deaf, _) | (_, Step::Deafen) => Phase::Deaf,
            (Phase::ClosingTold, _) | (_, Step::TellClosing) => Phase::ClosingTold,
            (Phase::Open, Step::Drained) => Phase::Open,
        }
    }

    /// What comes can still be answered.
    pub fn takes(self) -> bool {
        matches!(self, Phase::Open | Phase::ClosingTold)
    }
}

/// What the reader, the writer and the owner of one connection share. The descriptor goes with the last of them, and
/// the slot after it, so that the count of slots is never under that of descriptors.
pub struct Shared {
    phase: Cell<Phase>,
    /// Frames that were read and wait for the owner; and the reader is inside a frame.
    pub waiting: Cell<usize>,
    pub inside: Cell<bool>,
    stream: Option<Async<TcpStream>>,
    /// Held by each connection: how many there are.
    pub slot: Rc<()>,
}

impl Shared {
    pub fn new(stream: Option<Async<TcpStream>>, slot: Rc<()>) -> Rc<Self> {
        let (waiting, inside) = (Cell::new(0), Cell::new(false));
        Rc::new(Shared { phase: Cell::new(Phase::Open), waiting, inside, stream, slot })
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub fn stream(&self) -> Option<&Async<TcpStream>> {
        self.stream.as_ref()
    }

    /// The one place where the phase changes, and what a change does to the socket.
    pub fn step(&self, step: Step) {
        let (from, to) = (self.phase.get(), self.phase.get().after(step));
        self.phase.set(to);
        let shut = match to {
            Phase::Draining if from != to => Shutdown::Write,
            Phase::Closed if from != to => Shutdown::Both,
            _ => return,
        };
        if let Some(stream) = &self.stream {
            let _ = stream.get_ref().shutdown(shut);
        }
    }

    /// Something of the peer's is on its way to the owner, or lies unread.
    pub fn hears(&self) -> bool {
        let unread = |stream: &Async<TcpStream>| stream.get_ref().peek(&mut [0]).is_ok_and(|count| count > 0);
        self.waiting.get() > 0 || self.stream.as_ref().is_some_and(unread)
    }
}

#[cfg(test)]
mod tests;
