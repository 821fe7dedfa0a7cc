//! Which parents a listener knows, and which of them failed it of late.

use std::net::SocketAddr;

use crate::message::{ListenerKind, MAX_ADDRESSES};

/// Failed addresses that are remembered while a parent is sought, at most.
const MAX_FAILED: usize = MAX_ADDRESSES;
/// Failed addresses that are remembered once a parent is found.
const FAILED_KEPT: usize = 4;
/// Alternates that are asked whether they hold newer, before origins are.
const ALTERNATES_PROBED: usize = 2;

/// Origins from the operator's file, and the alternates that the parent sent.
#[derive(Clone, Debug)]
pub(crate) struct KnownParents {
    /// The backup first.
    alternates: Vec<SocketAddr>,
    /// The nearest first, as far as that is known.
    origins: Vec<SocketAddr>,
    /// Which origin is asked next.
    next_origin: usize,
    /// Those that did not answer or rejected the listener, the last of them.
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

    /// Whom such a listener may attach to: a relay to origins, a leaf to relays.
    pub(crate) fn of_kind(&self, kind: ListenerKind) -> &[SocketAddr] {
        match kind {
            ListenerKind::Relay => &self.origins,
            ListenerKind::Leaf => &self.alternates,
        }
    }

    /// Where a listener goes when this parent is lost.
    pub(crate) fn backup(&self, kind: ListenerKind, parent: Option<SocketAddr>) -> Option<SocketAddr> {
        let other = |list: &[SocketAddr]| list.iter().copied().find(|at| Some(*at) != parent);
        match kind {
            ListenerKind::Relay => other(&self.origins),
            ListenerKind::Leaf => other(&self.alternates).or_else(|| other(&self.origins)),
        }
    }

    /// Whom to probe when no origin was heard from through the parent for long.
    ///
    /// The backup and one more alternate, as the backup may hear no origin either, then origins; at each turn the next.
    pub(crate) fn probe_target(
        &self,
        kind: ListenerKind,
        parent: Option<SocketAddr>,
        turn: usize,
    ) -> Option<SocketAddr> {
        let alternates: &[SocketAddr] = if kind == ListenerKind::Relay { &[] } else { &self.alternates };
        let but_parent = |at: &SocketAddr| Some(*at) != parent;
        let near = alternates.iter().copied().filter(but_parent).take(ALTERNATES_PROBED);
        let others: Vec<SocketAddr> = near.chain(self.origins.iter().copied().filter(but_parent)).collect();
        others.get(turn % others.len().max(1)).copied()
    }

    /// The parent's list. Origins are sorted as the parent knows them to be near; only those of the file count.
    pub(crate) fn update(&mut self, relays: Vec<SocketAddr>, origins: &[SocketAddr], own: SocketAddr) {
        self.alternates = relays.into_iter().filter(|at| *at != own).take(MAX_ADDRESSES).collect();
        let place = |at: &SocketAddr| origins.iter().position(|known| known == at).unwrap_or(MAX_ADDRESSES);
        self.origins.sort_by_key(place);
        self.next_origin = 0;
    }

    /// A leaf goes there first when it leaves its parent, as that one holds newer.
    ///
    /// Where it is an origin, all alternates are as far behind as the parent.
    pub(crate) fn prefer(&mut self, address: SocketAddr) {
        if self.is_origin(address) {
            let alternates = std::mem::take(&mut self.alternates);
            alternates.into_iter().for_each(|at| self.remember_failed(at));
        } else {
            self.alternates.retain(|at| *at != address);
            self.alternates.insert(0, address);
            self.alternates.truncate(MAX_ADDRESSES);
        }
    }

    /// The next origin in turn that did not fail of late, or just the next where all did.
    pub(crate) fn next_origin(&self) -> Option<SocketAddr> {
        let count = self.origins.len().max(1);
        let first = *self.origins.get(self.next_origin % count)?;
        let mut in_turn = self.origins.iter().cycle().skip(self.next_origin % count).take(count);
        Some(in_turn.find(|origin| !self.failed.contains(origin)).copied().unwrap_or(first))
    }

    /// All origins in turn, those that failed of late last.
    pub(crate) fn origins_in_turn(&self) -> Vec<SocketAddr> {
        let mut origins = self.origins.clone();
        origins.rotate_left(self.next_origin % self.origins.len().max(1));
        origins.sort_by_key(|origin| self.failed.contains(origin));
        origins
    }

    /// The next time another origin comes first.
    pub(crate) fn advance_turn(&mut self) {
        self.next_origin += 1;
    }

    pub(crate) fn remember_failed(&mut self, address: SocketAddr) {
        self.failed.retain(|at| *at != address);
        self.failed.push(address);
        if self.failed.len() > MAX_FAILED {
            self.failed.remove(0);
        }
    }

    /// A parent is found: most of those that failed get another chance.
    pub(crate) fn handle_attached(&mut self, parent: SocketAddr) {
        self.failed.retain(|at| *at != parent);
        self.failed.drain(..self.failed.len().saturating_sub(FAILED_KEPT));
    }
}

#[cfg(test)]
mod tests;
