//! Types of the driver interface: startup parameters, actions, events, errors and status.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::change::{Edit, InvalidChange};
use crate::config::DistributionConfig;
use crate::message::{Message, NodeInfo};
use crate::quota_table::{ApplyError, QuotaTable};
use crate::snapshot::SnapshotError;
use crate::version::Version;

/// Source of committed changes for a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Changes come from the consensus group that the process belongs to.
    Origin,
    /// Changes come from a parent in the distribution tree.
    Listener,
}

/// Parameters for [`Node::new`](crate::Node::new).
#[derive(Clone, Debug)]
pub struct Startup {
    /// Name, location, address and incarnation that the node sends to its peers.
    pub node: NodeInfo,
    /// Whether the node is an origin or a listener.
    pub role: Role,
    /// Addresses of all origins. The node's own address is ignored.
    pub origins: Vec<SocketAddr>,
    /// Intervals, timeouts and fan-outs.
    pub config: DistributionConfig,
    /// The quota table that is in force at the start.
    pub table: QuotaTable,
    /// Seed of the random number generator that the node uses for jitter and random choices.
    pub seed: u64,
}

/// An event that the driver must publish, in order, to the users of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change took effect and applied these edits to the previous table.
    DeltaApplied {
        /// The version in force after the edits.
        version: Version,
        /// The edits, in the order of their application.
        edits: Vec<Edit>,
    },
    /// A snapshot took effect. Users must reload all of [`Node::table`](crate::Node::table), since no edits describe
    /// the difference.
    SnapshotApplied {
        /// The version of the new table.
        version: Version,
    },
    /// A problem to report to the operators.
    Warning(Warning),
}

/// A problem with received or committed data that the node rejected. The `Display` text is one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Warning {
    /// A received change can't be applied to the table in force.
    #[error("change {version} from {from} not applied: {error}")]
    ChangeNotApplied {
        /// The version of the rejected change.
        version: Version,
        /// The address of the sender.
        from: SocketAddr,
        /// The reason for the rejection.
        error: ApplyError,
    },
    /// A change arrived with a version that is known here under another digest.
    #[error("change {0} ignored: its digest differs from that of the known change with this version")]
    ConflictingChange(Version),
    /// A chunk of a snapshot contains an invalid entry.
    #[error("snapshot {version} from {from} rejected: {error}")]
    InvalidChunk {
        /// The version of the snapshot.
        version: Version,
        /// The address of the sender.
        from: SocketAddr,
        /// The reason for the rejection.
        error: SnapshotError,
    },
    /// A complete snapshot does not match its digest.
    #[error("snapshot from {from} rejected: {error}")]
    InvalidSnapshot {
        /// The address of the sender.
        from: SocketAddr,
        /// The reason for the rejection.
        error: SnapshotError,
    },
    /// A committed change can't be applied on this origin, since the origin missed earlier changes.
    #[error("committed change {version} not applied to version {current}: {error}")]
    CommittedChangeNotApplied {
        /// The version of the committed change.
        version: Version,
        /// The version in force here.
        current: Version,
        /// The reason for the rejection.
        error: ApplyError,
    },
}

/// Messages and events that the driver must send and publish.
#[derive(Clone, Debug, Default)]
pub struct Actions {
    /// Messages to send, in order, with the address of the receiver.
    pub messages: Vec<(SocketAddr, Message)>,
    /// Events to publish, in order.
    pub events: Vec<Event>,
}

/// Reason why an origin rejects a proposal. The `Display` text is one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProposalError {
    /// The process with this name is a listener.
    #[error("{0} is no source; propose to one of the machines set aside")]
    NotAnOrigin(String),
    /// The proposal requires a version number that is not the newest one.
    #[error("after {after}: the newest number is {newest}; look at it, then propose after {newest}")]
    NotAfterNewest {
        /// The version number that the proposal requires.
        after: u64,
        /// The newest version number on this origin.
        newest: u64,
    },
    /// A relay has a newer version in force, so this origin has missed a change.
    #[error(
        "{relay} has {relay_version} in force, {own_version} is the newest here; propose when that came here"
    )]
    Behind {
        /// The name of the relay.
        relay: String,
        /// The version in force on the relay.
        relay_version: Version,
        /// The version in force on this origin.
        own_version: Version,
    },
    /// Another origin has a different table in force under the same version.
    #[error(
        "the source at {origin} has another content under {version}; mend the one that is wrong, then propose"
    )]
    ConflictingOrigin {
        /// The address of the other origin.
        origin: SocketAddr,
        /// The version in force on both origins.
        version: Version,
    },
    /// The edits can't be applied to the table.
    #[error(transparent)]
    Invalid(#[from] InvalidChange),
    /// The version number can't be increased any further.
    #[error("the numbers of this era are used up")]
    VersionNumbersExhausted,
}

/// A process's view of its subtree, for display.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The name of this process.
    pub name: String,
    /// The version in force on this process.
    pub version: Version,
    /// The digest of the table in force on this process.
    pub digest: u128,
    /// Number of tenants in the table.
    pub tenants: u64,
    /// Time since the last origin contact, directly or through relays, in milliseconds; `None` if there was none.
    pub age_ms: Option<f64>,
    /// The address of the parent.
    pub parent: Option<SocketAddr>,
    /// The address that the process attaches to if it loses its parent.
    pub backup_parent: Option<SocketAddr>,
    /// Number of direct children.
    pub children: u64,
    /// Number of processes in the subtree; a listener counts itself, an origin does not.
    pub nodes: u64,
    /// Number of processes in the subtree that have this version in force.
    pub up_to_date: u64,
    /// The lowest version in the subtree.
    pub oldest: Version,
    /// Names of some processes that are behind or timed out.
    pub missing: Vec<String>,
}
