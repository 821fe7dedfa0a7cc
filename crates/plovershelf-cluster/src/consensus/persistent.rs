//! What a node keeps on disk, and the records by which it changes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::entry::{Entry, LogPosition, Payload, Snapshot, StateMachine, Term};
use crate::identity::{Epoch, NodeId};

/// A node's state on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound(serialize = "S: Serialize, S::Command: Serialize"))]
#[serde(bound(deserialize = "S: serde::de::DeserializeOwned, S::Command: serde::de::DeserializeOwned"))]
pub struct PersistentState<S: StateMachine> {
    /// The epoch that this node is part of; a later one fences everything of an older one off.
    pub epoch: Epoch,
    /// Latest term that this node has seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<NodeId>,
    /// A later epoch that this node has promised to wait for; [`Epoch::NONE`] for none.
    pub promised_epoch: Epoch,
    /// What precedes the log.
    pub snapshot: Snapshot<S>,
    /// The entries after the snapshot.
    pub log: Vec<Entry<S::Command>>,
}

impl<S: StateMachine> PersistentState<S> {
    /// Of a node that knows of no consensus group.
    pub fn empty(state: S) -> Self {
        let snapshot =
            Snapshot { last: LogPosition::default(), voters: BTreeSet::new(), voters_index: 0, state };
        PersistentState {
            epoch: Epoch::NONE,
            term: Term::default(),
            vote: None,
            promised_epoch: Epoch::NONE,
            snapshot,
            log: Vec::new(),
        }
    }

    /// The last entry's position, or the snapshot's where the log is empty.
    pub fn last(&self) -> LogPosition {
        let index = self.snapshot.last.index + self.log.len() as u64;
        self.log.last().map_or(self.snapshot.last, |entry| LogPosition { term: entry.term, index })
    }

    /// The term of the entry at an index, where the log still has it.
    pub(crate) fn term_at(&self, index: u64) -> Option<Term> {
        let snapshot = self.snapshot.last;
        match index.checked_sub(snapshot.index)? {
            0 => Some(snapshot.term),
            behind => self.log.get(behind as usize - 1).map(|entry| entry.term),
        }
    }

    /// The entry at an index, where the log still has it.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry<S::Command>> {
        self.log.get(index.checked_sub(self.snapshot.last.index + 1)? as usize)
    }

    /// The voters in force, which are the newest that the log names, committed or not (Raft, section 6), and the index
    /// that named them.
    pub(crate) fn voters(&self) -> (u64, &BTreeSet<NodeId>) {
        let first = self.snapshot.last.index + 1;
        let named = self.log.iter().enumerate().rev().find_map(|(offset, entry)| match &entry.payload {
            Payload::Voters(voters) => Some((first + offset as u64, voters)),
            _ => None,
        });
        named.unwrap_or((self.snapshot.voters_index, &self.snapshot.voters))
    }

    /// Applies one record. Whoever reads the file applies the records that the node wrote, in their order.
    pub fn apply(&mut self, record: Record<S>) {
        match record {
            Record::HardState { epoch, term, vote } => {
                (self.epoch, self.term, self.vote) = (epoch, term, vote)
            }
            Record::PromisedEpoch(epoch) => self.promised_epoch = epoch,
            Record::Append { from, entries } => {
                let keep = (from - 1).saturating_sub(self.snapshot.last.index) as usize;
                self.log.truncate(keep);
                self.log.extend(entries);
            }
            Record::Snapshot(snapshot) => {
                let covered = snapshot.last.index.saturating_sub(self.snapshot.last.index) as usize;
                let covered = covered.min(self.log.len());
                let matches = self.term_at(snapshot.last.index) == Some(snapshot.last.term);
                self.log = if matches { self.log.split_off(covered) } else { Vec::new() };
                self.snapshot = snapshot;
            }
        }
    }
}

/// One change of the state on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound(serialize = "S: Serialize, S::Command: Serialize"))]
#[serde(bound(deserialize = "S: serde::de::DeserializeOwned, S::Command: serde::de::DeserializeOwned"))]
pub enum Record<S: StateMachine> {
    /// Term and vote.
    HardState {
        /// The epoch that both belong to.
        epoch: Epoch,
        /// The latest term seen.
        term: Term,
        /// Whom the node voted for in it.
        vote: Option<NodeId>,
    },
    /// The log is truncated before `from` and goes on with these entries.
    Append {
        /// Index of the first of the entries.
        from: u64,
        /// What follows there.
        entries: Vec<Entry<S::Command>>,
    },
    /// What precedes the log from now on.
    Snapshot(Snapshot<S>),
    /// A later epoch that the node waits for.
    PromisedEpoch(Epoch),
}
