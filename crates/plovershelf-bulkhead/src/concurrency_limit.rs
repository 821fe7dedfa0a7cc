//! Adaptive limit on work in flight.
//!
//! *Decides*: how much work of one bulkhead may be in flight.
//! *Inputs*: each end of work: its time, its duration in milliseconds, the work in flight, and its outcome.
//! *Rule*: one of three [`LimitAlgorithm`]s moves the limit within its [`LimitBounds`]; failures always lower it, at most
//! once per mean duration.
//! *Why*: the capacity of a bulkhead depends on the layers below it, and changes at run time.
//! *Source*: AIMD of TCP (RFC 5681), the gradient of Netflix's concurrency limits, the delay target of CoDel (RFC 8289);
//! compared in `docs/bulkhead.md`, `cargo run --example compare`.
//! *Without it*: a dependency that slows down fills the bulkhead with waiting work.
//!
//! | event | AIMD | gradient | delay target |
//! | --- | --- | --- | --- |
//! | work ends, latency near the base | up by 1 per limit's worth of ends, if used | towards `limit + root`, if used | up by 1 per interval, if used |
//! | work ends, latency far above the base | down by a tenth | towards `limit * gradient + root` | down, more with each consecutive interval |
//! | work fails | down by three tenths | like AIMD | like AIMD |
//! | latency unchanged after a cut by two fifths | the current mean becomes the base | like AIMD | like AIMD |

use crate::latency_baseline::LatencyBaseline;

/// Range of a limit, as numbers of units of work in flight, which need not be whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// Lower bound of the limit, in units of work in flight.
    pub min: f64,
    /// Upper bound of the limit, in units of work in flight.
    pub max: f64,
}

/// Algorithm by which a limit adapts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAlgorithm {
    /// Additive increase, multiplicative decrease: the limit falls while the mean latency is long relative to the base.
    Aimd,
    /// Moves towards the limit times base over mean latency, plus a root of the limit for growth.
    Gradient,
    /// Lowers the limit, by more each time, while even the minimum latency of an interval exceeds the base by a target.
    DelayTarget,
}

/// Outcome of a unit of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The work succeeded.
    Succeeded,
    /// The work was rejected or failed in a lower layer, which lowers the limit.
    Failed,
}

/// Measurement at the end of a unit of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkSample {
    /// Time of the end, in milliseconds.
    pub now_ms: f64,
    /// Duration, in milliseconds.
    pub duration_ms: f64,
    /// Number of units of work in flight at the end, including this one.
    pub in_flight: usize,
    /// Outcome of the unit of work.
    pub outcome: WorkOutcome,
}

/// Multiple of the base above which the mean latency is long.
const LONG_LATENCY_MULTIPLE: f64 = 2.0;
/// Factor of the limit for an AIMD decrease because of long latency.
const DECREASE_FACTOR: f64 = 0.9;
/// Factor of the limit for a decrease because of a failure.
const FAILURE_FACTOR: f64 = 0.7;
/// Fraction of the limit that must be in use for the limit to grow.
const USED_FRACTION: f64 = 0.8;
/// Minimum base latency used as a divisor, in milliseconds.
const MIN_BASE_MS: f64 = 0.01;
/// Minimum gradient: the limit loses at most half of its value.
const MIN_GRADIENT: f64 = 0.5;
/// Growth allowance of the gradient algorithm, as a multiple of the limit's square root.
const GRADIENT_GROWTH: f64 = 0.5;
/// Number of limit's worths of ends over which the gradient algorithm approaches its target.
const GRADIENT_SMOOTHING: f64 = 4.0;
/// Interval of the delay target algorithm, in milliseconds.
const DELAY_INTERVAL_MS: f64 = 100.0;
/// Queueing delay allowed in an interval, as a multiple of the base.
const DELAY_TARGET_MULTIPLE: f64 = 1.0;
/// Fraction by which the first cut of the delay target algorithm lowers the limit. For later consecutive cuts it is
/// multiplied by the square root of their number.
const DELAY_CUT_FRACTION: f64 = 0.1;
/// Lower bound of the factor by which a cut of the delay target algorithm multiplies the limit.
const DELAY_MIN_FACTOR: f64 = 0.5;
/// Fraction of the original limit at which the effect of cuts on the latency is evaluated.
const CUT_EVALUATION_FRACTION: f64 = 0.6;
/// Fraction of the original mean latency at or above which cuts have had no effect.
const NO_IMPROVEMENT_FRACTION: f64 = 0.9;

/// Limit and mean latency before a series of cuts.
#[derive(Clone, Copy, Debug)]
struct BeforeCuts {
    limit: f64,
    mean_ms: f64,
}

/// Current interval of the delay target algorithm.
#[derive(Clone, Debug)]
struct DelayInterval {
    started_ms: f64,
    min_duration_ms: f64,
    consecutive_cuts: u32,
}

/// Adaptive concurrency limit with one of three algorithms.
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
    /// Returns a limit that starts at `initial`, clamped to the bounds.
    pub fn new(algorithm: LimitAlgorithm, bounds: LimitBounds, initial: f64) -> Self {
        ConcurrencyLimit {
            algorithm,
            bounds,
            limit: initial.clamp(bounds.min, bounds.max),
            baseline: LatencyBaseline::new(),
            before_cuts: None,
            last_decrease_ms: f64::NEG_INFINITY,
            interval: DelayInterval { started_ms: 0.0, min_duration_ms: f64::INFINITY, consecutive_cuts: 0 },
        }
    }

    /// Returns the maximum number of units of work in flight, which need not be whole.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the range of the limit.
    pub fn bounds(&self) -> LimitBounds {
        self.bounds
    }

    /// Sets new bounds, which take effect at once.
    pub fn set_bounds(&mut self, bounds: LimitBounds) {
        self.bounds = bounds;
        self.limit = self.limit.clamp(bounds.min, bounds.max);
    }

    /// Adapts the limit to ended work. Samples whose duration is negative or not finite are ignored.
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
        self.evaluate_cuts(mean_ms);
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
        let target = self.limit * gradient + self.limit.sqrt() * GRADIENT_GROWTH;
        let next = self.limit + (target - self.limit) / (GRADIENT_SMOOTHING * self.limit.max(1.0));
        if next < self.limit {
            self.record_cut(mean_ms);
            self.set_limit(next);
        } else if is_used {
            self.increase(next - self.limit);
        }
    }

    fn end_interval(&mut self, now_ms: f64, mean_ms: f64, base_ms: f64, is_used: bool) {
        let delay_ms = self.interval.min_duration_ms - base_ms;
        (self.interval.started_ms, self.interval.min_duration_ms) = (now_ms, f64::INFINITY);
        if delay_ms > DELAY_TARGET_MULTIPLE * base_ms {
            self.interval.consecutive_cuts += 1;
            self.record_cut(mean_ms);
            let cuts = f64::from(self.interval.consecutive_cuts);
            self.set_limit(self.limit * (1.0 - DELAY_CUT_FRACTION * cuts.sqrt()).max(DELAY_MIN_FACTOR));
        } else {
            self.interval.consecutive_cuts = 0;
            if is_used {
                self.increase(1.0);
            }
        }
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = limit.clamp(self.bounds.min, self.bounds.max);
    }

    fn increase(&mut self, by: f64) {
        self.before_cuts = None;
        self.set_limit(self.limit + by);
    }

    /// Lowers the limit at most once per mean duration, so that work already in flight does not lower it repeatedly.
    fn decrease(&mut self, now_ms: f64, factor: f64) {
        let mean_ms = self.baseline.mean_ms().unwrap_or(0.0);
        if now_ms - self.last_decrease_ms >= mean_ms {
            self.last_decrease_ms = now_ms;
            self.record_cut(mean_ms);
            self.set_limit(self.limit * factor);
        }
    }

    fn record_cut(&mut self, mean_ms: f64) {
        self.before_cuts = self.before_cuts.or(Some(BeforeCuts { limit: self.limit, mean_ms }));
    }

    /// Guards against a dependency or cores that are slow regardless of the load: their latency looks like queueing,
    /// and cuts would starve the bulkhead permanently. If much less work in flight takes as long as before, the current
    /// mean becomes the base, so that the latency no longer counts as long.
    fn evaluate_cuts(&mut self, mean_ms: f64) {
        let Some(before) = self.before_cuts else { return };
        if self.limit <= CUT_EVALUATION_FRACTION * before.limit || self.limit <= self.bounds.min {
            self.before_cuts = None;
            if mean_ms >= NO_IMPROVEMENT_FRACTION * before.mean_ms {
                self.baseline.reset_to_mean();
            }
        }
    }
}

#[cfg(test)]
mod tests;
