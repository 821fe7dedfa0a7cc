//! Messages between nodes of a cluster.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::consensus::{self, Entry, LogPosition, PersistentState, Snapshot, Term};
use crate::gossip;
use crate::identity::{Epoch, NodeId};
use crate::state::{ClusterState, Command};

/// How far a node is. It goes along with gossip, so that a node that lags asks for what it lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// The epoch that it is part of.
    pub epoch: Epoch,
    /// Its commit index.
    pub commit_index: u64,
    /// Its term.
    pub term: Term,
    /// The leader that it knows in that term.
    pub leader: Option<NodeId>,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// Of gossip.
    Gossip {
        /// The message.
        message: gossip::Message,
        /// How far its sender is.
        digest: StateDigest,
    },
    /// Of consensus.
    Consensus {
        /// The epoch that it is part of.
        epoch: Epoch,
        /// The message.
        message: consensus::Message<ClusterState>,
    },
    /// Asks for what was committed after an index.
    FetchCommitted {
        /// The epoch that the asking node is part of.
        epoch: Epoch,
        /// Its commit index.
        index: u64,
    },
    /// Committed entries.
    CommittedEntries {
        /// The epoch that they are part of.
        epoch: Epoch,
        /// The entry that precedes them.
        previous: LogPosition,
        /// The entries.
        entries: Vec<Entry<Command>>,
    },
    /// The committed state.
    CommittedSnapshot {
        /// The epoch that it is part of.
        epoch: Epoch,
        /// The state.
        snapshot: Snapshot<ClusterState>,
    },
    /// Asks the leader for a lease.
    LeaseRequest {
        /// The asking node's clock in microseconds; it comes back with the lease.
        sent_at_us: u64,
    },
    /// A lease.
    LeaseGrant {
        /// As it came.
        sent_at_us: u64,
        /// The epoch that the lease is part of.
        epoch: Epoch,
        /// The view by which it was granted.
        view: u64,
        /// How long it lasts.
        duration_ms: f64,
    },
    /// Asks the leader to commit a value under a key.
    Propose {
        /// Comes back with [`NodeMessage::ProposeResponse`].
        nonce: u64,
        /// The key.
        key: String,
        /// One more than the version there is.
        version: u64,
        /// The value.
        bytes: Vec<u8>,
    },
    /// Whether a proposal was taken into the log; it may still not be committed.
    ProposeResponse {
        /// As it came.
        nonce: u64,
        /// Whether it was.
        accepted: bool,
    },
    /// Asks for the consent to a new epoch without the lost nodes.
    EpochConsentRequest {
        /// The new epoch.
        epoch: Epoch,
    },
    /// The consent: its sender follows no older epoch from now on. Or the refusal.
    EpochConsent {
        /// The new epoch.
        epoch: Epoch,
        /// What the sender keeps, where it consents.
        persistent: Option<Box<PersistentState<ClusterState>>>,
        /// Why it refuses, where it does.
        refusal: Option<String>,
    },
}

impl NodeMessage {
    /// Whether it may leave only when what was to be saved before it is on disk.
    pub fn depends_on_storage(&self) -> bool {
        matches!(
            self,
            NodeMessage::Consensus { .. } | NodeMessage::EpochConsent { .. } | NodeMessage::LeaseGrant { .. }
        )
    }
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sends it.
    pub from: NodeId,
    /// Where its sender is reached.
    pub address: SocketAddr,
    /// Whom it is for; another node at that address ignores it. None where that is not known yet.
    pub to: Option<NodeId>,
    /// What it says.
    pub message: NodeMessage,
}
