//! Reports to the parent: the number of processes that are up to date, and the names of those that are missing.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::config::DistributionConfig;
use crate::fan_out::Child;
use crate::message::{Aggregate, Attachment, MAX_NAMES};
use crate::version::Version;

/// Maximum number of names of processes that timed out.
const MAX_TIMED_OUT: usize = 64;
/// Time for which a name is remembered, in milliseconds.
const NAME_RETENTION_MS: f64 = 600_000.0;
/// Maximum number of processes whose parent an origin remembers.
const MAX_RECORDED: usize = 2048;
/// Maximum number of attachments in the queue for the parent or the other origins.
const MAX_PENDING: usize = 256;

/// Children that timed out or lost their connection without a `Detach` message.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimedOutNodes(Vec<TimedOutNode>);

#[derive(Clone, Debug)]
struct TimedOutNode {
    name: String,
    until_ms: f64,
}

impl TimedOutNodes {
    pub(crate) fn add(&mut self, now_ms: f64, name: String) {
        self.remove(&name);
        if self.0.len() == MAX_TIMED_OUT {
            self.0.remove(0);
        }
        self.0.push(TimedOutNode { name, until_ms: now_ms + NAME_RETENTION_MS });
    }

    /// Removes a process that attached or detached since it was added.
    pub(crate) fn remove(&mut self, name: &str) {
        self.0.retain(|node| node.name != name);
    }

    pub(crate) fn expire(&mut self, now_ms: f64) {
        self.0.retain(|node| node.until_ms > now_ms);
    }

    /// Returns the names, the most recent first.
    fn names(&self) -> impl Iterator<Item = &String> {
        self.0.iter().rev().map(|node| &node.name)
    }
}

/// Recent attachments of processes.
///
/// A process that moves to another parent would remain in the old parent's list of missing processes. Therefore
/// attachments are sent up to the origins and exchanged between them, and an origin corrects a relay that still
/// reports such a process as missing.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttachmentLog {
    /// On an origin: the time of the attachment and the address of the parent, by process name.
    recorded: BTreeMap<String, (f64, SocketAddr)>,
    /// Attachments to send to the parent or to the other origins.
    pending: VecDeque<Attachment>,
}

impl AttachmentLog {
    pub(crate) fn record(&mut self, now_ms: f64, name: &str, parent: SocketAddr) {
        if self.recorded.len() >= MAX_RECORDED && !self.recorded.contains_key(name) {
            let oldest = self.recorded.iter().min_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.recorded.remove(&oldest);
            }
        }
        self.recorded.insert(name.to_string(), (now_ms, parent));
    }

    pub(crate) fn enqueue(&mut self, name: &str, parent: SocketAddr) {
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Attachment { name: name.to_string(), parent });
    }

    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Removes and returns the oldest attachments in the queue.
    pub(crate) fn take_pending(&mut self, max_count: usize) -> Vec<Attachment> {
        let count = max_count.min(self.pending.len());
        self.pending.drain(..count).collect()
    }

    pub(crate) fn expire(&mut self, now_ms: f64) {
        self.recorded.retain(|_, (at_ms, _)| *at_ms + NAME_RETENTION_MS > now_ms);
    }

    /// Returns true if the process is known to have another parent than this one.
    pub(crate) fn is_attached_elsewhere(&self, name: &str, parent: SocketAddr) -> bool {
        self.recorded.get(name).is_some_and(|(_, recorded_parent)| *recorded_parent != parent)
    }
}

/// Whether a process counts itself in its aggregate. A listener does, an origin does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountSelf {
    Yes,
    No,
}

/// Returns the aggregate of a process and its children.
pub(crate) fn aggregate(
    count_self: CountSelf,
    version: Version,
    children: &[Child],
    timed_out: &TimedOutNodes,
) -> Aggregate {
    let own = u32::from(count_self == CountSelf::Yes);
    let mut aggregate = Aggregate {
        version,
        nodes: own,
        up_to_date: own,
        oldest: version,
        children: children.len() as u32,
        missing: Vec::new(),
        attached: Vec::new(),
    };
    let mut missing: Vec<&String> = Vec::new();
    for child in children {
        aggregate.nodes = aggregate.nodes.saturating_add(child.aggregate.nodes);
        aggregate.oldest = aggregate.oldest.min(child.aggregate.oldest);
        if child.aggregate.version == version {
            aggregate.up_to_date = aggregate.up_to_date.saturating_add(child.aggregate.up_to_date);
        } else {
            missing.push(&child.node.name);
        }
    }
    missing.extend(children.iter().flat_map(|child| &child.aggregate.missing));
    missing.extend(timed_out.names());
    for name in missing {
        if aggregate.missing.len() == MAX_NAMES {
            break;
        }
        if !aggregate.missing.contains(name) {
            aggregate.missing.push(name.clone());
        }
    }
    aggregate
}

/// Schedule of a listener's reports: periodic, and sooner after a change.
#[derive(Clone, Debug)]
pub(crate) struct ReportTimer {
    due_ms: f64,
    min_due_ms: f64,
}

impl ReportTimer {
    pub(crate) fn new(now_ms: f64) -> Self {
        ReportTimer { due_ms: now_ms, min_due_ms: now_ms }
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        self.due_ms
    }

    /// Moves the next report to the earliest time that the minimum interval allows, because there is something new to
    /// report.
    pub(crate) fn expedite(&mut self) {
        self.due_ms = self.due_ms.min(self.min_due_ms);
    }

    pub(crate) fn set_due(&mut self, now_ms: f64) {
        self.due_ms = now_ms;
    }

    /// Returns true if a report is due, and schedules the next one after the regular interval.
    pub(crate) fn handle_timeout(&mut self, now_ms: f64, config: &DistributionConfig) -> bool {
        if now_ms < self.due_ms {
            return false;
        }
        self.due_ms = now_ms + config.aggregate_interval_ms;
        self.min_due_ms = now_ms + config.min_aggregate_interval_ms;
        true
    }
}

#[cfg(test)]
mod tests;
