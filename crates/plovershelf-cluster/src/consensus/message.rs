//! Messages between the nodes of a consensus group, and the actions that a call returns to the driver.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::entry::{Entry, LogPosition, Payload, Snapshot, StateMachine, Term};
use super::persistent::Record;
use crate::identity::NodeId;

/// The round of an election that a vote belongs to. Encoded on the wire exactly as a boolean `pre_vote` would be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ballot {
    /// A binding vote: the voter grants at most one per term.
    Vote,
    /// A non-binding vote, which shows whether a vote would be granted. Changes no node's term (Ongaro's dissertation,
    /// section 9.6).
    PreVote,
}

/// Messages between nodes. The envelope of each message carries the epoch, and messages of another epoch are discarded
/// before they reach the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound(serialize = "S: Serialize, S::Command: Serialize"))]
#[serde(bound(deserialize = "S: serde::de::DeserializeOwned, S::Command: serde::de::DeserializeOwned"))]
pub enum Message<S: StateMachine> {
    /// Sent by a candidate to request a vote.
    RequestVote {
        /// Term in which the candidate wants to lead.
        term: Term,
        /// Last position of the candidate's log.
        last: LogPosition,
        /// Pre-vote or vote.
        ballot: Ballot,
    },
    /// Response to `RequestVote`.
    Vote {
        /// Term of the request if the vote is granted, otherwise the voter's current term.
        term: Term,
        /// Whether the vote is granted.
        granted: bool,
        /// Pre-vote or vote.
        ballot: Ballot,
    },
    /// Sent by the leader to replicate entries. A message without entries is a heartbeat.
    AppendEntries {
        /// Term of the leader.
        term: Term,
        /// Position of the entry immediately before `entries`.
        previous: LogPosition,
        /// Entries to append after `previous`.
        entries: Vec<Entry<S::Command>>,
        /// Commit index of the leader.
        commit_index: u64,
        /// Time of sending in microseconds of the leader's clock. The response echoes it, so that the leader knows at
        /// which time the follower still recognized it.
        sent_at_us: u64,
    },
    /// Sent by the leader to a follower that lags behind the start of the leader's log.
    InstallSnapshot {
        /// Term of the leader.
        term: Term,
        /// Committed state of the leader.
        snapshot: Snapshot<S>,
        /// Time of sending, as in [`Message::AppendEntries`].
        sent_at_us: u64,
    },
    /// Response to `AppendEntries` and `InstallSnapshot`.
    AppendResponse {
        /// Term of the responding node.
        term: Term,
        /// Whether the log of the responding node contains the entry before those sent.
        matches: bool,
        /// Last index at which the log matches the leader's if `matches`, otherwise the last index at which it may
        /// match.
        last_index: u64,
        /// `sent_at_us` of the message that this one answers.
        sent_at_us: u64,
    },
    /// Sent by a restarted voter to request the state that it may have lost. A voter joins term `min_term` before it
    /// responds if its own term is older.
    RecoveryRequest {
        /// Identifies the round of requests. The response echoes it.
        nonce: u64,
        /// Earliest term from which a response counts.
        min_term: Term,
    },
    /// Response to `RecoveryRequest`.
    RecoveryResponse {
        /// Nonce of the request.
        nonce: u64,
        /// Term of the responding node.
        term: Term,
        /// The later of two positions: the end of the responding node's log, and the position up to which that node
        /// may have acknowledged entries before its own restart, which its log need not contain any more.
        last: LogPosition,
        /// Index of the entry that set `voters`.
        voters_index: u64,
        /// Voters in force at the responding node.
        voters: BTreeSet<NodeId>,
        /// Whether the responding node is a voter and not recovering itself.
        active: bool,
        /// Whether the responding node is the leader of `term`.
        leads: bool,
    },
}

/// Actions that a call requires of the driver. All records in `save` must be on disk before any message in `send` is
/// sent.
#[derive(Clone, Debug)]
pub struct Actions<S: StateMachine> {
    /// Records to write to disk, in this order.
    pub save: Vec<Record<S>>,
    /// Messages to send, with their receivers.
    pub send: Vec<(NodeId, Message<S>)>,
    /// Newly committed payloads with their indices, in log order.
    pub committed: Vec<(u64, Payload<S::Command>)>,
    /// Whether a snapshot was installed. The entries that it includes do not appear in `committed`.
    pub snapshot_installed: bool,
}
