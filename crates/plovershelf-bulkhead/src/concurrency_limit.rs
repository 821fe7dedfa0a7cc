//! An adaptive limit on work in flight.
//!
//! *Decides*: how much work of one bulkhead may be in flight.
//! *Inputs*: each end of work: when, after how many milliseconds, with how much in flight, and its outcome.
//! *Rule*: one of three [`LimitAlgorithm`]s moves the limit within its [`LimitBounds`]; failures always lower it, at most
//! once per mean duration.
//! *Why*: what a bulkhead can bear depends on what lies below it, and changes while it runs.
//! *Source*: AIMD of TCP (RFC 5681), the gradient of Netflix's concurrency limits, the delay target of CoDel (RFC 8289);
//! compared in `docs/bulkhead.md`, `cargo run --example compare`.
//! *Without it*: a dependency that gets slow fills the bulkhead with work that only waits.
//!
//! | event | AIMD | gradient | delay target |
//! | --- | --- | --- | --- |
//! | work ends, latency near the base | up by 1 per limit's worth of ends, if used | towards `limit + root`, if used | up by 1 per interval, if used |
//! | work ends, latency far above the base | down by a tenth | towards `limit * gradient + root` | down, more with each interval in a row |
//! | work fails | down by three tenths | the same | the same |
//! | latency unchanged after a cut by two fifths | the present mean becomes the base | the same | the same |

use crate::latency_baseline::LatencyBaseline;

/// The range of a limit, in work in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// The lowest limit.
    pub min: f64,
    /// The highest limit.
    pub max: f64,
}

/// How a limit adapts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAlgorithm {
    /// Additive increase, multiplicative decrease: down where the mean latency is long against the base.
    Aimd,
    /// Towards the limit times base over mean latency, and a root of the limit for growth.
    Gradient,
    /// Down, by more each time, while even the least latency of an interval exceeds the base by its target.
    DelayTarget,
}

/// How work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// It was done.
    Succeeded,
    /// It was rejected or failed below, which lowers the limit.
    Failed,
}

/// One end of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkSample {
    /// When it ended, in milliseconds.
    pub now_ms: f64,
    /// How long it took, in milliseconds.
    pub duration_ms: f64,
    /// Work in flight at its end, itself included.
    pub in_flight: usize,
    /// How it ended.
    pub outcome: WorkOutcome,
}

/// The mean is long from this many times the base on.
const LONG_LATENCY_MULTIPLE: f64 = 2.0;
/// What AIMD leaves of the limit where latency is long.
const DECREASE_FACTOR: f64 = 0.9;
/// What a failure leaves of the limit.
const FAILURE_FACTOR: f64 = 0.7;
/// A limit grows only where this fraction of it was in use.
const USED_FRACTION: f64 = 0.8;
/// The least base latency that is divided by, in milliseconds.
const MIN_BASE_MS: f64 = 0.01;
/// The lowest gradient: at most half of the limit is taken away.
const MIN_GRADIENT: f64 = 0.5;
/// Room for growth of the gradient algorithm, as a multiple of the limit's root.
const GRADIENT_GROWTH: f64 = 0.5;
/// The gradient algorithm takes this many limits' worth of ends to get where it wants to be.
const GRADIENT_SMOOTHING: f64 = 4.0;
/// Interval of the delay target, in milliseconds.
const DELAY_INTERVAL_MS: f64 = 100.0;
/// Queueing delay that an interval may have, as a multiple of the base.
const DELAY_TARGET_MULTIPLE: f64 = 1.0;
/// The first cut of the delay target, which grows with the root of the cuts in a row, and what a cut leaves at least.
const DELAY_CUT_FRACTION: f64 = 0.1;
const DELAY_MIN_FACTOR: f64 = 0.5;
/// A limit that was cut to this fraction shows whether the cut made work quicker...
const PROBED_FRACTION: f64 = 0.6;
/// ...which it did not where the mean is still this fraction of what it was.
const NO_BETTER_FRACTION: f64 = 0.9;

/// The limit and the mean latency when a row of cuts began.
#[derive(Clone, Copy, Debug)]
struct BeforeCuts {
    limit: f64,
    mean_ms: f64,
}

/// The running interval of the delay target.
#[derive(Clone, Debug)]
struct DelayInterval {
    started_ms: f64,
    min_duration_ms: f64,
    cuts_in_a_row: u32,
}

/// One adaptive limit.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    algorithm: LimitAlgorithm,
    bounds: LimitBounds,
    limit: f64,
    baseline: LatencyBaseline,
    before_cuts: Option<BeforeCuts>,
    last_decrease_ms: f64,
    interval: DelayInterval,
}

impl ConcurrencyLimit {
    /// A limit that begins at `initial`, or at the nearest bound.
    pub fn new(algorithm: LimitAlgorithm, bounds: LimitBounds, initial: f64) -> Self {
        ConcurrencyLimit {
            algorithm,
            bounds,
            limit: initial.clamp(bounds.min, bounds.max),
            baseline: LatencyBaseline::new(),
            before_cuts: None,
            last_decrease_ms: f64::NEG_INFINITY,
            interval: DelayInterval { started_ms: 0.0, min_duration_ms: f64::INFINITY, cuts_in_a_row: 0 },
        }
    }

    /// Work that may be in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// The range of the limit.
    pub fn bounds(&self) -> LimitBounds {
        self.bounds
    }

    /// Sets new bounds, which hold at once.
    pub fn set_bounds(&mut self, bounds: LimitBounds) {
        self.bounds = bounds;
        self.limit = self.limit.clamp(bounds.min, bounds.max);
    }

    /// Learns from work that ended. A duration that is no finite time from 0 on is left out.
    pub fn record(&mut self, sample: WorkSample) {
        let WorkSample { now_ms, duration_ms, in_flight, outcome } = sample;
        if !(duration_ms.is_finite() && duration_ms >= 0.0) {
            return;
        }
        if outcome == WorkOutcome::Failed {
            self.decrease(now_ms, FAILURE_FACTOR);
            return;
        }
        let mean_ms = self.baseline.record(duration_ms, in_flight, self.limit);
        let base_ms = self.baseline.base_ms().max(MIN_BASE_MS);
        self.check_cuts(mean_ms);
        let is_used = in_flight as f64 >= USED_FRACTION * self.limit;
        match self.algorithm {
            LimitAlgorithm::Aimd => self.adapt_aimd(now_ms, mean_ms, base_ms, is_used),
            LimitAlgorithm::Gradient => self.adapt_gradient(mean_ms, base_ms, is_used),
            LimitAlgorithm::DelayTarget => {
                self.interval.min_duration_ms = self.interval.min_duration_ms.min(duration_ms);
                if now_ms - self.interval.started_ms >= DELAY_INTERVAL_MS {
                    self.end_interval(now_ms, mean_ms, base_ms, is_used);
                }
            }
        }
    }

    fn adapt_aimd(&mut self, now_ms: f64, mean_ms: f64, base_ms: f64, is_used: bool) {
        if mean_ms > LONG_LATENCY_MULTIPLE * base_ms {
            self.decrease(now_ms, DECREASE_FACTOR);
        } else if is_used {
            self.increase(1.0 / self.limit);
        }
    }

    fn adapt_gradient(&mut self, mean_ms: f64, base_ms: f64, is_used: bool) {
        let gradient = (LONG_LATENCY_MULTIPLE * base_ms / mean_ms).clamp(MIN_GRADIENT, 1.0);
        let wanted = self.limit * gradient + self.limit.sqrt() * GRADIENT_GROWTH;
        let next = self.limit + (wanted - self.limit) / (GRADIENT_SMOOTHING * self.limit.max(1.0));
        if next < self.limit {
            self.note_cut(mean_ms);
            self.set(next);
        } else if is_used {
            self.increase(next - self.limit);
        }
    }

    fn end_interval(&mut self, now_ms: f64, mean_ms: f64, base_ms: f64, is_used: bool) {
        let delay_ms = self.interval.min_duration_ms - base_ms;
        (self.interval.started_ms, self.interval.min_duration_ms) = (now_ms, f64::INFINITY);
        if delay_ms > DELAY_TARGET_MULTIPLE * base_ms {
            self.interval.cuts_in_a_row += 1;
            self.note_cut(mean_ms);
            let cuts = f64::from(self.interval.cuts_in_a_row);
            self.set(self.limit * (1.0 - DELAY_CUT_FRACTION * cuts.sqrt()).max(DELAY_MIN_FACTOR));
        } else {
            self.interval.cuts_in_a_row = 0;
            if is_used {
                self.increase(1.0);
            }
        }
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(self.bounds.min, self.bounds.max);
    }

    fn increase(&mut self, by: f64) {
        self.before_cuts = None;
        self.set(self.limit + by);
    }

    /// Lowers the limit once for what is in flight, not once for each end of it.
    fn decrease(&mut self, now_ms: f64, factor: f64) {
        let mean_ms = self.baseline.mean_ms().unwrap_or(0.0);
        if now_ms - self.last_decrease_ms >= mean_ms {
            self.last_decrease_ms = now_ms;
            self.note_cut(mean_ms);
            self.set(self.limit * factor);
        }
    }

    fn note_cut(&mut self, mean_ms: f64) {
        self.before_cuts = self.before_cuts.or(Some(BeforeCuts { limit: self.limit, mean_ms }));
    }

    /// Guards against a dependency, or cores, that are slow by themselves: their latency looks like queueing, and cuts
    /// would starve the bulkhead for good. It shows where much less in flight takes as long as before; what work takes
    /// now is the base then, so that latency counts as short again.
    fn check_cuts(&mut self, mean_ms: f64) {
        let Some(before) = self.before_cuts else { return };
        if self.limit <= PROBED_FRACTION * before.limit || self.limit <= self.bounds.min {
            self.before_cuts = None;
            if mean_ms >= NO_BETTER_FRACTION * before.mean_ms {
                self.baseline.reset_to_mean();
            }
        }
    }
}

#[cfg(test)]
mod tests;
