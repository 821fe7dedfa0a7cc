//! Receivers of the configuration in force: the driver of a backend, or a trial.

use std::collections::BTreeMap;

use async_channel::{Sender, TrySendError};
use plovershelf_config_distribution::{Edit, QuotaTable, Version};

/// An update of tenant quotas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaUpdate {
    /// Version that is now in force.
    pub version: Version,
    /// True if the update lists all quotas. Tenants that it lacks fall back to their startup quotas.
    pub is_snapshot: bool,
    /// Quotas by tenant, in requests per second; `None` if the tenant was removed.
    pub quotas: BTreeMap<Box<str>, Option<f64>>,
}

impl QuotaUpdate {
    /// Merges a later update into this one.
    fn merge(&mut self, later: QuotaUpdate) {
        if later.is_snapshot {
            *self = later;
        } else {
            self.version = later.version;
            self.quotas.extend(later.quotas);
        }
    }
}

/// A version that came into force in a process, as trials observe it.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionInForce {
    /// Name of the process.
    pub name: String,
    /// Version that came into force.
    pub version: Version,
    /// Time by the clock of [`now_ms`](crate::links::now_ms), which all processes of a machine share.
    pub at_ms: f64,
}

/// Receiver of updates.
pub enum Subscriber {
    /// The driver of a backend. Updates that it has not received yet are merged, so the table bounds their size.
    Quotas(Sender<QuotaUpdate>),
    /// A trial that observes versions.
    Versions(Sender<VersionInForce>),
    /// Updates are discarded.
    Discard,
}

/// Pending update and its receiver.
pub(super) struct Publisher {
    name: String,
    subscriber: Subscriber,
    pending: Option<QuotaUpdate>,
}

impl Publisher {
    pub(super) fn new(name: String, subscriber: Subscriber) -> Self {
        Publisher { name, subscriber, pending: None }
    }

    /// Publishes edits that were applied to the table.
    pub(super) fn publish_delta(&mut self, now_ms: f64, version: Version, edits: &[Edit]) {
        self.publish(now_ms, version, || QuotaUpdate {
            version,
            is_snapshot: false,
            quotas: edits.iter().map(|edit| (edit.tenant().into(), edit.quota_per_s())).collect(),
        });
    }

    /// Publishes a table that was received as a snapshot.
    pub(super) fn publish_snapshot(&mut self, now_ms: f64, version: Version, table: &QuotaTable) {
        self.publish(now_ms, version, || QuotaUpdate {
            version,
            is_snapshot: true,
            quotas: table.iter().map(|(name, quota_per_s)| (name.into(), Some(quota_per_s))).collect(),
        });
    }

    fn publish(&mut self, now_ms: f64, version: Version, update: impl FnOnce() -> QuotaUpdate) {
        match &self.subscriber {
            Subscriber::Discard => {}
            Subscriber::Versions(to) => {
                let _ = to.try_send(VersionInForce { name: self.name.clone(), version, at_ms: now_ms });
            }
            Subscriber::Quotas(_) => {
                match self.pending.as_mut() {
                    Some(pending) => pending.merge(update()),
                    None => self.pending = Some(update()),
                }
                self.flush();
            }
        }
    }

    /// Returns whether an update waits because the subscriber's queue was full.
    pub(super) fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Offers the pending update to the subscriber again.
    pub(super) fn flush(&mut self) {
        let Subscriber::Quotas(to) = &self.subscriber else { return };
        if let Some(update) = self.pending.take() {
            match to.try_send(update) {
                Err(TrySendError::Full(update)) => self.pending = Some(update),
                Ok(()) | Err(TrySendError::Closed(_)) => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
