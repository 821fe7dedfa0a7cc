//! State digests of other nodes, which they piggyback on gossip messages.

use std::collections::BTreeMap;

use crate::consensus::Term;
use crate::identity::{Epoch, NodeId};
use crate::wire::StateDigest;

/// A leader and its term.
pub(super) type TermLeader = (Term, NodeId);

/// The last digest received from each node.
#[derive(Clone, Debug, Default)]
pub(super) struct DigestTable {
    digests: BTreeMap<NodeId, StateDigest>,
    /// Cached newest leader among the digests of an epoch. Recomputed only when a leader in the digests changes.
    newest_leader: (Epoch, Option<TermLeader>),
}

impl DigestTable {
    /// Records a digest, in a table of at most `max_nodes` nodes. `epoch` is this node's epoch.
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

    /// Returns the newest leader of an epoch that the digests contain, with its term.
    pub(super) fn leader(&self, epoch: Epoch) -> Option<TermLeader> {
        if self.newest_leader.0 == epoch {
            return self.newest_leader.1;
        }
        self.find_leader(epoch)
    }

    /// Returns whether the node has reported that it belongs to no epoch.
    pub(super) fn reports_no_epoch(&self, id: NodeId) -> bool {
        self.digests.get(&id).is_some_and(|digest| digest.epoch == Epoch::NONE)
    }

    /// Returns whether no node has reported that it belongs to an epoch.
    pub(super) fn all_report_no_epoch(&self) -> bool {
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
