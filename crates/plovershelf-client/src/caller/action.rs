//! What goes into a [`Caller`](super::Caller) and what comes out: the description of a call, the actions that a driver carries
//! out, the outcome of a call, and counters.

use std::net::SocketAddr;
use std::sync::Arc;

use plovershelf::api::Idempotency;

/// A call, within one [`Caller`](super::Caller).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A connection, within one [`Caller`](super::Caller).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A call as far as decisions depend on it. The rest of the request stays with the driver.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Name of the request class.
    pub class: Arc<str>,
    /// Whether, and how, it may be sent again.
    pub idempotency: Idempotency,
    /// From 0 to under 1; the lowest is shed first.
    pub priority: f64,
    /// When its client stops waiting, in milliseconds.
    pub deadline_ms: f64,
    /// What the call is about, for subject affinity; 0 for nothing.
    pub subject: u64,
    /// Memory that it occupies while it is open.
    pub bytes: usize,
}

/// Why a call ended without having been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    /// Too many calls, or too many bytes, are open.
    LimitReached,
    /// Endpoints accept so few calls of its class that this one was rejected locally.
    Throttled,
    /// All endpoints that could take it advise against calls of its priority, or against more calls.
    Backpressure,
    /// No endpoint is reachable, or accepts calls, before the deadline.
    NoEndpoint,
    /// The client was closed.
    Closed,
}

/// The outcome of a call; each call has exactly one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// A backend has run it.
    Succeeded,
    /// A backend rejected it without running it.
    Rejected {
        /// The Retry-After that the backend gave.
        retry_after_ms: Option<f64>,
        /// Whether another backend may accept it.
        retry_elsewhere: bool,
    },
    /// It failed, or its connection was lost.
    Failed {
        /// Whether it may have had its effect.
        may_have_run: bool,
    },
    /// Its deadline passed.
    DeadlineExceeded {
        /// Whether it may have had its effect.
        may_have_run: bool,
    },
    /// It was never sent.
    NotSent {
        /// Why.
        reason: NotSentReason,
        /// When another call may fare better, as far as that is known.
        retry_after_ms: Option<f64>,
    },
}

/// Whether an attempt is marked as a retry on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt, or one that is sent again because no backend has read it.
    First,
    /// Any further attempt, hedges included; paid for from the retry budget.
    Retry,
}

/// Something for the driver to carry out. Actions are carried out in the order in which they are polled.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection.
    Connect {
        /// The new connection.
        connection: ConnectionId,
        /// The endpoint's address.
        address: SocketAddr,
    },
    /// Write an attempt of a call.
    Send {
        /// The connection to write to.
        connection: ConnectionId,
        /// Sequence number of the attempt on that connection.
        sequence: i32,
        /// The call.
        call: CallId,
        /// Time in which the backend is to answer.
        timeout_ms: f64,
        /// Whether it is marked as a retry.
        kind: AttemptKind,
    },
    /// Tell the backend that an attempt is no longer waited for.
    Cancel {
        /// The attempt's connection.
        connection: ConnectionId,
        /// Sequence number of the attempt.
        sequence: i32,
    },
    /// Write a health check.
    Probe {
        /// The connection to write to.
        connection: ConnectionId,
        /// Sequence number of the health check.
        sequence: i32,
    },
    /// Close a connection.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Hand the outcome of a call to whoever made it.
    Complete {
        /// The call.
        call: CallId,
        /// Its outcome.
        outcome: CallOutcome,
    },
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it, or it was reset.
    Ended,
    /// What came on it could not be read, or the peer has stopped reading.
    Malformed,
}

/// Totals since the start, for the metrics of a host program. All only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls made.
    pub calls: u64,
    /// First attempts sent.
    pub first_attempts: u64,
    /// Attempts marked as retries, hedges included.
    pub retries: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Attempts sent again without mark or payment, as no backend had read them.
    pub resent_unread: u64,
    /// Calls that succeeded.
    pub succeeded: u64,
    /// Calls that ended rejected.
    pub rejected: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls whose deadline passed.
    pub deadline_exceeded: u64,
    /// Calls that were never sent.
    pub not_sent: u64,
    /// Calls cancelled by whoever made them.
    pub cancelled: u64,
    /// Retries that the budget did not allow.
    pub retries_over_budget: u64,
    /// Calls rejected locally by throttling.
    pub throttled: u64,
    /// Connection attempts.
    pub connects: u64,
    /// Connection attempts that failed.
    pub connects_failed: u64,
    /// Connections lost with attempts in flight, malformed data, or silence.
    pub connections_lost: u64,
    /// Connections on which an endpoint violated the protocol or stopped answering.
    pub protocol_faults: u64,
    /// Answers to attempts that had been cancelled.
    pub late_answers: u64,
}

impl Counters {
    /// Counts the outcome of a call.
    pub(super) fn count_outcome(&mut self, outcome: &CallOutcome) {
        let counter = match outcome {
            CallOutcome::Succeeded => &mut self.succeeded,
            CallOutcome::Rejected { .. } => &mut self.rejected,
            CallOutcome::Failed { .. } => &mut self.failed,
            CallOutcome::DeadlineExceeded { .. } => &mut self.deadline_exceeded,
            CallOutcome::NotSent { .. } => &mut self.not_sent,
        };
        *counter += 1;
    }
}
