//! Statistics of each request class, and what follows from them: whether an attempt can end before the deadline, when a call
//! is hedged, and whether first attempts are throttled.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::context::Context;
use super::latency::{FastestTime, PercentileEstimate};
use super::throttle::{Acceptance, Throttle};
use crate::config::ClientConfig;

/// A request class, within one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClassId(pub(super) usize);

/// The percentile that is followed while hedging is off.
const DEFAULT_PERCENTILE: f64 = 95.0;
/// A hedge is never sent earlier than this.
const MIN_HEDGE_DELAY_MS: f64 = 1.0;

#[derive(Debug)]
struct ClassStatistics {
    fastest: FastestTime,
    slow: PercentileEstimate,
    throttle: Throttle,
}

/// The time that an attempt has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptTime {
    /// What is left for the endpoint, without the round trip.
    pub(super) timeout_ms: f64,
    /// Whether the fastest recent call of its class would have been done in it.
    pub(super) is_sufficient: bool,
}

#[derive(Debug)]
pub(super) struct RequestClasses {
    classes: Vec<ClassStatistics>,
    ids: BTreeMap<Arc<str>, ClassId>,
    /// The fastest rejection: a request that costs an endpoint next to nothing.
    round_trip: FastestTime,
}

impl RequestClasses {
    pub(super) fn new(config: &ClientConfig) -> Self {
        RequestClasses {
            classes: Vec::new(),
            ids: BTreeMap::new(),
            round_trip: FastestTime::new(config.latency_window_ms),
        }
    }

    /// The class of that name. Those beyond the limit share the last one's statistics.
    pub(super) fn id_of(&mut self, name: &Arc<str>, config: &ClientConfig) -> ClassId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        if self.classes.len() < config.max_request_classes {
            self.classes.push(ClassStatistics {
                fastest: FastestTime::new(config.latency_window_ms),
                slow: PercentileEstimate::default(),
                throttle: Throttle::new(config),
            });
            self.ids.insert(name.clone(), ClassId(self.classes.len() - 1));
        }
        ClassId(self.classes.len() - 1)
    }

    pub(super) fn throttle_admits(&mut self, context: &mut Context, id: ClassId) -> bool {
        self.classes[id.0].throttle.admits(context.now_ms, &mut context.random)
    }

    /// A call that the throttle admitted has ended.
    pub(super) fn record_end(&mut self, now_ms: f64, id: ClassId, acceptance: Acceptance) {
        self.classes[id.0].throttle.record(now_ms, acceptance);
    }

    pub(super) fn record_success(&mut self, context: &Context, id: ClassId, took_ms: f64) {
        let class = &mut self.classes[id.0];
        class.fastest.record(context.now_ms, took_ms);
        class.slow.record(took_ms, context.config.hedge_percentile.unwrap_or(DEFAULT_PERCENTILE));
    }

    pub(super) fn record_rejection(&mut self, now_ms: f64, took_ms: f64) {
        self.round_trip.record(now_ms, took_ms);
    }

    /// The fastest recent call; 0 where there was none.
    pub(super) fn fastest_ms(&mut self, now_ms: f64, id: ClassId) -> f64 {
        self.classes[id.0].fastest.value(now_ms).unwrap_or(0.0)
    }

    pub(super) fn attempt_time(&mut self, context: &Context, id: ClassId, deadline_ms: f64) -> AttemptTime {
        let measured_ms = self.round_trip.value(context.now_ms);
        let round_trip_ms = measured_ms.unwrap_or(context.config.initial_round_trip_ms);
        let left_ms = deadline_ms - context.now_ms;
        let fastest_ms = self.fastest_ms(context.now_ms, id);
        let is_sufficient = left_ms > round_trip_ms && left_ms >= fastest_ms;
        AttemptTime { timeout_ms: left_ms - round_trip_ms, is_sufficient }
    }

    /// How long an attempt that is alone in flight is waited for before it is hedged; `None` while nothing is known.
    pub(super) fn hedge_delay_ms(&self, id: ClassId) -> Option<f64> {
        self.classes[id.0].slow.value().map(|slow_ms| slow_ms.max(MIN_HEDGE_DELAY_MS))
    }
}

#[cfg(test)]
mod tests;
