//! State that all roles of a member read. Only the [`Replicator`](crate::Replicator) changes it.

use std::collections::BTreeSet;

use plovershelf_cluster::NodeId;

use crate::config::ReplicationConfig;
use crate::membership::Membership;
use crate::record::ViewNumber;
use crate::replica_substitution::SuspectedMembers;

/// Inputs shared by the executor, primary and replica roles of one member.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// Time of the input being handled, in milliseconds on the driver's clock.
    pub(crate) now_ms: f64,
    pub(crate) config: ReplicationConfig,
    pub(crate) membership: Membership,
    pub(crate) suspected: SuspectedMembers,
}

impl Context {
    pub(crate) fn local(&self) -> NodeId {
        self.membership.local()
    }

    /// Returns the members of a replica set except the local one.
    pub(crate) fn remote_replicas(&self, replica_set: Vec<NodeId>) -> BTreeSet<NodeId> {
        replica_set.into_iter().filter(|id| *id != self.local()).collect()
    }

    pub(crate) fn view(&self) -> ViewNumber {
        self.membership.view()
    }
}
