//! Detection of retries that are not marked.
//!
//! *Decides*: how long the client of an attempt has waited before it, by an estimate. `deadline` takes it off the time in which
//! an answer is still worth something to that client.
//! *Inputs*: how long the client waits for this attempt (ms), whether it named a deadline and a mark, the
//! class's timeout (ms).
//! *Rule*: first attempts of a class come with one of a few usual waits, each found by votes; an attempt that
//! waits for another span is bounded by what is left of the client's timeout, which tells its age.
//! *Why*: retries carry the deadline of the first attempt. Whether they are marked is up to the client.
//! *Source*: `docs/design.md`, "Departures": unmarked retries pass a count of arrivals at full priority.
//! *Without it*: retry storms and restarting clients fill the cores with work whose objective is over. It
//! does harm where clients' first waits vary by themselves.

use crate::api::{BackendConfig, Request};

/// Waits nearer than this are the same.
const SAME_WAIT_MS: f64 = 25.0;
/// Votes that a usual wait collects at most.
const MAX_VOTES: i32 = 40;
/// Votes from which on a class's usual waits are known.
const MIN_KNOWN_VOTES: i32 = MAX_VOTES / 4;
/// Votes from which on a wait is taken for that of a first attempt.
const MIN_FIRST_ATTEMPT_VOTES: i32 = MAX_VOTES / 10;
/// Usual waits that are remembered for a class.
const MAX_USUAL_WAITS: usize = 4;

/// A wait that came often, and how often of late.
#[derive(Clone, Copy, Debug, PartialEq)]
struct UsualWait {
    wait_ms: f64,
    votes: i32,
}

/// What is known of the attempts of one class.
struct ClassWaits {
    timeout_ms: f64,
    usual: Vec<UsualWait>,
}

impl ClassWaits {
    /// Learns from an attempt, and tells how long its client waited before it; 0 for a first attempt.
    fn observe(&mut self, patience_ms: f64) -> f64 {
        let is_first_attempt = self.vote(patience_ms);
        let is_known = self.usual.iter().any(|usual| usual.votes >= MIN_KNOWN_VOTES);
        if is_first_attempt || !is_known {
            return 0.0;
        }
        (self.timeout_ms - patience_ms).max(0.0)
    }

    /// Counts a wait; true where it is a usual one.
    fn vote(&mut self, patience_ms: f64) -> bool {
        let new = UsualWait { wait_ms: patience_ms, votes: 1 };
        let is_same = |usual: &&mut UsualWait| (patience_ms - usual.wait_ms).abs() < SAME_WAIT_MS;
        if let Some(usual) = self.usual.iter_mut().find(is_same) {
            usual.votes = (usual.votes + 1).min(MAX_VOTES);
            return usual.votes >= MIN_FIRST_ATTEMPT_VOTES;
        }
        if self.usual.len() < MAX_USUAL_WAITS {
            self.usual.push(new);
        } else if let Some(weakest) = self.usual.iter_mut().min_by_key(|usual| usual.votes) {
            weakest.votes -= 1;
            if weakest.votes < 1 {
                *weakest = new;
            }
        }
        false
    }
}

/// The usual waits of all classes.
pub(super) struct RetryDetection {
    retries_marked: bool,
    classes: Vec<ClassWaits>,
}

impl RetryDetection {
    pub(super) fn new(config: &BackendConfig) -> Self {
        let class_waits =
            |timeout_ms: f64| ClassWaits { timeout_ms, usual: Vec::with_capacity(MAX_USUAL_WAITS) };
        RetryDetection {
            retries_marked: config.retries_marked,
            classes: config.classes.iter().map(|class| class_waits(class.timeout_ms)).collect(),
        }
    }

    /// How long the client waited before this attempt. Only a deadline that the client named says so, and
    /// where retries are marked, only that of a marked one.
    pub(super) fn observe(&mut self, request: &Request, patience_ms: f64) -> f64 {
        let waited_ms = self.classes[request.class].observe(patience_ms);
        let may_be_retry = request.deadline_ms.is_some() && (!self.retries_marked || request.marked_retry);
        if may_be_retry {
            waited_ms
        } else {
            0.0
        }
    }
}

#[cfg(test)]
mod tests;
