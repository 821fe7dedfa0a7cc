//! What other members report of the keys whose primary the local member is.
//!
//! A report comes in batches and ends with a count. It is complete once as many keys have come as it counts, in whatever
//! order: a batch that was lost comes again with the whole report.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;

use crate::membership::Membership;
use crate::placement::IdempotencyKey;
use crate::record::{Record, Reservation};

/// All that was reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct Collected {
    /// By key, who stores which record.
    pub(crate) records: BTreeMap<IdempotencyKey, Vec<(NodeId, Record)>>,
    /// Reservations that their executors still have.
    pub(crate) active: BTreeSet<(IdempotencyKey, Reservation)>,
}

/// Whether a report is complete, and so to be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum ReportStatus {
    Partial,
    Complete,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ReportCollector {
    complete: BTreeSet<NodeId>,
    collected: Collected,
    announced: BTreeMap<NodeId, u64>,
    received: BTreeMap<NodeId, BTreeSet<IdempotencyKey>>,
    reconciled: bool,
}

impl ReportCollector {
    pub(crate) fn is_reconciled(&self) -> bool {
        self.reconciled
    }

    /// What the local member itself stores and executes.
    pub(crate) fn add_local(
        &mut self,
        local: NodeId,
        records: Vec<(IdempotencyKey, Record)>,
        active: Vec<(IdempotencyKey, Reservation)>,
    ) {
        self.add(local, records, active);
        self.complete.insert(local);
    }

    pub(crate) fn handle_report(
        &mut self,
        from: NodeId,
        records: Vec<(IdempotencyKey, Record)>,
        active: Vec<(IdempotencyKey, Reservation)>,
    ) -> ReportStatus {
        if self.reconciled {
            return ReportStatus::Partial;
        }
        let keys: BTreeSet<IdempotencyKey> = reported_keys(&records, &active);
        self.add(from, records, active);
        self.received.entry(from).or_default().extend(keys);
        self.status(from)
    }

    pub(crate) fn handle_report_complete(&mut self, from: NodeId, count: u64) -> ReportStatus {
        self.announced.insert(from, count);
        self.status(from)
    }

    /// All that was reported, once, when every member of the view has reported completely and the local one belongs to it.
    pub(crate) fn finish(&mut self, membership: &Membership) -> Option<Collected> {
        let all = membership.ids().all(|id| self.complete.contains(&id));
        if self.reconciled || !all || !membership.contains(membership.local()) {
            return None;
        }
        self.reconciled = true;
        Some(std::mem::take(&mut self.collected))
    }

    fn add(
        &mut self,
        from: NodeId,
        records: Vec<(IdempotencyKey, Record)>,
        active: Vec<(IdempotencyKey, Reservation)>,
    ) {
        for (key, record) in records {
            let reports = self.collected.records.entry(key).or_default();
            reports.retain(|(id, _)| *id != from);
            reports.push((from, record));
        }
        self.collected.active.extend(active);
    }

    fn status(&mut self, from: NodeId) -> ReportStatus {
        let Some(announced) = self.announced.get(&from).copied() else { return ReportStatus::Partial };
        let received = self.received.get(&from).map_or(0, BTreeSet::len) as u64;
        if received < announced && !self.reconciled {
            return ReportStatus::Partial;
        }
        self.complete.insert(from);
        ReportStatus::Complete
    }
}

/// Keys of which a batch says anything.
pub(super) fn reported_keys(
    records: &[(IdempotencyKey, Record)],
    active: &[(IdempotencyKey, Reservation)],
) -> BTreeSet<IdempotencyKey> {
    records.iter().map(|(key, _)| *key).chain(active.iter().map(|(key, _)| *key)).collect()
}

#[cfg(test)]
mod tests;
