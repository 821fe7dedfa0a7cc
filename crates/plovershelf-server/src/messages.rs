//! What the tasks say to each other: events to the owner, orders from it, frames on their way out. All of them use
//! this module, and it uses none of them.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use plovershelf::api::CallOutcome;
use plovershelf_codec::agent::RunResult;
use plovershelf_codec::front::FrameError;
use plovershelf_codec::AttemptId;
use thiserror::Error;

use crate::connection::{Shared, Step};
use crate::limits::Limits;

/// Why nothing more is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// Its bytes are no frames.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// It goes on sending after its end.
    #[error("more came after its end")]
    AfterEnd,
    /// A message was not complete in time.
    #[error("no whole message came in time")]
    Late,
}

/// All that can happen to the owner from outside.
pub enum Event {
    Opened {
        connection: u64,
        outbox: Outbox,
    },
    Frame {
        connection: u64,
        frame: Vec<u8>,
    },
    /// The peer is gone, or what it sends can't be read any more.
    Ended {
        connection: u64,
        error: Option<ReadError>,
    },
    /// Descriptors are short: an idle connection must go. So many are open, those that are ending with them.
    Crowded {
        why: String,
        open: usize,
    },
    /// No further connection will come, and all that did were told of.
    ListenerClosed,
    Agent(Said),
    /// A peer below did something wrong.
    Odd(String),
    CallOver {
        id: AttemptId,
        over: CallOver,
    },
    /// What the copies say of a ticketed invocation.
    Copies(crate::group::Told),
    /// The operator's file of pools was read again.
    Pools(plovershelf_bulkhead::Plan),
    /// Tenants' quotas that are in force from now on.
    Quotas(crate::config_distribution::QuotaUpdate),
}

/// What the agent says, as the owner needs it.
pub enum Said {
    /// A link is up and all that was missed has been told. `orders` takes the bytes of commands.
    Up {
        fresh: bool,
        up_for_ms: f64,
        orders: Sender<Vec<u8>>,
        /// Some notices were never told: runs may be over of which nothing more will be heard.
        missed: bool,
    },
    /// There is no link; `all_read` where that is known of its commands.
    Down {
        all_read: bool,
    },
    RunOver {
        id: AttemptId,
        over: RunResult,
        result: Vec<u8>,
    },
    WantsCall {
        id: AttemptId,
        call: Vec<u8>,
    },
    Sampled {
        tag: u64,
        gauges: Vec<f64>,
    },
    Refused {
        command: String,
        about: Vec<u8>,
    },
}

/// What the owner asks of the ledger's calls.
pub enum Order {
    Call { id: AttemptId, number: u64, within_ms: f64, body: Vec<u8> },
    GiveUp { id: AttemptId },
}

/// How the call of a number came to its end.
pub struct CallOver {
    pub number: u64,
    pub end: CallOutcome,
    /// False where the ledger knows of no run that waits for it.
    pub wanted: bool,
    pub reply: Vec<u8>,
}

impl CallOver {
    pub fn without(number: u64, end: CallOutcome) -> Self {
        CallOver { number, end, wanted: true, reply: Vec::new() }
    }
}

/// Frames on their way to one connection. Dropping it ends the connection when all of them are written.
pub struct Outbox {
    frames: Sender<Vec<u8>>,
    /// Bytes that wait, counted down by the task that writes them.
    pub unwritten: Rc<Cell<usize>>,
    pub unwritten_all: Rc<Cell<usize>>,
    most: usize,
    most_all: usize,
    /// How far its end is.
    shared: Rc<Shared>,
}

/// Why a frame is not kept for a peer.
#[derive(Debug, PartialEq, Eq)]
pub enum Unwritten {
    /// Its own connection has too much waiting, or is gone.
    Here,
    /// All connections together have; the frame comes back.
    InAll(Vec<u8>),
}

impl Outbox {
    pub fn new(
        shared: Rc<Shared>,
        unwritten_all: Rc<Cell<usize>>,
        limits: &Limits,
    ) -> (Self, Receiver<Vec<u8>>) {
        let (frames, taken) = async_channel::unbounded();
        let (most, most_all) = (limits.unwritten_each, limits.unwritten_bytes);
        (Outbox { frames, unwritten: Rc::default(), unwritten_all, most, most_all, shared }, taken)
    }

    pub fn push(&self, frame: Vec<u8>) -> Result<(), Unwritten> {
        let length = frame.len();
        if self.unwritten_all.get() + length > self.most_all {
            return Err(Unwritten::InAll(frame));
        }
        if self.unwritten.get() + length > self.most || self.frames.try_send(frame).is_err() {
            return Err(Unwritten::Here);
        }
        self.unwritten.set(self.unwritten.get() + length);
        self.unwritten_all.set(self.unwritten_all.get() + length);
        Ok(())
    }

    /// Bytes that wait to be written.
    pub fn waits(&self) -> usize {
        self.unwritten.get()
    }

    /// What still comes is read and thrown away, so that the last answer reaches a peer that goes on writing.
    pub fn deafen(&self) {
        self.shared.step(Step::Deafen);
    }

    /// What comes could not be answered any more, or is not to be.
    pub fn is_deaf(&self) -> bool {
        !self.shared.phase().takes()
    }

    pub fn tell_closing(&self) {
        self.shared.step(Step::TellClosing);
    }

    /// A frame of this connection has reached the owner.
    pub fn arrived(&self) {
        self.shared.waiting.set(self.shared.waiting.get().saturating_sub(1));
    }

    /// Something that the peer sent has not reached the owner yet.
    pub fn hears(&self) -> bool {
        self.shared.hears()
    }

    /// The rest of a message that has begun has not come yet.
    pub fn inside(&self) -> bool {
        self.shared.inside.get()
    }

    /// A whole message of the peer waits for the owner.
    pub fn has_whole(&self) -> bool {
        self.shared.waiting.get() > 0
    }

    /// Ends the connection at once; what is unwritten is not counted any longer.
    pub fn abort(self) {
        written(&self.unwritten, &self.unwritten_all, usize::MAX);
        self.shared.step(Step::Abort);
    }
}

impl Drop for Outbox {
    /// Nothing more of what comes is handed on, as it could not be answered.
    fn drop(&mut self) {
        self.shared.step(Step::Deafen);
    }
}

/// Bytes are written, or will never be: they are counted no longer.
pub fn written(unwritten: &Cell<usize>, all: &Cell<usize>, bytes: usize) {
    let bytes = bytes.min(unwritten.get());
    unwritten.set(unwritten.get() - bytes);
    all.set(all.get() - bytes);
}
