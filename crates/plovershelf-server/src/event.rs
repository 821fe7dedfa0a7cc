//! Messages between the server's tasks and the event loop.

use async_channel::Sender;
use plovershelf::api::CallOutcome;
use plovershelf_codec::agent::RunResult;
use plovershelf_codec::front::FrameError;
use plovershelf_codec::AttemptId;
use thiserror::Error;

use crate::outbox::Outbox;

/// Number of a client connection, in the order of accepting.
pub(crate) type ConnectionId = u64;

/// Number of an outbound call, so that a late reply is not matched to a later call.
pub(crate) type CallNumber = u64;

/// Error that ends reading from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ReadError {
    /// The received bytes are not valid frames.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The peer sent data after this side had stopped accepting requests on the connection.
    #[error("data received after the connection stopped accepting requests")]
    AfterEnd,
    /// A message was not complete in time.
    #[error("no complete message in time")]
    Timeout,
}

/// An input of the event loop.
pub(crate) enum Event {
    /// A client has connected.
    Connected { connection: ConnectionId, outbox: Outbox },
    /// A client has sent a complete frame.
    Frame { connection: ConnectionId, frame: Vec<u8> },
    /// A client has disconnected, or its input can't be read any more.
    Disconnected { connection: ConnectionId, error: Option<ReadError> },
    /// Connections or descriptors are exhausted, so an idle connection must be closed. `open` includes connections
    /// that are already ending.
    ConnectionsExhausted { reason: String, open: usize },
    /// The listener accepts no further connections and has reported all that it accepted.
    ListenerClosed,
    /// An event of the agent's link.
    Agent(AgentEvent),
    /// A peer has violated its protocol.
    PeerError(String),
    /// An outbound call has ended.
    CallEnded { id: AttemptId, result: CallResult },
    /// An event of a keyed request's replication.
    Replication(crate::cluster::ReplicationEvent),
    /// The operator has reloaded the bulkhead plan.
    Bulkheads(plovershelf_bulkhead::BulkheadPlan),
    /// New tenant quotas are in force.
    Quotas(crate::config_distribution::QuotaUpdate),
}

/// An event of the agent's link.
pub(crate) enum AgentEvent {
    /// A link is up, and all missed notices that the agent still had have been delivered.
    Up {
        /// True if the agent has just started its cores.
        fresh: bool,
        /// Time for which the agent has been up, in milliseconds.
        uptime_ms: f64,
        /// Takes the bytes of commands.
        commands: Sender<Vec<u8>>,
        /// True if notices were lost, so that the ends of some runs will never be reported.
        missed_notices: bool,
    },
    /// The link has ended. `all_commands_read` is true if the agent is known to have read all commands of the link.
    Down { all_commands_read: bool },
    /// A run has ended.
    RunEnded { id: AttemptId, result: RunResult, body: Vec<u8> },
    /// A run requests an outbound call.
    CallRequested { id: AttemptId, call: Vec<u8> },
    /// The agent has answered the sample with this tag.
    Sampled { tag: u64, gauges: Vec<f64> },
    /// The agent did not carry out a command.
    CommandRejected { command: String, argument: Vec<u8> },
}

/// A command to the connections of the dependency.
pub(crate) enum CallCommand {
    Place { id: AttemptId, number: CallNumber, timeout_ms: f64, body: Vec<u8> },
    Abandon { id: AttemptId },
}

/// Result of an outbound call.
pub(crate) struct CallResult {
    pub(crate) number: CallNumber,
    pub(crate) outcome: CallOutcome,
    /// False if the dependency knows that no run waits for the reply.
    pub(crate) is_awaited: bool,
    pub(crate) reply: Vec<u8>,
}

impl CallResult {
    pub(crate) fn without_reply(number: CallNumber, outcome: CallOutcome) -> Self {
        CallResult { number, outcome, is_awaited: true, reply: Vec::new() }
    }
}
