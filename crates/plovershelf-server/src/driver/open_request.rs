//! State of one request from its arrival until its removal.

use std::ops::Range;

use plovershelf_codec::AttemptId;

use super::agent::CommandNumber;
use super::replication::ReplicationStage;
use crate::deduplication::DeduplicationKey;
use crate::event::{CallNumber, ConnectionId};

/// Progress of the command that starts the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LaunchState {
    /// The run has not been started.
    #[default]
    None,
    /// The run was started while there was no link, so the agent has not received the command.
    Unsent,
    /// The command was written with this number.
    Sent(CommandNumber),
}

/// The reply to a call that was placed again after a link broke. It is delivered once the agent has answered the
/// sample `confirmed_by` without reporting anything of the run before it, because then the run still waits for this
/// reply.
pub(super) struct UnconfirmedReply {
    pub(super) confirmed_by: CommandNumber,
    pub(super) reply: Vec<u8>,
}

/// The outbound call of a run, and the state of its reply.
#[derive(Default)]
pub(super) struct OutboundCall {
    /// Body of the run's call to the dependency.
    pub(super) body: Vec<u8>,
    /// Number of the call in flight.
    pub(super) number: Option<CallNumber>,
    /// Reply that could not be written because there was no link.
    pub(super) undelivered: Option<Vec<u8>>,
    /// Number of the command with the last reply, until the agent next reports on the run.
    pub(super) delivered: Option<CommandNumber>,
    /// True if the call was placed again because its first reply may be lost. The dependency is then asked whether
    /// the run still waits.
    pub(super) is_replay: bool,
    pub(super) unconfirmed: Option<UnconfirmedReply>,
}

/// A request that is not removed yet.
pub(super) struct OpenRequest {
    pub(super) attempt: AttemptId,
    pub(super) connection: ConnectionId,
    pub(super) seqid: i32,
    /// Index of the request's class in the settings.
    pub(super) class: usize,
    /// The received frame.
    pub(super) frame: Vec<u8>,
    /// Range of the body within `frame`.
    pub(super) body: Range<usize>,
    pub(super) arrived_ms: f64,
    /// True once the answer has been sent, or can no longer be sent because the client has gone.
    pub(super) is_answered: bool,
    pub(super) launch: LaunchState,
    /// True once the agent has reported anything about the run.
    pub(super) is_run_reported: bool,
    /// True if a link broke before the launch was known to have been read, and the launch was not written again.
    pub(super) is_unacknowledged: bool,
    pub(super) call: OutboundCall,
    pub(super) result: Vec<u8>,
    pub(super) key: Option<DeduplicationKey>,
    /// Hash of the body, or 0 without a key.
    pub(super) body_hash: u64,
    /// Progress of replication, if keyed requests are replicated.
    pub(super) replication: ReplicationStage,
    /// An outcome that enough replicas have stored to answer the client with it, if the deadline comes before the
    /// remaining confirmations.
    pub(super) provisional_outcome: Option<plovershelf_replication::Outcome>,
    /// True if the client was answered with a failure, so that no caller may get another outcome.
    pub(super) is_failure_reported: bool,
}

impl OpenRequest {
    pub(super) fn body(&self) -> &[u8] {
        &self.frame[self.body.clone()]
    }

    /// Returns whether it is unknown that the agent ever received the launch.
    pub(super) fn may_never_have_started(&self) -> bool {
        self.is_unacknowledged || self.launch == LaunchState::Unsent || self.replication.awaits_reservation()
    }
}
