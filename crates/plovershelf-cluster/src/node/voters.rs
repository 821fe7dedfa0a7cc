//! Maintenance of the number of voters by the leader, and replacement of lost voters.
//!
//! Voters change one at a time: first a member catches up as a learner and becomes a voter, then the lost voter is
//! removed. In the opposite order the group would temporarily have fewer voters, and one more loss could cost it its
//! majority.

use std::collections::{BTreeMap, BTreeSet};

use super::leader_duties::LeaderContext;
use crate::consensus::{Payload, Raft, MAX_VOTERS};
use crate::gossip::{MemberState, Swim};
use crate::identity::NodeId;
use crate::state::ClusterState;
use crate::view::View;

/// An error that prevents the replacement of a voter.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplaceError {
    /// This node is not the leader and knows no leader.
    #[error("no leader is known")]
    NoLeader,
    /// Another node is the leader.
    #[error("{leader} leads, not this member; ask there")]
    NotLeader {
        /// Name of the leader.
        leader: String,
    },
    /// No voter has the given name.
    #[error("{name:?} is no voter; {} are", voters.join(", "))]
    NoVoter {
        /// The given name.
        name: String,
        /// Names of the voters.
        voters: Vec<String>,
    },
    /// The voter to replace is the leader itself.
    #[error("{name} leads; it can't replace itself")]
    Leader {
        /// Name of the leader.
        name: String,
    },
}

/// The leader's record of missing voters and of the learner that replaces them.
#[derive(Clone, Debug, Default)]
pub(super) struct VoterManager {
    missing_since_ms: BTreeMap<NodeId, f64>,
    learner: Option<NodeId>,
    /// Voters that an operator has requested to replace without waiting.
    requested_replacements: BTreeSet<NodeId>,
}

impl VoterManager {
    pub(super) fn clear(&mut self) {
        self.missing_since_ms.clear();
        self.learner = None;
    }

    pub(super) fn request_replacement(&mut self, voter: NodeId) {
        self.requested_replacements.insert(voter);
    }

    /// Takes the next step towards the configured number of voters, all of them in the view.
    pub(super) fn reconcile(&mut self, context: &LeaderContext<'_>, raft: &mut Raft<ClusterState>) {
        let (voters, view) = (raft.voters().clone(), raft.state().view.clone());
        let lost = self.find_lost(context, &voters, raft.state());
        let target = context.config.voters;
        let healthy = voters.iter().filter(|id| self.is_healthy(**id, &view)).count();
        let remaining = voters.len() - usize::from(lost.is_some());
        let needs_voter = healthy < target && remaining < target && voters.len() <= MAX_VOTERS;
        let candidate = needs_voter.then(|| best_candidate(context.swim, &view, &voters)).flatten();
        let learner = self.learner.filter(|id| view.members.contains_key(id) && !voters.contains(id));
        match (learner, candidate) {
            (Some(learner), Some(_)) => self.promote(context.now_ms, learner, voters, raft),
            (None, Some(candidate)) => self.set_learner(Some(candidate), raft),
            (_, None) => {
                if self.learner.is_some() {
                    self.set_learner(None, raft);
                }
                let surplus = voters.len() > target || lost.is_some() && healthy >= target;
                let removed = lost.or_else(|| surplus_voter(context.own_id, &view, &voters));
                if let Some(id) = removed.filter(|_| surplus && healthy > 0) {
                    let mut fewer = voters;
                    fewer.remove(&id);
                    raft.propose(context.now_ms, Payload::Voters(fewer));
                }
            }
        }
    }

    /// Proposes the learner as a voter once it has all committed entries.
    fn promote(
        &mut self,
        now_ms: f64,
        learner: NodeId,
        mut voters: BTreeSet<NodeId>,
        raft: &mut Raft<ClusterState>,
    ) {
        let progress = raft.match_indices().into_iter().find(|(id, _)| *id == learner);
        if progress.map_or(0, |(_, index)| index) < raft.commit_index() {
            return;
        }
        voters.insert(learner);
        if raft.propose(now_ms, Payload::Voters(voters)).is_some() {
            self.set_learner(None, raft);
        }
    }

    fn set_learner(&mut self, learner: Option<NodeId>, raft: &mut Raft<ClusterState>) {
        self.learner = learner;
        raft.set_learner(learner);
    }

    fn is_healthy(&self, voter: NodeId, view: &View) -> bool {
        view.members.contains_key(&voter) && !self.requested_replacements.contains(&voter)
    }

    /// Returns the first voter to replace: one that has been out of the view for too long, is permanently lost, or that
    /// an operator has requested to replace.
    fn find_lost(
        &mut self,
        context: &LeaderContext<'_>,
        voters: &BTreeSet<NodeId>,
        state: &ClusterState,
    ) -> Option<NodeId> {
        self.requested_replacements.retain(|id| voters.contains(id));
        self.missing_since_ms.retain(|id, _| voters.contains(id));
        let mut lost = None;
        for id in voters {
            if self.is_healthy(*id, &state.view) {
                self.missing_since_ms.remove(id);
                continue;
            }
            let since_ms = *self.missing_since_ms.entry(*id).or_insert(context.now_ms);
            let left = context.swim.find(*id).is_some_and(|update| update.state == MemberState::Left);
            let permanent = left || is_superseded(*id, context.swim, state);
            let overdue = context.now_ms - since_ms >= context.config.replace_voter_after_ms;
            if permanent || overdue || self.requested_replacements.contains(id) {
                lost = lost.or(Some(*id));
            }
        }
        lost
    }
}

/// Returns whether the node's name has returned at its address under another id, which means that the old id is
/// permanently lost.
pub(super) fn is_superseded(id: NodeId, swim: &Swim, state: &ClusterState) -> bool {
    let view = &state.view;
    let in_view = view.members.get(&id).map(|member| (&member.name, member.address));
    let known = swim.find(id).map(|update| (&update.node.name, update.node.address)).or(in_view);
    let superseded = known.is_some_and(|(name, address)| {
        swim.present_at(address).any(|other| other.node.name == *name && other.node.id != id)
    });
    // The views show it as well: the node left one, and a member with its name has joined under another id.
    let mut departures = state.view_changes.iter().flat_map(|change| &change.left);
    let departure = departures.find(|(left, _)| *left == id);
    superseded
        || departure.is_some_and(|(_, name)| {
            !view.members.contains_key(&id) && view.members.values().any(|member| member.name == *name)
        })
}

/// Returns the oldest ready member outside the voters, in the zone with the fewest voters.
fn best_candidate(swim: &Swim, view: &View, voters: &BTreeSet<NodeId>) -> Option<NodeId> {
    let voters_in = |zone: &str| {
        voters.iter().filter(|id| view.members.get(id).is_some_and(|member| member.zone == zone)).count()
    };
    let is_free = |id: &NodeId| {
        let update = swim.find(*id).filter(|_| !voters.contains(id));
        update.is_some_and(|update| update.state == MemberState::Alive && update.ready && !update.draining)
    };
    let free = view.members.iter().filter(|(id, _)| is_free(id));
    let best = free.min_by_key(|(id, member)| {
        let created_at_ms = swim.find(**id).map_or(0, |update| update.node.created_at_ms);
        (voters_in(&member.zone), created_at_ms, **id)
    });
    best.map(|(id, _)| *id)
}

/// Returns a voter other than this node, in the zone with the most voters.
fn surplus_voter(own_id: NodeId, view: &View, voters: &BTreeSet<NodeId>) -> Option<NodeId> {
    let zone_of = |id: &NodeId| view.members.get(id).map(|member| &member.zone);
    let in_same_zone = |id: &NodeId| voters.iter().filter(|other| zone_of(other) == zone_of(id)).count();
    voters.iter().filter(|id| **id != own_id).max_by_key(|id| in_same_zone(id)).copied()
}
