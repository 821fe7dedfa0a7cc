//! Decides when a node fetches committed state from another node, and from which epochs it accepts state.

use std::collections::BTreeSet;

use crate::consensus::Raft;
use crate::identity::Epoch;
use crate::state::ClusterState;
use crate::wire::StateDigest;

/// Maximum number of recorded epochs of other clusters. Each recorded epoch is reported once.
const MAX_FOREIGN_EPOCHS: usize = 64;

/// Whether state of an epoch may be adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Adoption {
    /// The state may be adopted.
    Allowed,
    /// Refused: this node has promised to wait for a later epoch.
    Promised,
    /// Refused: the epoch belongs to another cluster of the same name that was not seen before.
    NewForeignCluster,
    /// Refused: the epoch belongs to another cluster of the same name that was seen before.
    ForeignCluster,
}

/// The state of fetching and adopting committed state.
#[derive(Clone, Debug)]
pub(super) struct CatchUp {
    fetch_at_ms: f64,
    fetch_interval_ms: f64,
    /// Epochs of other clusters with the same name.
    foreign_epochs: BTreeSet<Epoch>,
}

impl CatchUp {
    pub(super) fn new(now_ms: f64, fetch_interval_ms: f64) -> Self {
        CatchUp { fetch_at_ms: now_ms, fetch_interval_ms, foreign_epochs: BTreeSet::new() }
    }

    /// Returns whether to fetch committed state now: the node with this digest has more, no leader replicates it to
    /// this node, and the fetch interval has elapsed.
    pub(super) fn should_fetch(&self, now_ms: f64, raft: &Raft<ClusterState>, remote: &StateDigest) -> bool {
        let behind = (remote.epoch, remote.commit_index) > (raft.epoch(), raft.commit_index());
        let replicated = remote.epoch == raft.epoch() && !raft.accepts_relayed();
        behind && !replicated && self.fetch_at_ms <= now_ms
    }

    pub(super) fn record_fetch(&mut self, now_ms: f64) {
        self.fetch_at_ms = now_ms + self.fetch_interval_ms;
    }

    /// Returns whether state of an epoch may be adopted. Two clusters of the same name have epochs with equal numbers
    /// and different tags; adopting state of the other one would contradict the views and commits of this node's own
    /// cluster. A promise prevents the return to an epoch that the node has already left.
    pub(super) fn adoption(&mut self, epoch: Epoch, raft: &Raft<ClusterState>) -> Adoption {
        let own = raft.epoch();
        if epoch.number() == own.number() && epoch != own {
            let has_capacity = self.foreign_epochs.len() < MAX_FOREIGN_EPOCHS;
            let new = has_capacity && self.foreign_epochs.insert(epoch);
            return if new { Adoption::NewForeignCluster } else { Adoption::ForeignCluster };
        }
        match awaited_epoch(raft) {
            Some(awaited) if epoch < awaited => Adoption::Promised,
            _ => Adoption::Allowed,
        }
    }
}

/// Returns the later epoch that this node has promised to wait for, if it has not joined it yet.
pub(super) fn awaited_epoch(raft: &Raft<ClusterState>) -> Option<Epoch> {
    Some(raft.promised_epoch()).filter(|epoch| *epoch > raft.epoch())
}

#[cfg(test)]
mod tests;
