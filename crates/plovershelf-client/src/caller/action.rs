//! Inputs and outputs of a [`Caller`](super::Caller): call descriptions, actions for the driver, call
//! outcomes and counters.

use std::net::SocketAddr;
use std::sync::Arc;

use plovershelf::api::Idempotency;

/// Identifies a call within one [`Caller`](super::Caller).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a connection within one [`Caller`](super::Caller).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The properties of a call that affect decisions. The driver stores the rest of the request.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Name of the request class.
    pub class: Arc<str>,
    /// Whether and where the call may be retried.
    pub idempotency: Idempotency,
    /// Priority, from 0 to less than 1. Backends shed the lowest priority first.
    pub priority: f64,
    /// Deadline, in milliseconds on the driver's clock.
    pub deadline_ms: f64,
    /// Key for subject affinity, or 0 if the call has none.
    pub subject: u64,
    /// Memory that the call occupies while it is open, in bytes.
    pub bytes: usize,
}

/// Reason why a call ended without being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    /// The open calls reached the limit on their number or on their bytes.
    LimitReached,
    /// The throttle rejected the call locally because endpoints accept only few calls of its class.
    Throttled,
    /// The backpressure signals of all eligible endpoints exclude the call.
    Backpressure,
    /// No endpoint is reachable or accepts calls before the deadline.
    NoEndpoint,
    /// The client is closed.
    Closed,
}

/// Outcome of a call. Each call that is not cancelled has exactly one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// A backend ran the request and returned its result.
    Succeeded,
    /// A backend rejected the request without running it.
    Rejected {
        /// Retry-After of the rejection, in milliseconds, if it had one.
        retry_after_ms: Option<f64>,
        /// Whether another backend may accept the request.
        retry_elsewhere: bool,
    },
    /// The request failed or its connection was lost.
    Failed {
        /// Whether the request may have taken effect.
        may_have_run: bool,
    },
    /// The deadline passed before a result was received.
    DeadlineExceeded {
        /// Whether the request may have taken effect.
        may_have_run: bool,
    },
    /// No attempt was sent.
    NotSent {
        /// Reason why no attempt was sent.
        reason: NotSentReason,
        /// Milliseconds after which a new call may succeed, if known.
        retry_after_ms: Option<f64>,
    },
}

/// Whether an attempt is marked as a retry on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt, or a resend of an attempt that no backend has read.
    First,
    /// Any further attempt, hedges included; it counts against the retry budget.
    Retry,
}

/// Instruction to the driver. The driver must execute actions in the order in which it polls them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection.
    Connect {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Address of the endpoint.
        address: SocketAddr,
    },
    /// Write an attempt of a call.
    Send {
        /// Connection to write to.
        connection: ConnectionId,
        /// Sequence number of the attempt on its connection.
        sequence: i32,
        /// Call that the attempt belongs to.
        call: CallId,
        /// Timeout to send with the attempt, in milliseconds.
        timeout_ms: f64,
        /// Whether the attempt is marked as a retry.
        kind: AttemptKind,
    },
    /// Write a cancellation of an attempt.
    Cancel {
        /// Connection of the attempt.
        connection: ConnectionId,
        /// Sequence number of the attempt.
        sequence: i32,
    },
    /// Write a health check.
    Probe {
        /// Connection to write to.
        connection: ConnectionId,
        /// Sequence number of the health check.
        sequence: i32,
    },
    /// Close a connection.
    Close {
        /// Connection to close.
        connection: ConnectionId,
    },
    /// Return the outcome of a call to the host program.
    Complete {
        /// Call that has ended.
        call: CallId,
        /// Outcome of the call.
        outcome: CallOutcome,
    },
}

/// Reason why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed or reset the connection.
    Ended,
    /// The peer sent malformed data or stopped reading.
    Malformed,
}

/// Monotonic counters since the start, for the metrics of a host program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls started.
    pub calls: u64,
    /// First attempts sent.
    pub first_attempts: u64,
    /// Attempts marked as retries, hedges included.
    pub retries: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Attempts resent because no backend had read them; they neither carry the retry mark nor use the retry
    /// budget.
    pub resent_unread: u64,
    /// Calls that succeeded.
    pub succeeded: u64,
    /// Calls that backends rejected.
    pub rejected: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls whose deadline passed.
    pub deadline_exceeded: u64,
    /// Calls that ended without being sent.
    pub not_sent: u64,
    /// Calls that the host program cancelled.
    pub cancelled: u64,
    /// Retries that the retry budget did not allow.
    pub retries_over_budget: u64,
    /// Calls that the throttle rejected locally.
    pub throttled: u64,
    /// Connection attempts.
    pub connects: u64,
    /// Connection attempts that failed.
    pub connects_failed: u64,
    /// Connections that ended with attempts in flight or by a protocol fault.
    pub connections_lost: u64,
    /// Connections on which an endpoint violated the protocol or did not respond to a health check.
    pub protocol_faults: u64,
    /// Responses to attempts that had been cancelled.
    pub late_responses: u64,
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
