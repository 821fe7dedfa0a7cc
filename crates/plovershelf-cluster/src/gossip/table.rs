//! The membership table of all other members, with indices for frequent queries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::member::{MemberState, MemberUpdate};
use super::suspicion::MAX_CONFIRMATIONS;
use crate::identity::NodeId;

/// The entry of another member.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    pub(super) update: MemberUpdate,
    /// Time at which this node recorded the member's current state.
    pub(super) since_ms: f64,
    /// Time of the last message received directly from the member, initially the time at which the entry was added.
    pub(super) last_contact_ms: f64,
    /// Members known to suspect it in its current incarnation.
    pub(super) suspected_by: BTreeSet<NodeId>,
}

/// All other members, including dead ones until they are removed.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    entries: BTreeMap<NodeId, MemberEntry>,
    by_address: BTreeSet<(SocketAddr, NodeId)>,
    /// Members that are not `Alive`. They are few, and their deadlines are checked often.
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
        let indexed = self.by_address.range((address, NodeId(0))..=(address, NodeId(u64::MAX)));
        indexed.filter_map(|(_, id)| self.entries.get(id))
    }

    pub(super) fn record_contact(&mut self, id: NodeId, now_ms: f64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.last_contact_ms = now_ms;
        }
    }

    /// Restarts the timeouts of all suspicions.
    pub(super) fn restart_suspicions(&mut self, now_ms: f64) {
        for entry in self.entries.values_mut().filter(|entry| entry.update.state == MemberState::Suspect) {
            entry.since_ms = now_ms;
        }
    }

    /// Records the confirmation of a suspicion by another member. Returns whether to disseminate the confirmation,
    /// which is the case for the first few suspecting members.
    pub(super) fn confirm_suspicion(&mut self, update: &MemberUpdate) -> bool {
        let Some(entry) = self.entries.get_mut(&update.node.id) else { return false };
        let same_version = entry.update.precedence() == update.precedence();
        if !same_version
            || update.state != MemberState::Suspect
            || !entry.suspected_by.insert(update.reported_by)
        {
            return false;
        }
        let disseminate = entry.suspected_by.len() <= MAX_CONFIRMATIONS;
        if disseminate {
            entry.update.reported_by = update.reported_by;
        }
        disseminate
    }

    pub(super) fn insert(&mut self, update: MemberUpdate, now_ms: f64) {
        let id = update.node.id;
        self.by_address.insert((update.node.address, id));
        self.index_state(id, update.state);
        let suspected_by = initial_suspectors(&update);
        let entry = MemberEntry { update, since_ms: now_ms, last_contact_ms: now_ms, suspected_by };
        self.entries.insert(id, entry);
    }

    /// Replaces the entry of a member with a newer update. Returns whether the member's state changed.
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
        entry.suspected_by = initial_suspectors(&update);
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

fn initial_suspectors(update: &MemberUpdate) -> BTreeSet<NodeId> {
    let suspect = update.state == MemberState::Suspect;
    suspect.then_some(update.reported_by).into_iter().collect()
}
