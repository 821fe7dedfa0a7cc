//! The way out when a majority of voters is lost for good: a new epoch without the lost nodes, by an operator's command.
//!
//! All nodes of the last view that are not named lost must consent, each to none older than before; so of two recoveries at
//! once one at most comes to its end, and a later one builds on it. What the furthest of them keeps is taken for committed,
//! as it may have been.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::{LogPosition, Payload, PersistentState, Snapshot, StateMachine};
use crate::identity::{Epoch, NodeId};
use crate::state::{ClusterState, Command};
use crate::view::View;

/// How long consents are waited for.
const CONSENT_TIMEOUT_MS: f64 = 5000.0;

/// Why a recovery can't begin or comes to nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoverError {
    /// There is no epoch to recover from.
    #[error("this member knows of no council yet")]
    NoEpoch,
    /// A name is not in the view.
    #[error("{name:?} is not in view {view}; in it are {}", members.join(", "))]
    NotInView {
        /// The name.
        name: String,
        /// Number of the view.
        view: u64,
        /// Names of the view's members.
        members: Vec<String>,
    },
    /// There is a majority.
    #[error("{remaining} of {voters} voters are not named lost: they can decide by themselves")]
    HasMajority {
        /// Voters that are not named lost.
        remaining: usize,
        /// All voters.
        voters: usize,
    },
    /// The asked node does not survive.
    #[error("this member itself is named lost, or is not in the view")]
    NoSurvivor,
    /// A node has promised to follow no epoch as old as this one.
    #[error("{node} has consented to council {newest} already; ask again")]
    AlreadyConsented {
        /// The node's name.
        node: String,
        /// Number of the epoch that it has consented to.
        newest: u64,
    },
    /// Not all consented in time.
    #[error("no consent came from {}: name them lost too, or bring them back", missing.join(", "))]
    MissingConsent {
        /// Names of those that did not.
        missing: Vec<String>,
    },
    /// Another node refused, for the reason that it gave.
    #[error("{0}")]
    Refused(String),
}

/// Who is lost and who must consent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Survey {
    pub(super) lost: BTreeSet<NodeId>,
    pub(super) survivors: BTreeSet<NodeId>,
}

impl Survey {
    /// Finds the nodes of the names. Voters that are in no view any more are lost without being named.
    pub(super) fn of(names: &[String], view: &View, voters: &BTreeSet<NodeId>) -> Result<Self, RecoverError> {
        let mut lost = BTreeSet::new();
        for name in names {
            let named = view.members.iter().filter(|(_, member)| member.name == *name);
            let found: Vec<NodeId> = named.map(|(id, _)| *id).collect();
            if found.is_empty() {
                let members = view.members.values().map(|member| member.name.clone()).collect();
                return Err(RecoverError::NotInView { name: name.clone(), view: view.number, members });
            }
            lost.extend(found);
        }
        lost.extend(voters.iter().filter(|id| !view.members.contains_key(id)));
        let survivors = view.members.keys().copied().filter(|id| !lost.contains(id)).collect();
        Ok(Survey { lost, survivors })
    }

    /// Tells epochs of one number apart by who is lost (FNV-1a over the ids). Never 0.
    fn tag(&self) -> u64 {
        let hash = self
            .lost
            .iter()
            .fold(0xcbf2_9ce4_8422_2325u64, |hash, id| (hash ^ id.0).wrapping_mul(0x0100_0000_01b3));
        hash >> 8 | 1
    }

    /// The new epoch: above all that this node has heard of, so that it fences off what was begun before and came to nothing.
    pub(super) fn next_epoch(&self, newest: Epoch) -> Epoch {
        Epoch::new(newest.number() + 1, self.tag())
    }
}

/// What a recovery needs next.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RecoveryStep {
    /// All have consented.
    Complete,
    /// These did not in time.
    Expired(Vec<NodeId>),
    /// These are to be asked, once more.
    Ask(Vec<NodeId>),
    /// Nothing now.
    Wait,
}

/// A recovery under way.
#[derive(Clone, Debug)]
pub(super) struct EpochRecovery {
    epoch: Epoch,
    survey: Survey,
    consents: BTreeMap<NodeId, PersistentState<ClusterState>>,
    deadline_ms: f64,
    ask_at_ms: f64,
}

impl EpochRecovery {
    /// Begins it on a node that has consented itself.
    pub(super) fn new(
        now_ms: f64,
        epoch: Epoch,
        survey: Survey,
        own: NodeId,
        persistent: PersistentState<ClusterState>,
    ) -> Self {
        let consents = BTreeMap::from([(own, persistent)]);
        EpochRecovery { epoch, survey, consents, deadline_ms: now_ms + CONSENT_TIMEOUT_MS, ask_at_ms: now_ms }
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(super) fn survivors(&self) -> &BTreeSet<NodeId> {
        &self.survey.survivors
    }

    pub(super) fn record_consent(&mut self, from: NodeId, persistent: PersistentState<ClusterState>) {
        self.consents.insert(from, persistent);
    }

    pub(super) fn next_step(&mut self, now_ms: f64, ask_interval_ms: f64) -> RecoveryStep {
        if self.consents.len() == self.survey.survivors.len() {
            return RecoveryStep::Complete;
        }
        let missing = self.survey.survivors.iter().filter(|id| !self.consents.contains_key(id));
        let missing: Vec<NodeId> = missing.copied().collect();
        if self.deadline_ms <= now_ms {
            return RecoveryStep::Expired(missing);
        }
        if self.ask_at_ms <= now_ms {
            self.ask_at_ms = now_ms + ask_interval_ms;
            return RecoveryStep::Ask(missing);
        }
        RecoveryStep::Wait
    }

    /// What the new epoch begins with: the state of the furthest survivor, in a view without the lost. It follows from the
    /// consents alone, whoever asks for it.
    pub(super) fn outcome(&self, max_voters: usize) -> Option<Snapshot<ClusterState>> {
        let furthest = self.consents.iter();
        let furthest = furthest.max_by_key(|(id, persistent)| (persistent.epoch, persistent.last(), **id));
        let (_, persistent) = furthest?;
        let mut state = persistent.snapshot.state.clone();
        for entry in &persistent.log {
            if let Payload::Command(command) = &entry.payload {
                state.apply(command);
            }
        }
        let voters = self.choose_voters(&state.view, max_voters);
        let last = persistent.last();
        let last = LogPosition { term: last.term.next(), index: last.index + 1 };
        let left = state.view.members.keys().copied().filter(|id| self.survey.lost.contains(id)).collect();
        let number = state.view.number + 1;
        state.apply(&Command::ChangeView { number, joined: Vec::new(), left });
        Some(Snapshot { last, voters, voters_index: last.index, state })
    }

    /// Survivors spread over zones, an odd number.
    fn choose_voters(&self, view: &View, max_voters: usize) -> BTreeSet<NodeId> {
        let survivors = self.survivors();
        let zone_of = |id: &NodeId| view.members.get(id).map_or("", |member| member.zone.as_str());
        let mut voters: BTreeSet<NodeId> = BTreeSet::new();
        let mut voters_in: BTreeMap<&str, usize> = BTreeMap::new();
        while voters.len() < max_voters.min(survivors.len()) {
            let free = survivors.iter().filter(|id| !voters.contains(id));
            let fewest = free.min_by_key(|id| (voters_in.get(zone_of(id)).copied().unwrap_or(0), **id));
            let Some(chosen) = fewest else { break };
            *voters_in.entry(zone_of(chosen)).or_default() += 1;
            voters.insert(*chosen);
        }
        if voters.len().is_multiple_of(2) && voters.len() > 1 {
            voters.pop_last();
        }
        voters
    }
}

#[cfg(test)]
mod tests;
