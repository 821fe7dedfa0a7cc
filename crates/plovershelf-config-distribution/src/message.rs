//! The wire protocol. Encoded by position, so variants, fields and their types keep their order.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::change::Change;
use crate::entry::{Entry, MAX_NAME_BYTES};
use crate::version::Version;

/// Addresses in a list, at most.
pub(crate) const MAX_ADDRESSES: usize = 16;
/// Names of missing processes in an aggregate, at most; of attached ones too.
pub(crate) const MAX_NAMES: usize = 8;
/// Processes that attached lately, in a message between origins, at most.
pub(crate) const MAX_ATTACHMENTS: usize = 80;
/// Relays in an origin's list for another origin, at most.
pub(crate) const MAX_RELAYS: usize = 64;

/// How a process introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Unique in the fleet.
    pub name: String,
    /// The zone it runs in.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Drawn at each start, so that a process is told apart from its predecessor at the same address.
    pub incarnation: u64,
}

impl NodeInfo {
    pub(crate) fn is_bounded(&self) -> bool {
        let fits = |text: &str| text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control);
        !self.name.is_empty() && fits(&self.name) && fits(&self.zone) && fits(&self.region)
    }
}

/// What a listener does for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListenerKind {
    /// Feeds nobody and hears from a relay.
    Leaf,
    /// Feeds leaves and hears from an origin.
    Relay,
}

/// Up to which of the two fan-outs a parent takes a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FanOutLimit {
    /// The ordinary one.
    Normal,
    /// The higher one, which is reserved for those that lost their parent.
    Failover,
}

/// A relay in the lists that origins exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayInfo {
    /// Where it is reached.
    pub address: SocketAddr,
    /// The zone it runs in.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// How many it feeds.
    pub children: u32,
}

/// How many processes of a subtree are up to date; the sender counts itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aggregate {
    /// The sender's own; `up_to_date` counts those that have just this one in force.
    pub version: Version,
    /// Processes in the subtree.
    pub nodes: u32,
    /// Those of them that have `version` in force.
    pub up_to_date: u32,
    /// The lowest version among them.
    pub oldest: Version,
    /// How many hear directly from the sender.
    pub children: u32,
    /// Names of some that are behind or fell silent.
    pub missing: Vec<String>,
    /// Names of some that attached to the sender since its last aggregate.
    pub attached: Vec<String>,
}

/// The version that a process holds, and how long ago an origin was heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVersion {
    /// In force there.
    pub version: Version,
    /// The low half of the table's digest.
    pub short_digest: u64,
    /// How long ago an origin was last heard from, directly or through relays; `u32::MAX` where it never was.
    pub age_ms: u32,
}

/// A process, and the relay or origin that feeds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attachment {
    /// Of the process.
    pub name: String,
    /// Where its parent is reached.
    pub parent: SocketAddr,
}

/// What processes send to each other. Each message travels with the address of its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Listener to origin: which parent may I attach to?
    FindParent {
        /// Who asks.
        node: NodeInfo,
        /// Those that did not answer or are gone, which the answer leaves out.
        excluded: Vec<SocketAddr>,
        /// Sent here by another origin, so not to be redirected again.
        redirected: bool,
    },
    /// An origin's answer: try these relays in this order, or become a relay that I feed, or ask that origin.
    ParentCandidates {
        /// To be tried in this order; none where one of the other two is meant.
        relays: Vec<SocketAddr>,
        /// What the listener is to be.
        kind: ListenerKind,
        /// `Failover`: the relays have no capacity but what is reserved for those that lost their parent.
        limit: FanOutLimit,
        /// An origin that is nearer.
        ask_origin: Option<SocketAddr>,
    },
    /// To a parent: feed me, from the version that I hold.
    Attach {
        /// Who asks.
        node: NodeInfo,
        /// What it holds.
        held: HeldVersion,
        /// A relay attaches to an origin, a leaf to a relay.
        kind: ListenerKind,
        /// `Failover`: its last parent is lost.
        limit: FanOutLimit,
    },
    /// The parent feeds the sender of [`Message::Attach`] from now on.
    Attached(HeldVersion),
    /// No capacity, or not a process that feeds others; also to one that is not known as a child (any more).
    Rejected,
    /// I do not hear from you, or do not feed you, any more.
    Detach,
    /// A sign of life from a parent, and between origins.
    Heartbeat(HeldVersion),
    /// To a child: other parents that it may go to.
    AlternateParents {
        /// Its backup parent first.
        relays: Vec<SocketAddr>,
        /// The nearest first.
        origins: Vec<SocketAddr>,
    },
    /// Consecutive changes.
    Delta(Vec<Change>),
    /// What comes after this? Answered with a delta, or with the first chunk of a snapshot.
    SyncRequest(HeldVersion),
    /// The chunk of this version's snapshot that follows on a name. Where the sender of the snapshot moved on, the delta
    /// comes before the chunk, or the snapshot starts again.
    ChunkRequest {
        /// The version that is being assembled.
        version: Version,
        /// The last name that came; none for the first chunk.
        after: Option<String>,
    },
    /// A bounded run of a snapshot's entries.
    SnapshotChunk {
        /// Of the whole snapshot.
        version: Version,
        /// Of the whole snapshot.
        digest: u128,
        /// The name that the entries follow on.
        after: Option<String>,
        /// In order of their names.
        entries: Vec<Entry>,
        /// No entry comes after these.
        is_last: bool,
    },
    /// Child to parent: how many are up to date.
    Aggregate(Aggregate),
    /// Attach elsewhere. From a relay that feeds more than its fan-out, without an address: ask an origin again. From an
    /// origin to a relay: attach to that origin, which is nearer or feeds far fewer.
    Reattach(Option<SocketAddr>),
    /// From an origin: these, named as missing, have attached elsewhere since.
    Relocated(Vec<String>),
    /// Between origins: who attached lately, and where.
    Attachments(Vec<Attachment>),
    /// What do you hold? To a backup parent, from time to time.
    Probe,
    /// Answer to [`Message::Probe`].
    ProbeReply(HeldVersion),
    /// Between origins: who I am, and the relays that I feed.
    OriginRelays {
        /// The origin.
        origin: NodeInfo,
        /// Its relays.
        relays: Vec<RelayInfo>,
    },
}
