//! Duties of the leader towards the cluster: views, leases and voters.
//!
//! Views and leases depend on each other: a member is removed from the view only when none of its leases is valid, and
//! gets no lease while it is being removed. On a node that is not the leader the next reconciliation clears this state,
//! except the operator's requests to replace voters.

use std::collections::BTreeMap;

use super::config::NodeConfig;
use super::voters::VoterManager;
use crate::broken::{self, BrokenRule};
use crate::consensus::{Payload, Raft};
use crate::gossip::{MemberState, Swim};
use crate::identity::NodeId;
use crate::lease::{earlier_leases_expired, LeaseGrants};
use crate::state::{ClusterState, Command};
use crate::view::{NextView, ViewReconciler};

/// The state of the node on which the leader bases its decisions.
pub(super) struct LeaderContext<'a> {
    pub(super) now_ms: f64,
    pub(super) own_id: NodeId,
    pub(super) config: &'a NodeConfig,
    pub(super) swim: &'a Swim,
}

/// The state of the leader's duties.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaderDuties {
    views: ViewReconciler,
    grants: LeaseGrants,
    voters: VoterManager,
}

impl LeaderDuties {
    /// Proposes the next view and the next change of voters, if any is due.
    pub(super) fn reconcile(&mut self, context: &LeaderContext<'_>, raft: &mut Raft<ClusterState>) {
        if !raft.leads() {
            self.views.clear();
            self.grants.clear();
            return self.voters.clear();
        }
        self.reconcile_view(context, raft);
        if raft.leads() {
            self.voters.reconcile(context, raft);
        } else {
            self.voters.clear();
        }
    }

    /// Requests the replacement of a voter without waiting for it to be lost.
    pub(super) fn request_replacement(&mut self, voter: NodeId) {
        self.voters.request_replacement(voter);
    }

    /// Returns the nodes whose presence differs from the view, and the time since which it does.
    pub(super) fn differing(&self) -> &BTreeMap<NodeId, f64> {
        self.views.differing()
    }

    /// Decides on a request for a lease and records the grant. Returns whether the lease is granted: this node must
    /// hold a valid leader's lease, and the member must belong to the view and not be about to be removed.
    pub(super) fn grant_lease(
        &mut self,
        to: NodeId,
        context: &LeaderContext<'_>,
        raft: &Raft<ClusterState>,
    ) -> bool {
        let differs = self.views.differing().contains_key(&to);
        let is_member = raft.state().view.members.contains_key(&to) && !differs;
        // A pending view without the member may be committed at any time, even if the member has returned since.
        let being_removed = raft.uncommitted().any(|payload| match payload {
            Payload::Command(Command::ChangeView { left, .. }) => left.contains(&to),
            _ => false,
        });
        let leads = raft.leads() && context.now_ms < raft.leader_lease_until_ms();
        let granted = leads && is_member && !being_removed;
        if granted {
            self.grants.record(to, context.now_ms, &context.config.lease_timing());
        }
        granted
    }

    fn reconcile_view(&mut self, context: &LeaderContext<'_>, raft: &mut Raft<ClusterState>) {
        let (timing, grants) = (context.config.view_timing(), &self.grants);
        let view = &raft.state().view;
        let may_remove = |id| may_remove(id, context, raft, grants);
        let next = self.views.next_view(context.now_ms, &timing, view, context.swim, may_remove);
        let all_committed = raft.persistent().last().index == raft.commit_index();
        if next.is_unchanged() || !all_committed {
            return;
        }
        let NextView { joined, left } = next;
        let duplicate = broken::is(BrokenRule::DuplicateViewNumber) && !joined.is_empty();
        let number = view.number + u64::from(!duplicate);
        let command = Command::ChangeView { number, joined, left };
        raft.propose(context.now_ms, Payload::Command(command));
    }
}

/// Returns whether a member can be removed from the view: it has left, or all leases granted to it by this leader and
/// by earlier ones have expired, so that it can no longer act.
fn may_remove(
    id: NodeId,
    context: &LeaderContext<'_>,
    raft: &Raft<ClusterState>,
    grants: &LeaseGrants,
) -> bool {
    if broken::is(BrokenRule::LeaseNotChecked) {
        return true;
    }
    let left = context.swim.find(id).is_some_and(|update| update.state == MemberState::Left);
    let shortest_ms = context.config.raft.election_timeout_ms[0];
    let earlier_expired = raft.leader_since_ms().is_some_and(|since_ms| {
        earlier_leases_expired(context.now_ms, since_ms, shortest_ms, &context.config.lease_timing())
    });
    left || grants.has_expired(id, context.now_ms) && earlier_expired
}
