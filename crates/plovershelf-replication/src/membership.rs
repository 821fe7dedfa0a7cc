//! The current view and the placement of keys in it.

use plovershelf_cluster::NodeId;

use crate::placement::{replica_set, IdempotencyKey, Member};
use crate::record::ViewNumber;

/// The local member's current and previous view.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    local: NodeId,
    replication_factor: usize,
    view: ViewNumber,
    members: Vec<Member>,
    /// Members of the previous view, used to determine whether the local member was a key's primary in it.
    previous_members: Vec<Member>,
}

impl Membership {
    pub(crate) fn new(local: NodeId, replication_factor: usize) -> Self {
        Membership {
            local,
            replication_factor,
            view: ViewNumber(0),
            members: Vec::new(),
            previous_members: Vec::new(),
        }
    }

    pub(crate) fn update(&mut self, view: ViewNumber, members: Vec<Member>) {
        self.previous_members = std::mem::replace(&mut self.members, members);
        self.view = view;
    }

    pub(crate) fn local(&self) -> NodeId {
        self.local
    }

    pub(crate) fn view(&self) -> ViewNumber {
        self.view
    }

    pub(crate) fn contains(&self, id: NodeId) -> bool {
        self.members.iter().any(|member| member.id == id)
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members.iter().map(|member| member.id)
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.ids().filter(|id| *id != self.local)
    }

    /// Returns whether records may be placed on a member: it belongs to the view and is not leaving.
    pub(crate) fn accepts_records(&self, id: NodeId) -> bool {
        self.members.iter().any(|member| member.id == id && member.weight > 0.0)
    }

    /// Returns a key's replicas in the current view, the primary first.
    pub(crate) fn replica_set(&self, key: IdempotencyKey) -> Vec<NodeId> {
        replica_set(key, &self.members, self.replication_factor)
    }

    pub(crate) fn primary(&self, key: IdempotencyKey) -> Option<NodeId> {
        self.replica_set(key).first().copied()
    }

    pub(crate) fn is_primary(&self, key: IdempotencyKey) -> bool {
        self.primary(key) == Some(self.local)
    }

    pub(crate) fn was_primary(&self, key: IdempotencyKey) -> bool {
        replica_set(key, &self.previous_members, self.replication_factor).first() == Some(&self.local)
    }

    /// Returns the replicas that a key would have if the excluded members were not in the view.
    pub(crate) fn replica_set_without(
        &self,
        key: IdempotencyKey,
        excluded: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let remaining: Vec<Member> =
            self.members.iter().filter(|member| !excluded(member.id)).cloned().collect();
        replica_set(key, &remaining, self.replication_factor)
    }
}
