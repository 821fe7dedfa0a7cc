//! Gossip messages between members.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::member::MemberUpdate;
use crate::identity::NodeId;

/// A gossip message. Most variants piggyback membership updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Probes the receiver.
    Ping {
        /// Identifies the ping. The acknowledgement echoes it.
        nonce: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Acknowledges a ping.
    Ack {
        /// Nonce of the ping.
        nonce: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to ping a target (SWIM's ping-req).
    PingRequest {
        /// Identifies the request. [`Message::IndirectAck`] echoes it.
        nonce: u64,
        /// Member to ping.
        target: NodeId,
        /// Address of the target.
        address: SocketAddr,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Reports that the target of a ping request acknowledged.
    IndirectAck {
        /// Nonce of the ping request.
        nonce: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Disseminates a recent change of state.
    Broadcast {
        /// The change and other queued updates.
        updates: Vec<MemberUpdate>,
    },
    /// Checksums of the sender's present members. The receiver answers with the entries of the buckets that differ.
    Digest {
        /// Checksums, one per bucket.
        checksums: Vec<u32>,
        /// Whether the receiver should answer with its own digest.
        reply: bool,
    },
    /// Entries of the buckets whose checksums differ.
    Sync {
        /// All or some of those entries.
        updates: Vec<MemberUpdate>,
    },
}

/// The destination of a message: an address and, if known, the node expected there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Intended receiver. Any other node at the address ignores the message.
    pub id: Option<NodeId>,
    /// Address to send to.
    pub address: SocketAddr,
}
