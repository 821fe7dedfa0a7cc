//! Concurrency limits.
//!
//! *Decides*: how many executions and how many requests awaiting an outbound call this backend can take, and
//! how long an execution started now would take.
//! *Inputs*: arrivals by class, core time of ended executions (ms), time that arrivals waited unread (ms),
//! cores, the settings of slow start (ms, fraction of full speed) and of overload (multiple of the cores).
//! *Rule*: the hard limit is the concurrency at which a mean execution ends within [`OBJECTIVE_FRACTION`] of
//! its latency objective, less the time taken by reading, and at most [`HARD_LIMIT_FRACTION_OF_OVERLOAD`] of
//! the concurrency at which the cores collapse; this limit rises from cold to warm. The soft limit lies
//! [`SOFT_LIMIT_FRACTION`] of the distance from one execution per core to the hard limit.
//! *Why*: executions share the cores evenly, so with n per core each takes n times its core time: the limit
//! follows from the service time (Little's law), and a slow server gets a lower limit without a configured
//! speed. Reading shares the cores too: while arrivals wait unread, the limit falls until reading keeps up.
//! *Source*: CRE life lessons, "Using load shedding to survive a success disaster", for the two limits;
//! `docs/design.md`, "What the design leaves open", for the pace and "Cold, as a sum" for slow start.
//! *Without it*: a retry storm, a burst or slow cores admit so many requests that none ends in time. The rule
//! is harmful where arrivals wait unread although the cores are idle.

use crate::admission::statistics::{DecayedTallies, ServiceTime, Smoothed};
use crate::api::BackendConfig;

/// Fraction of the latency objective within which a mean execution ends at the hard limit.
const OBJECTIVE_FRACTION: f64 = 0.6;
/// Hard limit of a warm backend before any execution has ended, in executions per core.
const INITIAL_HARD_LIMIT: f64 = 2.5;
/// Upper bound of the hard limit, as a fraction of the concurrency at which the cores collapse.
const HARD_LIMIT_FRACTION_OF_OVERLOAD: f64 = 0.5;
/// Position of the soft limit between one execution per core and the hard limit.
const SOFT_LIMIT_FRACTION: f64 = 0.25;
/// Multiple of the unread time that is subtracted from the latency objective.
const UNREAD_MULTIPLE: f64 = 4.0;
/// Weight of one arrival in the smoothed unread time.
const UNREAD_WEIGHT: f64 = 0.1;
/// Fraction of the smoothed unread time that is retained after each period.
const UNREAD_RETAINED_PER_PERIOD: f64 = 0.97;
/// Number of executions from which on a class's service time is used.
const MIN_EXECUTIONS: f64 = 3.0;
/// Number of equal steps in which the limit rises from cold to warm.
const WARM_UP_STEPS: f64 = 8.0;
/// Upper bound of the requests awaiting a call, in requests per core.
const MAX_AWAITING_CALL_PER_CORE: f64 = 1.5;
/// Fraction of the collapse concurrency that the hard limit and all requests awaiting a call may reach
/// together.
const RETURNING_FRACTION_OF_OVERLOAD: f64 = 0.9;

/// Limits at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Limits {
    /// Executions per core above which arrivals are shed.
    pub(super) soft: f64,
    /// Executions per core at which all arrivals are shed.
    pub(super) hard: f64,
    /// Maximum number of requests that wait for an outbound call or have one in flight.
    pub(super) awaiting_call: f64,
}

/// Configured speed of the cores after a start.
struct SlowStart {
    started_ms: f64,
    is_cold: bool,
    cold_speed_fraction: f64,
    warm_up_ms: f64,
}

impl SlowStart {
    /// Returns the guaranteed fraction of full speed, which rises in [`WARM_UP_STEPS`] equal steps.
    fn speed_fraction(&self, now_ms: f64) -> f64 {
        let progress = (now_ms - self.started_ms) / self.warm_up_ms.max(1.0);
        let step = if self.is_cold { (progress * WARM_UP_STEPS).floor() / WARM_UP_STEPS } else { 1.0 };
        self.cold_speed_fraction + (1.0 - self.cold_speed_fraction) * step.min(1.0)
    }
}

/// Service times, the unread time and the limits computed from them.
pub(super) struct Concurrency {
    cores: f64,
    overload_multiple: f64,
    slow_start: SlowStart,
    latency_objectives_ms: Vec<f64>,
    service_times: Vec<ServiceTime>,
    arrivals: DecayedTallies,
    unread_ms: Smoothed,
}

impl Concurrency {
    pub(super) fn new(started_ms: f64, config: &BackendConfig) -> Self {
        Concurrency {
            cores: config.cores,
            overload_multiple: config.overload_multiple,
            slow_start: SlowStart {
                started_ms,
                is_cold: config.cold_start,
                cold_speed_fraction: config.cold_speed_fraction,
                warm_up_ms: config.warm_up_ms,
            },
            latency_objectives_ms: config.classes.iter().map(|class| class.latency_objective_ms).collect(),
            service_times: vec![ServiceTime::default(); config.classes.len()],
            arrivals: DecayedTallies::new(config.classes.len()),
            unread_ms: Smoothed::new(0.0),
        }
    }

    /// Records that a request of the class was read after it had waited unread for `unread_ms`.
    pub(super) fn record_arrival(&mut self, class: usize, unread_ms: f64, decay_factor: f64) {
        self.arrivals.decay(decay_factor);
        self.arrivals.increment(class);
        self.unread_ms.update(unread_ms, UNREAD_WEIGHT);
    }

    /// Records the core time of an ended execution. For a cancelled one it is a lower bound of the full time.
    pub(super) fn record_execution(&mut self, class: usize, core_ms: f64, work_hint_ms: Option<f64>) {
        self.service_times[class].record(core_ms, work_hint_ms);
    }

    pub(super) fn handle_period(&mut self) {
        self.unread_ms.scale(UNREAD_RETAINED_PER_PERIOD);
    }

    /// Returns the executions per core. Requests that await a call have a separate limit.
    pub(super) fn running_per_core(&self, running: usize) -> f64 {
        running as f64 / self.cores
    }

    /// Returns the number of executions at the hard limit.
    pub(super) fn max_running(&self, limits: &Limits) -> f64 {
        self.cores * limits.hard
    }

    /// Returns the smoothed time that recent arrivals waited unread.
    pub(super) fn unread_ms(&self) -> f64 {
        self.unread_ms.value()
    }

    /// Returns the decayed number of arrivals of all classes.
    pub(super) fn recent_arrivals(&self) -> f64 {
        self.arrivals.total()
    }

    /// Returns the guaranteed fraction of full speed of the cores.
    pub(super) fn speed_fraction(&self, now_ms: f64) -> f64 {
        self.slow_start.speed_fraction(now_ms)
    }

    /// Returns the executions per core at which the cores collapse.
    fn overload_limit(&self, speed_fraction: f64) -> f64 {
        1.0 + (self.overload_multiple - 1.0) * speed_fraction
    }

    pub(super) fn limits(&self, now_ms: f64) -> Limits {
        let speed_fraction = self.speed_fraction(now_ms);
        let overload_limit = self.overload_limit(speed_fraction);
        let uncapped = self.limit_for_objectives().unwrap_or(INITIAL_HARD_LIMIT * speed_fraction);
        let min = 1.0 + 1.0 / self.cores;
        let hard = uncapped.min(HARD_LIMIT_FRACTION_OF_OVERLOAD * overload_limit).max(min);
        Limits {
            soft: 1.0 + SOFT_LIMIT_FRACTION * (hard - 1.0),
            hard,
            awaiting_call: self.max_awaiting_call(overload_limit, hard),
        }
    }

    /// Returns the limit of requests awaiting a call. All of them may return to the cores at once while as many
    /// executions as the hard limit are running.
    fn max_awaiting_call(&self, overload_limit: f64, hard: f64) -> f64 {
        let remaining = RETURNING_FRACTION_OF_OVERLOAD * overload_limit - hard;
        (self.cores * remaining.min(MAX_AWAITING_CALL_PER_CORE)).max(1.0)
    }

    /// Returns the executions per core at which a mean execution still meets its latency objective, or `None`
    /// before the service time of any class is known.
    fn limit_for_objectives(&self) -> Option<f64> {
        let measured_classes = || {
            let classes = self.service_times.iter().zip(self.arrivals.as_slice());
            let classes = classes.zip(&self.latency_objectives_ms);
            classes.filter(|((time, _), _)| time.executions() >= MIN_EXECUTIONS)
        };
        let weight: f64 = measured_classes().map(|((_, arrivals), _)| arrivals).sum();
        let unread_ms = UNREAD_MULTIPLE * self.unread_ms.value();
        let limit: f64 = measured_classes()
            .map(|((time, arrivals), objective_ms)| {
                let available_ms = (objective_ms - unread_ms).max(0.0);
                arrivals * OBJECTIVE_FRACTION * available_ms * time.executions()
                    / time.total_core_ms().max(1.0)
            })
            .sum();
        (weight > 0.0).then(|| limit / weight)
    }

    /// Returns how long an execution started now would take beside those running, or 0 if that is not known.
    pub(super) fn expected_duration_ms(&self, class: usize, hint_ms: Option<f64>, running: usize) -> f64 {
        let Some(core_ms) = self.service_times[class].expected_core_ms(hint_ms) else { return 0.0 };
        core_ms * ((running as f64 + 1.0) / self.cores).max(1.0)
    }
}

#[cfg(test)]
mod tests;
