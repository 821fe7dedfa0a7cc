//! Decides whether an endpoint's signals exclude a call: its Retry-After and its backpressure level.
//!
//! Inputs: the signals in each response; the call's priority; the attempts in flight at the endpoint.
//!
//! | meaning of the level | a call is excluded |
//! | --- | --- |
//! | none | never |
//! | minimum priority | if its priority is below the level |
//! | concurrency per client | if as many attempts are in flight; the fractional part is rounded up or down at random |
//! | rate fraction | at random, with a probability of 1 minus the level |
//!
//! Rationale: an endpoint detects its overload earlier than its clients can. Its signals apply to that
//! endpoint only and expire, so that one endpoint cannot stop a client, and a missed update cannot exclude
//! the endpoint forever.

use plovershelf::api::BackpressureSignal;
use plovershelf_codec::front::ServerSignals;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::ClientConfig;

/// A backpressure level and when it expires.
#[derive(Clone, Copy, Debug)]
struct Level {
    value: f64,
    until_ms: f64,
}

/// An attempt that is considered for an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLoad {
    pub(super) priority: f64,
    /// Other attempts in flight at the endpoint.
    pub(super) in_flight: usize,
}

/// Latest signals of one endpoint.
#[derive(Debug, Default)]
pub(super) struct Backpressure {
    retry_after_until_ms: f64,
    level: Option<Level>,
}

impl Backpressure {
    /// Records the signals of a response. A Retry-After never shortens an earlier one.
    pub(super) fn record(&mut self, now_ms: f64, signals: &ServerSignals, config: &ClientConfig) {
        if let Some(value) = signals.backpressure {
            self.level = Some(Level { value, until_ms: now_ms + config.backpressure_ttl_ms });
        }
        if let Some(retry_after_ms) = signals.retry_after_ms {
            let until_ms = now_ms + retry_after_ms.min(config.max_retry_after_ms);
            self.retry_after_until_ms = self.retry_after_until_ms.max(until_ms);
        }
    }

    /// Returns when the Retry-After ends, in milliseconds; a time in the past if there is none.
    pub(super) fn retry_after_until_ms(&self) -> f64 {
        self.retry_after_until_ms
    }

    /// Returns until when the backpressure level excludes the attempt, in milliseconds, or `None` if it does
    /// not.
    pub(super) fn excludes_until(
        &self,
        now_ms: f64,
        load: AttemptLoad,
        config: &ClientConfig,
        random: &mut Pcg32,
    ) -> Option<f64> {
        let level = self.level.filter(|level| level.until_ms > now_ms)?;
        let is_excluded = match config.backpressure {
            BackpressureSignal::None => false,
            BackpressureSignal::MinimumPriority => load.priority < level.value,
            BackpressureSignal::ConcurrencyPerClient => {
                let rounded_up = f64::from(random.random::<f64>() < level.value.fract());
                load.in_flight as f64 >= level.value.floor() + rounded_up
            }
            BackpressureSignal::RateFraction => random.random::<f64>() >= level.value,
        };
        is_excluded.then_some(level.until_ms)
    }
}

#[cfg(test)]
mod tests;
