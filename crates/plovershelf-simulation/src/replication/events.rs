//! What happens in a run. What belongs to a process names its incarnation: after a loss it does not reach the next one.

use plovershelf_replication::{Message, RequestId};

/// A process at a member's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) member: usize,
    pub(super) incarnation: u64,
}

/// What a process meets; a paused one meets it when it goes on.
pub(super) enum ProcessEvent {
    Message {
        from: usize,
        message: Box<Message>,
    },
    Timeout,
    /// A view that was agreed on reaches it.
    View {
        number: u64,
    },
    RunEnds(RequestId),
    /// The client of an attempt has lost its patience.
    ClientGone(RequestId),
}

pub(super) enum Event {
    Process(Process, ProcessEvent),
    FaultBegins(usize),
    FaultEnds(usize),
    /// The group takes note of who is there.
    Agree,
    NewKey,
    Attempt {
        key: u64,
        retries_left: u32,
    },
}
