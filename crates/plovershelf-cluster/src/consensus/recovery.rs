//! A voter that restarted does not trust its disk, which may have been restored from an older copy: it takes no part until
//! others have told what they keep.
//!
//! Guards against a vote given twice in a term and an acknowledgement forgotten: without it two leaders of one term, or a
//! committed entry that is lost, as the checker shows with the rule `VoteWithoutRecovery` broken. It holds because the
//! reports of [`recovery_quorum`] active voters include one of each majority that this voter may have been part of.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::{LogPosition, Term, VoterConfig};
use super::membership::recovery_quorum;
use crate::identity::NodeId;

/// What another voter told of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterReport {
    /// Its term.
    pub term: Term,
    /// Where its log ends, or must end by what it has acknowledged.
    pub last: LogPosition,
    /// Whether it is a voter that is not recovering itself.
    pub active: bool,
    /// Whether it leads.
    pub leads: bool,
}

/// A recovery under way.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovery {
    /// Tells this round of requests from those before.
    pub nonce: u64,
    /// Reports of an earlier term do not count.
    pub min_term: Term,
    /// The newest voters that this node was told of: those it asks.
    pub asked: VoterConfig,
    /// What came so far.
    pub reports: BTreeMap<NodeId, VoterReport>,
    pub(super) retry_at_ms: f64,
}

/// What the reports so far come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecoveryOutcome {
    /// More reports are needed.
    Waiting,
    /// Nobody who leads the newest term knows of the restart: an acknowledgement from before might count in a term up to
    /// this one, so all must report once more from a later term.
    AskInLaterTerm(Term),
    /// The voter may take part again: in this term without a vote, and only with logs that reach as far.
    Recovered { term: Term, min_log: LogPosition },
}

impl Recovery {
    pub(super) fn new(asked: VoterConfig, min_term: Term) -> Self {
        Recovery { nonce: 0, min_term, asked, reports: BTreeMap::new(), retry_at_ms: 0.0 }
    }

    /// The next round of the same recovery: what came counts on unless a later term is needed.
    pub(super) fn retry(&self, min_term: Term) -> Self {
        if self.min_term == min_term {
            return self.clone();
        }
        Recovery::new(self.asked.clone(), min_term)
    }

    /// Takes a report in; false where it does not count.
    pub(super) fn record(&mut self, from: NodeId, report: VoterReport) -> bool {
        let counts = self.asked.voters.contains(&from) && report.term >= self.min_term;
        if counts {
            self.reports.insert(from, report);
        }
        counts
    }

    /// What the reports come to for a node of this term. Nodes that are lost for good need not report.
    pub(super) fn outcome(&self, own_term: Term, lost: &BTreeSet<NodeId>) -> RecoveryOutcome {
        let count = self.asked.voters.len();
        let lost = self.asked.voters.intersection(lost).count();
        let active = self.reports.values().filter(|report| report.active).count();
        let enough_active = active + lost >= recovery_quorum(count);
        if !enough_active && self.reports.len() + lost + 1 < count {
            return RecoveryOutcome::Waiting;
        }
        let newest = self.reports.values().map(|report| report.term).max().unwrap_or_default();
        let min_log = self.reports.values().map(|report| report.last).max().unwrap_or_default();
        let leader_knows = self.reports.values().any(|report| report.leads && report.term == newest);
        let term = newest.max(own_term);
        if !leader_knows && self.min_term == Term::default() && !self.reports.is_empty() {
            return RecoveryOutcome::AskInLaterTerm(term.next());
        }
        RecoveryOutcome::Recovered { term, min_log }
    }
}

#[cfg(test)]
mod tests;
