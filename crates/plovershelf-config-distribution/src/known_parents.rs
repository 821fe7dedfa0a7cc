//! The parents that a listener knows, and those that failed it recently.

use std::net::SocketAddr;

use crate::message::{ListenerKind, MAX_ADDRESSES};

/// Maximum number of failed addresses that are remembered while the listener has no parent.
const MAX_FAILED: usize = MAX_ADDRESSES;
/// Maximum number of failed addresses that are remembered after the listener attached to a parent.
const MAX_FAILED_AFTER_ATTACH: usize = 4;
/// Maximum number of alternate parents that are probed for a newer version before the origins are probed.
const MAX_PROBED_ALTERNATES: usize = 2;

/// The origins from the operator's file, and the alternate parents that the parent sent.
#[derive(Clone, Debug)]
pub(crate) struct KnownParents {
    /// Alternate parents; the first one is the backup parent.
    alternates: Vec<SocketAddr>,
    /// All origins, the nearest first once the parent has sent their order.
    origins: Vec<SocketAddr>,
    /// Index of the origin to ask next, modulo the number of origins.
    next_origin: usize,
    /// Addresses that did not answer or that rejected the listener, the most recent last.
    failed: Vec<SocketAddr>,
}

impl KnownParents {
    pub(crate) fn new(mut origins: Vec<SocketAddr>) -> Self {
        origins.truncate(MAX_ADDRESSES);
        KnownParents { alternates: Vec::new(), origins, next_origin: 0, failed: Vec::new() }
    }

    pub(crate) fn origins(&self) -> &[SocketAddr] {
        &self.origins
    }

    pub(crate) fn origins_mut(&mut self) -> &mut [SocketAddr] {
        &mut self.origins
    }

    pub(crate) fn is_origin(&self, address: SocketAddr) -> bool {
        self.origins.contains(&address)
    }

    pub(crate) fn alternates(&self) -> &[SocketAddr] {
        &self.alternates
    }

    pub(crate) fn failed(&self) -> &[SocketAddr] {
        &self.failed
    }

    /// Returns the addresses to which a listener of this kind may attach: origins for a relay, relays for a leaf.
    pub(crate) fn candidates_for(&self, kind: ListenerKind) -> &[SocketAddr] {
        match kind {
            ListenerKind::Relay => &self.origins,
            ListenerKind::Leaf => &self.alternates,
        }
    }

    /// Returns the address to which the listener attaches if it loses this parent.
    pub(crate) fn backup(&self, kind: ListenerKind, parent: Option<SocketAddr>) -> Option<SocketAddr> {
        let first_other = |list: &[SocketAddr]| list.iter().copied().find(|address| Some(*address) != parent);
        match kind {
            ListenerKind::Relay => first_other(&self.origins),
            ListenerKind::Leaf => first_other(&self.alternates).or_else(|| first_other(&self.origins)),
        }
    }

    /// Returns the process to probe after a long time without origin contact through the parent.
    ///
    /// The targets are the backup parent, one more alternate parent because the backup may have no origin contact
    /// either, and then the origins. Successive values of `index` select successive targets.
    pub(crate) fn probe_target(
        &self,
        kind: ListenerKind,
        parent: Option<SocketAddr>,
        index: usize,
    ) -> Option<SocketAddr> {
        let alternates: &[SocketAddr] = if kind == ListenerKind::Relay { &[] } else { &self.alternates };
        let is_not_parent = |address: &SocketAddr| Some(*address) != parent;
        let probed_alternates = alternates.iter().copied().filter(is_not_parent).take(MAX_PROBED_ALTERNATES);
        let targets: Vec<SocketAddr> =
            probed_alternates.chain(self.origins.iter().copied().filter(is_not_parent)).collect();
        targets.get(index % targets.len().max(1)).copied()
    }

    /// Applies the lists sent by the parent. Sorts the origins in the parent's order of distance, and ignores any that
    /// are not in the operator's file.
    pub(crate) fn update(&mut self, relays: Vec<SocketAddr>, origins: &[SocketAddr], own: SocketAddr) {
        self.alternates = relays.into_iter().filter(|relay| *relay != own).take(MAX_ADDRESSES).collect();
        let rank = |address: &SocketAddr| {
            origins.iter().position(|origin| origin == address).unwrap_or(MAX_ADDRESSES)
        };
        self.origins.sort_by_key(rank);
        self.next_origin = 0;
    }

    /// Makes a leaf attach to this address first after it leaves its parent, since the address has a newer version.
    ///
    /// If the address is an origin, all alternate parents are as far behind as the parent, so they count as failed.
    pub(crate) fn prefer(&mut self, address: SocketAddr) {
        if self.is_origin(address) {
            let alternates = std::mem::take(&mut self.alternates);
            alternates.into_iter().for_each(|alternate| self.record_failure(alternate));
        } else {
            self.alternates.retain(|alternate| *alternate != address);
            self.alternates.insert(0, address);
            self.alternates.truncate(MAX_ADDRESSES);
        }
    }

    /// Returns the next origin in rotation that did not fail recently, or the next one if all did.
    pub(crate) fn next_origin(&self) -> Option<SocketAddr> {
        let count = self.origins.len().max(1);
        let first = *self.origins.get(self.next_origin % count)?;
        let mut rotated = self.origins.iter().cycle().skip(self.next_origin % count).take(count);
        Some(rotated.find(|origin| !self.failed.contains(origin)).copied().unwrap_or(first))
    }

    /// Returns all origins in rotation, those that failed recently last.
    pub(crate) fn origins_in_rotation(&self) -> Vec<SocketAddr> {
        let mut origins = self.origins.clone();
        origins.rotate_left(self.next_origin % self.origins.len().max(1));
        origins.sort_by_key(|origin| self.failed.contains(origin));
        origins
    }

    /// Advances the rotation to the next origin.
    pub(crate) fn advance_rotation(&mut self) {
        self.next_origin += 1;
    }

    pub(crate) fn record_failure(&mut self, address: SocketAddr) {
        self.failed.retain(|failed| *failed != address);
        self.failed.push(address);
        if self.failed.len() > MAX_FAILED {
            self.failed.remove(0);
        }
    }

    /// Forgets all but the most recent failures after the listener attached to a parent.
    pub(crate) fn handle_attached(&mut self, parent: SocketAddr) {
        self.failed.retain(|failed| *failed != parent);
        self.failed.drain(..self.failed.len().saturating_sub(MAX_FAILED_AFTER_ATTACH));
    }
}

#[cfg(test)]
mod tests;
