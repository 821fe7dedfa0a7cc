//! Replication progress of each follower, and the choice of what to send to it next.
//!
//! The tracker handles only indices and times, not entries or terms. The leader queries it for the range to send and
//! reads the entries from its log.

use std::collections::{BTreeMap, BTreeSet};

use super::log::MAX_ENTRIES_PER_MESSAGE;
use super::membership::majority;
use crate::identity::NodeId;

/// A follower's replication progress as known to the leader.
#[derive(Clone, Debug, PartialEq)]
struct Progress {
    /// Highest index known to match the leader's log.
    match_index: u64,
    /// First index to resend when messages seem lost.
    next_index: u64,
    /// Highest index sent so far.
    sent_index: u64,
    sent_at_ms: f64,
    /// Time of sending, in microseconds, of the latest message that the follower answered.
    acknowledged_us: u64,
}

/// Whether to send a message even if there are no new entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendMode {
    OnlyEntries,
    Heartbeat,
}

/// The content of the next message to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Batch {
    /// Entries after `previous_index` up to and including `until`. Empty for a heartbeat.
    Entries { previous_index: u64, until: u64 },
    /// A snapshot, because the entries that the follower lacks are compacted.
    Snapshot,
}

/// The range of indices in the leader's log.
pub(super) struct LogRange {
    pub(super) last_index: u64,
    /// Earliest index whose term the log still has.
    pub(super) first_known_index: u64,
}

/// Progress of all other voters and of the learner. Filled only on a leader.
#[derive(Clone, Debug, Default)]
pub(super) struct ProgressTracker {
    progress: BTreeMap<NodeId, Progress>,
    /// Nodes that receive entries although they are not voters yet.
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

    /// Starts to track the voters and learners that are not tracked yet and returns all tracked nodes. A new one is
    /// assumed to have all entries up to `last_index` until it rejects them.
    pub(super) fn track(
        &mut self,
        own_id: NodeId,
        voters: &BTreeSet<NodeId>,
        last_index: u64,
    ) -> Vec<NodeId> {
        let followers: Vec<NodeId> =
            voters.union(&self.learners).copied().filter(|id| *id != own_id).collect();
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

    pub(super) fn match_indices(&self) -> impl Iterator<Item = (NodeId, u64)> + '_ {
        self.progress.iter().map(|(id, progress)| (*id, progress.match_index))
    }

    /// Returns what to send to a follower now. Unacknowledged entries are sent again only after `resend_ms`.
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

    /// Records that the follower answered a message sent at `sent_at_us`, when it thus still followed this leader.
    /// Returns false if the node is not tracked.
    pub(super) fn record_contact(&mut self, from: NodeId, sent_at_us: u64) -> bool {
        let Some(progress) = self.progress.get_mut(&from) else { return false };
        progress.acknowledged_us = progress.acknowledged_us.max(sent_at_us);
        true
    }

    /// Records that the follower's log matches up to `match_index`.
    pub(super) fn acknowledge(&mut self, from: NodeId, match_index: u64) {
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.match_index = progress.match_index.max(match_index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.sent_index = progress.sent_index.max(progress.match_index);
        }
    }

    /// Records that the follower's log does not match, and that it can match up to `last_index` at most.
    pub(super) fn reject(&mut self, from: NodeId, last_index: u64) {
        if let Some(progress) = self.progress.get_mut(&from) {
            (progress.next_index, progress.sent_index) = (last_index + 1, last_index);
            // The match index decreases only if the follower lost entries that it had acknowledged.
            progress.match_index = progress.match_index.min(last_index);
        }
    }

    /// Discards the acknowledgements of a follower that restarted, until it acknowledges the entries again.
    pub(super) fn reset_progress(&mut self, id: NodeId) {
        if let Some(progress) = self.progress.get_mut(&id) {
            (progress.match_index, progress.sent_index, progress.sent_at_ms) = (0, 0, f64::NEG_INFINITY);
        }
    }

    /// Marks the followers that have the whole log as due, so that they receive the new commit index at once: whatever
    /// waits for the commit waits for these followers.
    pub(super) fn expedite_up_to_date(&mut self, last_index: u64) {
        for progress in self.progress.values_mut().filter(|progress| progress.match_index >= last_index) {
            progress.sent_at_ms = f64::NEG_INFINITY;
        }
    }

    /// Returns the highest index that a majority of the voters has stored.
    pub(super) fn quorum_index(
        &self,
        own_id: NodeId,
        own_last: u64,
        voters: &BTreeSet<NodeId>,
    ) -> Option<u64> {
        let match_index = |id: &NodeId| self.progress.get(id).map_or(0, |progress| progress.match_index);
        let index = |id: &NodeId| if *id == own_id { own_last } else { match_index(id) };
        let mut matched: Vec<u64> = voters.iter().map(index).collect();
        matched.sort_by(|a, b| b.cmp(a));
        matched.get(majority(matched.len()) - 1).copied()
    }

    /// Returns the latest time at which a majority of the voters is known to have followed this leader. The leader
    /// counts itself if it is a voter.
    pub(super) fn quorum_contact_ms(&self, own_id: NodeId, now_ms: f64, voters: &BTreeSet<NodeId>) -> f64 {
        let contact = |id: &NodeId| {
            let progress = self.progress.get(id);
            progress.map_or(f64::NEG_INFINITY, |progress| progress.acknowledged_us as f64 / 1000.0)
        };
        let mut contacts: Vec<f64> = voters.iter().filter(|id| **id != own_id).map(contact).collect();
        contacts.sort_by(|a, b| b.total_cmp(a));
        match majority(voters.len()) - usize::from(voters.contains(&own_id)) {
            0 => now_ms,
            others => contacts.get(others - 1).copied().unwrap_or(f64::NEG_INFINITY),
        }
    }
}

#[cfg(test)]
mod tests;
