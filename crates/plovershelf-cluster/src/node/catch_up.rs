//! When a node asks another for what was committed, and whose committed state it takes over.

use std::collections::BTreeSet;

use crate::consensus::Raft;
use crate::identity::Epoch;
use crate::state::ClusterState;
use crate::wire::StateDigest;

/// Epochs of other clusters that are remembered, so that each is noticed once.
const MAX_FOREIGN_EPOCHS: usize = 64;

/// Whether what is of an epoch may be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Adoption {
    /// It may.
    Allowed,
    /// This node has promised to wait for a later epoch.
    Promised,
    /// It is another cluster's of the same name, met for the first time.
    NewForeignCluster,
    /// It is another cluster's that was met before.
    ForeignCluster,
}

/// State of catching up.
#[derive(Clone, Debug)]
pub(super) struct CatchUp {
    fetch_at_ms: f64,
    fetch_interval_ms: f64,
    /// Epochs of other clusters of this name.
    foreign_epochs: BTreeSet<Epoch>,
}

impl CatchUp {
    pub(super) fn new(now_ms: f64, fetch_interval_ms: f64) -> Self {
        CatchUp { fetch_at_ms: now_ms, fetch_interval_ms, foreign_epochs: BTreeSet::new() }
    }

    /// Another node is further, and no leader will bring what this one lacks; and it is time to ask once more.
    pub(super) fn should_fetch(&self, now_ms: f64, raft: &Raft<ClusterState>, theirs: &StateDigest) -> bool {
        let behind = (theirs.epoch, theirs.commit_index) > (raft.epoch(), raft.commit_index());
        let by_leader = theirs.epoch == raft.epoch() && !raft.accepts_relayed();
        behind && !by_leader && self.fetch_at_ms <= now_ms
    }

    pub(super) fn record_fetch(&mut self, now_ms: f64) {
        self.fetch_at_ms = now_ms + self.fetch_interval_ms;
    }

    /// Two clusters of one name have epochs of one number with different tags. Guards against a node that joins the other one,
    /// whose views and commits contradict its own's; the promise, against one that goes back to an epoch that it has left.
    pub(super) fn adoption(&mut self, epoch: Epoch, raft: &Raft<ClusterState>) -> Adoption {
        let own = raft.epoch();
        if epoch.number() == own.number() && epoch != own {
            let room = self.foreign_epochs.len() < MAX_FOREIGN_EPOCHS;
            let new = room && self.foreign_epochs.insert(epoch);
            return if new { Adoption::NewForeignCluster } else { Adoption::ForeignCluster };
        }
        match awaited_epoch(raft) {
            Some(awaited) if epoch < awaited => Adoption::Promised,
            _ => Adoption::Allowed,
        }
    }
}

/// A later epoch that this node has promised to wait for.
pub(super) fn awaited_epoch(raft: &Raft<ClusterState>) -> Option<Epoch> {
    Some(raft.promised_epoch()).filter(|epoch| *epoch > raft.epoch())
}

#[cfg(test)]
mod tests;
