//! How far others are, by what goes along with gossip.

use std::collections::BTreeMap;

use crate::consensus::Term;
use crate::identity::{Epoch, NodeId};
use crate::wire::StateDigest;

/// A leader and its term.
pub(super) type TermLeader = (Term, NodeId);

/// The last digest of each node.
#[derive(Clone, Debug, Default)]
pub(super) struct DigestTable {
    digests: BTreeMap<NodeId, StateDigest>,
    /// The newest leader that digests of an epoch tell of: found anew only where what they say of leaders changed.
    newest_leader: (Epoch, Option<TermLeader>),
}

impl DigestTable {
    /// Takes a digest in, of at most so many nodes. `epoch` is this node's.
    pub(super) fn record(&mut self, from: NodeId, digest: StateDigest, max_nodes: usize, epoch: Epoch) {
        let leader_of = |digest: &StateDigest| (digest.epoch, digest.term, digest.leader);
        let before = self.digests.insert(from, digest);
        let full = self.digests.len() > max_nodes;
        if full {
            self.digests.pop_first();
        }
        let changed = before.as_ref().map(leader_of) != Some(leader_of(&digest));
        if full || changed || self.newest_leader.0 != epoch {
            self.newest_leader = (epoch, self.find_leader(epoch));
        }
    }

    /// The newest leader of an epoch.
    pub(super) fn leader(&self, epoch: Epoch) -> Option<TermLeader> {
        if self.newest_leader.0 == epoch {
            return self.newest_leader.1;
        }
        self.find_leader(epoch)
    }

    /// The node has said that it knows of no epoch.
    pub(super) fn is_blank(&self, id: NodeId) -> bool {
        self.digests.get(&id).is_some_and(|digest| digest.epoch == Epoch::NONE)
    }

    /// None has said that it knows of an epoch.
    pub(super) fn are_all_blank(&self) -> bool {
        self.digests.values().all(|digest| digest.epoch == Epoch::NONE)
    }

    fn find_leader(&self, epoch: Epoch) -> Option<TermLeader> {
        let in_epoch = self.digests.values().filter(|digest| digest.epoch == epoch);
        let leaders = in_epoch.filter_map(|digest| Some((digest.term, digest.leader?)));
        leaders.max_by_key(|(term, _)| *term)
    }
}

#[cfg(test)]
mod tests;
