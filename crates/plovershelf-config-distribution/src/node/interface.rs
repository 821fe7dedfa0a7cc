//! Types of the driver's interface: what a node starts with, and what it returns.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::change::{Edit, InvalidChange};
use crate::config::DistributionConfig;
use crate::message::{Message, NodeInfo};
use crate::quota_table::{ApplyError, QuotaTable};
use crate::snapshot::SnapshotError;
use crate::version::Version;

/// Where a process gets committed changes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// From its consensus group.
    Origin,
    /// From a parent.
    Listener,
}

/// What a node starts with.
#[derive(Clone, Debug)]
pub struct Startup {
    /// How it introduces itself.
    pub node: NodeInfo,
    /// Whether it is an origin.
    pub role: Role,
    /// Where origins are reached; an origin has the others here.
    pub origins: Vec<SocketAddr>,
    /// Intervals, timeouts and fan-outs.
    pub config: DistributionConfig,
    /// In force as it starts.
    pub table: QuotaTable,
    /// Of all random draws.
    pub seed: u64,
}

/// What the driver is to publish to those that use the configuration, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// In force from now on: these edits of what was.
    DeltaApplied {
        /// The version that they lead to.
        version: Version,
        /// In order.
        edits: Vec<Edit>,
    },
    /// In force from now on: all of [`Node::table`](crate::Node::table), as no delta leads there.
    SnapshotApplied {
        /// The table's version.
        version: Version,
    },
    /// Something that people should know of.
    Warning(Warning),
}

/// What a node noticed and left out; each is one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Warning {
    /// A change that came does not fit.
    #[error("change {version} from {from}: {error}; nothing of it is in force")]
    ChangeNotApplied {
        /// Of the change.
        version: Version,
        /// Who sent it.
        from: SocketAddr,
        /// Why it does not fit.
        error: ApplyError,
    },
    /// A change came under a version that is known here with another digest.
    #[error("change {0} came with another content than is held; it is left out")]
    ContradictingChange(Version),
    /// A chunk of a snapshot is not valid.
    #[error("the whole of {version} from {from}: {error}; nothing of it is in force")]
    InvalidChunk {
        /// Of the snapshot.
        version: Version,
        /// Who sent it.
        from: SocketAddr,
        /// What is wrong with it.
        error: SnapshotError,
    },
    /// A snapshot is complete and has another digest.
    #[error("{error}, from {from}; nothing of it is in force")]
    InvalidSnapshot {
        /// Who sent it.
        from: SocketAddr,
        /// What is wrong with it.
        error: SnapshotError,
    },
    /// A committed change does not apply to what an origin holds: it missed some in between.
    #[error("change {version} was agreed, {held} is in force here: it {error}")]
    CommittedChangeNotApplied {
        /// Of the change.
        version: Version,
        /// In force here.
        held: Version,
        /// Why it does not apply.
        error: ApplyError,
    },
}

/// What the driver is to carry out.
#[derive(Clone, Debug, Default)]
pub struct Actions {
    /// To be sent, in order, each to the process that is reached there.
    pub messages: Vec<(SocketAddr, Message)>,
    /// To be published, in order.
    pub events: Vec<Event>,
}

/// Why an origin does not propose a change, in one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProposalError {
    /// This process, of this name, is a listener.
    #[error("{0} is no source; propose to one of the machines set aside")]
    NotAnOrigin(String),
    /// The change was to follow on another number than the newest.
    #[error("after {after}: the newest number is {newest}; look at it, then propose after {newest}")]
    NotAfterNewest {
        /// The number that it was to follow on.
        after: u64,
        /// The newest here.
        newest: u64,
    },
    /// A relay is ahead, so this origin has missed a change.
    #[error("{name} has {theirs} in force, {own} is the newest here; propose when that came here")]
    Behind {
        /// The relay.
        name: String,
        /// In force there.
        theirs: Version,
        /// In force here.
        own: Version,
    },
    /// Another origin holds another table under the same version.
    #[error(
        "the source at {origin} has another content under {version}; mend the one that is wrong, then propose"
    )]
    ConflictingOrigin {
        /// Where the other origin is reached.
        origin: SocketAddr,
        /// In force in both.
        version: Version,
    },
    /// The edits do not fit the table.
    #[error(transparent)]
    Invalid(#[from] InvalidChange),
    /// There is no number after the newest.
    #[error("the numbers of this era are used up")]
    NumbersUsedUp,
}

/// One process's view of the fleet, for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Of this process.
    pub name: String,
    /// In force here.
    pub version: Version,
    /// Of the table in force here.
    pub digest: u128,
    /// How many the table has.
    pub tenants: u64,
    /// How long ago an origin was last heard from, directly or through relays; none where it never was.
    pub age_ms: Option<f64>,
    /// Whom it hears from.
    pub parent: Option<SocketAddr>,
    /// Where it goes when its parent is lost.
    pub backup_parent: Option<SocketAddr>,
    /// How many hear from it.
    pub children: u64,
    /// Processes in the subtree; a listener counts itself, an origin does not.
    pub nodes: u64,
    /// Those of them that have this version in force.
    pub up_to_date: u64,
    /// The lowest version among them.
    pub oldest: Version,
    /// Names of some that are behind or fell silent.
    pub missing: Vec<String>,
}
