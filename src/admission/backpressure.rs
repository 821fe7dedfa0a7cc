//! Backpressure signals sent to clients.
//!
//! *Decides*: the Retry-After of a rejection, whether the client may retry on another server at once, and the
//! announced backpressure level.
//! *Inputs*: admitted fraction, unread time (ms), health, the concurrency limit (executions), number of
//! clients, longest Retry-After that clients follow (ms).
//! *Rule*: Retry-After grows with the shed fraction up to [`HARD_LIMIT_RETRY_AFTER_MS`], plus the unread time.
//! An unhealthy server redirects every rejected request; a healthy one redirects only requests of shedding
//! levels that were recently admitted for the most part. Depending on how clients interpret the backpressure
//! level, it is a minimum priority, a number of requests per client or a fraction of the client's usual rate.
//! A new backpressure level is announced when it has changed by more than [`LEVEL_STEP`].
//! *Why*: each attempt elsewhere costs a read and often a connection, and all servers of a fleet shed similar
//! fractions. On a warm server the number per client is at least one, because a smaller number drives clients
//! to servers that announce nothing; a cold server cannot take one request from each of many clients. Not all
//! clients obey a minimum priority, so the announced one covers [`MINIMUM_PRIORITY_REACH`] times the shed
//! fraction of a rank.
//! *Source*: RFC 9110, section 10.2.3, for Retry-After; CRE life lessons, "Using load shedding to survive a
//! success disaster"; `docs/design.md`, "What the design leaves open, and what was chosen"
//! (Retry-After, the advised level) and "Cold, as a sum".
//! *Without it*: rejected requests are retried at once, and the rejections themselves saturate the cores. The
//! rule is harmful where only this server lacks capacity and others have some to spare.

use crate::admission::priority::Priority;
use crate::api::{BackendConfig, BackpressureSignal, Completion};

/// Retry-After at the hard limit, in milliseconds.
pub(super) const HARD_LIMIT_RETRY_AFTER_MS: f64 = 300.0;
/// A rejected request may be retried elsewhere when more than this fraction of its shedding level was recently
/// admitted.
const MIN_ADMITTED_FRACTION_TO_RETRY_ELSEWHERE: f64 = 0.8;
/// Change of the backpressure level above which it is announced again; for a number of requests below one, the
/// change relative to that number.
const LEVEL_STEP: f64 = 0.02;
/// Multiple of the shed fraction of a rank that the announced minimum priority covers.
const MINIMUM_PRIORITY_REACH: f64 = 1.5;
/// Smallest announced fraction of a client's usual rate.
const MIN_RATE_FRACTION: f64 = 0.1;
/// Value of `announced_level` before the first announcement.
const NOT_ANNOUNCED: f64 = -1.0;

/// Inputs from which the backpressure level is computed.
#[derive(Clone, Copy, Debug)]
pub(super) struct LevelInputs {
    pub(super) is_unhealthy: bool,
    /// Fraction of arrivals that was recently admitted.
    pub(super) admitted_fraction: f64,
    /// Fraction of full speed that the cores are certain to have reached.
    pub(super) speed_fraction: f64,
    /// Number of executions at the hard limit.
    pub(super) max_running: f64,
}

/// Priority of a class and the fraction of its ordinary arrivals that is shed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShedClass {
    pub(super) priority: Priority,
    pub(super) shed_fraction: f64,
}

/// Interpretation of the backpressure level by the clients, and the backpressure level announced last.
pub(super) struct Backpressure {
    signal: BackpressureSignal,
    max_retry_after_ms: f64,
    client_count: f64,
    announced_level: f64,
}

/// Returns the Retry-After of a request that is rejected at this admitted fraction.
pub(super) fn retry_after_ms(admitted_fraction: f64, unread_ms: f64) -> f64 {
    HARD_LIMIT_RETRY_AFTER_MS * (1.0 - admitted_fraction) + unread_ms
}

impl Backpressure {
    pub(super) fn new(config: &BackendConfig) -> Self {
        Backpressure {
            signal: config.backpressure,
            max_retry_after_ms: config.max_retry_after_ms,
            client_count: config.client_count,
            announced_level: NOT_ANNOUNCED,
        }
    }

    /// Returns the longest Retry-After that clients follow.
    pub(super) fn max_retry_after_ms(&self) -> f64 {
        self.max_retry_after_ms
    }

    /// Returns the response to a rejected request. `recent_level_admitted_fraction` is the recently admitted
    /// fraction of the request's shedding level, or `None` if load was not the reason of the rejection.
    pub(super) fn rejection(
        &self,
        retry_after_ms: f64,
        is_unhealthy: bool,
        recent_level_admitted_fraction: Option<f64>,
    ) -> Completion {
        if is_unhealthy {
            return Completion::Rejected { retry_after_ms: self.max_retry_after_ms, retry_elsewhere: true };
        }
        Completion::Rejected {
            retry_after_ms: retry_after_ms.min(self.max_retry_after_ms),
            retry_elsewhere: recent_level_admitted_fraction
                .is_some_and(|fraction| fraction > MIN_ADMITTED_FRACTION_TO_RETRY_ELSEWHERE),
        }
    }

    /// Returns the backpressure level to announce, if it has changed enough.
    pub(super) fn update(
        &mut self,
        inputs: &LevelInputs,
        classes: impl Iterator<Item = ShedClass>,
    ) -> Option<f64> {
        let level = self.level(inputs, classes)?;
        // A number below one is a fraction of a request per client: with many clients, steps of `LEVEL_STEP`
        // would be too coarse for such small numbers.
        let step = match self.signal {
            BackpressureSignal::ConcurrencyPerClient => {
                LEVEL_STEP * self.announced_level.clamp(LEVEL_STEP, 1.0)
            }
            _ => LEVEL_STEP,
        };
        let has_changed = (level - self.announced_level).abs() > step;
        if has_changed {
            self.announced_level = level;
        }
        has_changed.then_some(level)
    }

    fn level(&self, inputs: &LevelInputs, classes: impl Iterator<Item = ShedClass>) -> Option<f64> {
        Some(match self.signal {
            BackpressureSignal::None => return None,
            BackpressureSignal::MinimumPriority if inputs.is_unhealthy => 1.0,
            _ if inputs.is_unhealthy => 0.0,
            BackpressureSignal::MinimumPriority => minimum_priority(classes),
            BackpressureSignal::ConcurrencyPerClient => {
                let is_warming_up = inputs.speed_fraction < 1.0;
                let per_client = inputs.max_running / self.client_count;
                per_client.max(if is_warming_up { 0.0 } else { 1.0 })
            }
            BackpressureSignal::RateFraction => {
                inputs.admitted_fraction.min(inputs.speed_fraction).max(MIN_RATE_FRACTION)
            }
        })
    }
}

fn minimum_priority(classes: impl Iterator<Item = ShedClass>) -> f64 {
    let shed = classes.filter(|class| class.shed_fraction > 0.0);
    let covered_priority = |class: ShedClass| {
        let ShedClass { priority: Priority { quantile_from, quantile_to, .. }, shed_fraction } = class;
        let covered = (MINIMUM_PRIORITY_REACH * shed_fraction).min(1.0) * (quantile_to - quantile_from);
        quantile_from + covered
    };
    shed.map(covered_priority).fold(0.0, f64::max)
}

#[cfg(test)]
mod tests;
