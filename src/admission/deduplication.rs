//! Retention of requests for the detection of duplicates.
//!
//! *Decides*: whether a request is retained, and for how long.
//! *Inputs*: the class's idempotency, window and objective (ms), the request's key, how long responses to reads
//! may be shared (ms).
//! *Rule*: an idempotency-keyed request is retained for its window, starting before its execution. A read is
//! retained for its objective plus the sharing time, if responses are shared and memory allows.
//! *Why*: the host detects duplicates among retained requests; a duplicate joins the first request and gets the
//! same response. If requests were retained only after their execution, one could be executed twice.
//! *Source*: IETF draft "The Idempotency-Key HTTP Header Field"; `docs/design.md`, "Guards for the four
//! rules".
//! *Without it*: a retry of a keyed request takes effect twice.

use std::collections::BTreeSet;

use crate::admission::time::TimeKey;
use crate::api::{ClassConfig, Idempotency, Request};

/// Retained requests, ordered by the time at which their retention ends.
pub(super) struct Deduplication {
    shared_response_ms: f64,
    retained: BTreeSet<(TimeKey, u32)>,
}

/// Reason for which a request is retained, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Retention {
    /// Duplicates of the keyed request must be detected.
    Keyed { retain_ms: f64 },
    /// The response may serve other clients while memory allows.
    SharedRead { retain_ms: f64 },
}

impl Deduplication {
    pub(super) fn new(shared_response_ms: f64) -> Self {
        Deduplication { shared_response_ms, retained: BTreeSet::new() }
    }

    /// Returns the number of entries that an execution of this class is certain to add.
    pub(super) fn entries_for(class: &ClassConfig) -> usize {
        usize::from(class.idempotency == Idempotency::Keyed)
    }

    pub(super) fn retention(&self, request: &Request, class: &ClassConfig) -> Option<Retention> {
        let is_read = request.key != 0 && !request.writes;
        match class.idempotency {
            Idempotency::Keyed => Some(Retention::Keyed { retain_ms: class.deduplication_window_ms }),
            Idempotency::Idempotent if is_read && self.shared_response_ms > 0.0 => {
                let retain_ms = class.latency_objective_ms + self.shared_response_ms;
                Some(Retention::SharedRead { retain_ms })
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    pub(super) fn retain(&mut self, id: u32, now_ms: f64, retain_ms: f64) {
        self.retained.insert((TimeKey::from_ms(now_ms + retain_ms), id));
    }

    /// Removes the requests whose retention has ended.
    pub(super) fn expire(&mut self, now_ms: f64) {
        let now = TimeKey::from_ms(now_ms);
        self.retained.retain(|(until, _)| *until > now);
    }

    /// Returns the number of retained requests.
    pub(super) fn entries(&self) -> usize {
        self.retained.len()
    }
}

#[cfg(test)]
mod tests;
