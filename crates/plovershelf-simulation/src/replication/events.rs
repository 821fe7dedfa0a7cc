//! Simulated events. An event for a process names its incarnation, so that it is dropped if the process was replaced.

use plovershelf_replication::{Message, RequestId};

/// Incarnation of a member's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) member: usize,
    pub(super) incarnation: u64,
}

/// Event for a process; a paused process handles it when it resumes.
pub(super) enum ProcessEvent {
    Message {
        from: usize,
        message: Box<Message>,
    },
    Timeout,
    /// The process learns a committed view.
    View {
        number: u64,
    },
    ExecutionEnds(RequestId),
    /// The client of an attempt timed out.
    ClientTimeout(RequestId),
}

/// Event of the simulation. Faults are identified by their index in the schedule.
pub(super) enum Event {
    Process(Process, ProcessEvent),
    FaultBegins(usize),
    FaultEnds(usize),
    /// The group checks which members are reachable and commits a new view if they differ from the last one.
    UpdateView,
    /// A client sends a request with a new idempotency key.
    NewKey,
    /// A client sends an attempt of a request to some backend.
    Attempt {
        key: u64,
        retries_left: u32,
    },
}
