//! Ejects an endpoint whose attempts fail (outlier detection), and readmits it gradually.
//!
//! Inputs: the results of attempts at the endpoint, with their times in milliseconds. The counts of successes
//! and failures decay exponentially over a window.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Closed` | failures reach the fraction and the minimum; or a protocol fault | `Open` |
//! | `Open` | the ejection has ended and an attempt is sent | `HalfOpen` |
//! | `HalfOpen` | the trial attempt succeeds | `SlowStart` |
//! | `HalfOpen` | the trial attempt fails, or a protocol fault | `Open`, for longer |
//! | `HalfOpen` | the trial attempt is cancelled or lost | `Open`, ending immediately |
//! | `SlowStart` | the slow start has ended and an attempt is sent | `Closed` |
//! | `SlowStart` | failures reach the fraction and the minimum; or a protocol fault | `Open`, for longer |
//!
//! Rationale: every call that is sent to a faulty endpoint fails. Each ejection is twice as long as the last
//! one and ends at a random time in its second half, so that clients do not return at the same time. A
//! rejection is not a failure, because an endpoint that sheds load is healthy.

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::ClientConfig;

/// Fraction of attempts that is admitted at the beginning of a slow start.
const SLOW_START_FIRST_FRACTION: f64 = 0.1;
/// Maximum number of doublings of the ejection time; `max_ejection_ms` limits it further.
const MAX_DOUBLINGS: u32 = 16;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum BreakerState {
    Closed,
    Open { until_ms: f64 },
    HalfOpen,
    SlowStart { since_ms: f64 },
}

#[derive(Debug)]
pub(super) struct CircuitBreaker {
    state: BreakerState,
    /// Exponentially decaying number of successful attempts.
    successes: f64,
    /// Exponentially decaying number of failed attempts.
    failures: f64,
    decayed_at_ms: f64,
    /// Ejections since the breaker was last closed.
    ejections: u32,
}

impl CircuitBreaker {
    pub(super) fn new() -> Self {
        CircuitBreaker {
            state: BreakerState::Closed,
            successes: 0.0,
            failures: 0.0,
            decayed_at_ms: 0.0,
            ejections: 0,
        }
    }

    #[cfg(test)]
    pub(super) fn state(&self) -> BreakerState {
        self.state
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    /// Returns whether the breaker admits at least some attempts, without drawing a random number.
    pub(super) fn is_healthy(&self, now_ms: f64) -> bool {
        match self.state {
            BreakerState::Closed | BreakerState::SlowStart { .. } => true,
            BreakerState::Open { until_ms } => until_ms <= now_ms,
            BreakerState::HalfOpen => false,
        }
    }

    /// Returns the earliest time at which the breaker admits an attempt, in milliseconds; `None` while the
    /// trial attempt is in flight.
    pub(super) fn admits_from(&self, now_ms: f64) -> Option<f64> {
        match self.state {
            BreakerState::Closed | BreakerState::SlowStart { .. } => Some(now_ms),
            BreakerState::Open { until_ms } => Some(until_ms.max(now_ms)),
            BreakerState::HalfOpen => None,
        }
    }

    /// Returns whether the breaker admits an attempt now. Does not change the state; draws a random number in
    /// a slow start.
    pub(super) fn admits(&self, now_ms: f64, config: &ClientConfig, random: &mut Pcg32) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { until_ms } => until_ms <= now_ms,
            BreakerState::HalfOpen => false,
            BreakerState::SlowStart { since_ms } => {
                let scaled_ms = (1.0 - SLOW_START_FIRST_FRACTION) * (now_ms - since_ms);
                let fraction = SLOW_START_FIRST_FRACTION + scaled_ms / config.slow_start_ms.max(1.0);
                fraction >= 1.0 || random.random::<f64>() < fraction
            }
        }
    }

    /// Records that an attempt is sent.
    pub(super) fn record_sent(&mut self, now_ms: f64, config: &ClientConfig) {
        match self.state {
            BreakerState::Open { until_ms } if until_ms <= now_ms => self.set_state(BreakerState::HalfOpen),
            BreakerState::SlowStart { since_ms } if now_ms - since_ms >= config.slow_start_ms => {
                self.ejections = 0;
                self.set_state(BreakerState::Closed);
            }
            _ => {}
        }
    }

    /// Records a response that shows a healthy endpoint, including rejections.
    pub(super) fn record_success(&mut self, now_ms: f64, config: &ClientConfig) {
        self.decay(now_ms, config);
        self.successes += 1.0;
        if self.state == BreakerState::HalfOpen {
            self.set_state(BreakerState::SlowStart { since_ms: now_ms });
        }
    }

    /// Records a failed attempt and ejects the endpoint if the failures reach the threshold.
    pub(super) fn record_failure(&mut self, now_ms: f64, config: &ClientConfig, random: &mut Pcg32) {
        self.decay(now_ms, config);
        self.failures += 1.0;
        let reaches_threshold = self.failures >= config.ejection_min_failures
            && self.failures >= config.ejection_failure_fraction * (self.failures + self.successes);
        match self.state {
            BreakerState::HalfOpen => self.eject(now_ms, config, random),
            BreakerState::Closed | BreakerState::SlowStart { .. } if reaches_threshold => {
                self.eject(now_ms, config, random);
            }
            _ => {}
        }
    }

    /// Ejects an endpoint that violated the protocol or did not respond to a health check.
    pub(super) fn record_protocol_fault(&mut self, now_ms: f64, config: &ClientConfig, random: &mut Pcg32) {
        if !matches!(self.state, BreakerState::Open { until_ms } if until_ms > now_ms) {
            self.eject(now_ms, config, random);
        }
    }

    /// Records that an attempt was cancelled or lost. If it was the trial attempt, the next attempt becomes
    /// the trial.
    pub(super) fn record_no_outcome(&mut self, now_ms: f64) {
        if self.state == BreakerState::HalfOpen {
            self.set_state(BreakerState::Open { until_ms: now_ms });
        }
    }

    fn eject(&mut self, now_ms: f64, config: &ClientConfig, random: &mut Pcg32) {
        let doubled_ms = config.base_ejection_ms * f64::from(1u32 << self.ejections.min(MAX_DOUBLINGS));
        let ejection_ms = doubled_ms.min(config.max_ejection_ms) * (0.5 + 0.5 * random.random::<f64>());
        self.ejections = self.ejections.saturating_add(1);
        self.set_state(BreakerState::Open { until_ms: now_ms + ejection_ms });
    }

    /// Changes the state, and resets the counts when an ejection or a slow start begins.
    fn set_state(&mut self, state: BreakerState) {
        self.state = state;
        if matches!(state, BreakerState::Open { .. } | BreakerState::SlowStart { .. }) {
            (self.successes, self.failures) = (0.0, 0.0);
        }
    }

    /// Applies the exponential decay since the last update to both counts.
    fn decay(&mut self, now_ms: f64, config: &ClientConfig) {
        let factor = (-(now_ms - self.decayed_at_ms).max(0.0) / config.ejection_window_ms).exp();
        self.successes *= factor;
        self.failures *= factor;
        self.decayed_at_ms = now_ms;
    }
}

#[cfg(test)]
mod tests;
