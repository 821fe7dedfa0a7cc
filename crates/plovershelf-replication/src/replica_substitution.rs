//! Substitution of suspected replicas: the next member in placement order replaces a suspected replica before the view
//! changes.
//!
//! Without it, a reservation would wait for a failed member until a view without that member is agreed on, which takes
//! seconds. The number of replicas never decreases: if no substitute exists, the suspected member remains in the replica set
//! and the reservation waits. A suspected primary is not replaced, because only a view change may move the ordering of
//! reservations to another member.

use std::collections::BTreeSet;

use plovershelf_cluster::NodeId;

use crate::membership::Membership;
use crate::placement::IdempotencyKey;

/// Members that the cluster's failure detector suspects.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectedMembers {
    suspected: BTreeSet<NodeId>,
}

/// Result of an update of the suspected members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Update {
    Changed,
    Unchanged,
}

impl SuspectedMembers {
    pub(crate) fn update(&mut self, suspected: BTreeSet<NodeId>) -> Update {
        if suspected == self.suspected {
            return Update::Unchanged;
        }
        self.suspected = suspected;
        Update::Changed
    }

    /// Returns the replicas that the primary assigns to a key: those of the view, with suspected members replaced if as many
    /// other replicas are available.
    pub(crate) fn replica_set(&self, membership: &Membership, key: IdempotencyKey) -> Vec<NodeId> {
        let placed = membership.replica_set(key);
        let is_replaced = |id: NodeId| id != membership.local() && self.suspected.contains(&id);
        if !placed.iter().any(|id| is_replaced(*id)) {
            return placed;
        }
        let substituted = membership.replica_set_without(key, is_replaced);
        if substituted.len() == placed.len() {
            substituted
        } else {
            placed
        }
    }

    /// Returns whether a reservation waits for the confirmation of a suspected replica.
    pub(crate) fn blocks(&self, replica_set: &[NodeId], confirmed: &BTreeSet<NodeId>) -> bool {
        replica_set.iter().any(|id| self.suspected.contains(id) && !confirmed.contains(id))
    }
}

#[cfg(test)]
mod tests;
