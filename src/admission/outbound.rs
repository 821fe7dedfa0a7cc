//! Outbound calls to the shared dependency.
//!
//! *Decides*: whether another call is placed, and how a request continues after its call ended.
//! *Inputs*: this backend's share of the dependency (calls in flight), calls in flight, duration (ms) and
//! outcome of each call, how long an abandoned call lingers at the dependency (ms).
//! *Rule*: calls in flight are limited to [`USED_SHARE_FRACTION`] of the share. The limit shrinks when a call
//! fails or when the mean duration exceeds [`SLOW_MULTIPLE`] times its recent minimum, down to
//! [`MIN_SHARE_FRACTION`] of the share, and grows back by one per limit's worth of calls. After a failure no
//! call is placed for a pause that doubles. A call is repeated only where that does no harm.
//! *Why*: the rule uses the mean because single durations vary widely. An abandoned call still occupies the
//! dependency and counts while it may linger. The pause prevents immediate refusals from being retried in a
//! tight loop.
//! *Source*: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance"
//! (1989), for additive increase and multiplicative decrease; `docs/design.md`, "What the design leaves
//! open, and what was chosen" (Outbound calls) and "Cold, as a sum".
//! *Without it*: a dependency that is slow, rejecting or unreachable is overloaded by all its callers until it
//! fails. The rule is harmful where a slowdown is brief.

use crate::admission::statistics::{Smoothed, RETAINED_FRACTION};
use crate::api::{BackendConfig, CallOutcome, ClassConfig, Idempotency};

/// Fraction of the share that calls in flight may use.
const USED_SHARE_FRACTION: f64 = 0.9;
/// Multiple of the minimum mean duration above which calls are slow.
const SLOW_MULTIPLE: f64 = 3.0;
/// Factor of the limit after a slow call.
const SLOW_DECREASE: f64 = 0.95;
/// Factor of the limit after a failed call.
const FAILURE_DECREASE: f64 = 0.7;
/// Lower bound of the limit, as a fraction of the share.
const MIN_SHARE_FRACTION: f64 = 0.25;
/// First pause after a failure, in milliseconds.
const MIN_PAUSE_MS: f64 = 20.0;
/// Longest pause after a failure, in milliseconds.
const MAX_PAUSE_MS: f64 = 640.0;
/// Growth of the minimum mean duration per period, so that the minimum reflects recent calls.
const MIN_MEAN_GROWTH_PER_PERIOD: f64 = 1.005;
/// Shortest timeout of a call.
const MIN_CALL_TIMEOUT_MS: f64 = 1.0;

/// How a request continues after its call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterCall {
    /// The execution continues.
    Resume,
    /// The request awaits another call.
    Retry,
    /// The call may have taken effect and is not repeated, so the request ends.
    Terminate,
}

impl AfterCall {
    pub(super) fn new(outcome: CallOutcome, class: &ClassConfig) -> Self {
        let can_skip = class.skipped_call_value_fraction > 0.0;
        if outcome == CallOutcome::Completed || can_skip {
            AfterCall::Resume
        } else if class.idempotency == Idempotency::Idempotent || outcome == CallOutcome::NotExecuted {
            AfterCall::Retry
        } else {
            AfterCall::Terminate
        }
    }
}

/// Whether the dependency may still process a call that has ended on this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RemoteProcessing {
    Ended,
    MayContinue,
}

/// Limit of calls in flight, and statistics of their durations.
pub(super) struct Outbound {
    share: f64,
    linger_ms: f64,
    max_in_flight: f64,
    mean_ms: Smoothed,
    min_mean_ms: f64,
    pause_ms: f64,
    /// No call is placed before this time.
    blocked_until_ms: f64,
    /// Times at which abandoned calls are assumed to have left the dependency.
    lingering_until_ms: Vec<f64>,
}

/// Returns the timeout of a call placed now.
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
            min_mean_ms: f64::MAX,
            pause_ms: MIN_PAUSE_MS,
            blocked_until_ms: now_ms,
            lingering_until_ms: Vec::new(),
        }
    }

    /// Returns whether another call may be placed beside `in_flight` others.
    pub(super) fn allows_call(&self, now_ms: f64, in_flight: usize) -> bool {
        let counted = (in_flight + self.lingering_until_ms.len()) as f64;
        counted + 1.0 <= self.max_in_flight && now_ms >= self.blocked_until_ms
    }

    /// Returns the limit of calls in flight.
    pub(super) fn max_in_flight(&self) -> f64 {
        self.max_in_flight
    }

    fn min_in_flight(&self) -> f64 {
        (MIN_SHARE_FRACTION * self.share).max(1.0)
    }

    /// Records that a call ended after `took_ms`.
    pub(super) fn handle_call_ended(&mut self, now_ms: f64, took_ms: f64, outcome: CallOutcome) {
        let is_paused = now_ms < self.blocked_until_ms;
        // A call whose connection was lost was abandoned with it, and lingers at the dependency as long.
        let remote_processing = match outcome {
            CallOutcome::Abandoned | CallOutcome::ConnectionLost => RemoteProcessing::MayContinue,
            CallOutcome::Completed | CallOutcome::NotExecuted | CallOutcome::Unknown => {
                RemoteProcessing::Ended
            }
        };
        self.pause_after_call(now_ms, took_ms, remote_processing);
        if outcome == CallOutcome::Completed {
            self.record_duration(took_ms);
            return;
        }
        self.max_in_flight = (self.max_in_flight * FAILURE_DECREASE).max(self.min_in_flight());
        // A lost connection does not indicate a fault of the dependency.
        if !is_paused && outcome != CallOutcome::ConnectionLost {
            self.blocked_until_ms = self.blocked_until_ms.max(now_ms + self.pause_ms);
            self.pause_ms = (2.0 * self.pause_ms).min(MAX_PAUSE_MS);
        }
    }

    fn record_duration(&mut self, took_ms: f64) {
        self.pause_ms = MIN_PAUSE_MS;
        self.mean_ms.update(took_ms, 1.0 - RETAINED_FRACTION);
        self.min_mean_ms = self.min_mean_ms.min(self.mean_ms.value());
        let is_slow = self.mean_ms.value() > SLOW_MULTIPLE * self.min_mean_ms;
        let next = if is_slow {
            self.max_in_flight * SLOW_DECREASE
        } else {
            self.max_in_flight + 1.0 / self.max_in_flight
        };
        self.max_in_flight = next.min(self.share).max(self.min_in_flight());
    }

    /// Records that the request of a call was answered before the call ended.
    pub(super) fn handle_call_abandoned(&mut self, now_ms: f64, took_ms: f64) {
        self.pause_after_call(now_ms, took_ms, RemoteProcessing::MayContinue);
    }

    /// Enforces a share below one call by a pause after each call, which also covers the time that an abandoned
    /// call may linger.
    fn pause_after_call(&mut self, now_ms: f64, took_ms: f64, remote_processing: RemoteProcessing) {
        let linger_ms = match remote_processing {
            RemoteProcessing::Ended => 0.0,
            RemoteProcessing::MayContinue => {
                self.lingering_until_ms.push(now_ms + self.linger_ms);
                self.linger_ms
            }
        };
        let pause_ms = (took_ms + linger_ms) * (1.0 / self.share - 1.0).max(0.0);
        self.blocked_until_ms = self.blocked_until_ms.max(now_ms + pause_ms);
    }

    pub(super) fn handle_period(&mut self, now_ms: f64) {
        self.lingering_until_ms.retain(|until_ms| *until_ms > now_ms);
        self.min_mean_ms *= MIN_MEAN_GROWTH_PER_PERIOD;
    }
}

#[cfg(test)]
mod tests;
