//! Collector of all members' reports on the keys whose primary is the local member.
//!
//! A report arrives in batches followed by a count of its keys. It is complete once that many distinct keys have arrived, in
//! any order: a lost batch arrives again when the whole report is retransmitted.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;

use crate::membership::Membership;
use crate::placement::IdempotencyKey;
use crate::record::{Record, Reservation};

/// Contents of all reports received so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct CollectedReports {
    /// Per key, the reported records and the members that store them.
    pub(crate) records: BTreeMap<IdempotencyKey, Vec<(NodeId, Record)>>,
    /// Reservations that their executors reported as active.
    pub(crate) active: BTreeSet<(IdempotencyKey, Reservation)>,
}

/// Whether a report is complete and must be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum ReportStatus {
    Partial,
    Complete,
}

/// Collector of the reports for one view.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportCollector {
    /// Members whose report is complete.
    complete: BTreeSet<NodeId>,
    collected: CollectedReports,
    /// Per member, the number of distinct keys in its report.
    expected: BTreeMap<NodeId, u64>,
    /// Per member, the keys received so far.
    received: BTreeMap<NodeId, BTreeSet<IdempotencyKey>>,
    /// Whether [`ReportCollector::finish`] has returned the complete reports of all members.
    reconciled: bool,
}

impl ReportCollector {
    pub(crate) fn is_reconciled(&self) -> bool {
        self.reconciled
    }

    /// Adds the local member's own records and active reservations as a complete report.
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
        self.expected.insert(from, count);
        self.status(from)
    }

    /// Returns the collected reports, only once, when the reports of all members of the view are complete and the local member
    /// belongs to the view.
    pub(crate) fn finish(&mut self, membership: &Membership) -> Option<CollectedReports> {
        let all_complete = membership.ids().all(|id| self.complete.contains(&id));
        if self.reconciled || !all_complete || !membership.contains(membership.local()) {
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
        let Some(expected) = self.expected.get(&from).copied() else { return ReportStatus::Partial };
        let received = self.received.get(&from).map_or(0, BTreeSet::len) as u64;
        if received < expected && !self.reconciled {
            return ReportStatus::Partial;
        }
        self.complete.insert(from);
        ReportStatus::Complete
    }
}

/// Returns the distinct keys in a batch.
pub(super) fn reported_keys(
    records: &[(IdempotencyKey, Record)],
    active: &[(IdempotencyKey, Reservation)],
) -> BTreeSet<IdempotencyKey> {
    records.iter().map(|(key, _)| *key).chain(active.iter().map(|(key, _)| *key)).collect()
}

#[cfg(test)]
mod tests;
