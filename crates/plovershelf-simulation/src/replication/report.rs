//! Answers that the clients of each key received, and the results of a run.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_replication::Outcome;

use crate::statistics::SampleDistribution;

/// Results of one run.
#[derive(Default)]
pub struct Report {
    /// Number of idempotency keys that clients sent.
    pub keys: u64,
    /// Number of retries at a different backend than the previous attempt.
    pub retries_elsewhere: u64,
    /// Number of machines lost with their disks.
    pub machines_lost: u64,
    /// Maximum number of machines that were down at the same time.
    pub max_lost_at_once: u64,
    /// Number of keys that were launched more than once.
    pub executed_twice: u64,
    /// Number of keys answered differently after a client received a result.
    pub changed_after_success: u64,
    /// Number of keys whose clients received different answers.
    pub conflicting_outcomes: u64,
    /// Number of keys answered as in doubt: it is unknown whether the request was executed.
    pub in_doubt: u64,
    /// Number of keys that were being executed on a machine when it was lost.
    pub ran_on_lost: u64,
    /// Number of rejected attempts.
    pub rejected: u64,
    /// Number of keys for which a client received a result.
    pub succeeded: u64,
    /// Time from the arrival of a request to its launch, in milliseconds.
    pub launch_wait_ms: SampleDistribution,
    /// Time from the end of an execution to its answer, in milliseconds.
    pub answer_wait_ms: SampleDistribution,
    /// Longest period in which at least one key was under-replicated, in milliseconds.
    pub max_under_replicated_ms: f64,
    /// Number of messages sent.
    pub messages: u64,
    /// Maximum number of records that one member stored.
    pub max_records: usize,
}

/// Attempts, launches and answers of one key.
#[derive(Default)]
pub(super) struct KeyHistory {
    launches: u32,
    answers: Vec<Outcome>,
    first_success: Option<Outcome>,
    changed_after_success: bool,
    lost_while_running: bool,
    last_member: Option<usize>,
}

/// Backend of an attempt compared with that of the previous attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptTarget {
    /// First attempt, or the same backend.
    FirstOrSame,
    /// A backend other than that of the previous attempt.
    Different,
}

impl KeyHistory {
    pub(super) fn record_attempt(&mut self, member: usize) -> AttemptTarget {
        match self.last_member.replace(member) {
            Some(last) if last != member => AttemptTarget::Different,
            _ => AttemptTarget::FirstOrSame,
        }
    }

    pub(super) fn record_launch(&mut self) {
        self.launches += 1;
    }

    pub(super) fn record_loss_while_running(&mut self) {
        self.lost_while_running = true;
    }

    pub(super) fn record_answer(&mut self, outcome: Outcome) {
        if self.first_success.as_ref().is_some_and(|first| *first != outcome) {
            self.changed_after_success = true;
        }
        if matches!(outcome, Outcome::Succeeded(_)) {
            self.first_success.get_or_insert(outcome.clone());
        }
        self.answers.push(outcome);
    }
}

impl Report {
    /// Adds the counts that follow from the histories of all keys.
    pub(super) fn with_key_counts(mut self, histories: &BTreeMap<u64, KeyHistory>) -> Self {
        for history in histories.values() {
            self.executed_twice += u64::from(history.launches > 1);
            self.changed_after_success += u64::from(history.changed_after_success);
            let outcomes: BTreeSet<&Outcome> = history.answers.iter().collect();
            self.conflicting_outcomes += u64::from(outcomes.len() > 1);
            self.in_doubt += u64::from(history.answers.contains(&Outcome::InDoubt));
            self.ran_on_lost += u64::from(history.lost_while_running);
            self.succeeded += u64::from(history.first_success.is_some());
        }
        self
    }
}
