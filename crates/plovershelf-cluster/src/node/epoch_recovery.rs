//! Recovery from the permanent loss of a majority of voters: on an operator's command a new epoch without the lost
//! nodes begins.
//!
//! All nodes of the last view that are not named lost must consent, and none consents to an epoch older than one that
//! it has consented to before. Of two concurrent recoveries at most one thus completes, and a later one starts from its
//! state. All entries of the survivor with the most recent log are treated as committed, because they may have been.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::{LogPosition, Payload, PersistentState, Snapshot, StateMachine};
use crate::identity::{Epoch, NodeId};
use crate::state::{ClusterState, Command};
use crate::view::View;

/// Time within which all survivors must consent, in milliseconds; after it the recovery fails.
const CONSENT_TIMEOUT_MS: f64 = 5000.0;

/// An error that prevents a recovery from starting or completing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoverError {
    /// This node belongs to no epoch, so there is nothing to recover.
    #[error("this member knows of no council yet")]
    NoEpoch,
    /// A name given as lost is not in the view.
    #[error("{name:?} is not in view {view}; in it are {}", members.join(", "))]
    NotInView {
        /// The given name.
        name: String,
        /// Number of the view.
        view: u64,
        /// Names of the members of the view.
        members: Vec<String>,
    },
    /// The remaining voters form a majority, so no recovery is needed.
    #[error("{remaining} of {voters} voters are not named lost: they can decide by themselves")]
    HasMajority {
        /// Number of voters that are not named lost.
        remaining: usize,
        /// Number of all voters.
        voters: usize,
    },
    /// The node that received the command is named lost or not in the view.
    #[error("this member itself is named lost, or is not in the view")]
    NoSurvivor,
    /// A node has already consented to this epoch number or a later one.
    #[error("{node} has consented to council {newest} already; ask again")]
    AlreadyConsented {
        /// Name of the node.
        node: String,
        /// Number of the newest epoch that the node belongs to or has consented to.
        newest: u64,
    },
    /// Some survivors did not consent in time.
    #[error("no consent came from {}: name them lost too, or bring them back", missing.join(", "))]
    MissingConsent {
        /// Names of the survivors without consent.
        missing: Vec<String>,
    },
    /// Another node refused its consent for the contained reason.
    #[error("{0}")]
    Refused(String),
}

/// The lost nodes and the survivors, all of which must consent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RecoveryMembership {
    pub(super) lost: BTreeSet<NodeId>,
    pub(super) survivors: BTreeSet<NodeId>,
}

impl RecoveryMembership {
    /// Resolves the names of the lost nodes. Voters that are no longer in the view are lost without being named.
    pub(super) fn of(names: &[String], view: &View, voters: &BTreeSet<NodeId>) -> Result<Self, RecoverError> {
        let mut lost = BTreeSet::new();
        for name in names {
            let matching = view.members.iter().filter(|(_, member)| member.name == *name);
            let ids: Vec<NodeId> = matching.map(|(id, _)| *id).collect();
            if ids.is_empty() {
                let members = view.members.values().map(|member| member.name.clone()).collect();
                return Err(RecoverError::NotInView { name: name.clone(), view: view.number, members });
            }
            lost.extend(ids);
        }
        lost.extend(voters.iter().filter(|id| !view.members.contains_key(id)));
        let survivors = view.members.keys().copied().filter(|id| !lost.contains(id)).collect();
        Ok(RecoveryMembership { lost, survivors })
    }

    /// Returns a tag that distinguishes epochs with equal numbers by their lost nodes (FNV-1a over the ids). Never 0.
    fn tag(&self) -> u64 {
        let hash = self
            .lost
            .iter()
            .fold(0xcbf2_9ce4_8422_2325u64, |hash, id| (hash ^ id.0).wrapping_mul(0x0100_0000_01b3));
        hash >> 8 | 1
    }

    /// Returns the epoch after `newest`, the newest one known to this node. Its higher number fences off earlier
    /// recoveries that did not complete.
    pub(super) fn next_epoch(&self, newest: Epoch) -> Epoch {
        Epoch::new(newest.number() + 1, self.tag())
    }
}

/// The next step of a recovery.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RecoveryStep {
    /// All survivors have consented.
    Complete,
    /// The contained survivors did not consent in time.
    Expired(Vec<NodeId>),
    /// Consent must be requested from the contained survivors, for the first time or again.
    RequestConsent(Vec<NodeId>),
    /// Nothing is due.
    Wait,
}

/// A recovery in progress.
#[derive(Clone, Debug)]
pub(super) struct EpochRecovery {
    epoch: Epoch,
    membership: RecoveryMembership,
    consents: BTreeMap<NodeId, PersistentState<ClusterState>>,
    deadline_ms: f64,
    request_at_ms: f64,
}

impl EpochRecovery {
    /// Starts a recovery on a node that has consented itself.
    pub(super) fn new(
        now_ms: f64,
        epoch: Epoch,
        membership: RecoveryMembership,
        own_id: NodeId,
        persistent: PersistentState<ClusterState>,
    ) -> Self {
        let consents = BTreeMap::from([(own_id, persistent)]);
        let deadline_ms = now_ms + CONSENT_TIMEOUT_MS;
        EpochRecovery { epoch, membership, consents, deadline_ms, request_at_ms: now_ms }
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(super) fn survivors(&self) -> &BTreeSet<NodeId> {
        &self.membership.survivors
    }

    pub(super) fn record_consent(&mut self, from: NodeId, persistent: PersistentState<ClusterState>) {
        self.consents.insert(from, persistent);
    }

    pub(super) fn next_step(&mut self, now_ms: f64, request_interval_ms: f64) -> RecoveryStep {
        if self.consents.len() == self.membership.survivors.len() {
            return RecoveryStep::Complete;
        }
        let missing = self.membership.survivors.iter().filter(|id| !self.consents.contains_key(id));
        let missing: Vec<NodeId> = missing.copied().collect();
        if self.deadline_ms <= now_ms {
            return RecoveryStep::Expired(missing);
        }
        if self.request_at_ms <= now_ms {
            self.request_at_ms = now_ms + request_interval_ms;
            return RecoveryStep::RequestConsent(missing);
        }
        RecoveryStep::Wait
    }

    /// Returns the initial snapshot of the new epoch: the state of the survivor with the most recent log, in a view
    /// without the lost nodes. The result depends on the consents alone and not on the node that computes it.
    pub(super) fn outcome(&self, max_voters: usize) -> Option<Snapshot<ClusterState>> {
        let consents = self.consents.iter();
        let most_recent = consents.max_by_key(|(id, persistent)| (persistent.epoch, persistent.last(), **id));
        let (_, persistent) = most_recent?;
        let mut state = persistent.snapshot.state.clone();
        for entry in &persistent.log {
            if let Payload::Command(command) = &entry.payload {
                state.apply(command);
            }
        }
        let voters = self.choose_voters(&state.view, max_voters);
        let last = persistent.last();
        let last = LogPosition { term: last.term.next(), index: last.index + 1 };
        let left =
            state.view.members.keys().copied().filter(|id| self.membership.lost.contains(id)).collect();
        let number = state.view.number + 1;
        state.apply(&Command::ChangeView { number, joined: Vec::new(), left });
        Some(Snapshot { last, voters, voters_index: last.index, state })
    }

    /// Chooses an odd number of survivors as voters, spread over the zones.
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
