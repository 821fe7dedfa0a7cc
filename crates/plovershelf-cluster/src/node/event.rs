//! What a call asks of the driver, and what it tells it.

use std::fmt;

use super::epoch_recovery::RecoverError;
use crate::consensus::Record;
use crate::gossip::Destination;
use crate::identity::NodeId;
use crate::state::ClusterState;
use crate::view::View;
use crate::wire::Envelope;

/// What the rest of the process should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Another view is in force here.
    View(View),
    /// Whether this node may act, and by which view.
    Lease(Option<u64>),
    /// Another leader is known, or none.
    Leader(Option<NodeId>),
    /// A value was committed.
    ValueCommitted {
        /// Its key.
        key: String,
        /// Its version.
        version: u64,
    },
    /// The leader answered a proposal.
    ProposalAnswered {
        /// What [`ClusterNode::propose`](super::ClusterNode::propose) returned.
        nonce: u64,
        /// Whether it was taken into the log.
        accepted: bool,
    },
    /// A recovery ended: the new epoch's number, or why there is none.
    RecoveryEnded(Result<u64, RecoverError>),
    /// Something that people should see.
    Notice(Notice),
}

/// Something that people should see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The process was paused.
    ProcessPaused,
    /// This node bootstraps the cluster.
    Bootstrapped,
    /// Another cluster of this name was met.
    OtherClusterMet,
}

impl fmt::Display for Notice {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Notice::ProcessPaused => "stood still for a while; what seemed late meanwhile is asked again",
            Notice::Bootstrapped => "founds the group",
            Notice::OtherClusterMet => {
                "met another group of this name with a council of the same number: it is no part of this one"
            }
        })
    }
}

/// What a call asks of the driver. `save` must be on disk before anything of `send` leaves.
#[derive(Clone, Debug, Default)]
pub struct Actions {
    /// Records to write, in order.
    pub save: Vec<Record<ClusterState>>,
    /// Messages to send.
    pub send: Vec<(Destination, Envelope)>,
    /// What the process should know.
    pub events: Vec<Event>,
}
