//! Who receives what is in force: a backend's driver, or a trial that counts.

use std::collections::BTreeMap;

use async_channel::{Sender, TrySendError};
use plovershelf_config_distribution::{Edit, QuotaTable, Version};

/// Tenants' quotas that are in force from now on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaUpdate {
    /// In force from now on.
    pub version: Version,
    /// These are all that there are: tenants beyond them have the quotas that they started with.
    pub is_snapshot: bool,
    /// By tenant, in requests a second; none where the tenant was removed.
    pub quotas: BTreeMap<Box<str>, Option<f64>>,
}

impl QuotaUpdate {
    /// Takes in what came into force after this.
    fn merge(&mut self, later: QuotaUpdate) {
        if later.is_snapshot {
            *self = later;
        } else {
            self.version = later.version;
            self.quotas.extend(later.quotas);
        }
    }
}

/// A version that came into force in a process, for trials that count.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionInForce {
    /// Of the process.
    pub name: String,
    /// In force from now on.
    pub version: Version,
    /// By the clock of [`now_ms`](crate::links::now_ms), which all processes of a machine share.
    pub at_ms: f64,
}

/// Who receives updates.
pub enum Subscriber {
    /// A backend's driver. What it has not taken yet is merged with what comes, so it is bounded by the table.
    Quotas(Sender<QuotaUpdate>),
    /// A trial that counts.
    Versions(Sender<VersionInForce>),
    /// Nobody.
    Nobody,
}

/// What is still to be published, and to whom.
pub(super) struct Publisher {
    name: String,
    subscriber: Subscriber,
    pending: Option<QuotaUpdate>,
}

impl Publisher {
    pub(super) fn new(name: String, subscriber: Subscriber) -> Self {
        Publisher { name, subscriber, pending: None }
    }

    /// These edits led to the table.
    pub(super) fn publish_delta(&mut self, now_ms: f64, version: Version, edits: &[Edit]) {
        self.publish(now_ms, version, || QuotaUpdate {
            version,
            is_snapshot: false,
            quotas: edits.iter().map(|edit| (edit.tenant().into(), edit.quota_per_s())).collect(),
        });
    }

    /// The table came as a whole.
    pub(super) fn publish_snapshot(&mut self, now_ms: f64, version: Version, table: &QuotaTable) {
        self.publish(now_ms, version, || QuotaUpdate {
            version,
            is_snapshot: true,
            quotas: table.iter().map(|(name, quota_per_s)| (name.into(), Some(quota_per_s))).collect(),
        });
    }

    fn publish(&mut self, now_ms: f64, version: Version, update: impl FnOnce() -> QuotaUpdate) {
        match &self.subscriber {
            Subscriber::Nobody => {}
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

    /// Whether something waits because nobody took it.
    pub(super) fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Offers what waits.
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
