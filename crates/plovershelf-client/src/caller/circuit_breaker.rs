//! Decides whether an endpoint is ejected because its attempts fail (outlier detection), and how it comes back.
//!
//! Inputs: the ends of attempts at the endpoint, with their times in milliseconds; both counts fade over a window.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Closed` | failures reach the fraction and the minimum; or a protocol fault | `Open` |
//! | `Open` | the ejection is over and an attempt is sent | `HalfOpen` |
//! | `HalfOpen` | that attempt succeeds | `SlowStart` |
//! | `HalfOpen` | that attempt fails, or a protocol fault | `Open`, for longer |
//! | `HalfOpen` | that attempt is cancelled | `Open`, over at once |
//! | `SlowStart` | its time is over and an attempt is sent | `Closed` |
//! | `SlowStart` | failures reach the fraction and the minimum; or a protocol fault | `Open`, for longer |
//!
//! Why: a broken endpoint costs every call that is sent to it. Each ejection is twice as long as the last and ends at random in its
//! second half, so that clients do not return together. Rejections are no failures: an endpoint that sheds load is well.

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::ClientConfig;

/// Part of the usual traffic with which a slow start begins.
const SLOW_START_FIRST_FRACTION: f64 = 0.1;
/// Doublings of the ejection time, before the bound, at most.
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
    successes: f64,
    failures: f64,
    faded_ms: f64,
    /// Ejections since it was last closed.
    ejections: u32,
}

impl CircuitBreaker {
    pub(super) fn new() -> Self {
        CircuitBreaker {
            state: BreakerState::Closed,
            successes: 0.0,
            failures: 0.0,
            faded_ms: 0.0,
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

    /// It does not keep all attempts away, as far as time alone tells.
    pub(super) fn looks_healthy(&self, now_ms: f64) -> bool {
        match self.state {
            BreakerState::Closed | BreakerState::SlowStart { .. } => true,
            BreakerState::Open { until_ms } => until_ms <= now_ms,
            BreakerState::HalfOpen => false,
        }
    }

    /// When it admits an attempt at the earliest; `None` while the outcome of one is awaited.
    pub(super) fn admits_from(&self, now_ms: f64) -> Option<f64> {
        match self.state {
            BreakerState::Closed | BreakerState::SlowStart { .. } => Some(now_ms),
            BreakerState::Open { until_ms } => Some(until_ms.max(now_ms)),
            BreakerState::HalfOpen => None,
        }
    }

    /// May an attempt be sent now? The question changes nothing.
    pub(super) fn admits(&self, now_ms: f64, config: &ClientConfig, random: &mut Pcg32) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { until_ms } => until_ms <= now_ms,
            BreakerState::HalfOpen => false,
            BreakerState::SlowStart { since_ms } => {
                let rise = (1.0 - SLOW_START_FIRST_FRACTION) * (now_ms - since_ms);
                let fraction = SLOW_START_FIRST_FRACTION + rise / config.slow_start_ms.max(1.0);
                fraction >= 1.0 || random.random::<f64>() < fraction
            }
        }
    }

    /// An attempt is sent.
    pub(super) fn record_sent(&mut self, now_ms: f64, config: &ClientConfig) {
        match self.state {
            BreakerState::Open { until_ms } if until_ms <= now_ms => self.change(BreakerState::HalfOpen),
            BreakerState::SlowStart { since_ms } if now_ms - since_ms >= config.slow_start_ms => {
                self.ejections = 0;
                self.change(BreakerState::Closed);
            }
            _ => {}
        }
    }

    /// The endpoint has answered as a healthy one does; a rejection counts.
    pub(super) fn record_success(&mut self, now_ms: f64, config: &ClientConfig) {
        self.fade(now_ms, config);
        self.successes += 1.0;
        if self.state == BreakerState::HalfOpen {
            self.change(BreakerState::SlowStart { since_ms: now_ms });
        }
    }

    /// An attempt failed.
    pub(super) fn record_failure(&mut self, now_ms: f64, config: &ClientConfig, random: &mut Pcg32) {
        self.fade(now_ms, config);
        self.failures += 1.0;
        let many = self.failures >= config.ejection_min_failures
            && self.failures >= config.ejection_failure_fraction * (self.failures + self.successes);
        match self.state {
            BreakerState::HalfOpen => self.eject(now_ms, config, random),
            BreakerState::Closed | BreakerState::SlowStart { .. } if many => {
                self.eject(now_ms, config, random);
            }
            _ => {}
        }
    }

    /// The endpoint violates the protocol, or does not answer its health check.
    pub(super) fn record_protocol_fault(&mut self, now_ms: f64, config: &ClientConfig, random: &mut Pcg32) {
        if !matches!(self.state, BreakerState::Open { until_ms } if until_ms > now_ms) {
            self.eject(now_ms, config, random);
        }
    }

    /// The attempt that was to tell was cancelled or lost: the next one may tell.
    pub(super) fn record_no_outcome(&mut self, now_ms: f64) {
        if self.state == BreakerState::HalfOpen {
            self.change(BreakerState::Open { until_ms: now_ms });
        }
    }

    fn eject(&mut self, now_ms: f64, config: &ClientConfig, random: &mut Pcg32) {
        let doubled_ms = config.base_ejection_ms * f64::from(1u32 << self.ejections.min(MAX_DOUBLINGS));
        let ejection_ms = doubled_ms.min(config.max_ejection_ms) * (0.5 + 0.5 * random.random::<f64>());
        self.ejections = self.ejections.saturating_add(1);
        self.change(BreakerState::Open { until_ms: now_ms + ejection_ms });
    }

    fn change(&mut self, to: BreakerState) {
        self.state = to;
        if matches!(to, BreakerState::Open { .. } | BreakerState::SlowStart { .. }) {
            (self.successes, self.failures) = (0.0, 0.0);
        }
    }

    fn fade(&mut self, now_ms: f64, config: &ClientConfig) {
        let left = (-(now_ms - self.faded_ms).max(0.0) / config.ejection_window_ms).exp();
        self.successes *= left;
        self.failures *= left;
        self.faded_ms = now_ms;
    }
}

#[cfg(test)]
mod tests;
