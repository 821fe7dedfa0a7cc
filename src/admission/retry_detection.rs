//! Detection of unmarked retries.
//!
//! *Decides*: an estimate of how long the client waited before this attempt. `deadline` subtracts it from the
//! time in which a response has value to that client.
//! *Inputs*: the timeout of this attempt (ms), whether the client named a deadline and marked a retry, the
//! class's timeout (ms).
//! *Rule*: first attempts of a class use one of a few common timeouts, each found by votes. Any other timeout is
//! interpreted as the rest of the client's total timeout, which gives the time since the first attempt.
//! *Why*: retries carry the deadline of the first attempt. Whether they are marked depends on the client.
//! *Source*: `docs/design.md`, "Departures": unmarked retries pass a count of arrivals at full priority.
//! *Without it*: retry storms and restarting clients fill the cores with work that has missed its objective.
//! The rule is harmful where the timeouts of first attempts vary.

use crate::api::{BackendConfig, Request};

/// Timeouts that differ by less than this count as equal.
const SAME_TIMEOUT_MS: f64 = 25.0;
/// Maximum number of votes of a common timeout.
const MAX_VOTES: i32 = 40;
/// Number of votes from which on the common timeouts of a class are known.
const MIN_KNOWN_VOTES: i32 = MAX_VOTES / 4;
/// Number of votes from which on a timeout counts as that of a first attempt.
const MIN_FIRST_ATTEMPT_VOTES: i32 = MAX_VOTES / 10;
/// Maximum number of common timeouts per class.
const MAX_COMMON_TIMEOUTS: usize = 4;

/// A timeout that recurs, and its votes from recent attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CommonTimeout {
    timeout_ms: f64,
    votes: i32,
}

/// Observed timeouts of the attempts of one class.
struct ClassTimeouts {
    class_timeout_ms: f64,
    common: Vec<CommonTimeout>,
}

impl ClassTimeouts {
    /// Records an attempt and returns how long its client waited before it; 0 for a first attempt.
    fn observe(&mut self, attempt_timeout_ms: f64) -> f64 {
        let is_first_attempt = self.vote(attempt_timeout_ms);
        let is_known = self.common.iter().any(|common| common.votes >= MIN_KNOWN_VOTES);
        if is_first_attempt || !is_known {
            return 0.0;
        }
        (self.class_timeout_ms - attempt_timeout_ms).max(0.0)
    }

    /// Votes for a timeout; returns whether it is a common one.
    fn vote(&mut self, attempt_timeout_ms: f64) -> bool {
        let new = CommonTimeout { timeout_ms: attempt_timeout_ms, votes: 1 };
        let is_same =
            |common: &&mut CommonTimeout| (attempt_timeout_ms - common.timeout_ms).abs() < SAME_TIMEOUT_MS;
        if let Some(common) = self.common.iter_mut().find(is_same) {
            common.votes = (common.votes + 1).min(MAX_VOTES);
            return common.votes >= MIN_FIRST_ATTEMPT_VOTES;
        }
        if self.common.len() < MAX_COMMON_TIMEOUTS {
            self.common.push(new);
        } else if let Some(weakest) = self.common.iter_mut().min_by_key(|common| common.votes) {
            weakest.votes -= 1;
            if weakest.votes < 1 {
                *weakest = new;
            }
        }
        false
    }
}

/// Observed timeouts of all classes.
pub(super) struct RetryDetection {
    retries_marked: bool,
    classes: Vec<ClassTimeouts>,
}

impl RetryDetection {
    pub(super) fn new(config: &BackendConfig) -> Self {
        let class_timeouts = |class_timeout_ms: f64| ClassTimeouts {
            class_timeout_ms,
            common: Vec::with_capacity(MAX_COMMON_TIMEOUTS),
        };
        RetryDetection {
            retries_marked: config.retries_marked,
            classes: config.classes.iter().map(|class| class_timeouts(class.timeout_ms)).collect(),
        }
    }

    /// Records an attempt and returns how long its client waited before it. The estimate applies only if the
    /// client named a deadline and, where retries are marked, marked this attempt as a retry; otherwise it is 0.
    pub(super) fn observe(&mut self, request: &Request, attempt_timeout_ms: f64) -> f64 {
        let prior_wait_ms = self.classes[request.class].observe(attempt_timeout_ms);
        let may_be_retry = request.deadline_ms.is_some() && (!self.retries_marked || request.marked_retry);
        if may_be_retry {
            prior_wait_ms
        } else {
            0.0
        }
    }
}

#[cfg(test)]
mod tests;
