//! What the leader does for the cluster: it keeps the view, the leases and the voters.
//!
//! The three belong together: a member is removed from the view only when no lease of it is valid, and gets no lease while it
//! is to be removed. On a node that does not lead it is cleared at the next look, but for the voters that an operator
//! wants replaced.

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

/// What the leader goes by.
pub(super) struct Surroundings<'a> {
    pub(super) now_ms: f64,
    pub(super) own: NodeId,
    pub(super) config: &'a NodeConfig,
    pub(super) swim: &'a Swim,
}

/// State of the leader's duties.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaderDuties {
    views: ViewReconciler,
    grants: LeaseGrants,
    voters: VoterManager,
}

impl LeaderDuties {
    /// Has the next view and the next change of voters committed, where any is due.
    pub(super) fn reconcile(&mut self, around: &Surroundings<'_>, raft: &mut Raft<ClusterState>) {
        if !raft.leads() {
            self.views.clear();
            self.grants.clear();
            return self.voters.clear();
        }
        self.reconcile_view(around, raft);
        if raft.leads() {
            self.voters.reconcile(around, raft);
        } else {
            self.voters.clear();
        }
    }

    /// Has a voter replaced without waiting.
    pub(super) fn replace_now(&mut self, voter: NodeId) {
        self.voters.replace_now(voter);
    }

    /// Members that differ from the view, and since when.
    pub(super) fn differing(&self) -> &BTreeMap<NodeId, f64> {
        self.views.differing()
    }

    /// Whether a member is granted a lease, which is recorded then.
    pub(super) fn grant_lease(
        &mut self,
        to: NodeId,
        around: &Surroundings<'_>,
        raft: &Raft<ClusterState>,
    ) -> bool {
        let differs = self.views.differing().contains_key(&to);
        let belongs = raft.state().view.members.contains_key(&to) && !differs;
        // A view without it may be committed at any moment, though it is back meanwhile.
        let being_removed = raft.uncommitted().any(|payload| match payload {
            Payload::Command(Command::ChangeView { left, .. }) => left.contains(&to),
            _ => false,
        });
        let leads = raft.leads() && around.now_ms < raft.leader_lease_until_ms();
        let granted = leads && belongs && !being_removed;
        if granted {
            self.grants.record(to, around.now_ms, &around.config.lease_timing());
        }
        granted
    }

    fn reconcile_view(&mut self, around: &Surroundings<'_>, raft: &mut Raft<ClusterState>) {
        let (timing, grants) = (around.config.view_timing(), &self.grants);
        let view = &raft.state().view;
        let may_remove = |id| may_remove(id, around, raft, grants);
        let next = self.views.next_view(around.now_ms, &timing, view, around.swim, may_remove);
        let idle = raft.persistent().last().index == raft.commit_index();
        if next.is_unchanged() || !idle {
            return;
        }
        let NextView { joined, left } = next;
        let duplicate = broken::is(BrokenRule::DuplicateViewNumber) && !joined.is_empty();
        let number = view.number + u64::from(!duplicate);
        let command = Command::ChangeView { number, joined, left };
        raft.propose(around.now_ms, Payload::Command(command));
    }
}

/// Nobody is removed from the view who may still act: neither by this leader's lease nor by one of a leader before it.
fn may_remove(
    id: NodeId,
    around: &Surroundings<'_>,
    raft: &Raft<ClusterState>,
    grants: &LeaseGrants,
) -> bool {
    if broken::is(BrokenRule::LeaseNotChecked) {
        return true;
    }
    let left = around.swim.find(id).is_some_and(|update| update.state == MemberState::Left);
    let shortest_ms = around.config.raft.election_timeout_ms[0];
    let earlier_expired = raft.leader_since_ms().is_some_and(|since_ms| {
        earlier_leases_expired(around.now_ms, since_ms, shortest_ms, &around.config.lease_timing())
    });
    left || grants.has_expired(id, around.now_ms) && earlier_expired
}
