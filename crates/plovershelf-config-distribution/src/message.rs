//! The wire protocol between the nodes of the distribution tree. The encoding is positional, so the order and the
//! types of variants and fields must not change.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::change::Change;
use crate::entry::{Entry, MAX_NAME_BYTES};
use crate::version::Version;

/// Maximum number of addresses in a list.
pub(crate) const MAX_ADDRESSES: usize = 16;
/// Maximum number of missing processes, and of attached processes, in an aggregate.
pub(crate) const MAX_NAMES: usize = 8;
/// Maximum number of attachments in a message between origins.
pub(crate) const MAX_ATTACHMENTS: usize = 80;
/// Maximum number of relays in an origin's list for another origin.
pub(crate) const MAX_RELAYS: usize = 64;

/// Identity and location that a process sends to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// The zone of the process.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// The address at which the process accepts connections.
    pub address: SocketAddr,
    /// Random number drawn at each start. It distinguishes a restarted process from its predecessor at the same
    /// address.
    pub incarnation: u64,
}

impl NodeInfo {
    pub(crate) fn is_bounded(&self) -> bool {
        let is_valid = |text: &str| text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control);
        !self.name.is_empty() && is_valid(&self.name) && is_valid(&self.zone) && is_valid(&self.region)
    }
}

/// The position of a listener in the distribution tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListenerKind {
    /// Has no children; its parent is a relay.
    Leaf,
    /// Has leaves as children; its parent is an origin.
    Relay,
}

/// Selects which of a parent's two fan-out limits applies to a new child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FanOutLimit {
    /// The regular fan-out.
    Normal,
    /// The higher limit. The difference to the regular fan-out is reserved for processes that lost their parent.
    Failover,
}

/// A relay in the lists that origins exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayInfo {
    /// The address of the relay.
    pub address: SocketAddr,
    /// The zone of the relay.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// Number of the relay's children.
    pub children: u32,
}

/// Counts of the processes in the sender's subtree, and of those that are up to date. A listener counts itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aggregate {
    /// The version in force on the sender; `up_to_date` counts the processes with exactly this version.
    pub version: Version,
    /// Number of processes in the subtree.
    pub nodes: u32,
    /// Number of processes in the subtree that have `version` in force.
    pub up_to_date: u32,
    /// The lowest version in the subtree.
    pub oldest: Version,
    /// Number of the sender's direct children.
    pub children: u32,
    /// Names of some processes that are behind or timed out.
    pub missing: Vec<String>,
    /// Names of some processes that attached to the sender since its last aggregate, and of known children in
    /// rotation.
    pub attached: Vec<String>,
}

/// The version in force on a process, and the time since its last origin contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The version in force on the sender.
    pub version: Version,
    /// The low 64 bits of the digest of the sender's table.
    pub short_digest: u64,
    /// Time since the last origin contact, directly or through relays, in milliseconds; `u32::MAX` if there was none.
    pub age_ms: u32,
}

/// A process and its parent, which is a relay or an origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attachment {
    /// The name of the process.
    pub name: String,
    /// The address of its parent.
    pub parent: SocketAddr,
}

/// A message between processes. The transport supplies the sender's address with each message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent by a listener to an origin: requests candidates for a parent.
    FindParent {
        /// The listener that looks for a parent.
        node: NodeInfo,
        /// Addresses that failed the listener recently and that the answer must not contain.
        excluded: Vec<SocketAddr>,
        /// True if another origin redirected the listener, which must not be redirected again.
        redirected: bool,
    },
    /// An origin's answer to [`Message::FindParent`]: candidate relays, the instruction to become a relay of this
    /// origin, or a redirection to another origin.
    ParentCandidates {
        /// The candidates, in the order in which the listener should try them; empty for the other two answers.
        relays: Vec<SocketAddr>,
        /// The kind that the listener must have from now on.
        kind: ListenerKind,
        /// `Failover` if all candidates have reached their regular fan-out.
        limit: FanOutLimit,
        /// An origin in the listener's region, which the listener should ask instead.
        ask_origin: Option<SocketAddr>,
    },
    /// Sent to a prospective parent: requests attachment and the changes after the version in `version_info`.
    Attach {
        /// The listener that requests attachment.
        node: NodeInfo,
        /// The version in force on the listener.
        version_info: HeldVersion,
        /// The kind of the listener: a relay attaches to an origin, a leaf to a relay.
        kind: ListenerKind,
        /// `Failover` if the listener lost its previous parent.
        limit: FanOutLimit,
    },
    /// Accepts a [`Message::Attach`]: the receiver is a child of the sender from now on.
    Attached(HeldVersion),
    /// Rejects an attachment for lack of capacity or because the sender accepts no such child. Also answers messages
    /// of a process that the sender doesn't have as a child, or no longer has.
    Rejected,
    /// Ends a parent-child relation; sent by either side.
    Detach,
    /// Sent periodically from a parent to its children, and between origins.
    Heartbeat(HeldVersion),
    /// Sent to a child: other parents that it may attach to if it loses this one.
    AlternateParents {
        /// Alternate relays; the first one is the backup parent.
        relays: Vec<SocketAddr>,
        /// All known origins, the nearest first.
        origins: Vec<SocketAddr>,
    },
    /// Consecutive changes, in order of their versions.
    Delta(Vec<Change>),
    /// Requests the data that follows the sender's version. The answer is a delta, the first chunk of a snapshot, or a
    /// [`Message::ProbeReply`] if there is nothing newer.
    SyncRequest(HeldVersion),
    /// Requests the chunk that follows a name in the snapshot of this version. If the receiver's version has advanced,
    /// the changes since then precede the chunk, or the snapshot starts again from its first chunk.
    ChunkRequest {
        /// The version of the snapshot that is being assembled.
        version: Version,
        /// The last name that was received; `None` requests the first chunk.
        after: Option<String>,
    },
    /// A bounded range of a snapshot's entries.
    SnapshotChunk {
        /// The version of the whole snapshot.
        version: Version,
        /// The digest of the whole snapshot.
        digest: u128,
        /// The name that the entries follow; `None` for the first chunk.
        after: Option<String>,
        /// The entries, sorted by name.
        entries: Vec<Entry>,
        /// True if no entries follow this chunk.
        is_last: bool,
    },
    /// Sent to the parent: counts of the processes in the sender's subtree.
    Aggregate(Aggregate),
    /// Instructs a child to attach elsewhere. A relay that exceeds its fan-out sends it without an address to a leaf,
    /// which asks an origin for another parent. An origin sends it to a relay with the address of an origin that is
    /// nearer or has far fewer children.
    Reattach(Option<SocketAddr>),
    /// Sent by an origin to a child: these processes, which the child reported as missing, are attached elsewhere.
    Relocated(Vec<String>),
    /// Exchanged between origins: recent attachments.
    Attachments(Vec<Attachment>),
    /// Requests the version in force on the receiver. Sent periodically to the backup parent.
    Probe,
    /// The answer to [`Message::Probe`].
    ProbeReply(HeldVersion),
    /// Exchanged between origins: the sender's identity and its relays.
    OriginRelays {
        /// The sending origin.
        origin: NodeInfo,
        /// The relays that are children of the sender.
        relays: Vec<RelayInfo>,
    },
}
