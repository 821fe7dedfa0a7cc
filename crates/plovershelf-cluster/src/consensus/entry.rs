//! What the replicated log consists of: terms, positions, entries, snapshots, and the state machine that they drive.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;

/// A leader's term: at most one leader is elected in each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

impl Term {
    /// The term that follows.
    pub fn next(self) -> Self {
        Term(self.0 + 1)
    }
}

/// A position in the log. Of two logs the one that ends in the later term is more up to date, then the longer one
/// (Raft, section 5.4.1); the order of the fields says so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term in which the entry was appended.
    pub term: Term,
    /// Index of the entry; the first has 1.
    pub index: u64,
}

/// What committed commands are applied to.
pub trait StateMachine: Clone + Debug + PartialEq {
    /// What entries carry.
    type Command: Clone + Debug + Eq + Hash + Serialize;
    /// Applies a committed command. It must come to the same state on every node.
    fn apply(&mut self, command: &Self::Command);
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload<C> {
    /// Appended by a new leader, so that it may commit what earlier terms left.
    Noop,
    /// All voters from this entry on; they differ from those before by one.
    Voters(BTreeSet<NodeId>),
    /// A command for the state machine.
    Command(C),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Term of the leader that appended it.
    pub term: Term,
    /// What it carries.
    pub payload: Payload<C>,
}

/// The state that all entries up to a position come to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot<S> {
    /// The last entry that it includes.
    pub last: LogPosition,
    /// The voters at that position.
    pub voters: BTreeSet<NodeId>,
    /// Index of the entry that named the voters.
    pub voters_index: u64,
    /// The state machine.
    pub state: S,
}

/// Voters and the index of the entry that named them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterConfig {
    /// Index of the entry that named them.
    pub index: u64,
    /// The voters.
    pub voters: BTreeSet<NodeId>,
}
