//! Operators' queries and commands to a member, and the member's answers.
//!
//! The serialized names are keys of the JSON that the commands print for operators and scripts, so they must not
//! change. A field whose term in the code differs from its key has a `serde(rename)` attribute.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::consensus::Role;
use crate::gossip::{MemberState, MemberUpdate};
use crate::node::ClusterNode;
use crate::view::ViewChange;

/// A query or command sent to a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Requests the member's [`Status`].
    Status,
    /// Starts a new epoch without the lost nodes; see [`ClusterNode::recover`].
    Recover {
        /// Names of the permanently lost nodes.
        lost: Vec<String>,
    },
    /// Requests the replacement of a voter without waiting; see [`ClusterNode::replace_voter`].
    Replace {
        /// Name of the voter.
        voter: String,
    },
    /// Query to another subsystem, in the subsystem's own encoding.
    Part {
        /// Name of the subsystem.
        part: String,
        /// Encoded query.
        bytes: Vec<u8>,
    },
    /// Requests the member's [`ReplicationStatus`].
    Copies,
    /// Requests the [`KeyStatus`] of an idempotency key of a request class.
    Ticket {
        /// Request class.
        offering: String,
        /// Idempotency key.
        ticket: String,
    },
    /// Requests a [`Brief`], which is cheap enough to poll on every member of a large cluster.
    Brief {
        /// Names of the members to report on, at most [`MAX_BRIEF_NAMES`].
        names: Vec<String>,
    },
}

/// Maximum number of names in a request for a [`Brief`].
pub const MAX_BRIEF_NAMES: usize = 256;

/// A short status, whose size grows with the number of requested names but not with the number of members.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Brief {
    /// Name of the member.
    pub name: String,
    /// Node id of the member.
    #[serde(rename = "memory")]
    pub node_id: u64,
    /// Epoch that the member belongs to.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// Number of the latest view known to the member.
    pub view: u64,
    /// Whether the member is the leader.
    pub leads: bool,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Whether the member has a valid lease or leads, and so may act now.
    pub may_act: bool,
    /// Number of members in the view.
    pub in_view: u64,
    /// Number of members that the member considers alive or suspect.
    pub alive: u64,
    /// Requested names of members that the member considers alive or suspect.
    pub alive_of: Vec<String>,
    /// Key, version and CRC-32 of each committed value.
    #[serde(rename = "words")]
    pub values: Vec<(String, u64, u32)>,
}

/// The status of a member in the replication of deduplication records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicationStatus {
    /// Name of the member.
    pub name: String,
    /// Number of the view by which the member places replicas.
    pub view: u64,
    /// Whether the member has all records that it is the primary of, and so accepts new reservations.
    #[serde(rename = "settled")]
    pub is_reconciled: bool,
    /// Target number of replicas of each record.
    #[serde(rename = "copies")]
    pub replication_factor: u64,
    /// Number of replicas that must confirm a reservation before its request runs.
    #[serde(rename = "least")]
    pub min_replicas: u64,
    /// Number of records stored on the member.
    #[serde(rename = "held")]
    pub records: u64,
    /// Maximum number of records stored on the member.
    #[serde(rename = "held_most")]
    pub max_records: u64,
    /// Total size of the stored records, in bytes.
    #[serde(rename = "held_bytes")]
    pub outcome_bytes: u64,
    /// Maximum total size of the stored records, in bytes.
    #[serde(rename = "held_bytes_most")]
    pub max_outcome_bytes: u64,
    /// Number of records that the member is the primary of and that have fewer replicas than the target.
    #[serde(rename = "low")]
    pub under_replicated_records: u64,
    /// Number of the member's own requests that wait for a reservation.
    #[serde(rename = "asking")]
    pub reserving: u64,
    /// Number of the member's own requests that wait for the outcome of another attempt.
    pub waiting: u64,
    /// Number of the member's own requests that are running.
    pub running: u64,
    /// Number of the member's own requests whose outcome is being replicated.
    #[serde(rename = "ending")]
    pub completing: u64,
    /// Names of the members that are suspected and skipped.
    #[serde(rename = "doubted")]
    pub suspected: Vec<String>,
    /// Names of the members of the view that are draining.
    #[serde(rename = "leaving")]
    pub draining: Vec<String>,
}

/// The status of an idempotency key on a member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyStatus {
    /// Name of the member.
    pub name: String,
    /// Number of the view by which the member places replicas.
    pub view: u64,
    /// Hash of request class and idempotency key, which determines the placement of replicas.
    pub hash: String,
    /// Names of the replicas according to the view, the primary first.
    #[serde(rename = "placed")]
    pub replica_set: Vec<String>,
    /// Record stored on the member, if any.
    #[serde(rename = "held")]
    pub record: Option<RecordStatus>,
}

/// A deduplication record stored on a member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordStatus {
    /// Name of the member that executes the request.
    #[serde(rename = "runner")]
    pub executor: String,
    /// Names of the replicas that had to confirm the reservation before the request ran.
    #[serde(rename = "holders")]
    pub replica_set: Vec<String>,
    /// State of the request: `open`, `succeeded` with the length of its result, `failed` or `in doubt`.
    pub state: String,
    /// Number of the view under which the request was reserved.
    #[serde(rename = "claimed_under_view")]
    pub reserved_in_view: u64,
    /// Retention time of the record, in milliseconds.
    #[serde(rename = "keep_ms")]
    pub retention_ms: u64,
}

/// The answer of a member to a [`Question`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Answer to [`Question::Status`].
    Status(Box<Status>),
    /// Answer to [`Question::Copies`].
    Copies(Box<ReplicationStatus>),
    /// Answer to [`Question::Ticket`].
    Ticket(Box<KeyStatus>),
    /// Answer to [`Question::Part`].
    Part(Vec<u8>),
    /// Result of an executed command, as a line of text.
    Done(String),
    /// Reason for refusing a query or command, as a line of text.
    Refused(String),
    /// Answer to [`Question::Brief`].
    Brief(Box<Brief>),
}

/// The status of a member as seen by the answering one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Node id of the member.
    #[serde(rename = "memory")]
    pub node_id: u64,
    /// Zone that the member runs in.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// Address on which the member receives messages.
    pub address: String,
    /// State in gossip: `alive`, `suspected`, `dead` or `left`.
    #[serde(rename = "condition")]
    pub state: String,
    /// Whether the member is ready.
    #[serde(rename = "fit")]
    pub is_ready: bool,
    /// Whether the member is draining.
    #[serde(rename = "leaving")]
    pub is_draining: bool,
    /// Whether the member is in the view.
    pub in_view: bool,
    /// Whether the member is a voter.
    pub voter: bool,
    /// Time since the member entered its state, in milliseconds.
    pub since_ms: f64,
    /// Number of entries by which a voter lags behind the end of the leader's log. Present only on the leader, for
    /// voters.
    pub lag: Option<u64>,
}

/// The full status of a member and of the cluster as known to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the cluster.
    pub group: String,
    /// Name of the member.
    pub name: String,
    /// Node id of the member.
    #[serde(rename = "memory")]
    pub node_id: u64,
    /// Sequence number of the epoch that the member belongs to.
    #[serde(rename = "council")]
    pub epoch_number: u64,
    /// Epoch that the member belongs to.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// Latest term that the member has seen.
    pub term: u64,
    /// Role of the member in consensus, as text.
    pub role: String,
    /// Whether the member is the leader.
    pub leads: bool,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Commit index of the member.
    #[serde(rename = "decided")]
    pub commit_index: u64,
    /// Number of the latest view known to the member.
    pub view: u64,
    /// Node ids of the members of the view, in ascending order.
    pub view_members: Vec<u64>,
    /// Number of the view by which the member may act now, if any.
    pub may_act: Option<u64>,
    /// Time since the last message from a leader, in milliseconds. Present only if it is longer than an election takes.
    #[serde(rename = "undecided_ms")]
    pub no_leader_ms: Option<f64>,
    /// Whether the member's storage works.
    #[serde(rename = "keeps")]
    pub is_storage_working: bool,
    /// Status of all members known to the member.
    pub members: Vec<MemberStatus>,
    /// Last changes of the view, oldest first.
    pub history: Vec<ViewChange>,
    /// Key and version of each committed value.
    #[serde(rename = "words")]
    pub values: Vec<(String, u64)>,
}

fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspected",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

fn role_text(role: &Role) -> &'static str {
    match role {
        Role::NonVoter => "no voter",
        Role::Recovering(_) => "returning",
        Role::Follower => "following",
        Role::PreCandidate { .. } => "asking for votes",
        Role::Candidate { .. } => "standing",
        Role::Leader => "leading",
        Role::StorageFailed => "mute: its folder takes nothing",
    }
}

impl Brief {
    /// Returns the short status of a node with the presence of the members with these names.
    pub fn of(node: &ClusterNode, names: &[String], now_ms: f64) -> Self {
        let (view, raft) = (node.view(), node.raft());
        let requested: BTreeSet<&str> = names.iter().take(MAX_BRIEF_NAMES).map(String::as_str).collect();
        let present = || node.swim().present().map(|update| &update.node.name);
        let alive_of: BTreeSet<&String> =
            present().filter(|name| requested.contains(name.as_str())).collect();
        let values = raft.state().values.iter();
        let values = values.map(|(key, value)| (key.clone(), value.version, crc32fast::hash(&value.bytes)));
        Brief {
            name: node.node().name.clone(),
            node_id: node.node().id.0,
            epoch: raft.epoch().0,
            view: view.number,
            leads: raft.leads(),
            leader: node.leader().and_then(|id| node.name_of(id)),
            may_act: node.may_act(now_ms).is_some(),
            in_view: view.members.len() as u64,
            alive: present().count() as u64,
            alive_of: alive_of.into_iter().cloned().collect(),
            values: values.collect(),
        }
    }
}

impl MemberStatus {
    fn of(node: &ClusterNode, update: &MemberUpdate, since_ms: f64) -> Self {
        let (raft, info) = (node.raft(), &update.node);
        let voter = raft.voters().contains(&info.id);
        let last = raft.persistent().last().index;
        let progress = || raft.match_indices().into_iter().find(|(id, _)| *id == info.id);
        let lag = || progress().map(|(_, index)| last - index);
        MemberStatus {
            name: info.name.clone(),
            node_id: info.id.0,
            zone: info.zone.clone(),
            region: info.region.clone(),
            address: info.address.to_string(),
            state: state_text(update.state).into(),
            is_ready: update.ready,
            is_draining: update.draining,
            in_view: node.view().members.contains_key(&info.id),
            voter,
            since_ms,
            lag: if voter && raft.leads() { lag() } else { None },
        }
    }
}

impl Status {
    /// Returns the full status of a node in a cluster with this name.
    pub fn of(node: &ClusterNode, cluster: &str, now_ms: f64) -> Self {
        let (raft, view, info) = (node.raft(), node.view(), node.node());
        let others = node.swim().others();
        let mut members: Vec<MemberStatus> =
            others.map(|(update, since_ms)| MemberStatus::of(node, update, now_ms - since_ms)).collect();
        members.push(MemberStatus::of(node, node.swim().own(), now_ms));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Status {
            group: cluster.to_string(),
            name: info.name.clone(),
            node_id: info.id.0,
            epoch_number: raft.epoch().number(),
            epoch: raft.epoch().0,
            term: raft.term().0,
            role: role_text(raft.role()).into(),
            leads: raft.leads(),
            leader: node.leader().and_then(|id| node.name_of(id)),
            commit_index: raft.commit_index(),
            view: view.number,
            view_members: view.members.keys().map(|id| id.0).collect(),
            may_act: node.may_act(now_ms),
            no_leader_ms: node.no_leader_since_ms().map(|since_ms| now_ms - since_ms.max(0.0)),
            is_storage_working: *raft.role() != Role::StorageFailed,
            members,
            history: raft.state().view_changes.iter().cloned().collect(),
            values: raft.state().values.iter().map(|(key, value)| (key.clone(), value.version)).collect(),
        }
    }
}
