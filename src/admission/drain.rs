//! Draining before the process is stopped.
//!
//! *Decides*: what is still executed after the drain notice, by when all is answered, and when clients are
//! told.
//! *Inputs*: time of the notice, time of the stop, grace period from the settings (ms).
//! *Rule*: requests that arrived within the grace period are executed; everything is answered
//! [`STOP_MARGIN_FRACTION`] of the time from notice to stop before the stop; clients are told to go elsewhere
//! shortly before the grace period ends.
//! *Why*: the notice may reach a crowded process late, while whoever stops it counts from when it was given.
//! What comes within the grace period is served, so there is no use in sending clients away before.
//! *Source*: `docs/design.md`, "What the design leaves open, and what was chosen" (Draining)
//! and "Guards for the four rules".
//! *Without it*: requests are cut off by the stop without an answer, at each release.

use crate::admission::backpressure::HARD_LIMIT_RETRY_AFTER_MS;

/// How long before the stop all is answered: part of the time from the notice to the stop, and its bounds.
const STOP_MARGIN_FRACTION: f64 = 0.05;
const MIN_STOP_MARGIN_MS: f64 = 40.0;
const MAX_STOP_MARGIN_MS: f64 = 150.0;
/// How long before the end of the grace period clients are told: as long as a rejected one waits.
const ENDING_LEAD_MS: f64 = HARD_LIMIT_RETRY_AFTER_MS;

/// How far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainPhase {
    Serving,
    /// Within the grace period.
    Draining,
    /// The grace period is over or nearly so.
    Ending,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct DrainTimes {
    grace_end_ms: f64,
    answered_by_ms: f64,
}

/// The drain's times, once there was a notice.
pub(super) struct Drain {
    grace_ms: f64,
    times: Option<DrainTimes>,
}

impl Drain {
    pub(super) fn new(grace_ms: f64) -> Self {
        Drain { grace_ms, times: None }
    }

    /// The notice may be read later than it was given; its times count from when it was given.
    pub(super) fn handle_notice(&mut self, given_ms: f64, stop_ms: f64) {
        let margin_ms = STOP_MARGIN_FRACTION * (stop_ms - given_ms);
        let margin_ms = margin_ms.clamp(MIN_STOP_MARGIN_MS, MAX_STOP_MARGIN_MS);
        self.times =
            Some(DrainTimes { grace_end_ms: given_ms + self.grace_ms, answered_by_ms: stop_ms - margin_ms });
    }

    pub(super) fn phase(&self, now_ms: f64) -> DrainPhase {
        match self.times {
            None => DrainPhase::Serving,
            Some(times) if now_ms + ENDING_LEAD_MS >= times.grace_end_ms => DrainPhase::Ending,
            Some(_) => DrainPhase::Draining,
        }
    }

    /// Whether a request that arrived at this time comes too late to be executed.
    pub(super) fn rejects(&self, arrived_ms: f64) -> bool {
        self.times.is_some_and(|times| arrived_ms > times.grace_end_ms)
    }

    /// The deadline of a request that expires at this time: no later than the drain's end.
    pub(super) fn deadline_ms(&self, expires_ms: f64, now_ms: f64) -> f64 {
        let answered_by_ms = self.times.map_or(f64::MAX, |times| times.answered_by_ms);
        expires_ms.min(answered_by_ms).max(now_ms)
    }
}

#[cfg(test)]
mod tests;
