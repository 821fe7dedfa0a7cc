//! What every role reads and none changes.

use std::collections::BTreeSet;

use plovershelf_cluster::NodeId;

use crate::config::ReplicationConfig;
use crate::membership::Membership;
use crate::record::ViewNumber;
use crate::skipping::SuspectedMembers;

/// The state that the roles of one member share.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// The time of the input that is being handled, in milliseconds.
    pub(crate) now_ms: f64,
    pub(crate) config: ReplicationConfig,
    pub(crate) membership: Membership,
    pub(crate) suspected: SuspectedMembers,
}

impl Context {
    pub(crate) fn local(&self) -> NodeId {
        self.membership.local()
    }

    /// Replicas but for the local member.
    pub(crate) fn remote(&self, replica_set: Vec<NodeId>) -> BTreeSet<NodeId> {
        replica_set.into_iter().filter(|id| *id != self.local()).collect()
    }

    pub(crate) fn view(&self) -> ViewNumber {
        self.membership.view()
    }
}
