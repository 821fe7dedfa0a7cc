//! Probes: whom to ping next, which pings are unanswered, and what that says of this member's own health.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::table::MemberTable;
use crate::identity::NodeId;

/// Probes that are unanswered at once, own and others'.
const MAX_PENDING: usize = 256;

/// Who asked for a probe of a third member, and the nonce that it waits for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requester {
    pub(super) id: NodeId,
    pub(super) nonce: u64,
}

/// A ping that was not acknowledged yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: NodeId,
    pub(super) sent_at_ms: f64,
    /// None for this member's own probe.
    pub(super) requester: Option<Requester>,
    /// Others have been asked to ping the target.
    asked_others: bool,
}

/// What became of pending probes.
pub(super) struct Overdue {
    /// Late for the first time: others are to be asked to ping the target.
    pub(super) late: Vec<(u64, NodeId)>,
    /// Targets that nobody reached in time.
    pub(super) failed: Vec<NodeId>,
}

/// Probes that were not acknowledged yet, by nonce.
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
        self.probes.insert(nonce, Probe { target, sent_at_ms, requester, asked_others: false });
    }

    pub(super) fn remove(&mut self, nonce: u64) -> Option<Probe> {
        self.probes.remove(&nonce)
    }

    /// The probe that its own target acknowledges. Another node's word, as of one that has taken over the target's address,
    /// leaves it pending.
    pub(super) fn remove_acknowledged(&mut self, nonce: u64, by: NodeId) -> Option<Probe> {
        self.probes.get(&nonce).filter(|probe| probe.target == by)?;
        self.probes.remove(&nonce)
    }

    pub(super) fn clear(&mut self) {
        self.probes.clear();
    }

    /// When something is to be done for the first of them: others are asked, or its interval is over.
    pub(super) fn poll_timeout(&self, timeout_ms: f64, interval_ms: f64) -> f64 {
        let due_ms = |probe: &Probe| {
            let waits_for_interval = probe.asked_others || probe.requester.is_some();
            probe.sent_at_ms + if waits_for_interval { interval_ms } else { timeout_ms }
        };
        self.probes.values().map(due_ms).fold(f64::INFINITY, f64::min)
    }

    /// Finds those that are late, and removes those for which the whole interval is over. Probes for others end silently:
    /// whoever asked waits itself.
    pub(super) fn take_overdue(&mut self, now_ms: f64, timeout_ms: f64, interval_ms: f64) -> Overdue {
        let mut overdue = Overdue { late: Vec::new(), failed: Vec::new() };
        self.probes.retain(|nonce, probe| {
            let own = probe.requester.is_none();
            if now_ms >= probe.sent_at_ms + interval_ms {
                overdue.failed.extend(own.then_some(probe.target));
                return false;
            }
            if now_ms >= probe.sent_at_ms + timeout_ms && !probe.asked_others && own {
                probe.asked_others = true;
                overdue.late.push((*nonce, probe.target));
            }
            true
        });
        overdue
    }
}

/// The order in which members are probed: all of them once, shuffled, then anew (SWIM, section 4.3).
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeRound {
    remaining: Vec<NodeId>,
}

impl ProbeRound {
    /// The next member to probe, where any is present.
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

    /// A new member comes anywhere in the round.
    pub(super) fn insert(&mut self, id: NodeId, rng: &mut Pcg32) {
        let place = rng.random_range(0..=self.remaining.len());
        self.remaining.insert(place, id);
    }
}

/// How far this member's own probes can be trusted (Lifeguard's local health): where many fail it is likely itself that
/// is slow or cut off, so it waits longer before it suspects others.
#[derive(Clone, Debug)]
pub(super) struct LocalHealth {
    /// 0 while probes are acknowledged; each that is not adds one.
    score: f64,
    max_score: f64,
}

impl LocalHealth {
    pub(super) fn new(max_score: f64) -> Self {
        LocalHealth { score: 0.0, max_score }
    }

    /// By how much timeouts are longer.
    pub(super) fn multiplier(&self) -> f64 {
        1.0 + self.score / 2.0
    }

    pub(super) fn record_ack(&mut self) {
        self.score = (self.score - 1.0).max(0.0);
    }

    /// Others reach the target: then it is the path from here that is bad, or this member that is slow.
    pub(super) fn record_indirect_ack(&mut self) {
        self.score = (self.score - 0.5).max(0.0);
    }

    pub(super) fn record_failure(&mut self) {
        self.score = (self.score + 1.0).min(self.max_score);
    }

    /// The process was paused: what it takes for late was not.
    pub(super) fn record_pause(&mut self) {
        self.score = self.max_score;
    }
}
