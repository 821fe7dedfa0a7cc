//! Parent behavior: accepting children, handling their reports, and sending them alternate parents.

use std::net::SocketAddr;

use super::{Node, Role};
use crate::entry::MAX_NAME_BYTES;
use crate::fan_out::Child;
use crate::message::{Aggregate, FanOutLimit, HeldVersion, ListenerKind, Message, NodeInfo, MAX_NAMES};
use crate::placement::rotated_for;

/// The contents of a [`Message::Attach`].
pub(super) struct AttachRequest {
    pub(super) node: NodeInfo,
    pub(super) version_info: HeldVersion,
    pub(super) kind: ListenerKind,
    pub(super) limit: FanOutLimit,
}

impl Node {
    /// Records a child as missing after it timed out or its connection was lost.
    pub(super) fn on_child_lost(&mut self, now_ms: f64, child: Child) {
        self.timed_out.add(now_ms, child.node.name);
        self.report.expedite();
    }

    /// Handles a process's request to become a child of this node.
    pub(super) fn on_attach(&mut self, now_ms: f64, from: SocketAddr, request: AttachRequest) {
        let AttachRequest { node, version_info, kind, limit } = request;
        let is_known = self.fan_out.contains(from);
        let has_capacity = is_known || self.fan_out.len() < self.max_children(from, limit);
        if !self.accepts_child(from, kind) || !has_capacity || !node.is_bounded() {
            self.send(from, Message::Rejected);
            return;
        }
        self.timed_out.remove(&node.name);
        if !is_known {
            let own = self.info.address;
            self.attachments.enqueue(&node.name, own);
            if self.role == Role::Origin {
                self.attachments.record(now_ms, &node.name, own);
            }
        }
        self.fan_out.add(now_ms, from, node, version_info, self.store.version());
        let own = self.version_info(now_ms);
        self.send(from, Message::Attached(own));
        self.send_alternates(now_ms);
        self.report.expedite();
    }

    /// Returns true if this node accepts a child of this kind: origins accept relays, and relays accept leaves.
    ///
    /// The restriction prevents a cycle of parents, in which every process would wait for the others. Such a cycle
    /// would show as a growing age on processes whose parents still respond. With two levels of one kind each, no
    /// cycle is possible.
    fn accepts_child(&self, from: SocketAddr, kind: ListenerKind) -> bool {
        let is_accepted_kind = match self.role {
            Role::Origin => kind == ListenerKind::Relay,
            Role::Listener => kind == ListenerKind::Leaf && self.parent.is_relay(),
        };
        is_accepted_kind && !self.parent.is_parent(from)
    }

    fn max_children(&self, from: SocketAddr, limit: FanOutLimit) -> usize {
        if self.placement.has_reservation(from) {
            return self.config.origin_failover_fan_out;
        }
        match (self.role, limit) {
            (Role::Origin, FanOutLimit::Normal) => self.config.origin_fan_out,
            (Role::Origin, FanOutLimit::Failover) => self.config.origin_failover_fan_out,
            (Role::Listener, FanOutLimit::Normal) => self.config.fan_out,
            (Role::Listener, FanOutLimit::Failover) => self.config.failover_fan_out,
        }
    }

    /// Handles a child that leaves, or a parent that no longer serves this node.
    pub(super) fn on_detach(&mut self, now_ms: f64, from: SocketAddr) {
        if let Some(child) = self.fan_out.remove(from) {
            self.timed_out.remove(&child.node.name);
            self.report.expedite();
        } else if self.parent.is_parent(from) {
            self.replace_parent(now_ms, from);
        }
    }

    /// Handles a child's report about its subtree.
    pub(super) fn on_aggregate(&mut self, now_ms: f64, from: SocketAddr, mut aggregate: Aggregate) {
        let are_bounded = |names: &[String]| {
            names.len() <= MAX_NAMES && names.iter().all(|name| name.len() <= MAX_NAME_BYTES)
        };
        let is_bounded = are_bounded(&aggregate.missing) && are_bounded(&aggregate.attached);
        if !is_bounded || aggregate.up_to_date > aggregate.nodes {
            return;
        }
        match self.role {
            Role::Origin if self.fan_out.contains(from) => {
                self.record_child_attachments(now_ms, from, &mut aggregate);
            }
            Role::Origin => {}
            Role::Listener => reduce_to_leaf(&mut aggregate),
        }
        if self.fan_out.handle_aggregate(now_ms, from, aggregate) {
            self.placement.remove_reservation(from);
            self.report.expedite();
        } else if !self.origins.contains(from) {
            self.send(from, Message::Rejected);
        }
    }

    /// Sends each child its list of alternate parents if the list changed since it was last sent.
    pub(super) fn send_alternates(&mut self, now_ms: f64) {
        let mut changed = Vec::new();
        for child in self.fan_out.children() {
            let alternates = self.alternates_for(now_ms, child);
            if alternates != child.alternates {
                changed.push((child.address, alternates, self.origins_for(child)));
            }
        }
        for (address, relays, origins) in changed {
            if let Some(child) = self.fan_out.get_mut(address) {
                child.alternates = relays.clone();
            }
            self.send(address, Message::AlternateParents { relays, origins });
        }
    }

    fn alternates_for(&self, now_ms: f64, child: &Child) -> Vec<SocketAddr> {
        match self.role {
            Role::Origin => self.placement.alternates_for(now_ms, child, &self.fan_out, &self.origins),
            Role::Listener => rotated_for(self.parent.known_parents().alternates(), child.address),
        }
    }

    fn origins_for(&self, child: &Child) -> Vec<SocketAddr> {
        match self.role {
            Role::Origin => self.origins.nearest_first(&self.info, &child.node.region),
            Role::Listener => self.parent.known_parents().origins().to_vec(),
        }
    }
}

/// Reduces a leaf's report to the leaf itself, since the children of a relay have no children of their own.
fn reduce_to_leaf(aggregate: &mut Aggregate) {
    aggregate.nodes = 1;
    aggregate.up_to_date = aggregate.up_to_date.min(1);
    aggregate.children = 0;
    aggregate.attached.clear();
    aggregate.missing.clear();
}
