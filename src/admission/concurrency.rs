//! The concurrency limits.
//!
//! *Decides*: how many executions and how many requests awaiting an outbound call this backend bears, and how
//! long an execution begun now would take.
//! *Inputs*: arrivals by class, core time of ended executions (ms), time that arrivals lay unread (ms),
//! cores, the settings of slow start (ms, fraction of full speed) and of overload (multiple of the cores).
//! *Rule*: the hard limit is the concurrency at which a mean execution ends within [`OBJECTIVE_FRACTION`] of
//! its latency objective, less what reading takes up, and at most [`HARD_LIMIT_FRACTION_OF_OVERLOAD`] of the
//! concurrency that the cores survive; that rises from cold to warm. The soft limit lies
//! [`SOFT_LIMIT_FRACTION`] of the way from one execution a core to the hard one.
//! *Why*: executions share the cores evenly, so at n a core each takes n times its core time: the limit
//! follows from the service time (Little's law), and a slow server gets a lower one without being told its
//! speed. Reading shares the cores too: where arrivals lie unread, the limit falls until reading keeps up.
//! *Source*: CRE life lessons, "Using load shedding to survive a success disaster", for the two limits;
//! `docs/design.md`, "What the design leaves open", for the pace and "Cold, as a sum" for slow start.
//! *Without it*: a retry storm, a burst or slow cores let so many in that none ends in time. It does harm
//! where arrivals lie unread though the cores are free.

use crate::admission::statistics::{DecayedTallies, ServiceTime, Smoothed};
use crate::api::BackendConfig;

/// Part of the latency objective within which a mean execution ends at the hard limit.
const OBJECTIVE_FRACTION: f64 = 0.6;
/// Hard limit of a warm backend before any execution ended, in executions a core.
const INITIAL_HARD_LIMIT: f64 = 2.5;
/// Hard limit at most, as part of the concurrency that the cores survive.
const HARD_LIMIT_FRACTION_OF_OVERLOAD: f64 = 0.5;
/// Place of the soft limit between one execution a core and the hard limit.
const SOFT_LIMIT_FRACTION: f64 = 0.25;
/// Multiple of the unread time that comes off the latency objective.
const UNREAD_MULTIPLE: f64 = 4.0;
/// Weight of an arrival in the unread time, and what a period keeps of it.
const UNREAD_WEIGHT: f64 = 0.1;
const UNREAD_RETAINED_PER_PERIOD: f64 = 0.97;
/// Executions from which on a class's service time counts.
const MIN_EXECUTIONS: f64 = 3.0;
/// Equal steps by which the limit rises from cold to warm.
const WARM_UP_STEPS: f64 = 8.0;
/// Requests awaiting a call at most, in requests a core.
const MAX_AWAITING_CALL_PER_CORE: f64 = 1.5;
/// Part of the survivable concurrency into which all that await calls must fit beside the hard limit.
const RETURNING_FRACTION_OF_OVERLOAD: f64 = 0.9;

/// The limits as they stand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Limits {
    /// Executions a core from which on arrivals are shed.
    pub(super) soft: f64,
    /// Executions a core at which all arrivals are shed.
    pub(super) hard: f64,
    /// Requests that may want an outbound call or have one in flight.
    pub(super) awaiting_call: f64,
}

/// How the settings say that the cores speed up after a start.
struct SlowStart {
    started_ms: f64,
    is_cold: bool,
    cold_speed_fraction: f64,
    warm_up_ms: f64,
}

impl SlowStart {
    /// Part of full speed that is certain by now: rises in [`WARM_UP_STEPS`] equal steps.
    fn speed_fraction(&self, now_ms: f64) -> f64 {
        let progress = (now_ms - self.started_ms) / self.warm_up_ms.max(1.0);
        let step = if self.is_cold { (progress * WARM_UP_STEPS).floor() / WARM_UP_STEPS } else { 1.0 };
        self.cold_speed_fraction + (1.0 - self.cold_speed_fraction) * step.min(1.0)
    }
}

/// Service times, the unread time and the limits that follow from them.
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

    /// A request of a class was read that had lain unread for so long.
    pub(super) fn record_arrival(&mut self, class: usize, unread_ms: f64, decay_factor: f64) {
        self.arrivals.decay(decay_factor);
        self.arrivals.increment(class);
        self.unread_ms.update(unread_ms, UNREAD_WEIGHT);
    }

    /// An execution has ended and took so much core time. One that was given up would have taken at least so much.
    pub(super) fn record_execution(&mut self, class: usize, core_ms: f64, work_hint_ms: Option<f64>) {
        self.service_times[class].record(core_ms, work_hint_ms);
    }

    pub(super) fn handle_period(&mut self) {
        self.unread_ms.scale(UNREAD_RETAINED_PER_PERIOD);
    }

    /// Executions a core. Those that await a call have a limit of their own.
    pub(super) fn load(&self, running: usize) -> f64 {
        running as f64 / self.cores
    }

    /// Executions at the hard limit.
    pub(super) fn max_running(&self, limits: &Limits) -> f64 {
        self.cores * limits.hard
    }

    /// How long arrivals of late lay unread.
    pub(super) fn unread_ms(&self) -> f64 {
        self.unread_ms.value()
    }

    /// Decaying number of arrivals of all classes.
    pub(super) fn recent_arrivals(&self) -> f64 {
        self.arrivals.total()
    }

    /// Part of full speed that the cores have for certain.
    pub(super) fn speed_fraction(&self, now_ms: f64) -> f64 {
        self.slow_start.speed_fraction(now_ms)
    }

    /// Executions a core that the cores survive.
    fn survivable(&self, speed_fraction: f64) -> f64 {
        1.0 + (self.overload_multiple - 1.0) * speed_fraction
    }

    pub(super) fn limits(&self, now_ms: f64) -> Limits {
        let speed_fraction = self.speed_fraction(now_ms);
        let survivable = self.survivable(speed_fraction);
        let wanted = self.paced_limit().unwrap_or(INITIAL_HARD_LIMIT * speed_fraction);
        let min = 1.0 + 1.0 / self.cores;
        let hard = wanted.min(HARD_LIMIT_FRACTION_OF_OVERLOAD * survivable).max(min);
        Limits {
            soft: 1.0 + SOFT_LIMIT_FRACTION * (hard - 1.0),
            hard,
            awaiting_call: self.max_awaiting_call(survivable, hard),
        }
    }

    /// All that await a call may come back to the cores at once, beside as many executions as the hard limit.
    fn max_awaiting_call(&self, survivable: f64, hard: f64) -> f64 {
        let remaining = RETURNING_FRACTION_OF_OVERLOAD * survivable - hard;
        (self.cores * remaining.min(MAX_AWAITING_CALL_PER_CORE)).max(1.0)
    }

    /// Executions a core at which a mean execution still ends in time; unknown before a class has shown it.
    fn paced_limit(&self) -> Option<f64> {
        let known = || {
            let classes = self.service_times.iter().zip(self.arrivals.as_slice());
            let classes = classes.zip(&self.latency_objectives_ms);
            classes.filter(|((time, _), _)| time.executions() >= MIN_EXECUTIONS)
        };
        let weight: f64 = known().map(|((_, arrivals), _)| arrivals).sum();
        let unread_ms = UNREAD_MULTIPLE * self.unread_ms.value();
        let limit: f64 = known()
            .map(|((time, arrivals), objective_ms)| {
                let available_ms = (objective_ms - unread_ms).max(0.0);
                arrivals * OBJECTIVE_FRACTION * available_ms * time.executions()
                    / time.total_core_ms().max(1.0)
            })
            .sum();
        (weight > 0.0).then(|| limit / weight)
    }

    /// How long an execution begun now would take beside those that run; 0 while that is not known.
    pub(super) fn expected_duration_ms(&self, class: usize, hint_ms: Option<f64>, running: usize) -> f64 {
        let Some(core_ms) = self.service_times[class].expected_core_ms(hint_ms) else { return 0.0 };
        core_ms * ((running as f64 + 1.0) / self.cores).max(1.0)
    }
}

#[cfg(test)]
mod tests;
