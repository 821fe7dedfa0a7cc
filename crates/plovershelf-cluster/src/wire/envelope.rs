//! Messages between the nodes of a cluster.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::consensus::{self, Entry, LogPosition, PersistentState, Snapshot, Term};
use crate::gossip;
use crate::identity::{Epoch, NodeId};
use crate::state::{ClusterState, Command};

/// A summary of a node's consensus state. It is piggybacked on gossip, so that lagging nodes fetch the entries that
/// they lack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// Epoch that the node belongs to.
    pub epoch: Epoch,
    /// Commit index of the node.
    pub commit_index: u64,
    /// Term of the node.
    pub term: Term,
    /// Leader of that term, if the node knows it.
    pub leader: Option<NodeId>,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// Gossip message.
    Gossip {
        /// Message of the gossip protocol.
        message: gossip::Message,
        /// Digest of the sender's consensus state.
        digest: StateDigest,
    },
    /// Consensus message.
    Consensus {
        /// Epoch that the message belongs to.
        epoch: Epoch,
        /// Message of the consensus protocol.
        message: consensus::Message<ClusterState>,
    },
    /// Requests the entries committed after an index.
    FetchCommitted {
        /// Epoch that the requesting node belongs to.
        epoch: Epoch,
        /// Commit index of the requesting node.
        index: u64,
    },
    /// Committed entries, relayed by any node.
    CommittedEntries {
        /// Epoch that the entries belong to.
        epoch: Epoch,
        /// Position of the entry immediately before `entries`.
        previous: LogPosition,
        /// Entries in log order.
        entries: Vec<Entry<Command>>,
    },
    /// Committed state, relayed by any node.
    CommittedSnapshot {
        /// Epoch that the state belongs to.
        epoch: Epoch,
        /// Snapshot at the sender's commit index.
        snapshot: Snapshot<ClusterState>,
    },
    /// Requests a lease from the leader.
    LeaseRequest {
        /// Time of sending in microseconds of the requesting node's clock. The grant echoes it.
        sent_at_us: u64,
    },
    /// Grants a lease.
    LeaseGrant {
        /// `sent_at_us` of the request.
        sent_at_us: u64,
        /// Epoch that the lease belongs to.
        epoch: Epoch,
        /// Number of the view under which the lease is granted.
        view: u64,
        /// Duration of the lease in milliseconds.
        duration_ms: f64,
    },
    /// Requests that the leader commit a value for a key.
    Propose {
        /// Identifies the proposal. [`NodeMessage::ProposeResponse`] echoes it.
        nonce: u64,
        /// Key of the value.
        key: String,
        /// Version of the value, one more than that of the current value.
        version: u64,
        /// Encoded value.
        bytes: Vec<u8>,
    },
    /// Response to `Propose`. An accepted proposal may still not be committed.
    ProposeResponse {
        /// Nonce of the proposal.
        nonce: u64,
        /// Whether the leader appended the proposal to its log.
        accepted: bool,
    },
    /// Requests consent to a new epoch without the lost nodes.
    EpochConsentRequest {
        /// The new epoch.
        epoch: Epoch,
    },
    /// Response to `EpochConsentRequest`. A node that consents follows no older epoch from then on.
    EpochConsent {
        /// The new epoch.
        epoch: Epoch,
        /// State on the sender's disk, if it consents.
        persistent: Option<Box<PersistentState<ClusterState>>>,
        /// Reason for the refusal, if it refuses.
        refusal: Option<String>,
    },
}

impl NodeMessage {
    /// Returns whether the message may be sent only after all records saved before it are on disk.
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
    /// Sender of the message.
    pub from: NodeId,
    /// Address on which the sender receives messages.
    pub address: SocketAddr,
    /// Intended receiver, or `None` if its id is not known yet. Any other node at the destination ignores the message.
    pub to: Option<NodeId>,
    /// Content of the message.
    pub message: NodeMessage,
}
