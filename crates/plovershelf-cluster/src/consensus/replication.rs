//! How far each follower's log is known to match the leader's, and what it is sent next.
//!
//! The tracker knows indices and times alone, no entries and no terms: the leader asks it what to send and reads the
//! entries from its log.

use std::collections::{BTreeMap, BTreeSet};

use super::log::MAX_ENTRIES_PER_MESSAGE;
use super::membership::majority;
use crate::identity::NodeId;

/// One follower's progress, as its leader knows it.
#[derive(Clone, Debug, PartialEq)]
struct Progress {
    /// Up to here its log matches.
    match_index: u64,
    /// The first entry to send again where something was lost.
    next_index: u64,
    /// Up to here entries are under way.
    sent_index: u64,
    sent_at_ms: f64,
    /// When the latest message that it answered was sent, in microseconds.
    acknowledged_us: u64,
}

/// Whether a message goes out though there is nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendMode {
    OnlyEntries,
    Heartbeat,
}

/// What to send to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Batch {
    /// The entries after one index up to another, maybe none.
    Entries { previous_index: u64, until: u64 },
    /// The log no longer has what the follower lacks.
    Snapshot,
}

/// What the leader's log offers at this moment.
pub(super) struct LogRange {
    pub(super) last_index: u64,
    /// The earliest index whose term the log still knows.
    pub(super) first_known_index: u64,
}

/// Progress of all voters and of the learner, of a leader; empty on all others.
#[derive(Clone, Debug, Default)]
pub(super) struct ProgressTracker {
    progress: BTreeMap<NodeId, Progress>,
    /// Nodes that are brought up to date though they are no voters yet.
    learners: BTreeSet<NodeId>,
}

impl ProgressTracker {
    pub(super) fn clear(&mut self) {
        self.progress.clear();
        self.learners.clear();
    }

    pub(super) fn set_learner(&mut self, learner: Option<NodeId>, voters: &BTreeSet<NodeId>) {
        self.learners = learner.into_iter().collect();
        self.progress.retain(|id, _| voters.contains(id) || self.learners.contains(id));
    }

    /// The nodes that are sent entries. Those that are new among them are taken to have all up to `last_index`, until they
    /// say otherwise.
    pub(super) fn track(&mut self, own: NodeId, voters: &BTreeSet<NodeId>, last_index: u64) -> Vec<NodeId> {
        let followers: Vec<NodeId> = voters.union(&self.learners).copied().filter(|id| *id != own).collect();
        for id in &followers {
            self.progress.entry(*id).or_insert(Progress {
                match_index: 0,
                next_index: last_index,
                sent_index: 0,
                sent_at_ms: f64::NEG_INFINITY,
                acknowledged_us: 0,
            });
        }
        followers
    }

    pub(super) fn matched(&self) -> impl Iterator<Item = (NodeId, u64)> + '_ {
        self.progress.iter().map(|(id, progress)| (*id, progress.match_index))
    }

    /// What to send to one follower now. Entries under way are sent again only when they seem lost.
    pub(super) fn next_batch(
        &mut self,
        to: NodeId,
        now_ms: f64,
        resend_ms: f64,
        mode: SendMode,
        log: &LogRange,
    ) -> Option<Batch> {
        let progress = self.progress.get_mut(&to)?;
        let lost = now_ms > progress.sent_at_ms + resend_ms;
        let from = if lost { progress.next_index } else { progress.next_index.max(progress.sent_index + 1) };
        if from > log.last_index && mode == SendMode::OnlyEntries {
            return None;
        }
        let previous_index = from.max(1) - 1;
        if previous_index < log.first_known_index || previous_index > log.last_index {
            let due = lost || mode == SendMode::Heartbeat;
            if due {
                progress.sent_at_ms = now_ms;
            }
            return due.then_some(Batch::Snapshot);
        }
        let until = log.last_index.min(previous_index + MAX_ENTRIES_PER_MESSAGE as u64);
        if until > previous_index {
            (progress.sent_index, progress.sent_at_ms) = (until, now_ms);
        }
        Some(Batch::Entries { previous_index, until })
    }

    /// The follower answered a message that the leader sent then: it followed it at that time. False where it is sent nothing.
    pub(super) fn record_contact(&mut self, from: NodeId, sent_at_us: u64) -> bool {
        let Some(progress) = self.progress.get_mut(&from) else { return false };
        progress.acknowledged_us = progress.acknowledged_us.max(sent_at_us);
        true
    }

    /// The follower's log matches up to there.
    pub(super) fn acknowledge(&mut self, from: NodeId, match_index: u64) {
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.match_index = progress.match_index.max(match_index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.sent_index = progress.sent_index.max(progress.match_index);
        }
    }

    /// The follower's log does not match, and ends there as far as it may match.
    pub(super) fn reject(&mut self, from: NodeId, last_index: u64) {
        if let Some(progress) = self.progress.get_mut(&from) {
            (progress.next_index, progress.sent_index) = (last_index + 1, last_index);
            // What matched goes back only where the follower forgot it.
            progress.match_index = progress.match_index.min(last_index);
        }
    }

    /// The follower restarted: what it acknowledged before is void until it says so again.
    pub(super) fn forget(&mut self, id: NodeId) {
        if let Some(progress) = self.progress.get_mut(&id) {
            (progress.match_index, progress.sent_index, progress.sent_at_ms) = (0, 0, f64::NEG_INFINITY);
        }
    }

    /// Those that have the whole log are sent the new commit index at once: what waits on it waits on them.
    pub(super) fn expedite_up_to_date(&mut self, last_index: u64) {
        for progress in self.progress.values_mut().filter(|progress| progress.match_index >= last_index) {
            progress.sent_at_ms = f64::NEG_INFINITY;
        }
    }

    /// The last index that a majority of voters has.
    pub(super) fn quorum_index(&self, own: NodeId, own_last: u64, voters: &BTreeSet<NodeId>) -> Option<u64> {
        let match_index = |id: &NodeId| self.progress.get(id).map_or(0, |progress| progress.match_index);
        let index = |id: &NodeId| if *id == own { own_last } else { match_index(id) };
        let mut matched: Vec<u64> = voters.iter().map(index).collect();
        matched.sort_by(|a, b| b.cmp(a));
        matched.get(majority(matched.len()) - 1).copied()
    }

    /// When a majority of voters last followed this leader, which counts itself where it is one of them.
    pub(super) fn quorum_contact_ms(&self, own: NodeId, now_ms: f64, voters: &BTreeSet<NodeId>) -> f64 {
        let contact = |id: &NodeId| {
            let progress = self.progress.get(id);
            progress.map_or(f64::NEG_INFINITY, |progress| progress.acknowledged_us as f64 / 1000.0)
        };
        let mut contacts: Vec<f64> = voters.iter().filter(|id| **id != own).map(contact).collect();
        contacts.sort_by(|a, b| b.total_cmp(a));
        match majority(voters.len()) - usize::from(voters.contains(&own)) {
            0 => now_ms,
            others => contacts.get(others - 1).copied().unwrap_or(f64::NEG_INFINITY),
        }
    }
}

#[cfg(test)]
mod tests;
