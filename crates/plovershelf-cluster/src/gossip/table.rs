//! What this member knows of all others, with the indices that what is done often needs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::member::{MemberState, MemberUpdate};
use super::suspicion::MAX_CONFIRMATIONS;
use crate::identity::NodeId;

/// One other member.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    pub(super) update: MemberUpdate,
    /// Since when it is in its state, here.
    pub(super) since_ms: f64,
    /// When something came from it by itself; at first, when it was heard of.
    pub(super) heard_at_ms: f64,
    /// Who suspects it, as far as that matters.
    pub(super) suspected_by: BTreeSet<NodeId>,
}

/// All others, the dead among them until they are forgotten.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    entries: BTreeMap<NodeId, MemberEntry>,
    by_address: BTreeSet<(SocketAddr, NodeId)>,
    /// Those that are not `Alive`: few, and what is due for them is looked for often.
    not_alive: BTreeSet<NodeId>,
}

impl MemberTable {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(&self, id: NodeId) -> Option<&MemberEntry> {
        self.entries.get(&id)
    }

    pub(super) fn address_of(&self, id: NodeId) -> Option<SocketAddr> {
        self.entries.get(&id).map(|entry| entry.update.node.address)
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.entries.keys().copied()
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    pub(super) fn not_alive(&self) -> impl Iterator<Item = &MemberEntry> {
        self.not_alive.iter().filter_map(|id| self.entries.get(id))
    }

    pub(super) fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &MemberEntry> {
        let there = self.by_address.range((address, NodeId(0))..=(address, NodeId(u64::MAX)));
        there.filter_map(|(_, id)| self.entries.get(id))
    }

    pub(super) fn record_contact(&mut self, id: NodeId, now_ms: f64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.heard_at_ms = now_ms;
        }
    }

    /// Suspicions begin anew.
    pub(super) fn restart_suspicions(&mut self, now_ms: f64) {
        for entry in self.entries.values_mut().filter(|entry| entry.update.state == MemberState::Suspect) {
            entry.since_ms = now_ms;
        }
    }

    /// Counts a member that shares a suspicion. True where that ends the suspicion sooner.
    pub(super) fn confirm_suspicion(&mut self, update: &MemberUpdate) -> bool {
        let Some(entry) = self.entries.get_mut(&update.node.id) else { return false };
        let same = entry.update.precedence() == update.precedence();
        if !same || update.state != MemberState::Suspect || !entry.suspected_by.insert(update.reported_by) {
            return false;
        }
        let counts = entry.suspected_by.len() <= MAX_CONFIRMATIONS;
        if counts {
            entry.update.reported_by = update.reported_by;
        }
        counts
    }

    pub(super) fn insert(&mut self, update: MemberUpdate, now_ms: f64) {
        let id = update.node.id;
        self.by_address.insert((update.node.address, id));
        self.index_state(id, update.state);
        let suspected_by = first_suspector(&update);
        let entry = MemberEntry { update, since_ms: now_ms, heard_at_ms: now_ms, suspected_by };
        self.entries.insert(id, entry);
    }

    /// Replaces what is known of a member by something newer. True where its state is another one now.
    pub(super) fn replace(&mut self, update: MemberUpdate, now_ms: f64) -> bool {
        let id = update.node.id;
        self.index_state(id, update.state);
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        let (old, new) = (entry.update.node.address, update.node.address);
        if old != new {
            self.by_address.remove(&(old, id));
            self.by_address.insert((new, id));
        }
        let changed = entry.update.state != update.state;
        entry.suspected_by = first_suspector(&update);
        if changed {
            entry.since_ms = now_ms;
        }
        entry.update = update;
        changed
    }

    pub(super) fn remove(&mut self, id: NodeId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.by_address.remove(&(entry.update.node.address, id));
        }
        self.not_alive.remove(&id);
    }

    fn index_state(&mut self, id: NodeId, state: MemberState) {
        if state == MemberState::Alive {
            self.not_alive.remove(&id);
        } else {
            self.not_alive.insert(id);
        }
    }
}

fn first_suspector(update: &MemberUpdate) -> BTreeSet<NodeId> {
    let suspect = update.state == MemberState::Suspect;
    suspect.then_some(update.reported_by).into_iter().collect()
}
