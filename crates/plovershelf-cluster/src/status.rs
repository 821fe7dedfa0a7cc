//! What a member tells people of itself and the cluster, and what they may ask of it.
//!
//! The names of fields are keys of the JSON that commands print, which people and scripts read: they stay as they are, also
//! where the code has another term. Their documentation says which.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::consensus::Role;
use crate::gossip::{MemberState, MemberUpdate};
use crate::node::ClusterNode;
use crate::view::ViewChange;

/// What a member is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Its [`Status`].
    Status,
    /// Begins a new epoch without these; see [`ClusterNode::recover`].
    Recover {
        /// Names of the nodes that are lost for good.
        lost: Vec<String>,
    },
    /// Has a voter replaced at once; see [`ClusterNode::replace_voter`].
    Replace {
        /// The voter's name.
        voter: String,
    },
    /// What another subsystem of the product is asked, in its own encoding.
    Part {
        /// The subsystem.
        part: String,
        /// The question.
        bytes: Vec<u8>,
    },
    /// Its [`ReplicationStatus`].
    Copies,
    /// What it holds of one idempotency key of a request class: [`KeyStatus`].
    Ticket {
        /// The request class.
        offering: String,
        /// The idempotency key.
        ticket: String,
    },
    /// Its [`Brief`], which can be asked of each member of a large cluster often.
    Brief {
        /// Members that are asked about, at most [`MAX_BRIEF_NAMES`].
        names: Vec<String>,
    },
}

/// Members that a question for a [`Brief`] may name.
pub const MAX_BRIEF_NAMES: usize = 256;

/// What stays small however many members there are: its length grows with the names asked about alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Brief {
    /// The member's name.
    pub name: String,
    /// Its node id.
    #[serde(rename = "memory")]
    pub node_id: u64,
    /// Its epoch.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// Number of the view that it has.
    pub view: u64,
    /// Whether it leads.
    pub leads: bool,
    /// The leader's name, where it knows one.
    pub leader: Option<String>,
    /// Whether it may act at this moment.
    pub may_act: bool,
    /// Members in the view.
    pub in_view: u64,
    /// Members that it takes to be alive or merely suspects.
    pub alive: u64,
    /// Those of the names asked about that it takes to be alive or merely suspects.
    pub alive_of: Vec<String>,
    /// Committed values: key, version, checksum of the bytes.
    #[serde(rename = "words")]
    pub values: Vec<(String, u64, u32)>,
}

/// A member's part in the replication of deduplication records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicationStatus {
    /// The member's name.
    pub name: String,
    /// Number of the view that it places replicas by.
    pub view: u64,
    /// Whether it has all records that it is the primary of, so that it orders new reservations.
    #[serde(rename = "settled")]
    pub is_reconciled: bool,
    /// Replicas that each record should have.
    #[serde(rename = "copies")]
    pub replication_factor: u64,
    /// Replicas that must confirm before a request runs.
    #[serde(rename = "least")]
    pub min_replicas: u64,
    /// Records that it holds.
    #[serde(rename = "held")]
    pub records: u64,
    /// Most records that it may hold.
    #[serde(rename = "held_most")]
    pub max_records: u64,
    /// Bytes of the records that it holds.
    #[serde(rename = "held_bytes")]
    pub outcome_bytes: u64,
    /// Most bytes that they may have.
    #[serde(rename = "held_bytes_most")]
    pub max_outcome_bytes: u64,
    /// Records that it is the primary of and that have fewer replicas than they should.
    #[serde(rename = "low")]
    pub under_replicated_records: u64,
    /// Its own requests that ask for a reservation.
    #[serde(rename = "asking")]
    pub reserving: u64,
    /// Its own requests that wait for another's outcome.
    pub waiting: u64,
    /// Its own requests that run.
    pub running: u64,
    /// Its own requests whose outcome is being replicated.
    #[serde(rename = "ending")]
    pub completing: u64,
    /// Members that are suspected and skipped.
    #[serde(rename = "doubted")]
    pub suspected: Vec<String>,
    /// Members of the view that are draining.
    #[serde(rename = "leaving")]
    pub draining: Vec<String>,
}

/// An idempotency key as one member sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyStatus {
    /// The member's name.
    pub name: String,
    /// Number of the view that it places replicas by.
    pub view: u64,
    /// Hash of class and key, by which replicas are placed.
    pub hash: String,
    /// The replica set by the view, the primary first.
    #[serde(rename = "placed")]
    pub replica_set: Vec<String>,
    /// The record, where it holds one.
    #[serde(rename = "held")]
    pub record: Option<RecordStatus>,
}

/// A deduplication record that a member holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordStatus {
    /// The member that executes the request.
    #[serde(rename = "runner")]
    pub executor: String,
    /// The replicas that had to confirm the reservation before anything ran.
    #[serde(rename = "holders")]
    pub replica_set: Vec<String>,
    /// `open`, `succeeded` with the length of its result, `failed`, `in doubt`.
    pub state: String,
    /// Number of the view by which it was reserved.
    #[serde(rename = "claimed_under_view")]
    pub reserved_in_view: u64,
    /// For how long the record is kept.
    #[serde(rename = "keep_ms")]
    pub retention_ms: u64,
}

/// What a member answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Question::Status`].
    Status(Box<Status>),
    /// To [`Question::Copies`].
    Copies(Box<ReplicationStatus>),
    /// To [`Question::Ticket`].
    Ticket(Box<KeyStatus>),
    /// To [`Question::Part`].
    Part(Vec<u8>),
    /// A command was carried out: what came of it, in a line.
    Done(String),
    /// A question or command was refused: why, in a line.
    Refused(String),
    /// To [`Question::Brief`].
    Brief(Box<Brief>),
}

/// One member as another sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its node id.
    #[serde(rename = "memory")]
    pub node_id: u64,
    /// The zone that it runs in.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// Where it is reached.
    pub address: String,
    /// Its state in gossip: `alive`, `suspected`, `dead`, `left`.
    #[serde(rename = "condition")]
    pub state: String,
    /// Whether it is ready.
    #[serde(rename = "fit")]
    pub is_ready: bool,
    /// Whether it is draining.
    #[serde(rename = "leaving")]
    pub is_draining: bool,
    /// Whether it is in the view.
    pub in_view: bool,
    /// Whether it is a voter.
    pub voter: bool,
    /// For how long it has been in its state, in milliseconds.
    pub since_ms: f64,
    /// By how many entries it lags behind the end of the leader's log; known to the leader, of voters alone.
    pub lag: Option<u64>,
}

/// All that a member knows of the cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The cluster's name.
    pub group: String,
    /// The member's name.
    pub name: String,
    /// Its node id.
    #[serde(rename = "memory")]
    pub node_id: u64,
    /// Number of its epoch.
    #[serde(rename = "council")]
    pub epoch_number: u64,
    /// Its epoch.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// Its term.
    pub term: u64,
    /// Its role in consensus, in words.
    pub role: String,
    /// Whether it leads.
    pub leads: bool,
    /// The leader's name, where it knows one.
    pub leader: Option<String>,
    /// Its commit index.
    #[serde(rename = "decided")]
    pub commit_index: u64,
    /// Number of the view that it has.
    pub view: u64,
    /// Node ids of the view's members, in order.
    pub view_members: Vec<u64>,
    /// By which view it may act at this moment.
    pub may_act: Option<u64>,
    /// For how long nothing has come from a leader, where that is longer than elections take.
    #[serde(rename = "undecided_ms")]
    pub no_leader_ms: Option<f64>,
    /// Whether its storage works.
    #[serde(rename = "keeps")]
    pub is_storage_working: bool,
    /// All members that it knows.
    pub members: Vec<MemberStatus>,
    /// The last changes of the view.
    pub history: Vec<ViewChange>,
    /// Committed values: key and version.
    #[serde(rename = "words")]
    pub values: Vec<(String, u64)>,
}

fn state_in_words(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspected",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

fn role_in_words(role: &Role) -> &'static str {
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
    /// Of a node; `names` are those asked about.
    pub fn of(node: &ClusterNode, names: &[String], now_ms: f64) -> Self {
        let (view, raft) = (node.view(), node.raft());
        let asked: BTreeSet<&str> = names.iter().take(MAX_BRIEF_NAMES).map(String::as_str).collect();
        let present = || node.swim().present().map(|update| &update.node.name);
        let alive_of: BTreeSet<&String> = present().filter(|name| asked.contains(name.as_str())).collect();
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
        let lag = || raft.matched().into_iter().find(|(id, _)| *id == info.id).map(|(_, index)| last - index);
        MemberStatus {
            name: info.name.clone(),
            node_id: info.id.0,
            zone: info.zone.clone(),
            region: info.region.clone(),
            address: info.address.to_string(),
            state: state_in_words(update.state).into(),
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
    /// Of a node in the cluster of that name.
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
            role: role_in_words(raft.role()).into(),
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
