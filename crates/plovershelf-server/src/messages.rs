//! What the tasks say to each other: events to the owner, orders from it, frames on their way out. All of them use
//! this module, and it uses none of them.

use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Async;
use plovershelf::interface::CallEnd;
use plovershelf_codec::agent::RunOver;
use plovershelf_codec::TryId;

use crate::limits::Limits;

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
        garbled: Option<&'static str>,
    },
    /// Descriptors are short: an idle connection must go.
    Crowded {
        why: String,
    },
    Agent(Said),
    /// A peer below did something wrong.
    Odd(String),
    CallOver {
        id: TryId,
        over: CallOver,
    },
    /// What the copies say of a ticketed invocation.
    Copies(crate::group::Told),
    /// The operator's file of pools was read again.
    Pools(plovershelf_pools::Plan),
    Leave,
}

/// What the agent says, as the owner needs it.
pub enum Said {
    /// A link is up and all that was missed has been told. `orders` takes the bytes of commands.
    Up {
        fresh: bool,
        up_for_ms: f64,
        orders: Sender<Vec<u8>>,
    },
    /// There is no link; `all_read` where that is known of its commands.
    Down {
        all_read: bool,
    },
    RunOver {
        id: TryId,
        over: RunOver,
        result: Vec<u8>,
    },
    WantsCall {
        id: TryId,
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
    Call { id: TryId, number: u64, within_ms: f64, body: Vec<u8> },
    GiveUp { id: TryId },
}

/// How the call of a number came to its end.
pub struct CallOver {
    pub number: u64,
    pub end: CallEnd,
    /// False where the ledger knows of no run that waits for it.
    pub wanted: bool,
    pub reply: Vec<u8>,
}

impl CallOver {
    pub fn without(number: u64, end: CallEnd) -> Self {
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
    /// To end the connection with what is unwritten.
    stream: Option<Rc<Async<TcpStream>>>,
    /// Nothing more of what comes is handed on.
    pub deaf: Rc<Cell<bool>>,
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
        stream: Option<Rc<Async<TcpStream>>>,
        unwritten_all: Rc<Cell<usize>>,
        limits: &Limits,
    ) -> (Self, Receiver<Vec<u8>>) {
        let (frames, taken) = async_channel::unbounded();
        let (most, most_all) = (limits.unwritten_each, limits.unwritten_bytes);
        let (unwritten, deaf) = (Rc::default(), Rc::default());
        (Outbox { frames, unwritten, unwritten_all, most, most_all, stream, deaf }, taken)
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
        self.deaf.set(true);
    }

    pub fn is_deaf(&self) -> bool {
        self.deaf.get()
    }

    /// Ends the connection at once; what is unwritten is not counted any longer.
    pub fn abort(self) {
        written(&self.unwritten, &self.unwritten_all, usize::MAX);
        if let Some(stream) = self.stream {
            let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Bytes are written, or will never be: they are counted no longer.
pub fn written(unwritten: &Cell<usize>, all: &Cell<usize>, bytes: usize) {
    let bytes = bytes.min(unwritten.get());
    unwritten.set(unwritten.get() - bytes);
    all.set(all.get() - bytes);
}
