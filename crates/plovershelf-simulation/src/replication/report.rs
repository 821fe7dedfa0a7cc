//! What each key's clients were told, and the verdict on a run.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_replication::Outcome;

use crate::statistics::Spread;

/// Counts of one run, by keys where nothing else is said.
#[derive(Default)]
pub struct Report {
    /// Keys that were tried.
    pub keys: u64,
    /// Retries at another backend than the attempt before.
    pub retries_elsewhere: u64,
    /// Machines lost with all they stored.
    pub machines_lost: u64,
    /// Most machines that were lost at the same time.
    pub max_lost_at_once: u64,
    /// Keys that were launched more than once.
    pub executed_twice: u64,
    /// Keys answered otherwise after a client had a result.
    pub changed_after_success: u64,
    /// Keys whose clients were answered differently.
    pub conflicting_outcomes: u64,
    /// Keys answered as in doubt.
    pub in_doubt: u64,
    /// Keys that ran on a machine while it was lost.
    pub ran_on_lost: u64,
    /// Attempts that were rejected.
    pub rejected: u64,
    /// Keys of which a client had a result.
    pub succeeded: u64,
    /// From a request's arrival to its launch.
    pub launch_wait_ms: Spread,
    /// From the end of a run to its answer.
    pub answer_wait_ms: Spread,
    /// Longest time for which any key lacked replicas.
    pub max_under_replicated_ms: f64,
    /// Messages sent.
    pub messages: u64,
    /// Most records that one member stored.
    pub max_records: usize,
}

/// What became of one key.
#[derive(Default)]
pub(super) struct KeyHistory {
    launches: u32,
    answers: Vec<Outcome>,
    first_success: Option<Outcome>,
    changed_after_success: bool,
    lost_while_running: bool,
    last_member: Option<usize>,
}

/// Whether an attempt comes to another member than the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Visit {
    FirstOrSame,
    Elsewhere,
}

impl KeyHistory {
    pub(super) fn attempted_at(&mut self, member: usize) -> Visit {
        match self.last_member.replace(member) {
            Some(last) if last != member => Visit::Elsewhere,
            _ => Visit::FirstOrSame,
        }
    }

    pub(super) fn launched(&mut self) {
        self.launches += 1;
    }

    pub(super) fn lost_while_running(&mut self) {
        self.lost_while_running = true;
    }

    pub(super) fn answered(&mut self, outcome: Outcome) {
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
    /// With what the keys' histories show.
    pub(super) fn judged(mut self, histories: &BTreeMap<u64, KeyHistory>) -> Self {
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
