//! How many processes are up to date, and which are missing: what each process reports to its parent.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::config::DistributionConfig;
use crate::fan_out::Child;
use crate::message::{Aggregate, Attachment, MAX_NAMES};
use crate::version::Version;

/// Names of processes that fell silent, at most.
const MAX_SILENT: usize = 64;
/// For how long a name is remembered.
const NAME_RETENTION_MS: f64 = 600_000.0;
/// Processes of which an origin remembers where they attached, at most.
const MAX_LOCATIONS: usize = 2048;
/// Attachments that are still to be passed on, at most.
const MAX_PENDING: usize = 256;

/// Children that fell silent without detaching.
#[derive(Clone, Debug, Default)]
pub(crate) struct SilentNodes(Vec<SilentNode>);

#[derive(Clone, Debug)]
struct SilentNode {
    name: String,
    until_ms: f64,
}

impl SilentNodes {
    pub(crate) fn add(&mut self, now_ms: f64, name: String) {
        self.remove(&name);
        if self.0.len() == MAX_SILENT {
            self.0.remove(0);
        }
        self.0.push(SilentNode { name, until_ms: now_ms + NAME_RETENTION_MS });
    }

    /// It was heard of again.
    pub(crate) fn remove(&mut self, name: &str) {
        self.0.retain(|node| node.name != name);
    }

    pub(crate) fn expire(&mut self, now_ms: f64) {
        self.0.retain(|node| node.until_ms > now_ms);
    }

    /// The latest first.
    fn names(&self) -> impl Iterator<Item = &String> {
        self.0.iter().rev().map(|node| &node.name)
    }
}

/// Where processes attached lately.
///
/// A process that moved to another parent would stay on the old parent's list of silent ones. So attachments are passed
/// up to the origins and among them, which correct a relay that still names such a process as missing.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttachmentLog {
    /// Of an origin: by name, when, and the relay or origin that feeds it.
    located: BTreeMap<String, (f64, SocketAddr)>,
    /// To be passed on.
    pending: VecDeque<Attachment>,
}

impl AttachmentLog {
    pub(crate) fn locate(&mut self, now_ms: f64, name: &str, parent: SocketAddr) {
        if self.located.len() >= MAX_LOCATIONS && !self.located.contains_key(name) {
            let oldest = self.located.iter().min_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.located.remove(&oldest);
            }
        }
        self.located.insert(name.to_string(), (now_ms, parent));
    }

    pub(crate) fn pass_on(&mut self, name: &str, parent: SocketAddr) {
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Attachment { name: name.to_string(), parent });
    }

    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The oldest of those to be passed on, which are forgotten here.
    pub(crate) fn take_pending(&mut self, most: usize) -> Vec<Attachment> {
        let count = most.min(self.pending.len());
        self.pending.drain(..count).collect()
    }

    pub(crate) fn expire(&mut self, now_ms: f64) {
        self.located.retain(|_, (at_ms, _)| *at_ms + NAME_RETENTION_MS > now_ms);
    }

    /// Whether it attached to another parent than this one.
    pub(crate) fn is_elsewhere(&self, name: &str, parent: SocketAddr) -> bool {
        self.located.get(name).is_some_and(|(_, at)| *at != parent)
    }
}

/// Whether a process counts itself: a listener does, an origin does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountSelf {
    Yes,
    No,
}

/// The aggregate of a process over its children.
pub(crate) fn aggregate(
    count_self: CountSelf,
    version: Version,
    children: &[Child],
    silent: &SilentNodes,
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
    missing.extend(silent.names());
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

/// When a listener reports: at an interval, and soon after something changed.
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

    /// Something changed: as soon as the least interval since the last report allows.
    pub(crate) fn hasten(&mut self) {
        self.due_ms = self.due_ms.min(self.min_due_ms);
    }

    pub(crate) fn set_due(&mut self, now_ms: f64) {
        self.due_ms = now_ms;
    }

    /// Whether it is time for a report; the next one is due after the interval.
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
