//! Draining before the process is stopped.
//!
//! *Decides*: which requests are still executed after the drain notice, by when all are answered, and when
//! clients are sent elsewhere.
//! *Inputs*: time of the notice, time of the stop, grace period from the settings (ms).
//! *Rule*: requests that arrive within the grace period are executed. The margin between the last response and
//! the stop is [`STOP_MARGIN_FRACTION`] of the time from notice to stop. Clients are sent elsewhere shortly
//! before the grace period ends.
//! *Why*: an overloaded process may read the notice late, while the stop is scheduled from the time at which the
//! notice was issued. Arrivals within the grace period are served, so clients need not leave before.
//! *Source*: `docs/design.md`, "What the design leaves open, and what was chosen" (Draining)
//! and "Guards for the four rules".
//! *Without it*: at each release, the stop cuts off requests without a response.

use crate::admission::backpressure::HARD_LIMIT_RETRY_AFTER_MS;

/// Margin before the stop by which all requests are answered, as a fraction of the time from the notice to the
/// stop.
const STOP_MARGIN_FRACTION: f64 = 0.05;
/// Lower bound of the margin before the stop, in milliseconds.
const MIN_STOP_MARGIN_MS: f64 = 40.0;
/// Upper bound of the margin before the stop, in milliseconds.
const MAX_STOP_MARGIN_MS: f64 = 150.0;
/// How long before the end of the grace period clients are sent elsewhere: the Retry-After of a rejection.
const ENDING_LEAD_MS: f64 = HARD_LIMIT_RETRY_AFTER_MS;

/// Progress of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainPhase {
    Serving,
    /// Within the grace period.
    Draining,
    /// The grace period is over or about to end.
    Ending,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct DrainTimes {
    grace_end_ms: f64,
    answered_by_ms: f64,
}

/// Times of the drain, set by the drain notice.
pub(super) struct Drain {
    grace_ms: f64,
    times: Option<DrainTimes>,
}

impl Drain {
    pub(super) fn new(grace_ms: f64) -> Self {
        Drain { grace_ms, times: None }
    }

    /// Handles a drain notice. It may be read later than it was issued; all times count from its issue.
    pub(super) fn handle_notice(&mut self, issued_ms: f64, stop_ms: f64) {
        let margin_ms = STOP_MARGIN_FRACTION * (stop_ms - issued_ms);
        let margin_ms = margin_ms.clamp(MIN_STOP_MARGIN_MS, MAX_STOP_MARGIN_MS);
        self.times =
            Some(DrainTimes { grace_end_ms: issued_ms + self.grace_ms, answered_by_ms: stop_ms - margin_ms });
    }

    pub(super) fn phase(&self, now_ms: f64) -> DrainPhase {
        match self.times {
            None => DrainPhase::Serving,
            Some(times) if now_ms + ENDING_LEAD_MS >= times.grace_end_ms => DrainPhase::Ending,
            Some(_) => DrainPhase::Draining,
        }
    }

    /// Returns whether a request that arrived at this time is too late to be executed.
    pub(super) fn rejects(&self, arrived_ms: f64) -> bool {
        self.times.is_some_and(|times| arrived_ms > times.grace_end_ms)
    }

    /// Returns the deadline of a request that expires at `expires_ms`: no later than the end of the drain.
    pub(super) fn deadline_ms(&self, expires_ms: f64, now_ms: f64) -> f64 {
        let answered_by_ms = self.times.map_or(f64::MAX, |times| times.answered_by_ms);
        expires_ms.min(answered_by_ms).max(now_ms)
    }
}

#[cfg(test)]
mod tests;
