//! Usable capacity of a zone, with flap damping.
//!
//! *Decides*: the usable capacity of one zone.
//! *Inputs*: the zone's measured load, in cores, once per period.
//! *Rule*: a drop of the measured capacity takes effect immediately. An increase takes effect in steps, and only after the zone
//! has been stable for a wait time, which doubles with each drop soon after the previous one.
//! *Why*: returning traffic as soon as a zone recovers would move it back and forth with a flapping zone (flap damping).
//! *Without it*: a zone that repeatedly fails and recovers moves its traffic each time.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | unknown | first measurement: capacity present and zone not excluded by the plan | healthy |
//! | unknown | first measurement: no capacity, or zone excluded by the plan | degraded |
//! | healthy | capacity falls below a fraction of the usable capacity | degraded |
//! | degraded | capacity increased for the wait time | recovering |
//! | degraded | no increase, and nearly all of the best capacity is usable | healthy |
//! | recovering | step due | recovering with one more step usable; healthy if that is all |
//! | recovering | capacity falls | degraded; the wait doubles |

use crate::broken::{self, BrokenRule};
use crate::load_reports::ZoneLoad;
use crate::planner::PlannerConfig;
use crate::traffic_plan::PRIORITY_BANDS;

/// Exponential smoothing factor, per update, with which the best capacity decays to a lower measured capacity.
const BEST_SMOOTHING: f64 = 0.002;
/// Exponential smoothing factor, per update, with which a healthy zone's usable capacity follows the measured capacity.
const HEALTHY_SMOOTHING: f64 = 0.3;
/// Increase of a degraded zone's capacity, as a fraction of its best capacity, that counts as recovery.
const RECOVERY_FRACTION: f64 = 0.1;
/// Fraction of the best capacity that must be usable for a degraded zone to become healthy without a recovery.
const HEALTHY_FRACTION: f64 = 0.95;
/// Multiplier of the smoothing factor of demand for a zone without recent reports.
const STALE_DEMAND_SMOOTHING: f64 = 0.01;
/// Difference in cores between measured and usable capacity up to which a recovery counts as complete.
const CAPACITY_TOLERANCE: f64 = 1e-9;

/// Health of a zone; the module's documentation has the transition table.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    /// No measurement yet.
    Unknown,
    Healthy,
    /// The time since which the measured capacity has exceeded the usable one, in milliseconds.
    Degraded {
        improved_since_ms: Option<f64>,
    },
    Recovering {
        next_step_ms: f64,
    },
}

/// Smoothed demand and usable capacity of a zone, in cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ZoneCapacity {
    health: Health,
    usable: f64,
    /// Highest recent capacity, of which recovery steps are fractions.
    best: f64,
    demand: [f64; PRIORITY_BANDS],
    /// Time that the capacity must stay increased before recovery starts, in milliseconds.
    recovery_wait_ms: f64,
    /// Time of the last transition to degraded, in milliseconds.
    degraded_at_ms: f64,
}

impl ZoneCapacity {
    pub(crate) fn new(config: &PlannerConfig) -> Self {
        ZoneCapacity {
            health: Health::Unknown,
            usable: 0.0,
            best: 0.0,
            demand: [0.0; PRIORITY_BANDS],
            recovery_wait_ms: config.recovery_wait_ms,
            degraded_at_ms: f64::NEG_INFINITY,
        }
    }

    /// Returns the usable capacity in cores.
    pub(crate) fn usable(&self) -> f64 {
        self.usable
    }

    /// Returns the smoothed demand in cores per priority band.
    pub(crate) fn demand(&self) -> [f64; PRIORITY_BANDS] {
        self.demand
    }

    /// Returns whether the usable capacity is so small compared to the demand that the zone counts as lost.
    pub(crate) fn is_lost(&self, config: &PlannerConfig) -> bool {
        self.usable <= config.lost_fraction * self.demand.iter().sum::<f64>()
    }

    /// Updates the smoothed demand. Without recent member reports, the previous demand decays slowly but does not fall below the
    /// demand that callers report.
    pub(crate) fn update_demand(&mut self, load: &ZoneLoad, smoothing: f64) {
        for (demand, reported) in self.demand.iter_mut().zip(load.demand) {
            if load.members > load.stale_members {
                *demand += (reported - *demand) * smoothing;
            } else {
                *demand = (*demand * (1.0 - smoothing * STALE_DEMAND_SMOOTHING)).max(reported);
            }
        }
    }

    /// Updates the usable capacity from the measured one. `is_excluded` means that the current plan excludes the zone.
    pub(crate) fn update_capacity(
        &mut self,
        now_ms: f64,
        capacity: f64,
        is_excluded: bool,
        config: &PlannerConfig,
    ) {
        if now_ms - self.degraded_at_ms > config.backoff_reset_ms {
            self.recovery_wait_ms = config.recovery_wait_ms;
        }
        self.best = if capacity >= self.best {
            capacity
        } else {
            self.best + (capacity - self.best) * BEST_SMOOTHING
        };
        if self.health == Health::Unknown {
            self.initialize(capacity, is_excluded);
        } else if broken::is(BrokenRule::NoHysteresis) {
            self.usable = capacity;
        } else if capacity < config.degraded_fraction * self.usable {
            self.degrade(now_ms, capacity, config);
        } else {
            self.adapt(now_ms, capacity, config);
        }
    }

    /// Handles the first measurement. A zone that the plan excludes must recover as after a drop; any other starts with its full
    /// capacity.
    fn initialize(&mut self, capacity: f64, is_excluded: bool) {
        let is_degraded = is_excluded || capacity <= 0.0;
        self.health =
            if is_degraded { Health::Degraded { improved_since_ms: None } } else { Health::Healthy };
        self.usable = if is_degraded { 0.0 } else { capacity };
    }

    /// Handles a drop of the capacity. The recovery wait doubles if the previous drop was recent.
    fn degrade(&mut self, now_ms: f64, capacity: f64, config: &PlannerConfig) {
        if self.health != (Health::Degraded { improved_since_ms: None }) {
            if now_ms - self.degraded_at_ms <= config.backoff_reset_ms {
                self.recovery_wait_ms = (self.recovery_wait_ms * 2.0).min(config.max_recovery_wait_ms);
            }
            self.degraded_at_ms = now_ms;
        }
        (self.usable, self.health) = (capacity, Health::Degraded { improved_since_ms: None });
    }

    fn adapt(&mut self, now_ms: f64, capacity: f64, config: &PlannerConfig) {
        match self.health {
            Health::Unknown => {}
            Health::Healthy => self.usable += (capacity - self.usable) * HEALTHY_SMOOTHING,
            Health::Degraded { improved_since_ms } => {
                self.wait_for_recovery(now_ms, capacity, improved_since_ms)
            }
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

    fn wait_for_recovery(&mut self, now_ms: f64, capacity: f64, improved_since_ms: Option<f64>) {
        let has_improved = capacity > self.usable + RECOVERY_FRACTION * self.best;
        self.health = if !has_improved {
            self.usable = self.usable.min(capacity);
            if self.usable >= HEALTHY_FRACTION * self.best {
                Health::Healthy
            } else {
                Health::Degraded { improved_since_ms: None }
            }
        } else {
            let since_ms = improved_since_ms.unwrap_or(now_ms);
            if now_ms - since_ms >= self.recovery_wait_ms {
                Health::Recovering { next_step_ms: now_ms }
            } else {
                Health::Degraded { improved_since_ms: Some(since_ms) }
            }
        };
    }
}

#[cfg(test)]
mod tests;
