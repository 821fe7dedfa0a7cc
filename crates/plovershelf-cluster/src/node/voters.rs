//! The leader keeps the number of voters and replaces those that are lost.
//!
//! One change at a time: first a member is brought up to date as a learner and becomes a voter, then the lost one is removed.
//! The other order would leave a majority of fewer voters, which one loss more could end.

use std::collections::{BTreeMap, BTreeSet};

use super::leader_duties::Surroundings;
use crate::consensus::{Payload, Raft, MAX_VOTERS};
use crate::gossip::{MemberState, Swim};
use crate::identity::NodeId;
use crate::state::ClusterState;
use crate::view::View;

/// Why a voter can't be replaced here.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplaceError {
    /// This node does not lead, and knows of none that does.
    #[error("no leader is known")]
    NoLeader,
    /// Another node leads.
    #[error("{leader} leads, not this member; ask there")]
    NotLeader {
        /// That node's name.
        leader: String,
    },
    /// The name is no voter's.
    #[error("{name:?} is no voter; {} are", voters.join(", "))]
    NoVoter {
        /// The name.
        name: String,
        /// Names of the voters.
        voters: Vec<String>,
    },
    /// The leader was named.
    #[error("{name} leads; it can't replace itself")]
    Leader {
        /// Its name.
        name: String,
    },
}

/// Of the leader: voters that are missing, and who is to replace them.
#[derive(Clone, Debug, Default)]
pub(super) struct VoterManager {
    missing_since_ms: BTreeMap<NodeId, f64>,
    learner: Option<NodeId>,
    /// Voters that an operator wants replaced without waiting.
    replace_now: BTreeSet<NodeId>,
}

impl VoterManager {
    pub(super) fn clear(&mut self) {
        self.missing_since_ms.clear();
        self.learner = None;
    }

    pub(super) fn replace_now(&mut self, voter: NodeId) {
        self.replace_now.insert(voter);
    }

    /// Takes the next step towards as many voters as there should be, all of them in the view.
    pub(super) fn reconcile(&mut self, around: &Surroundings<'_>, raft: &mut Raft<ClusterState>) {
        let (voters, view) = (raft.voters().clone(), raft.state().view.clone());
        let lost = self.find_lost(around, &voters, raft.state());
        let wanted = around.config.voters;
        let healthy = voters.iter().filter(|id| self.is_healthy(**id, &view)).count();
        let remaining = voters.len() - usize::from(lost.is_some());
        let wants_more = healthy < wanted && remaining < wanted && voters.len() <= MAX_VOTERS;
        let candidate = wants_more.then(|| best_candidate(around.swim, &view, &voters)).flatten();
        let learner = self.learner.filter(|id| view.members.contains_key(id) && !voters.contains(id));
        match (learner, candidate) {
            (Some(learner), Some(_)) => self.promote(around.now_ms, learner, voters, raft),
            (None, Some(candidate)) => self.set_learner(Some(candidate), raft),
            (_, None) => {
                if self.learner.is_some() {
                    self.set_learner(None, raft);
                }
                let surplus = voters.len() > wanted || lost.is_some() && healthy >= wanted;
                let removed = lost.or_else(|| surplus_voter(around.own, &view, &voters));
                if let Some(id) = removed.filter(|_| surplus && healthy > 0) {
                    let mut fewer = voters;
                    fewer.remove(&id);
                    raft.propose(around.now_ms, Payload::Voters(fewer));
                }
            }
        }
    }

    /// The learner becomes a voter once it has all that is committed.
    fn promote(
        &mut self,
        now_ms: f64,
        learner: NodeId,
        mut voters: BTreeSet<NodeId>,
        raft: &mut Raft<ClusterState>,
    ) {
        let matched = raft.matched().into_iter().find(|(id, _)| *id == learner);
        if matched.map_or(0, |(_, index)| index) < raft.commit_index() {
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
        view.members.contains_key(&voter) && !self.replace_now.contains(&voter)
    }

    /// The first voter that is to be replaced: out of the view for long enough, or gone for good.
    fn find_lost(
        &mut self,
        around: &Surroundings<'_>,
        voters: &BTreeSet<NodeId>,
        state: &ClusterState,
    ) -> Option<NodeId> {
        self.replace_now.retain(|id| voters.contains(id));
        self.missing_since_ms.retain(|id, _| voters.contains(id));
        let mut lost = None;
        for id in voters {
            if self.is_healthy(*id, &state.view) {
                self.missing_since_ms.remove(id);
                continue;
            }
            let since_ms = *self.missing_since_ms.entry(*id).or_insert(around.now_ms);
            let left = around.swim.find(*id).is_some_and(|update| update.state == MemberState::Left);
            let for_good = left || is_superseded(*id, around.swim, state);
            let overdue = around.now_ms - since_ms >= around.config.replace_voter_after_ms;
            if for_good || overdue || self.replace_now.contains(id) {
                lost = lost.or(Some(*id));
            }
        }
        lost
    }
}

/// The node's name is back at its address under another id: its own id will never speak again.
pub(super) fn is_superseded(id: NodeId, swim: &Swim, state: &ClusterState) -> bool {
    let view = &state.view;
    let in_view = view.members.get(&id).map(|member| (&member.name, member.address));
    let known = swim.find(id).map(|update| (&update.node.name, update.node.address)).or(in_view);
    let superseded = known.is_some_and(|(name, address)| {
        swim.present_at(address).any(|other| other.node.name == *name && other.node.id != id)
    });
    // Or so it was agreed: it left a view, and its name joined again under another id.
    let mut departures = state.view_changes.iter().flat_map(|change| &change.left);
    let departure = departures.find(|(left, _)| *left == id);
    superseded
        || departure.is_some_and(|(_, name)| {
            !view.members.contains_key(&id) && view.members.values().any(|member| member.name == *name)
        })
}

/// Of the members in the zone with fewest voters, the one that was created first.
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

/// Of the other voters, one in the zone with most voters.
fn surplus_voter(own: NodeId, view: &View, voters: &BTreeSet<NodeId>) -> Option<NodeId> {
    let zone_of = |id: &NodeId| view.members.get(id).map(|member| &member.zone);
    let in_same_zone = |id: &NodeId| voters.iter().filter(|other| zone_of(other) == zone_of(id)).count();
    voters.iter().filter(|id| **id != own).max_by_key(|id| in_same_zone(id)).copied()
}
