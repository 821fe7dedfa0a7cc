//! Leases: for how long a member may act by a view.
//!
//! The leader grants a lease for a short time to members of the view that it does not mean to remove, and only while no other
//! node can lead. The lease runs from when it was asked for, on the asker's own clock, shortened by what clocks may drift;
//! the leader counts it from when it granted it, lengthened by twice as much. So what the member takes for valid ends before what
//! the leader waits for, and a process that was paused finds its lease expired when it wakes.

use std::collections::BTreeMap;

use crate::identity::{Epoch, NodeId};

/// How long leases last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTiming {
    pub(crate) duration_ms: f64,
    /// By how much of the time a clock may run faster or slower than another.
    pub(crate) clock_drift_fraction: f64,
}

/// A lease as it comes from the leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    /// When it was asked for, on this member's clock.
    pub(crate) requested_at_ms: f64,
    pub(crate) epoch: Epoch,
    pub(crate) view: u64,
    pub(crate) duration_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Lease {
    epoch: Epoch,
    view: u64,
    until_ms: f64,
}

/// The lease of this member.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseHolder {
    lease: Option<Lease>,
}

impl LeaseHolder {
    /// Takes a grant of the epoch that this member is part of. False where it is no longer than what there is, or was never
    /// asked for.
    pub(crate) fn accept(&mut self, now_ms: f64, grant: Grant, timing: &LeaseTiming) -> bool {
        let duration_ms = grant.duration_ms.min(timing.duration_ms) * (1.0 - timing.clock_drift_fraction);
        let until_ms = grant.requested_at_ms + duration_ms;
        let longer = self.lease.is_none_or(|lease| until_ms > lease.until_ms || grant.epoch != lease.epoch);
        let accepted = grant.requested_at_ms <= now_ms && longer;
        if accepted {
            self.lease = Some(Lease { epoch: grant.epoch, view: grant.view, until_ms });
        }
        accepted
    }

    /// The view by which the lease was granted, where it is valid.
    pub(crate) fn valid_view(&self, now_ms: f64, epoch: Epoch) -> Option<u64> {
        let lease = self.lease.filter(|lease| now_ms < lease.until_ms && lease.epoch == epoch);
        lease.map(|lease| lease.view)
    }

    pub(crate) fn release(&mut self) {
        self.lease = None;
    }
}

/// Of the leader: until when each member may act.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseGrants {
    until_ms: BTreeMap<NodeId, f64>,
}

impl LeaseGrants {
    pub(crate) fn clear(&mut self) {
        self.until_ms.clear();
    }

    pub(crate) fn record(&mut self, id: NodeId, now_ms: f64, timing: &LeaseTiming) {
        let until_ms = now_ms + timing.duration_ms * (1.0 + 2.0 * timing.clock_drift_fraction);
        self.until_ms.insert(id, until_ms);
    }

    /// No lease that this leader granted is valid.
    pub(crate) fn has_expired(&self, id: NodeId, now_ms: f64) -> bool {
        self.until_ms.get(&id).is_none_or(|until_ms| *until_ms < now_ms)
    }
}

/// No lease that an earlier leader granted is valid, nor is that leader's own. Guards against a member that a new leader
/// removes while it still acts by a lease that this leader knows nothing of.
pub(crate) fn earlier_leases_expired(
    now_ms: f64,
    leader_since_ms: f64,
    shortest_election_timeout_ms: f64,
    timing: &LeaseTiming,
) -> bool {
    let longest_ms =
        timing.duration_ms.max(shortest_election_timeout_ms) * (1.0 + 2.0 * timing.clock_drift_fraction);
    leader_since_ms + longest_ms < now_ms
}

#[cfg(test)]
mod tests;
