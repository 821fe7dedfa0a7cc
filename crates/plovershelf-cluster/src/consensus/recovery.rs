//! Recovery of a restarted voter. Its disk may have been restored from an older copy, so it neither votes nor
//! acknowledges entries until enough other voters have reported their state.
//!
//! Recovery prevents a second vote in the same term and the loss of an acknowledged entry. Without it two leaders of
//! one term can be elected or a committed entry lost, as the model checker shows with the rule `VoteWithoutRecovery`
//! broken. It is sufficient because the reports of [`recovery_quorum`] active voters include one from each majority
//! that this voter may have belonged to.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::{LogPosition, Term, VoterConfig};
use super::membership::recovery_quorum;
use crate::identity::NodeId;

/// The state that another voter reported to a recovering one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterReport {
    /// Term of the reporting voter.
    pub term: Term,
    /// The later of two positions: the end of the reporting voter's log, and the position up to which that voter may
    /// have acknowledged entries before its own restart.
    pub last: LogPosition,
    /// Whether the reporting node is a voter and not recovering itself.
    pub active: bool,
    /// Whether the reporting node is the leader of `term`.
    pub leads: bool,
}

/// The state of a recovery in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovery {
    /// Identifies the current round of requests, so that responses to earlier rounds are ignored.
    pub nonce: u64,
    /// Earliest term from which reports count.
    pub min_term: Term,
    /// Newest voters known to this node, from which it requests reports.
    pub voter_config: VoterConfig,
    /// Reports received so far.
    pub reports: BTreeMap<NodeId, VoterReport>,
    pub(super) retry_at_ms: f64,
}

/// The conclusion from the reports received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecoveryOutcome {
    /// More reports are needed.
    Waiting,
    /// No leader of the newest term has learned of the restart, so an acknowledgement from before it may still be
    /// counted in a term up to the newest. All voters must report again from this later term.
    AskInLaterTerm(Term),
    /// The voter becomes a follower. It casts no vote in `term` and votes only for candidates whose log reaches
    /// `min_log`.
    Recovered { term: Term, min_log: LogPosition },
}

impl Recovery {
    pub(super) fn new(voter_config: VoterConfig, min_term: Term) -> Self {
        Recovery { nonce: 0, min_term, voter_config, reports: BTreeMap::new(), retry_at_ms: 0.0 }
    }

    /// Returns the next round of this recovery. The reports received so far still count unless a later term is
    /// required.
    pub(super) fn retry(&self, min_term: Term) -> Self {
        if self.min_term == min_term {
            return self.clone();
        }
        Recovery::new(self.voter_config.clone(), min_term)
    }

    /// Records a report. Returns false if the report does not count.
    pub(super) fn record(&mut self, from: NodeId, report: VoterReport) -> bool {
        let counts = self.voter_config.voters.contains(&from) && report.term >= self.min_term;
        if counts {
            self.reports.insert(from, report);
        }
        counts
    }

    /// Evaluates the reports for a node in term `own_term`. Permanently lost nodes do not have to report.
    pub(super) fn outcome(&self, own_term: Term, lost: &BTreeSet<NodeId>) -> RecoveryOutcome {
        let count = self.voter_config.voters.len();
        let lost = self.voter_config.voters.intersection(lost).count();
        let active = self.reports.values().filter(|report| report.active).count();
        let enough_active = active + lost >= recovery_quorum(count);
        if !enough_active && self.reports.len() + lost + 1 < count {
            return RecoveryOutcome::Waiting;
        }
        let newest = self.reports.values().map(|report| report.term).max().unwrap_or_default();
        let min_log = self.reports.values().map(|report| report.last).max().unwrap_or_default();
        let leader_reported = self.reports.values().any(|report| report.leads && report.term == newest);
        let term = newest.max(own_term);
        if !leader_reported && self.min_term == Term::default() && !self.reports.is_empty() {
            return RecoveryOutcome::AskInLaterTerm(term.next());
        }
        RecoveryOutcome::Recovered { term, min_log }
    }
}

#[cfg(test)]
mod tests;
