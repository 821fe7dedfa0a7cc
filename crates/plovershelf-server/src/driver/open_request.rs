//! A request from its arrival until nothing of it is left.

use std::ops::Range;

use plovershelf_codec::AttemptId;

use super::agent::CommandNumber;
use super::replication::ReplicationStage;
use crate::deduplication::DeduplicationKey;
use crate::event::{CallNumber, ConnectionId};

/// Whether the command that starts its run has been written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LaunchState {
    /// It has not been started.
    #[default]
    None,
    /// It was started while there was no link: the agent has never received it.
    Unsent,
    /// Its place in the order of commands.
    Sent(CommandNumber),
}

/// A reply to a call that was placed again after a link broke. It is handed on once the agent proves that its run waits
/// for it: the sample of this number is answered and nothing was heard of the run before it.
pub(super) struct UnprovenReply {
    pub(super) proven_by: CommandNumber,
    pub(super) reply: Vec<u8>,
}

/// The outbound call of a run, and its reply on the way to the run.
#[derive(Default)]
pub(super) struct OutboundCall {
    /// What the run asks of the dependency.
    pub(super) body: Vec<u8>,
    /// The call in flight.
    pub(super) number: Option<CallNumber>,
    /// A reply that no link took.
    pub(super) undelivered: Option<Vec<u8>>,
    /// Place in the order of commands of the last reply, until something is heard of the run again.
    pub(super) delivered: Option<CommandNumber>,
    /// The call was placed again, as its first reply may be lost. Whether the run still waits is asked with it.
    pub(super) is_replay: bool,
    pub(super) unproven: Option<UnprovenReply>,
}

/// An open request.
pub(super) struct OpenRequest {
    pub(super) attempt: AttemptId,
    pub(super) connection: ConnectionId,
    pub(super) seqid: i32,
    /// Place of its class in the settings.
    pub(super) class: usize,
    /// The frame as it came, and where in it the body is.
    pub(super) frame: Vec<u8>,
    pub(super) body: Range<usize>,
    pub(super) arrived_ms: f64,
    /// The client accepts no answer any more, or has had it.
    pub(super) is_answered: bool,
    pub(super) launch: LaunchState,
    /// The agent has reported something of its run.
    pub(super) is_confirmed: bool,
    /// A link broke before the agent had surely read the launch, and it was not written again.
    pub(super) is_in_doubt: bool,
    pub(super) call: OutboundCall,
    pub(super) result: Vec<u8>,
    pub(super) key: Option<DeduplicationKey>,
    /// Hash of its body, where it has a key.
    pub(super) body_hash: u64,
    /// Where keyed requests are replicated: how far its reservation is.
    pub(super) replication: ReplicationStage,
    /// The outcome that stands on enough replicas to be answered if the deadline comes before the rest confirm.
    pub(super) provisional_outcome: Option<plovershelf_replication::Outcome>,
    /// Its client was told that it failed, so that no other outcome is told to anybody.
    pub(super) is_failure_told: bool,
}

impl OpenRequest {
    pub(super) fn body(&self) -> &[u8] {
        &self.frame[self.body.clone()]
    }

    /// Nothing proves that the agent ever received its launch.
    pub(super) fn may_never_have_started(&self) -> bool {
        self.is_in_doubt || self.launch == LaunchState::Unsent || self.replication.holds_launch()
    }
}
