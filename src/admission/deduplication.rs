//! Retention of requests, so that duplicates of them are known.
//!
//! *Decides*: whether a request is retained, and for how long.
//! *Inputs*: the class's idempotency, window and objective (ms), the request's key, how long answers to reads
//! may be shared (ms).
//! *Rule*: an idempotency-keyed request is retained for its window, from before it is executed. A read is
//! retained for its objective and the time of sharing, where answers are shared and memory allows.
//! *Why*: the host tells a duplicate by what is retained; it joins the first request and gets the same
//! answer. Retained only after its execution, a request could be executed twice.
//! *Source*: IETF draft "The Idempotency-Key HTTP Header Field"; `docs/design.md`, "Guards for the four
//! rules".
//! *Without it*: a retry of a keyed request takes its effect twice.

use std::collections::BTreeSet;

use crate::admission::time::TimeKey;
use crate::api::{ClassConfig, Idempotency, Request};

/// Requests that are retained, and until when.
pub(super) struct Deduplication {
    shared_response_ms: f64,
    retained: BTreeSet<(TimeKey, u32)>,
}

/// Why a request is retained.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Retention {
    /// Duplicates of it must be known.
    Keyed { retain_ms: f64 },
    /// Its answer may serve other clients, as long as memory allows.
    SharedRead { retain_ms: f64 },
}

impl Deduplication {
    pub(super) fn new(shared_response_ms: f64) -> Self {
        Deduplication { shared_response_ms, retained: BTreeSet::new() }
    }

    /// Entries that an execution of this class adds for certain.
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

    /// Forgets what was retained for long enough.
    pub(super) fn expire(&mut self, now_ms: f64) {
        let now = TimeKey::from_ms(now_ms);
        self.retained.retain(|(until, _)| *until > now);
    }

    /// How many requests are retained.
    pub(super) fn entries(&self) -> usize {
        self.retained.len()
    }
}

#[cfg(test)]
mod tests;
