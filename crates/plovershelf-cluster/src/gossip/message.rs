//! What members send to each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::member::MemberUpdate;
use crate::identity::NodeId;

/// Messages between members; most carry updates along.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe.
    Ping {
        /// Comes back with the acknowledgement.
        nonce: u64,
        /// Updates carried along.
        updates: Vec<MemberUpdate>,
    },
    /// Acknowledges a ping.
    Ack {
        /// As it came.
        nonce: u64,
        /// Updates carried along.
        updates: Vec<MemberUpdate>,
    },
    /// Asks a third member to ping the target (SWIM's ping-req).
    PingRequest {
        /// Comes back with [`Message::IndirectAck`].
        nonce: u64,
        /// Whom to ping.
        target: NodeId,
        /// Where it is reached.
        address: SocketAddr,
        /// Updates carried along.
        updates: Vec<MemberUpdate>,
    },
    /// The target of a ping request acknowledged.
    IndirectAck {
        /// As it came.
        nonce: u64,
        /// Updates carried along.
        updates: Vec<MemberUpdate>,
    },
    /// Something changed just now.
    Broadcast {
        /// What did, and other updates along with it.
        updates: Vec<MemberUpdate>,
    },
    /// Checksums of what is known of present members, by buckets. Where they differ the receiver sends what it knows.
    Digest {
        /// One a bucket.
        checksums: Vec<u32>,
        /// Whether the receiver's digest is wanted in return.
        reply: bool,
    },
    /// What is known in buckets whose checksums differ.
    Sync {
        /// All or some of it.
        updates: Vec<MemberUpdate>,
    },
}

/// Where a message goes: to a node, where it is known who is meant, at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Who is meant; whoever else is at the address ignores the message.
    pub id: Option<NodeId>,
    /// Where.
    pub address: SocketAddr,
}
