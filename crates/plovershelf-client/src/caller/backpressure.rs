//! Decides whether an endpoint's own signals keep a call from it: its Retry-After and the value that it advises.
//!
//! Inputs: the signals beside each answer; the call's priority; attempts in flight at the endpoint.
//!
//! | advised value | a call is advised against |
//! | --- | --- |
//! | none | never |
//! | minimum priority | when its priority is below the value |
//! | concurrency a client | when as many attempts are in flight; a fraction counts by a draw |
//! | rate fraction | by a draw, with the rest of the fraction |
//!
//! Why: an endpoint knows its load before its clients see it. Its signals count for itself alone and for a limited time, so that
//! one endpoint cannot stop a client, nor a lost signal keep it away for good.

use plovershelf::api::BackpressureSignal;
use plovershelf_codec::front::ServerSignals;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::config::ClientConfig;

#[derive(Clone, Copy, Debug)]
struct AdvisedValue {
    value: f64,
    until_ms: f64,
}

/// What a call would add to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct AddedLoad {
    pub(super) priority: f64,
    /// Attempts in flight there, without this one.
    pub(super) in_flight: usize,
}

/// The signals of one endpoint that still hold.
#[derive(Debug, Default)]
pub(super) struct Backpressure {
    retry_after_until_ms: f64,
    advised: Option<AdvisedValue>,
}

impl Backpressure {
    pub(super) fn record(&mut self, now_ms: f64, signals: &ServerSignals, config: &ClientConfig) {
        if let Some(value) = signals.backpressure {
            self.advised = Some(AdvisedValue { value, until_ms: now_ms + config.backpressure_ttl_ms });
        }
        if let Some(retry_after_ms) = signals.retry_after_ms {
            let until_ms = now_ms + retry_after_ms.min(config.max_retry_after_ms);
            self.retry_after_until_ms = self.retry_after_until_ms.max(until_ms);
        }
    }

    /// The end of its Retry-After; in the past where there is none.
    pub(super) fn retry_after_until_ms(&self) -> f64 {
        self.retry_after_until_ms
    }

    /// Until when the endpoint advises against such a call, if it does.
    pub(super) fn advises_against_until(
        &self,
        now_ms: f64,
        load: AddedLoad,
        config: &ClientConfig,
        random: &mut Pcg32,
    ) -> Option<f64> {
        let advised = self.advised.filter(|advised| advised.until_ms > now_ms)?;
        let against = match config.backpressure {
            BackpressureSignal::None => false,
            BackpressureSignal::MinimumPriority => load.priority < advised.value,
            BackpressureSignal::ConcurrencyPerClient => {
                let rounded_up = f64::from(random.random::<f64>() < advised.value.fract());
                load.in_flight as f64 >= advised.value.floor() + rounded_up
            }
            BackpressureSignal::RateFraction => random.random::<f64>() >= advised.value,
        };
        against.then_some(advised.until_ms)
    }
}

#[cfg(test)]
mod tests;
