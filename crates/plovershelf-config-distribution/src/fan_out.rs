//! The children of a parent, and the deltas that they still need.

use std::net::SocketAddr;

use crate::message::{Aggregate, HeldVersion, Message, NodeInfo};
use crate::store::ConfigStore;
use crate::version::Version;

/// A process that receives its configuration from this one.
#[derive(Clone, Debug)]
pub(crate) struct Child {
    pub(crate) address: SocketAddr,
    pub(crate) node: NodeInfo,
    /// The last report; before the first report, values derived from the attach request.
    pub(crate) aggregate: Aggregate,
    /// Time of the last report or of the attachment, moved forward by a pause of this process.
    pub(crate) last_message_ms: f64,
    /// Whether the child has reported since it attached.
    ///
    /// A child that can send but receives nothing attaches repeatedly and never reports. It appears to have the most
    /// free capacity, so listeners must not be placed under it.
    pub(crate) has_reported: bool,
    /// Whether the timeout was already extended because of a pause of this process.
    timeout_extended: bool,
    /// The version up to which the child was sent all changes.
    sent: Version,
    /// The alternate parents that the child was sent last.
    pub(crate) alternates: Vec<SocketAddr>,
    /// Number of listeners that the origin placed under the child, halved at each report of the child.
    pub(crate) recently_placed: u32,
}

/// The children of a node, in the order in which they attached.
#[derive(Clone, Debug)]
pub(crate) struct FanOut {
    children: Vec<Child>,
    /// Index of the child whose name was returned last by `next_child_name`.
    last_named: usize,
    child_timeout_ms: f64,
    coalescing_ms: f64,
    /// The time at which deltas are due, if a child lacks a version.
    flush_at_ms: Option<f64>,
    /// The earliest time of the next deltas, which enforces the coalescing interval.
    min_flush_at_ms: f64,
}

impl FanOut {
    pub(crate) fn new(now_ms: f64, child_timeout_ms: f64, coalescing_ms: f64) -> Self {
        FanOut {
            children: Vec::new(),
            last_named: 0,
            child_timeout_ms,
            coalescing_ms,
            flush_at_ms: None,
            min_flush_at_ms: now_ms,
        }
    }

    pub(crate) fn children(&self) -> &[Child] {
        &self.children
    }

    pub(crate) fn len(&self) -> usize {
        self.children.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    pub(crate) fn contains(&self, address: SocketAddr) -> bool {
        self.children.iter().any(|child| child.address == address)
    }

    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.children.iter().map(|child| child.address)
    }

    pub(crate) fn get_mut(&mut self, address: SocketAddr) -> Option<&mut Child> {
        self.children.iter_mut().find(|child| child.address == address)
    }

    /// Adds a child. A child that attaches again keeps its last report, unless it restarted in between.
    pub(crate) fn add(
        &mut self,
        now_ms: f64,
        address: SocketAddr,
        node: NodeInfo,
        version_info: HeldVersion,
        sent: Version,
    ) {
        let previous = self.remove(address).filter(|child| child.node.incarnation == node.incarnation);
        let aggregate = previous.map_or_else(
            || Aggregate {
                version: version_info.version,
                nodes: 1,
                up_to_date: 1,
                oldest: version_info.version,
                ..Aggregate::default()
            },
            |previous| previous.aggregate,
        );
        self.children.push(Child {
            address,
            node,
            aggregate,
            last_message_ms: now_ms,
            has_reported: false,
            timeout_extended: false,
            sent,
            alternates: Vec::new(),
            recently_placed: 0,
        });
    }

    pub(crate) fn remove(&mut self, address: SocketAddr) -> Option<Child> {
        let index = self.children.iter().position(|child| child.address == address)?;
        Some(self.children.remove(index))
    }

    /// Removes all children and returns their addresses.
    pub(crate) fn clear(&mut self) -> Vec<SocketAddr> {
        self.children.drain(..).map(|child| child.address).collect()
    }

    /// Records a child's report. Returns false if the sender is not a child.
    pub(crate) fn handle_aggregate(
        &mut self,
        now_ms: f64,
        address: SocketAddr,
        aggregate: Aggregate,
    ) -> bool {
        let Some(child) = self.get_mut(address) else { return false };
        (child.last_message_ms, child.timeout_extended, child.has_reported) = (now_ms, false, true);
        child.recently_placed /= 2;
        child.aggregate = aggregate;
        true
    }

    /// Extends the timeouts of the children, once each, after a pause of this process. Their messages may still be
    /// waiting in the receive queue.
    pub(crate) fn handle_pause(&mut self, paused_ms: f64) {
        for child in &mut self.children {
            if !std::mem::replace(&mut child.timeout_extended, true) {
                child.last_message_ms += paused_ms;
            }
        }
    }

    /// Returns the name of the next child in rotation.
    pub(crate) fn next_child_name(&mut self) -> Option<String> {
        self.last_named = (self.last_named + 1) % self.children.len().max(1);
        self.children.get(self.last_named).map(|child| child.node.name.clone())
    }

    /// Removes and returns the children whose timeout has passed.
    pub(crate) fn remove_timed_out(&mut self, now_ms: f64) -> Vec<Child> {
        let timeout_ms = self.child_timeout_ms;
        self.children.extract_if(.., |child| now_ms >= child.last_message_ms + timeout_ms).collect()
    }

    /// Returns the next time at which a child times out or deltas are due.
    pub(crate) fn poll_timeout(&self) -> f64 {
        let child_timeouts_ms =
            self.children.iter().map(|child| child.last_message_ms + self.child_timeout_ms);
        child_timeouts_ms.fold(self.flush_at_ms.unwrap_or(f64::INFINITY), f64::min)
    }

    /// Schedules deltas for children that lack a version. Changes within the coalescing interval are sent together.
    pub(crate) fn schedule_flush(&mut self, now_ms: f64) {
        self.flush_at_ms = Some(self.min_flush_at_ms.max(now_ms));
    }

    /// Returns the due messages for children that lack a version: the delta, or a heartbeat that makes the child
    /// request the data if the delta exceeds one message or the change log does not reach back far enough.
    pub(crate) fn flush(
        &mut self,
        now_ms: f64,
        version_info: HeldVersion,
        store: &ConfigStore,
    ) -> Vec<(SocketAddr, Message)> {
        if self.flush_at_ms.is_none_or(|at_ms| now_ms < at_ms) {
            return Vec::new();
        }
        self.flush_at_ms = None;
        self.min_flush_at_ms = now_ms + self.coalescing_ms;
        let mut messages = Vec::new();
        for child in self.children.iter_mut().filter(|child| child.sent != version_info.version) {
            let delta = store.single_message_delta(child.sent);
            messages.push((child.address, delta.map_or(Message::Heartbeat(version_info), Message::Delta)));
            child.sent = version_info.version;
        }
        messages
    }
}

#[cfg(test)]
mod tests;
