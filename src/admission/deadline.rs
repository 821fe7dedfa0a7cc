//! Deadlines of requests.
//!
//! *Decides*: when a request expires, and which have expired.
//! *Inputs*: when it arrived, its client's deadline where it names one, how long the client waited before,
//! the class's latency objective and timeout, the work hint (all ms).
//! *Rule*: an idempotent request expires at its latency objective, counted from the client's first attempt,
//! or at the client's deadline where a late answer has value; every other request at the client's deadline.
//! While draining nothing expires later than the drain's end.
//! *Why*: an answer past its objective is worth nothing, so the cores are for others. What is not idempotent
//! is not given up while its client waits: its effect cannot be taken back.
//! *Source*: Google SRE book, "Addressing Cascading Failures", on deadlines; `docs/design.md`, "What is
//! kept".
//! *Without it*: in an overload executions go on for clients that have stopped waiting.

use std::collections::BTreeSet;

use crate::admission::time::TimeKey;
use crate::api::{ClassConfig, Idempotency, Request};

/// How early a timer may fire for the deadline that it was set for.
const TIMER_TOLERANCE_MS: f64 = 0.01;
/// Shortest timer.
const MIN_TIMER_MS: f64 = 0.001;

/// The times of a request as its client sees them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ClientTimes {
    /// When the request reached the server, read or not.
    pub(super) arrived_ms: f64,
    /// When the client gives up.
    pub(super) deadline_ms: f64,
}

impl ClientTimes {
    /// Without a deadline of its own a request has its class's timeout, counted from its arrival.
    pub(super) fn new(now_ms: f64, request: &Request, class: &ClassConfig) -> Self {
        let arrived_ms = now_ms - request.unread_ms;
        let timeout_ms = (arrived_ms + class.timeout_ms).max(now_ms);
        ClientTimes { arrived_ms, deadline_ms: request.deadline_ms.unwrap_or(timeout_ms) }
    }

    /// How long the client waits for this attempt.
    pub(super) fn patience_ms(&self) -> f64 {
        self.deadline_ms - self.arrived_ms
    }

    /// Until when an answer has value, where the client waited so long before this attempt.
    pub(super) fn valuable_until_ms(&self, request: &Request, class: &ClassConfig, waited_ms: f64) -> f64 {
        if class.late_value_fraction > 0.0 {
            return self.deadline_ms;
        }
        let for_work_ms = class.objective_per_work * request.work_hint_ms.unwrap_or(0.0);
        let objective_ms = (class.latency_objective_ms + for_work_ms).min(class.timeout_ms);
        (self.arrived_ms + objective_ms - waited_ms).min(self.deadline_ms)
    }

    /// When the request is given up.
    pub(super) fn expires_ms(&self, now_ms: f64, valuable_until_ms: f64, idempotency: Idempotency) -> f64 {
        match idempotency {
            Idempotency::Idempotent => valuable_until_ms.max(now_ms),
            Idempotency::Keyed | Idempotency::NonIdempotent => self.deadline_ms,
        }
    }
}

/// The deadlines of all requests that are owed an answer, in order, and the one timer that is set for them.
pub(super) struct Deadlines {
    order: BTreeSet<(TimeKey, u32)>,
    timer_ms: f64,
}

impl Deadlines {
    pub(super) fn new() -> Self {
        Deadlines { order: BTreeSet::new(), timer_ms: f64::MAX }
    }

    pub(super) fn insert(&mut self, id: u32, deadline_ms: f64) {
        self.order.insert((TimeKey::from_ms(deadline_ms), id));
    }

    pub(super) fn remove(&mut self, id: u32, deadline_ms: f64) {
        self.order.remove(&(TimeKey::from_ms(deadline_ms), id));
    }

    /// Takes out the next request whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now_ms: f64) -> Option<u32> {
        let (deadline, id) = *self.order.first()?;
        if deadline > TimeKey::from_ms(now_ms) {
            return None;
        }
        self.order.pop_first();
        Some(id)
    }

    /// How long until a timer is needed, where none is set that fires as early.
    pub(super) fn poll_timer(&mut self, now_ms: f64) -> Option<f64> {
        let next_ms = self.order.first()?.0.as_ms();
        if next_ms >= self.timer_ms {
            return None;
        }
        self.timer_ms = next_ms;
        Some((next_ms - now_ms).max(MIN_TIMER_MS))
    }

    /// A timer fired. Superseded ones fire too: only the one that was waited for clears the way for the next.
    pub(super) fn handle_timer(&mut self, now_ms: f64) {
        if now_ms + TIMER_TOLERANCE_MS >= self.timer_ms {
            self.timer_ms = f64::MAX;
        }
    }
}

#[cfg(test)]
mod tests;
