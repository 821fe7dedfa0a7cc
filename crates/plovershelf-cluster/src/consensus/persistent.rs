//! State that a node stores on disk, and the records that change it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::entry::{Entry, LogPosition, Payload, Snapshot, StateMachine, Term};
use crate::identity::{Epoch, NodeId};

/// The consensus state that a node stores on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound(serialize = "S: Serialize, S::Command: Serialize"))]
#[serde(bound(deserialize = "S: serde::de::DeserializeOwned, S::Command: serde::de::DeserializeOwned"))]
pub struct PersistentState<S: StateMachine> {
    /// Epoch that this node belongs to. A later epoch fences off all messages and state of older ones.
    pub epoch: Epoch,
    /// Latest term that this node has seen.
    pub term: Term,
    /// Candidate that this node voted for in `term`.
    pub vote: Option<NodeId>,
    /// Later epoch that this node has promised to wait for, or [`Epoch::NONE`].
    pub promised_epoch: Epoch,
    /// Snapshot of the entries before `log`.
    pub snapshot: Snapshot<S>,
    /// Entries after the snapshot.
    pub log: Vec<Entry<S::Command>>,
}

impl<S: StateMachine> PersistentState<S> {
    /// Returns the state of a node that belongs to no consensus group yet.
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

    /// Returns the position of the last entry, or of the snapshot if the log is empty.
    pub fn last(&self) -> LogPosition {
        let index = self.snapshot.last.index + self.log.len() as u64;
        self.log.last().map_or(self.snapshot.last, |entry| LogPosition { term: entry.term, index })
    }

    /// Returns the term of the entry at an index, or `None` if the entry is compacted or past the end of the log.
    pub(crate) fn term_at(&self, index: u64) -> Option<Term> {
        let snapshot = self.snapshot.last;
        match index.checked_sub(snapshot.index)? {
            0 => Some(snapshot.term),
            offset => self.log.get(offset as usize - 1).map(|entry| entry.term),
        }
    }

    /// Returns the entry at an index, or `None` if it is compacted or past the end of the log.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry<S::Command>> {
        self.log.get(index.checked_sub(self.snapshot.last.index + 1)? as usize)
    }

    /// Returns the index of the entry that set the voters in force, and the voters. The newest voters in the log are in
    /// force, committed or not (Raft, section 6).
    pub(crate) fn voters(&self) -> (u64, &BTreeSet<NodeId>) {
        let first = self.snapshot.last.index + 1;
        let newest = self.log.iter().enumerate().rev().find_map(|(offset, entry)| match &entry.payload {
            Payload::Voters(voters) => Some((first + offset as u64, voters)),
            _ => None,
        });
        newest.unwrap_or((self.snapshot.voters_index, &self.snapshot.voters))
    }

    /// Applies a record. Applying all records of a file in the order in which they were written restores the state.
    pub fn apply(&mut self, record: Record<S>) {
        match record {
            Record::HardState { epoch, term, vote } => {
                (self.epoch, self.term, self.vote) = (epoch, term, vote)
            }
            Record::PromisedEpoch(epoch) => self.promised_epoch = epoch,
            Record::Append { from, entries } => {
                let preceding = (from - 1).saturating_sub(self.snapshot.last.index) as usize;
                self.log.truncate(preceding);
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

/// A change of the state on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound(serialize = "S: Serialize, S::Command: Serialize"))]
#[serde(bound(deserialize = "S: serde::de::DeserializeOwned, S::Command: serde::de::DeserializeOwned"))]
pub enum Record<S: StateMachine> {
    /// Sets the epoch, the term and the vote.
    HardState {
        /// Epoch that the term and the vote belong to.
        epoch: Epoch,
        /// Latest term that the node has seen.
        term: Term,
        /// Candidate that the node voted for in `term`.
        vote: Option<NodeId>,
    },
    /// Removes all entries from index `from` on and appends `entries` there.
    Append {
        /// Index of the first appended entry.
        from: u64,
        /// Entries to append.
        entries: Vec<Entry<S::Command>>,
    },
    /// Replaces the snapshot and removes the entries that it includes.
    Snapshot(Snapshot<S>),
    /// Sets the later epoch that the node has promised to wait for.
    PromisedEpoch(Epoch),
}
