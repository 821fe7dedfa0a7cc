//! Leases, which limit how long a member may act on a view.
//!
//! The leader grants short leases to members of the view that it is not about to remove, and only while no other node
//! can lead. The member counts its lease from the time of its request on its own clock, shortened by the largest clock
//! drift. The leader counts it from the time of the grant, extended by twice the drift. The lease thus ends for the
//! member before it ends for the leader, and a process that resumes after a pause finds its lease expired.

use std::collections::BTreeMap;

use crate::identity::{Epoch, NodeId};

/// The duration of leases and the clock drift that they allow for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTiming {
    pub(crate) duration_ms: f64,
    /// Largest fraction of elapsed time by which a clock may run faster or slower than another.
    pub(crate) clock_drift_fraction: f64,
}

/// A lease granted by the leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    /// Time of the request on this member's clock.
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

/// The current lease of this member.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberLease {
    lease: Option<Lease>,
}

impl MemberLease {
    /// Accepts a grant of the epoch that this member belongs to. Returns false if it does not extend the current lease
    /// or its request time is in the future.
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

    /// Returns the number of the view under which the lease was granted, if the lease is valid.
    pub(crate) fn valid_view(&self, now_ms: f64, epoch: Epoch) -> Option<u64> {
        let lease = self.lease.filter(|lease| now_ms < lease.until_ms && lease.epoch == epoch);
        lease.map(|lease| lease.view)
    }

    pub(crate) fn release(&mut self) {
        self.lease = None;
    }
}

/// The leader's record of the times at which the granted leases expire.
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

    /// Returns whether no lease that this leader granted to a member is valid any more.
    pub(crate) fn has_expired(&self, id: NodeId, now_ms: f64) -> bool {
        self.until_ms.get(&id).is_none_or(|until_ms| *until_ms < now_ms)
    }
}

/// Returns whether all leases granted by earlier leaders and the earlier leaders' own leases have expired. Prevents a
/// new leader from removing a member that still acts under a lease unknown to it.
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
