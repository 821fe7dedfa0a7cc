//! Backpressure: what clients are told to do.
//!
//! *Decides*: the Retry-After of a rejection, whether another server may help, and the advised level.
//! *Inputs*: admitted fraction, unread time (ms), health, the concurrency limit (executions), number of
//! clients, longest Retry-After that clients heed (ms).
//! *Rule*: Retry-After grows with the shed fraction to [`HARD_LIMIT_RETRY_AFTER_MS`], plus the unread time.
//! Only an unhealthy server sends all on, others what their shedding of late mostly keeps. The level is a
//! minimum priority, a number of requests for each client or a fraction of its usual rate, as clients take
//! it; it is announced when it moved by [`LEVEL_STEP`].
//! *Why*: each attempt elsewhere costs a read and often a connection, and servers alike shed alike. The
//! number for each client is one at least on a warm server, as less drives clients to servers that announce
//! nothing; a cold one does not bear that from many clients. Not all clients heed a minimum priority, so it
//! reaches further than the cut.
//! *Source*: RFC 9110, section 10.2.3, for Retry-After; CRE life lessons, "Using load shedding to survive a
//! success disaster"; `docs/design.md`, "What the design leaves open, and what was chosen"
//! (Retry-After, the advised level) and "Cold, as a sum".
//! *Without it*: rejected requests come back at once, and the rejections themselves fill the cores. It does
//! harm where this server alone is short and others have capacity.

use crate::admission::priority::Priority;
use crate::api::{BackendConfig, BackpressureSignal, Completion};

/// Retry-After at the hard limit.
pub(super) const HARD_LIMIT_RETRY_AFTER_MS: f64 = 300.0;
/// A rejected request is sent on when more than this part of its level was kept of late.
const MIN_KEPT_FRACTION_ELSEWHERE: f64 = 0.8;
/// The level is announced anew when it moves by this much; a number under one, by this part of it.
const LEVEL_STEP: f64 = 0.02;
/// How far a minimum priority reaches into a rank, as multiple of the part of it that is shed.
const MINIMUM_PRIORITY_REACH: f64 = 1.5;
/// Least fraction of the usual rate.
const MIN_RATE_FRACTION: f64 = 0.1;
/// No level was announced.
const NOT_ANNOUNCED: f64 = -1.0;

/// What the level follows from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conditions {
    pub(super) is_unhealthy: bool,
    /// Fraction of arrivals admitted of late.
    pub(super) admitted_fraction: f64,
    /// Part of full speed that the cores have for certain.
    pub(super) speed_fraction: f64,
    /// Executions at the hard limit.
    pub(super) max_running: f64,
}

/// A class's priority and the part of its ordinary arrivals that is shed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShedClass {
    pub(super) priority: Priority,
    pub(super) shed_fraction: f64,
}

/// How clients take the level, and the last one announced.
pub(super) struct Backpressure {
    signal: BackpressureSignal,
    max_retry_after_ms: f64,
    client_count: f64,
    announced_level: f64,
}

/// Retry-After of a request that is rejected at this admitted fraction.
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

    /// Longest Retry-After that clients heed.
    pub(super) fn max_retry_after_ms(&self) -> f64 {
        self.max_retry_after_ms
    }

    /// The answer to a rejected request, of whose level the given part was kept of late where it was shed for
    /// load.
    pub(super) fn rejection(
        &self,
        retry_after_ms: f64,
        is_unhealthy: bool,
        recently_kept_fraction: Option<f64>,
    ) -> Completion {
        if is_unhealthy {
            return Completion::Rejected { retry_after_ms: self.max_retry_after_ms, retry_elsewhere: true };
        }
        Completion::Rejected {
            retry_after_ms: retry_after_ms.min(self.max_retry_after_ms),
            retry_elsewhere: recently_kept_fraction.is_some_and(|kept| kept > MIN_KEPT_FRACTION_ELSEWHERE),
        }
    }

    /// The level to announce, where it moved.
    pub(super) fn update(
        &mut self,
        conditions: &Conditions,
        classes: impl Iterator<Item = ShedClass>,
    ) -> Option<f64> {
        let level = self.level(conditions, classes)?;
        // A number under one is a fraction of a request each: many clients have little each.
        let step = match self.signal {
            BackpressureSignal::ConcurrencyPerClient => {
                LEVEL_STEP * self.announced_level.clamp(LEVEL_STEP, 1.0)
            }
            _ => LEVEL_STEP,
        };
        let moved = (level - self.announced_level).abs() > step;
        if moved {
            self.announced_level = level;
        }
        moved.then_some(level)
    }

    fn level(&self, conditions: &Conditions, classes: impl Iterator<Item = ShedClass>) -> Option<f64> {
        Some(match self.signal {
            BackpressureSignal::None => return None,
            BackpressureSignal::MinimumPriority if conditions.is_unhealthy => 1.0,
            _ if conditions.is_unhealthy => 0.0,
            BackpressureSignal::MinimumPriority => minimum_priority(classes),
            BackpressureSignal::ConcurrencyPerClient => {
                let is_warming_up = conditions.speed_fraction < 1.0;
                let each = conditions.max_running / self.client_count;
                each.max(if is_warming_up { 0.0 } else { 1.0 })
            }
            BackpressureSignal::RateFraction => {
                conditions.admitted_fraction.min(conditions.speed_fraction).max(MIN_RATE_FRACTION)
            }
        })
    }
}

fn minimum_priority(classes: impl Iterator<Item = ShedClass>) -> f64 {
    let shed = classes.filter(|class| class.shed_fraction > 0.0);
    let reach = |class: ShedClass| {
        let ShedClass { priority: Priority { quantile_from, quantile_to, .. }, shed_fraction } = class;
        let into = (MINIMUM_PRIORITY_REACH * shed_fraction).min(1.0) * (quantile_to - quantile_from);
        quantile_from + into
    };
    shed.map(reach).fold(0.0, f64::max)
}

#[cfg(test)]
mod tests;
