//! What the tasks of the server send to the event loop, and what it sends to the dependency's connections.

use async_channel::Sender;
use plovershelf::api::CallOutcome;
use plovershelf_codec::agent::RunResult;
use plovershelf_codec::front::FrameError;
use plovershelf_codec::AttemptId;
use thiserror::Error;

use crate::outbox::Outbox;

/// Number of a client's connection, in the order of accepting.
pub(crate) type ConnectionId = u64;

/// Number of an outbound call, so that a late reply is not taken for a later call's.
pub(crate) type CallNumber = u64;

/// Why nothing more is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ReadError {
    /// Its bytes are no frames.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// It goes on sending after its end.
    #[error("more came after its end")]
    AfterEnd,
    /// A message was not complete in time.
    #[error("no whole message came in time")]
    Timeout,
}

/// An input of the event loop.
pub(crate) enum Event {
    /// A client connected.
    Connected { connection: ConnectionId, outbox: Outbox },
    /// A complete frame of a client.
    Frame { connection: ConnectionId, frame: Vec<u8> },
    /// A client is gone, or what it sends can't be read any more.
    Disconnected { connection: ConnectionId, error: Option<ReadError> },
    /// Connections or descriptors are short: an idle connection must go. `open` counts those that are ending too.
    Crowded { why: String, open: usize },
    /// No further connection will come, and all that came were reported.
    ListenerClosed,
    /// The agent's link.
    Agent(AgentEvent),
    /// A peer did something wrong.
    PeerError(String),
    /// An outbound call ended.
    CallEnded { id: AttemptId, result: CallResult },
    /// Replication of a keyed request.
    Replication(crate::cluster::ReplicationEvent),
    /// The operator's file of bulkheads was read again.
    Bulkheads(plovershelf_bulkhead::BulkheadPlan),
    /// Tenants' quotas that are in force from now on.
    Quotas(crate::config_distribution::QuotaUpdate),
}

/// An event of the agent's link.
pub(crate) enum AgentEvent {
    /// A link is up, and all notices that were missed have been handed over.
    Up {
        /// The cores have just started.
        fresh: bool,
        /// For how long the agent has been up.
        up_for_ms: f64,
        /// Takes the bytes of commands.
        commands: Sender<Vec<u8>>,
        /// Some notices were lost: runs may have ended of which nothing more will be heard.
        missed_notices: bool,
    },
    /// There is no link; whether all of its commands were surely read.
    Down { all_commands_read: bool },
    /// A run ended.
    RunEnded { id: AttemptId, result: RunResult, body: Vec<u8> },
    /// A run waits for an outbound call.
    CallRequested { id: AttemptId, call: Vec<u8> },
    /// The gauges that were asked for with this tag.
    Sampled { tag: u64, gauges: Vec<f64> },
    /// The agent did not carry out a command.
    CommandRejected { command: String, about: Vec<u8> },
}

/// A command to the dependency's connections.
pub(crate) enum CallCommand {
    Place { id: AttemptId, number: CallNumber, timeout_ms: f64, body: Vec<u8> },
    Abandon { id: AttemptId },
}

/// How an outbound call ended.
pub(crate) struct CallResult {
    pub(crate) number: CallNumber,
    pub(crate) outcome: CallOutcome,
    /// False where the dependency knows of no run that waits for it.
    pub(crate) is_awaited: bool,
    pub(crate) reply: Vec<u8>,
}

impl CallResult {
    pub(crate) fn without_reply(number: CallNumber, outcome: CallOutcome) -> Self {
        CallResult { number, outcome, is_awaited: true, reply: Vec::new() }
    }
}
