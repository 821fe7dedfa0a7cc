//! Types of the replicated log: terms, positions, entries, snapshots and the replicated state machine.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;

/// A Raft term. At most one leader is elected in each term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

impl Term {
    /// Returns the next term.
    pub fn next(self) -> Self {
        Term(self.0 + 1)
    }
}

/// The position of an entry in the log. The order of the fields makes the derived `Ord` compare logs as Raft requires:
/// the log whose last entry has the later term is more up to date, and of two with equal terms the longer one (section
/// 5.4.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term in which the entry was appended.
    pub term: Term,
    /// Index of the entry, starting at 1.
    pub index: u64,
}

/// The replicated state machine to which committed commands are applied.
pub trait StateMachine: Clone + Debug + PartialEq {
    /// The command type stored in log entries.
    type Command: Clone + Debug + Eq + Hash + Serialize;
    /// Applies a committed command. Must be deterministic, so that every node reaches the same state.
    fn apply(&mut self, command: &Self::Command);
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload<C> {
    /// Appended by a new leader so that it can commit entries of earlier terms.
    Noop,
    /// The full set of voters from this entry on. Differs from the previous set by one node.
    Voters(BTreeSet<NodeId>),
    /// A command for the state machine.
    Command(C),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload<C>,
}

/// The voters and the state machine after all entries up to a position, replacing those entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot<S> {
    /// Position of the last entry that the snapshot includes.
    pub last: LogPosition,
    /// Voters in force at that position.
    pub voters: BTreeSet<NodeId>,
    /// Index of the entry that set the voters.
    pub voters_index: u64,
    /// State machine at that position.
    pub state: S,
}

/// A set of voters and the index of the entry that set it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterConfig {
    /// Index of the log entry that set the voters.
    pub index: u64,
    /// Voters of the consensus group.
    pub voters: BTreeSet<NodeId>,
}
