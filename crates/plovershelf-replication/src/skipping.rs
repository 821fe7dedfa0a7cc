//! Skipping: a replica that the group suspects is replaced by the next member in order before the view changes.
//!
//! Against a reservation that waits for a member that is gone until a view without it is agreed on, which takes seconds.
//! Never with fewer replicas: where no other member can stand in, the suspected one stays and the reservation waits.
//! A suspected primary is not replaced, as only the view says who orders reservations.

use std::collections::BTreeSet;

use plovershelf_cluster::NodeId;

use crate::membership::Membership;
use crate::placement::IdempotencyKey;

/// Members that may be gone, as the group's failure detection says.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectedMembers {
    suspected: BTreeSet<NodeId>,
}

/// Whether an update brought anything new.
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

    /// The replicas that a primary gives a key now: those of the view, or as many others without the suspected ones.
    pub(crate) fn replica_set(&self, membership: &Membership, key: IdempotencyKey) -> Vec<NodeId> {
        let placed = membership.replica_set(key);
        let skipped = |id: NodeId| id != membership.local() && self.suspected.contains(&id);
        if !placed.iter().any(|id| skipped(*id)) {
            return placed;
        }
        let replaced = membership.replica_set_without(key, skipped);
        if replaced.len() == placed.len() {
            replaced
        } else {
            placed
        }
    }

    /// Whether a reservation waits for a suspected member: it is begun anew with other replicas.
    pub(crate) fn blocks(&self, replica_set: &[NodeId], confirmed: &BTreeSet<NodeId>) -> bool {
        replica_set.iter().any(|id| self.suspected.contains(id) && !confirmed.contains(id))
    }
}

#[cfg(test)]
mod tests;
