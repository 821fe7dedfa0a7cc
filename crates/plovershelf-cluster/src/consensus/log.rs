//! The replicated log with its commit index, its state machine and the records that persist it.
//!
//! The log guarantees two invariants for any sequence of calls, provided that the caller installs only snapshots later
//! than the commit index: the commit index decreases only with a new epoch, and no entry at or before it is ever
//! replaced. Elections and replication decide which entries are appended and committed.

use std::collections::BTreeSet;

use super::entry::{Entry, LogPosition, Payload, Snapshot, StateMachine, Term};
use super::persistent::{PersistentState, Record};
use crate::identity::{Epoch, NodeId};

/// Maximum number of committed entries in the log before it is compacted into a snapshot. While entries are in the log,
/// lagging nodes can receive them instead of a snapshot.
const RETAINED_ENTRIES: usize = 128;
/// Maximum number of entries in a message.
pub(super) const MAX_ENTRIES_PER_MESSAGE: usize = 64;

/// Actions that the log requires of the driver; see [`Actions`](super::Actions).
#[derive(Clone, Debug)]
pub(super) struct LogActions<S: StateMachine> {
    pub(super) save: Vec<Record<S>>,
    pub(super) committed: Vec<(u64, Payload<S::Command>)>,
    pub(super) snapshot_installed: bool,
}

impl<S: StateMachine> Default for LogActions<S> {
    fn default() -> Self {
        LogActions { save: Vec::new(), committed: Vec::new(), snapshot_installed: false }
    }
}

#[derive(Clone, Debug)]
pub(super) struct ReplicatedLog<S: StateMachine> {
    persistent: PersistentState<S>,
    commit_index: u64,
    /// State machine after all committed commands.
    state: S,
    actions: LogActions<S>,
}

impl<S: StateMachine> ReplicatedLog<S> {
    pub(super) fn new(persistent: PersistentState<S>) -> Self {
        let (state, commit_index) = (persistent.snapshot.state.clone(), persistent.snapshot.last.index);
        ReplicatedLog { persistent, commit_index, state, actions: LogActions::default() }
    }

    pub(super) fn persistent(&self) -> &PersistentState<S> {
        &self.persistent
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.persistent.epoch
    }

    pub(super) fn term(&self) -> Term {
        self.persistent.term
    }

    pub(super) fn commit_index(&self) -> u64 {
        self.commit_index
    }

    pub(super) fn state(&self) -> &S {
        &self.state
    }

    pub(super) fn last(&self) -> LogPosition {
        self.persistent.last()
    }

    pub(super) fn term_at(&self, index: u64) -> Option<Term> {
        self.persistent.term_at(index)
    }

    pub(super) fn voters(&self) -> &BTreeSet<NodeId> {
        self.persistent.voters().1
    }

    pub(super) fn voters_index(&self) -> u64 {
        self.persistent.voters().0
    }

    pub(super) fn has_committed_voters(&self) -> bool {
        self.voters_index() <= self.commit_index
    }

    /// Returns whether an entry of the current term is committed. From then on a new leader's commit index covers all
    /// entries committed in earlier terms (Raft, section 5.4.2).
    pub(super) fn has_committed_in_term(&self) -> bool {
        self.term_at(self.commit_index) == Some(self.term())
    }

    /// Returns whether the log contains the entry at a position. Committed entries are the same on all nodes, so their
    /// terms are not compared.
    pub(super) fn contains(&self, position: LogPosition) -> bool {
        position.index < self.commit_index || self.term_at(position.index) == Some(position.term)
    }

    /// Returns the payloads of the entries that are not known to be committed.
    pub(super) fn uncommitted(&self) -> impl Iterator<Item = &Payload<S::Command>> {
        let committed = (self.commit_index - self.persistent.snapshot.last.index) as usize;
        self.persistent.log.iter().skip(committed).map(|entry| &entry.payload)
    }

    /// Returns the entries from one index to another, both inclusive.
    pub(super) fn entries(&self, from: u64, until: u64) -> Vec<Entry<S::Command>> {
        (from..=until).filter_map(|index| self.persistent.entry(index).cloned()).collect()
    }

    /// Returns the position of an index and the committed entries after it, or `None` if the index is compacted.
    pub(super) fn committed_after(&self, index: u64) -> Option<(LogPosition, Vec<Entry<S::Command>>)> {
        let term = self.term_at(index)?;
        let until = self.commit_index.min(index + MAX_ENTRIES_PER_MESSAGE as u64);
        Some((LogPosition { term, index }, self.entries(index + 1, until)))
    }

    /// Returns a snapshot at the commit index.
    pub(super) fn snapshot(&self) -> Snapshot<S> {
        let base = &self.persistent.snapshot;
        let term = self.term_at(self.commit_index).unwrap_or(base.last.term);
        let (mut voters, mut voters_index) = (base.voters.clone(), base.voters_index);
        for index in base.last.index + 1..=self.commit_index {
            if let Some(Entry { payload: Payload::Voters(new_voters), .. }) = self.persistent.entry(index) {
                (voters, voters_index) = (new_voters.clone(), index);
            }
        }
        let last = LogPosition { term, index: self.commit_index };
        Snapshot { last, voters, voters_index, state: self.state.clone() }
    }

    pub(super) fn set_term(&mut self, term: Term, vote: Option<NodeId>) {
        (self.persistent.term, self.persistent.vote) = (term, vote);
        self.actions.save.push(Record::HardState { epoch: self.persistent.epoch, term, vote });
    }

    /// Appends an entry of the current term and returns its index.
    pub(super) fn append(&mut self, payload: Payload<S::Command>) -> u64 {
        let (from, term) = (self.last().index + 1, self.term());
        self.save(Record::Append { from, entries: vec![Entry { term, payload }] });
        self.last().index
    }

    /// Merges the leader's entries into the log after index `after`, which the log must contain. The log is truncated
    /// only at the first entry whose term differs: entries that match and those after them may have been acknowledged,
    /// and a delayed message must not remove them.
    pub(super) fn merge(&mut self, after: u64, entries: &[Entry<S::Command>]) {
        let differs = (after + 1..)
            .zip(entries)
            .find(|(index, entry)| *index > self.commit_index && self.term_at(*index) != Some(entry.term));
        if let Some((index, _)) = differs {
            let entries = entries[(index - after - 1) as usize..].to_vec();
            self.save(Record::Append { from: index, entries });
        }
    }

    /// Commits and applies all entries up to an index or the end of the log, and compacts the log once more than
    /// [`RETAINED_ENTRIES`] are committed.
    pub(super) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.last().index);
        while self.commit_index < index {
            let Some(entry) = self.persistent.entry(self.commit_index + 1) else { return };
            let payload = entry.payload.clone();
            if let Payload::Command(command) = &payload {
                self.state.apply(command);
            }
            self.commit_index += 1;
            self.actions.committed.push((self.commit_index, payload));
        }
        if (self.commit_index - self.persistent.snapshot.last.index) as usize > RETAINED_ENTRIES {
            let snapshot = self.snapshot();
            self.save(Record::Snapshot(snapshot));
        }
    }

    /// Replaces the committed state with a snapshot, which must be later than the commit index.
    pub(super) fn install(&mut self, snapshot: Snapshot<S>) {
        if snapshot.last.term > self.term() {
            self.set_term(snapshot.last.term, None);
        }
        self.save(Record::Snapshot(snapshot));
        self.reset_to_snapshot();
    }

    /// Replaces the log and the state with the snapshot of a later epoch.
    pub(super) fn adopt_epoch(&mut self, epoch: Epoch, snapshot: Snapshot<S>) {
        let (term, promised_epoch) = (snapshot.last.term, self.persistent.promised_epoch);
        self.persistent = PersistentState {
            epoch,
            term,
            vote: None,
            promised_epoch,
            snapshot: snapshot.clone(),
            log: Vec::new(),
        };
        self.actions.save.push(Record::Append { from: 1, entries: Vec::new() });
        self.actions.save.push(Record::HardState { epoch, term, vote: None });
        self.actions.save.push(Record::Snapshot(snapshot));
        self.reset_to_snapshot();
    }

    /// Records the promise to wait for a later epoch. The promise survives a restart.
    pub(super) fn promise_epoch(&mut self, epoch: Epoch) {
        if self.persistent.promised_epoch != epoch {
            self.save(Record::PromisedEpoch(epoch));
        }
    }

    pub(super) fn poll_actions(&mut self) -> LogActions<S> {
        std::mem::take(&mut self.actions)
    }

    fn reset_to_snapshot(&mut self) {
        let snapshot = &self.persistent.snapshot;
        (self.state, self.commit_index) = (snapshot.state.clone(), snapshot.last.index);
        self.actions.snapshot_installed = true;
    }

    fn save(&mut self, record: Record<S>) {
        self.persistent.apply(record.clone());
        self.actions.save.push(record);
    }
}

#[cfg(test)]
mod tests;
