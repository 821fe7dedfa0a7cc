//! Statistics of each request class. They decide whether an attempt can end before the deadline, when to
//! hedge a call and whether to throttle first attempts.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::context::Context;
use super::latency::{PercentileEstimate, WindowedMinimum};
use super::throttle::{Acceptance, Throttle};
use crate::config::ClientConfig;

/// Identifies a request class within one [`Caller`](super::Caller).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClassId(pub(super) usize);

/// Latency percentile that is estimated while hedging is off.
const DEFAULT_PERCENTILE: f64 = 95.0;
/// Shortest time between an attempt and its hedge.
const MIN_HEDGE_DELAY_MS: f64 = 1.0;

#[derive(Debug)]
struct ClassStatistics {
    min_latency: WindowedMinimum,
    latency_percentile: PercentileEstimate,
    throttle: Throttle,
}

/// Time left for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptTime {
    /// Time until the deadline minus the round trip, in milliseconds.
    pub(super) timeout_ms: f64,
    /// Whether the fastest recent call of the class would have ended in the time until the deadline.
    pub(super) is_sufficient: bool,
}

#[derive(Debug)]
pub(super) struct RequestClasses {
    classes: Vec<ClassStatistics>,
    ids: BTreeMap<Arc<str>, ClassId>,
    /// Lowest latency of a rejection. An endpoint spends almost no time on a rejection, so that its latency
    /// approximates the round trip.
    round_trip: WindowedMinimum,
}

impl RequestClasses {
    pub(super) fn new(config: &ClientConfig) -> Self {
        RequestClasses {
            classes: Vec::new(),
            ids: BTreeMap::new(),
            round_trip: WindowedMinimum::new(config.latency_window_ms),
        }
    }

    /// Returns the class with this name, added if it is new. Classes beyond `max_request_classes` share the
    /// statistics of the last one.
    pub(super) fn id_of(&mut self, name: &Arc<str>, config: &ClientConfig) -> ClassId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        if self.classes.len() < config.max_request_classes {
            self.classes.push(ClassStatistics {
                min_latency: WindowedMinimum::new(config.latency_window_ms),
                latency_percentile: PercentileEstimate::default(),
                throttle: Throttle::new(config),
            });
            self.ids.insert(name.clone(), ClassId(self.classes.len() - 1));
        }
        ClassId(self.classes.len() - 1)
    }

    pub(super) fn throttle_admits(&mut self, context: &mut Context, id: ClassId) -> bool {
        self.classes[id.0].throttle.admits(context.now_ms, &mut context.random)
    }

    /// Records for the throttle that an admitted call has ended.
    pub(super) fn record_end(&mut self, now_ms: f64, id: ClassId, acceptance: Acceptance) {
        self.classes[id.0].throttle.record(now_ms, acceptance);
    }

    pub(super) fn record_success(&mut self, context: &Context, id: ClassId, latency_ms: f64) {
        let class = &mut self.classes[id.0];
        class.min_latency.record(context.now_ms, latency_ms);
        let percentile = context.config.hedge_percentile.unwrap_or(DEFAULT_PERCENTILE);
        class.latency_percentile.record(latency_ms, percentile);
    }

    pub(super) fn record_rejection(&mut self, now_ms: f64, latency_ms: f64) {
        self.round_trip.record(now_ms, latency_ms);
    }

    /// Returns the lowest recent latency of the class in milliseconds, or 0 if there was no recent success.
    pub(super) fn min_latency_ms(&mut self, now_ms: f64, id: ClassId) -> f64 {
        self.classes[id.0].min_latency.value(now_ms).unwrap_or(0.0)
    }

    /// Returns the time left for an attempt that is sent now.
    pub(super) fn attempt_time(&mut self, context: &Context, id: ClassId, deadline_ms: f64) -> AttemptTime {
        let measured_ms = self.round_trip.value(context.now_ms);
        let round_trip_ms = measured_ms.unwrap_or(context.config.initial_round_trip_ms);
        let remaining_ms = deadline_ms - context.now_ms;
        let min_latency_ms = self.min_latency_ms(context.now_ms, id);
        let is_sufficient = remaining_ms > round_trip_ms && remaining_ms >= min_latency_ms;
        AttemptTime { timeout_ms: remaining_ms - round_trip_ms, is_sufficient }
    }

    /// Returns the time between an attempt and its hedge in milliseconds, or `None` before the first success
    /// of the class.
    pub(super) fn hedge_delay_ms(&self, id: ClassId) -> Option<f64> {
        let percentile_ms = self.classes[id.0].latency_percentile.value();
        percentile_ms.map(|percentile_ms| percentile_ms.max(MIN_HEDGE_DELAY_MS))
    }
}

#[cfg(test)]
mod tests;
