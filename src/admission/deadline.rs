//! Deadlines of requests.
//!
//! *Decides*: when a request expires, and which requests have expired.
//! *Inputs*: arrival time, the client's deadline if it named one, how long the client waited before this
//! attempt, the class's latency objective and timeout, the work hint (all ms).
//! *Rule*: an idempotent request expires at its latency objective, counted from the client's first attempt,
//! or at the client's deadline if late responses have value; every other request expires at the client's
//! deadline. While draining, nothing expires later than the end of the drain.
//! *Why*: a response after the objective has no value, so the cores are freed for other requests. A
//! non-idempotent execution is not abandoned while its client waits, because its effect cannot be undone.
//! *Source*: Google SRE book, "Addressing Cascading Failures", on deadlines; `docs/design.md`, "What is
//! kept".
//! *Without it*: in an overload, executions continue for clients that have stopped waiting.

use std::collections::BTreeSet;

use crate::admission::time::TimeKey;
use crate::api::{ClassConfig, Idempotency, Request};

/// Maximum time by which a timer may fire before its deadline.
const TIMER_TOLERANCE_MS: f64 = 0.01;
/// Shortest timer delay.
const MIN_TIMER_MS: f64 = 0.001;

/// Arrival time and deadline of a request from the client's point of view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ClientTimes {
    /// Time at which the request reached the server, whether or not it was read then.
    pub(super) arrived_ms: f64,
    /// Time at which the client stops waiting.
    pub(super) deadline_ms: f64,
}

impl ClientTimes {
    /// Without a deadline from the client, the class's timeout applies, counted from the arrival.
    pub(super) fn new(now_ms: f64, request: &Request, class: &ClassConfig) -> Self {
        let arrived_ms = now_ms - request.unread_ms;
        let timeout_ms = (arrived_ms + class.timeout_ms).max(now_ms);
        ClientTimes { arrived_ms, deadline_ms: request.deadline_ms.unwrap_or(timeout_ms) }
    }

    /// Returns how long the client waits for this attempt.
    pub(super) fn attempt_timeout_ms(&self) -> f64 {
        self.deadline_ms - self.arrived_ms
    }

    /// Returns the time until which a response has value; `prior_wait_ms` is how long the client waited before
    /// this attempt.
    pub(super) fn valuable_until_ms(
        &self,
        request: &Request,
        class: &ClassConfig,
        prior_wait_ms: f64,
    ) -> f64 {
        if class.late_value_fraction > 0.0 {
            return self.deadline_ms;
        }
        let for_work_ms = class.objective_per_work * request.work_hint_ms.unwrap_or(0.0);
        let objective_ms = (class.latency_objective_ms + for_work_ms).min(class.timeout_ms);
        (self.arrived_ms + objective_ms - prior_wait_ms).min(self.deadline_ms)
    }

    /// Returns the time at which the request expires.
    pub(super) fn expires_ms(&self, now_ms: f64, valuable_until_ms: f64, idempotency: Idempotency) -> f64 {
        match idempotency {
            Idempotency::Idempotent => valuable_until_ms.max(now_ms),
            Idempotency::Keyed | Idempotency::NonIdempotent => self.deadline_ms,
        }
    }
}

/// Ordered deadlines of all unanswered requests, and the one timer that is set for the earliest.
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

    /// Removes and returns the next request whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now_ms: f64) -> Option<u32> {
        let (deadline, id) = *self.order.first()?;
        if deadline > TimeKey::from_ms(now_ms) {
            return None;
        }
        self.order.pop_first();
        Some(id)
    }

    /// Returns the delay of a timer to set, or `None` if a timer already fires early enough.
    pub(super) fn poll_timer(&mut self, now_ms: f64) -> Option<f64> {
        let next_ms = self.order.first()?.0.as_ms();
        if next_ms >= self.timer_ms {
            return None;
        }
        self.timer_ms = next_ms;
        Some((next_ms - now_ms).max(MIN_TIMER_MS))
    }

    /// Handles a fired timer. Superseded timers fire too: only the awaited one allows a new timer to be set.
    pub(super) fn handle_timer(&mut self, now_ms: f64) {
        if now_ms + TIMER_TOLERANCE_MS >= self.timer_ms {
            self.timer_ms = f64::MAX;
        }
    }
}

#[cfg(test)]
mod tests;
