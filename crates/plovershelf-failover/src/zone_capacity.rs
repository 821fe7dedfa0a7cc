//! What a zone may be asked to carry.
//!
//! *Decides*: the usable capacity of one zone.
//! *Inputs*: its measured load, in cores, at each look.
//! *Rule*: down at once as the measured capacity falls; up in steps, and only after the zone was well for a while, which
//! doubles with each further fall soon after another.
//! *Why*: traffic that returns at the first good sign makes a flapping zone flap with all its traffic (flap damping).
//! *Without it*: a zone that fails and returns in turn takes its traffic back and forth.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | healthy | capacity falls below a fraction of what is usable | degraded |
//! | degraded | well for its wait | recovering |
//! | degraded | all of its best is usable | healthy |
//! | recovering | a step is due: one more is usable; if that is all | healthy |
//! | recovering | capacity falls | degraded, and the wait doubles |

use crate::broken::{self, BrokenRule};
use crate::load_reports::ZoneLoad;
use crate::planner::PlannerConfig;
use crate::traffic_plan::PRIORITY_BANDS;

/// Part of the way to the measured capacity that its best, and a healthy zone's usable capacity, go at each look.
const BEST_SMOOTHING: f64 = 0.002;
const HEALTHY_SMOOTHING: f64 = 0.3;
/// A degraded zone is better where it carries this fraction of its best more: enough to be worth a return.
const BETTER_FRACTION: f64 = 0.1;
/// A degraded zone of which this fraction of its best is usable is healthy.
const HEALTHY_FRACTION: f64 = 0.95;
/// How much slower the demand of a zone that reports nothing is forgotten.
const SILENT_DEMAND_SMOOTHING: f64 = 0.01;
const CAPACITY_TOLERANCE: f64 = 1e-9;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Unknown,
    Healthy,
    Degraded { well_since_ms: Option<f64> },
    Recovering { next_step_ms: f64 },
}

/// One zone's demand and usable capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ZoneCapacity {
    health: Health,
    usable: f64,
    /// The most that it carried of late; steps are fractions of it.
    best: f64,
    demand: [f64; PRIORITY_BANDS],
    /// How long it must be well before it recovers.
    recovery_wait_ms: f64,
    fell_ms: f64,
}

impl ZoneCapacity {
    pub(crate) fn new(config: &PlannerConfig) -> Self {
        ZoneCapacity {
            health: Health::Unknown,
            usable: 0.0,
            best: 0.0,
            demand: [0.0; PRIORITY_BANDS],
            recovery_wait_ms: config.recovery_wait_ms,
            fell_ms: f64::NEG_INFINITY,
        }
    }

    /// What it may be asked to carry, in cores.
    pub(crate) fn usable(&self) -> f64 {
        self.usable
    }

    /// What its callers want, in cores by band.
    pub(crate) fn demand(&self) -> [f64; PRIORITY_BANDS] {
        self.demand
    }

    /// Whether it carries so little of its demand that it counts as nothing.
    pub(crate) fn is_lost(&self, config: &PlannerConfig) -> bool {
        self.usable <= config.lost_fraction * self.demand.iter().sum::<f64>()
    }

    /// Takes in the demand of a look. A zone that reports nothing wants what it wanted before, or what its callers send elsewhere.
    pub(crate) fn update_demand(&mut self, load: &ZoneLoad, smoothing: f64) {
        for (demand, reported) in self.demand.iter_mut().zip(load.demand) {
            if load.members > load.silent_members {
                *demand += (reported - *demand) * smoothing;
            } else {
                *demand = (*demand * (1.0 - smoothing * SILENT_DEMAND_SMOOTHING)).max(reported);
            }
        }
    }

    /// Takes in the measured capacity of a look.
    pub(crate) fn update_capacity(
        &mut self,
        now_ms: f64,
        capacity: f64,
        is_excluded: bool,
        config: &PlannerConfig,
    ) {
        if now_ms - self.fell_ms > config.forget_fall_ms {
            self.recovery_wait_ms = config.recovery_wait_ms;
        }
        self.best = if capacity >= self.best {
            capacity
        } else {
            self.best + (capacity - self.best) * BEST_SMOOTHING
        };
        if self.health == Health::Unknown {
            self.begin(capacity, is_excluded);
        } else if broken::is(BrokenRule::NoHysteresis) {
            self.usable = capacity;
        } else if capacity < config.fall_fraction * self.usable {
            self.fall(now_ms, capacity, config);
        } else {
            self.adapt(now_ms, capacity, config);
        }
    }

    /// The first look: what the plan excludes recovers as after a fall, all else is as it is.
    fn begin(&mut self, capacity: f64, is_excluded: bool) {
        let is_degraded = is_excluded || capacity <= 0.0;
        self.health = if is_degraded { Health::Degraded { well_since_ms: None } } else { Health::Healthy };
        self.usable = if is_degraded { 0.0 } else { capacity };
    }

    /// Each fall soon after another makes the wait for the next recovery longer.
    fn fall(&mut self, now_ms: f64, capacity: f64, config: &PlannerConfig) {
        if self.health != (Health::Degraded { well_since_ms: None }) {
            if now_ms - self.fell_ms <= config.forget_fall_ms {
                self.recovery_wait_ms = (self.recovery_wait_ms * 2.0).min(config.max_recovery_wait_ms);
            }
            self.fell_ms = now_ms;
        }
        (self.usable, self.health) = (capacity, Health::Degraded { well_since_ms: None });
    }

    fn adapt(&mut self, now_ms: f64, capacity: f64, config: &PlannerConfig) {
        match self.health {
            Health::Unknown => {}
            Health::Healthy => self.usable += (capacity - self.usable) * HEALTHY_SMOOTHING,
            Health::Degraded { well_since_ms } => self.wait_for_recovery(now_ms, capacity, well_since_ms),
            Health::Recovering { next_step_ms } if next_step_ms <= now_ms => {
                self.usable = capacity.min(self.usable + config.return_step * self.best.max(capacity));
                self.health = if self.usable >= capacity - CAPACITY_TOLERANCE {
                    Health::Healthy
                } else {
                    Health::Recovering { next_step_ms: now_ms + config.step_interval_ms }
                };
            }
            Health::Recovering { .. } => {}
        }
    }

    fn wait_for_recovery(&mut self, now_ms: f64, capacity: f64, well_since_ms: Option<f64>) {
        let is_better = capacity > self.usable + BETTER_FRACTION * self.best;
        self.health = if !is_better {
            self.usable = self.usable.min(capacity);
            if self.usable >= HEALTHY_FRACTION * self.best {
                Health::Healthy
            } else {
                Health::Degraded { well_since_ms: None }
            }
        } else {
            let since_ms = well_since_ms.unwrap_or(now_ms);
            if now_ms - since_ms >= self.recovery_wait_ms {
                Health::Recovering { next_step_ms: now_ms }
            } else {
                Health::Degraded { well_since_ms: Some(since_ms) }
            }
        };
    }
}

#[cfg(test)]
mod tests;
