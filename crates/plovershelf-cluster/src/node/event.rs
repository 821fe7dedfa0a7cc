//! Actions and events that a call returns to the driver.

use std::fmt;

use super::epoch_recovery::RecoverError;
use crate::consensus::Record;
use crate::gossip::Destination;
use crate::identity::NodeId;
use crate::state::ClusterState;
use crate::view::View;
use crate::wire::Envelope;

/// An event for the rest of the process.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new view is in force on this node.
    View(View),
    /// The lease changed. Contains the number of the view by which this node may act, or `None` without a valid lease.
    Lease(Option<u64>),
    /// The known leader changed. Contains `None` if no leader is known.
    Leader(Option<NodeId>),
    /// A value was committed.
    ValueCommitted {
        /// Key of the value.
        key: String,
        /// Version of the value.
        version: u64,
    },
    /// The leader answered a proposal.
    ProposalAnswered {
        /// Nonce returned by [`ClusterNode::propose`](super::ClusterNode::propose).
        nonce: u64,
        /// Whether the leader appended the proposal to its log.
        accepted: bool,
    },
    /// A recovery ended with the number of the new epoch or with an error.
    RecoveryEnded(Result<u64, RecoverError>),
    /// An event to be logged for operators.
    Notice(Notice),
}

/// An event to be logged for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The process was paused.
    ProcessPaused,
    /// This node bootstrapped the cluster.
    Bootstrapped,
    /// A message from another cluster of the same name was received.
    OtherClusterMet,
}

impl fmt::Display for Notice {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Notice::ProcessPaused => "the process was paused; pending probes and suspicions are restarted",
            Notice::Bootstrapped => "bootstraps the group",
            Notice::OtherClusterMet => "ignoring another group with the same name and council number",
        })
    }
}

/// Actions that a call requires of the driver. All records in `save` must be on disk before any message in `send` is
/// sent.
#[derive(Clone, Debug, Default)]
pub struct Actions {
    /// Records to write to disk, in this order.
    pub save: Vec<Record<ClusterState>>,
    /// Messages to send, with their destinations.
    pub send: Vec<(Destination, Envelope)>,
    /// Events for the rest of the process, in order.
    pub events: Vec<Event>,
}
