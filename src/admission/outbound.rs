//! Outbound calls to the shared dependency.
//!
//! *Decides*: whether one more call is placed, and what becomes of a request whose call ended.
//! *Inputs*: this backend's share of the dependency (calls in flight), calls in flight, how long each took
//! (ms) and how it ended, how long an abandoned call lingers at the dependency (ms).
//! *Rule*: calls in flight are bounded by [`USED_SHARE_FRACTION`] of the share; the bound shrinks when a call
//! fails or the mean duration is [`SLOW_MULTIPLE`] times its least of late, to [`MIN_SHARE_FRACTION`] of the
//! share, and grows back by one a bound's worth of calls. After a failure none is placed for a pause that
//! doubles. A call is repeated only where that does no harm.
//! *Why*: the mean is judged, as single calls differ much. A call that was abandoned still takes its place at
//! the dependency and counts while it may linger. The pause keeps instant refusals from being repeated
//! without end.
//! *Source*: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance"
//! (1989), for additive increase and multiplicative decrease; `docs/design.md`, "What the design leaves
//! open, and what was chosen" (Outbound calls) and "Cold, as a sum".
//! *Without it*: a dependency that slows, rejects or is gone is crowded by all its callers until it fails. It
//! does harm where a slowdown is brief.

use crate::admission::statistics::{Smoothed, RETAINED_FRACTION};
use crate::api::{BackendConfig, CallOutcome, ClassConfig, Idempotency};

/// Part of the share that calls in flight may take.
const USED_SHARE_FRACTION: f64 = 0.9;
/// Multiple of the least mean duration from which on calls are slow.
const SLOW_MULTIPLE: f64 = 3.0;
/// What a slow and what a failed call leave of the bound.
const SLOW_DECREASE: f64 = 0.95;
const FAILURE_DECREASE: f64 = 0.7;
/// Least bound, as part of the share.
const MIN_SHARE_FRACTION: f64 = 0.25;
/// First and longest pause after a failure.
const MIN_PAUSE_MS: f64 = 20.0;
const MAX_PAUSE_MS: f64 = 640.0;
/// Growth of the least mean duration in a period, so that it is one of late.
const LEAST_MEAN_GROWTH_PER_PERIOD: f64 = 1.005;
/// Shortest time that a call is given.
const MIN_CALL_TIMEOUT_MS: f64 = 1.0;

/// What becomes of a request whose call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterCall {
    /// Its execution goes on.
    Resume,
    /// It awaits another call.
    Retry,
    /// The call may have had its effect, so it is not repeated.
    GiveUp,
}

impl AfterCall {
    pub(super) fn new(outcome: CallOutcome, class: &ClassConfig) -> Self {
        let can_skip = class.skipped_call_value_fraction > 0.0;
        if outcome == CallOutcome::Completed || can_skip {
            AfterCall::Resume
        } else if class.idempotency == Idempotency::Idempotent || outcome == CallOutcome::NotExecuted {
            AfterCall::Retry
        } else {
            AfterCall::GiveUp
        }
    }
}

/// Whether the dependency may still work on a call that has ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterEnd {
    Gone,
    Lingers,
}

/// The bound of calls in flight, and what is known of their durations.
pub(super) struct Outbound {
    share: f64,
    linger_ms: f64,
    max_in_flight: f64,
    mean_ms: Smoothed,
    least_mean_ms: f64,
    pause_ms: f64,
    /// No call is placed before.
    blocked_until_ms: f64,
    /// When calls that were abandoned have left the dependency.
    lingering_until_ms: Vec<f64>,
}

/// How long a call may take that is placed now.
pub(super) fn call_timeout_ms(deadline_ms: f64, now_ms: f64) -> f64 {
    (deadline_ms - now_ms).max(MIN_CALL_TIMEOUT_MS)
}

impl Outbound {
    pub(super) fn new(now_ms: f64, config: &BackendConfig) -> Self {
        let share = config.dependency_share.map_or(f64::MAX, |share| USED_SHARE_FRACTION * share);
        Outbound {
            share,
            linger_ms: config.abandoned_call_linger_ms,
            max_in_flight: share.max(1.0),
            mean_ms: Smoothed::new(MAX_PAUSE_MS),
            least_mean_ms: f64::MAX,
            pause_ms: MIN_PAUSE_MS,
            blocked_until_ms: now_ms,
            lingering_until_ms: Vec::new(),
        }
    }

    /// Whether one call more may be placed beside so many.
    pub(super) fn allows_call(&self, now_ms: f64, in_flight: usize) -> bool {
        let counted = (in_flight + self.lingering_until_ms.len()) as f64;
        counted + 1.0 <= self.max_in_flight && now_ms >= self.blocked_until_ms
    }

    /// Calls in flight at most.
    pub(super) fn max_in_flight(&self) -> f64 {
        self.max_in_flight
    }

    fn min_in_flight(&self) -> f64 {
        (MIN_SHARE_FRACTION * self.share).max(1.0)
    }

    /// A call ended that took so long.
    pub(super) fn handle_call_ended(&mut self, now_ms: f64, took_ms: f64, outcome: CallOutcome) {
        let is_paused = now_ms < self.blocked_until_ms;
        // A call whose connection was lost was given up with it, and may stay at the dependency as long.
        let after_end = match outcome {
            CallOutcome::Abandoned | CallOutcome::ConnectionLost => AfterEnd::Lingers,
            CallOutcome::Completed | CallOutcome::NotExecuted | CallOutcome::Unknown => AfterEnd::Gone,
        };
        self.rest(now_ms, took_ms, after_end);
        if outcome == CallOutcome::Completed {
            self.learn_duration(took_ms);
            return;
        }
        self.max_in_flight = (self.max_in_flight * FAILURE_DECREASE).max(self.min_in_flight());
        // A lost connection says nothing of the dependency.
        if !is_paused && outcome != CallOutcome::ConnectionLost {
            self.blocked_until_ms = self.blocked_until_ms.max(now_ms + self.pause_ms);
            self.pause_ms = (2.0 * self.pause_ms).min(MAX_PAUSE_MS);
        }
    }

    fn learn_duration(&mut self, took_ms: f64) {
        self.pause_ms = MIN_PAUSE_MS;
        self.mean_ms.update(took_ms, 1.0 - RETAINED_FRACTION);
        self.least_mean_ms = self.least_mean_ms.min(self.mean_ms.value());
        let is_slow = self.mean_ms.value() > SLOW_MULTIPLE * self.least_mean_ms;
        let next = if is_slow {
            self.max_in_flight * SLOW_DECREASE
        } else {
            self.max_in_flight + 1.0 / self.max_in_flight
        };
        self.max_in_flight = next.min(self.share).max(self.min_in_flight());
    }

    /// The request of a call was answered before the call ended.
    pub(super) fn handle_call_abandoned(&mut self, now_ms: f64, took_ms: f64) {
        self.rest(now_ms, took_ms, AfterEnd::Lingers);
    }

    /// A share under one call is kept by resting after each, also for as long as an abandoned one may linger.
    fn rest(&mut self, now_ms: f64, took_ms: f64, after_end: AfterEnd) {
        let linger_ms = match after_end {
            AfterEnd::Gone => 0.0,
            AfterEnd::Lingers => {
                self.lingering_until_ms.push(now_ms + self.linger_ms);
                self.linger_ms
            }
        };
        let rest_ms = (took_ms + linger_ms) * (1.0 / self.share - 1.0).max(0.0);
        self.blocked_until_ms = self.blocked_until_ms.max(now_ms + rest_ms);
    }

    pub(super) fn handle_period(&mut self, now_ms: f64) {
        self.lingering_until_ms.retain(|until_ms| *until_ms > now_ms);
        self.least_mean_ms *= LEAST_MEAN_GROWTH_PER_PERIOD;
    }
}

#[cfg(test)]
mod tests;
