//! What nodes of a consensus group send to each other, and what a call asks its driver to do.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::entry::{Entry, LogPosition, Payload, Snapshot, StateMachine, Term};
use super::persistent::Record;
use crate::identity::NodeId;

/// Which of an election's two rounds a vote belongs to. On the wire it is what a flag `pre_vote` would be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ballot {
    /// A vote that binds the voter in its term.
    Vote,
    /// Whether there would be a vote; nobody's term changes by it (Ongaro's dissertation, section 9.6).
    PreVote,
}

/// Messages between nodes. All of them travel with the epoch; what is of another epoch never reaches the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound(serialize = "S: Serialize, S::Command: Serialize"))]
#[serde(bound(deserialize = "S: serde::de::DeserializeOwned, S::Command: serde::de::DeserializeOwned"))]
pub enum Message<S: StateMachine> {
    /// A candidate asks for a vote.
    RequestVote {
        /// The term that it campaigns for.
        term: Term,
        /// Where its log ends.
        last: LogPosition,
        /// Pre-vote or vote.
        ballot: Ballot,
    },
    /// The answer to a request for a vote.
    Vote {
        /// The term that the vote is for; where it is refused, the voter's own.
        term: Term,
        /// Whether the vote is given.
        granted: bool,
        /// Pre-vote or vote.
        ballot: Ballot,
    },
    /// A leader's entries, or its heartbeat where there are none.
    AppendEntries {
        /// The leader's term.
        term: Term,
        /// The entry that precedes these.
        previous: LogPosition,
        /// What follows it.
        entries: Vec<Entry<S::Command>>,
        /// The leader's commit index.
        commit_index: u64,
        /// The leader's clock in microseconds. It comes back with the answer, so the leader knows since when it was
        /// still followed.
        sent_at_us: u64,
    },
    /// The committed state, for a node that lags behind the leader's log.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The state.
        snapshot: Snapshot<S>,
        /// As in [`Message::AppendEntries`].
        sent_at_us: u64,
    },
    /// The answer to both of the above.
    AppendResponse {
        /// The answering node's term.
        term: Term,
        /// Whether its log contains the entry that precedes those sent.
        matches: bool,
        /// Up to where its log matches the leader's, or where it ends.
        last_index: u64,
        /// As it came.
        sent_at_us: u64,
    },
    /// A voter that restarted asks what it may have forgotten. Whoever answers is in a term of at least `min_term`.
    RecoveryRequest {
        /// Comes back with the answer.
        nonce: u64,
        /// The earliest term that the answer may be of.
        min_term: Term,
    },
    /// The answer to it.
    RecoveryResponse {
        /// As it came.
        nonce: u64,
        /// The answering node's term.
        term: Term,
        /// Where its log ends.
        last: LogPosition,
        /// Index of the entry that named its voters.
        voters_index: u64,
        /// Its voters.
        voters: BTreeSet<NodeId>,
        /// Whether it is a voter that is not recovering itself.
        active: bool,
        /// Whether it leads.
        leads: bool,
    },
}

/// What a call asks of the driver. `save` must be on disk before anything of `send` leaves.
#[derive(Clone, Debug)]
pub struct Actions<S: StateMachine> {
    /// Records to write, in order.
    pub save: Vec<Record<S>>,
    /// Messages to send.
    pub send: Vec<(NodeId, Message<S>)>,
    /// Newly committed, in order, with their indices.
    pub committed: Vec<(u64, Payload<S::Command>)>,
    /// A snapshot was installed: the entries that it includes were not seen one by one.
    pub snapshot_installed: bool,
}
