//! Probes: the order of targets, the unacknowledged pings and the local health derived from them.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::table::MemberTable;
use crate::identity::NodeId;

/// Maximum number of unacknowledged probes, including those sent for other members.
const MAX_PENDING: usize = 256;

/// The member that requested an indirect probe, and the nonce of its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requester {
    pub(super) id: NodeId,
    pub(super) nonce: u64,
}

/// An unacknowledged ping.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: NodeId,
    pub(super) sent_at_ms: f64,
    /// Member on whose behalf the target was pinged, or `None` for this member's own probe.
    pub(super) requester: Option<Requester>,
    /// Whether indirect probes of the target were requested.
    requested_indirect: bool,
}

/// Probes whose timeout or interval has elapsed.
pub(super) struct Overdue {
    /// Nonces and targets of the probes that became late and need indirect probes.
    pub(super) late: Vec<(u64, NodeId)>,
    /// Targets that acknowledged neither direct nor indirect probes.
    pub(super) failed: Vec<NodeId>,
}

/// All unacknowledged probes by nonce.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingProbes {
    probes: BTreeMap<u64, Probe>,
}

impl PendingProbes {
    pub(super) fn is_full(&self) -> bool {
        self.probes.len() >= MAX_PENDING
    }

    pub(super) fn insert(
        &mut self,
        nonce: u64,
        target: NodeId,
        sent_at_ms: f64,
        requester: Option<Requester>,
    ) {
        self.probes.insert(nonce, Probe { target, sent_at_ms, requester, requested_indirect: false });
    }

    pub(super) fn remove(&mut self, nonce: u64) -> Option<Probe> {
        self.probes.remove(&nonce)
    }

    /// Removes and returns a probe that its target acknowledged. An acknowledgement by another node, such as one that
    /// has taken over the target's address, leaves the probe pending.
    pub(super) fn remove_acknowledged(&mut self, nonce: u64, by: NodeId) -> Option<Probe> {
        self.probes.get(&nonce).filter(|probe| probe.target == by)?;
        self.probes.remove(&nonce)
    }

    pub(super) fn clear(&mut self) {
        self.probes.clear();
    }

    /// Returns the earliest time at which a probe needs indirect probes or its interval ends.
    pub(super) fn poll_timeout(&self, timeout_ms: f64, interval_ms: f64) -> f64 {
        let due_ms = |probe: &Probe| {
            let waits_for_interval = probe.requested_indirect || probe.requester.is_some();
            probe.sent_at_ms + if waits_for_interval { interval_ms } else { timeout_ms }
        };
        self.probes.values().map(due_ms).fold(f64::INFINITY, f64::min)
    }

    /// Returns the overdue probes and removes those whose interval has elapsed. A probe for another member is removed
    /// without a failure, because the requester times out on its own.
    pub(super) fn take_overdue(&mut self, now_ms: f64, timeout_ms: f64, interval_ms: f64) -> Overdue {
        let mut overdue = Overdue { late: Vec::new(), failed: Vec::new() };
        self.probes.retain(|nonce, probe| {
            let own = probe.requester.is_none();
            if now_ms >= probe.sent_at_ms + interval_ms {
                overdue.failed.extend(own.then_some(probe.target));
                return false;
            }
            if now_ms >= probe.sent_at_ms + timeout_ms && !probe.requested_indirect && own {
                probe.requested_indirect = true;
                overdue.late.push((*nonce, probe.target));
            }
            true
        });
        overdue
    }
}

/// The order in which members are probed: round-robin, reshuffled after each round (SWIM, section 4.3).
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeRound {
    remaining: Vec<NodeId>,
}

impl ProbeRound {
    /// Returns the next present member to probe, if any.
    pub(super) fn next(&mut self, table: &MemberTable, rng: &mut Pcg32) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(id) = self.remaining.pop() {
                if table.get(id).is_some_and(|entry| entry.update.state.is_present()) {
                    return Some(id);
                }
            }
            self.remaining = table.ids().collect();
            self.remaining.shuffle(rng);
        }
        None
    }

    /// Inserts a new member at a random position of the current round.
    pub(super) fn insert(&mut self, id: NodeId, rng: &mut Pcg32) {
        let position = rng.random_range(0..=self.remaining.len());
        self.remaining.insert(position, id);
    }
}

/// Local health of this member (Lifeguard). If many of its probes fail, the member itself is probably slow or
/// partitioned, so it waits longer before it suspects others.
#[derive(Clone, Debug)]
pub(super) struct LocalHealth {
    /// Score from 0, healthy, to `max_score`. Each failed probe adds 1, each acknowledged one subtracts 1.
    score: f64,
    max_score: f64,
}

impl LocalHealth {
    pub(super) fn new(max_score: f64) -> Self {
        LocalHealth { score: 0.0, max_score }
    }

    /// Returns the factor by which timeouts are extended.
    pub(super) fn multiplier(&self) -> f64 {
        1.0 + self.score / 2.0
    }

    pub(super) fn record_ack(&mut self) {
        self.score = (self.score - 1.0).max(0.0);
    }

    /// Records an indirect acknowledgement. It improves the score by less than a direct one, because the failure of the
    /// direct probe means that the path from here is bad or that this member is slow.
    pub(super) fn record_indirect_ack(&mut self) {
        self.score = (self.score - 0.5).max(0.0);
    }

    pub(super) fn record_failure(&mut self) {
        self.score = (self.score + 1.0).min(self.max_score);
    }

    /// Records a pause of the process, after which acknowledgements seem late that were not.
    pub(super) fn record_pause(&mut self) {
        self.score = self.max_score;
    }
}
