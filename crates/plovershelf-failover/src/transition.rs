//! One step from the plan in force to the one wanted.
//!
//! *Decides*: the shares of the next revision.
//! *Inputs*: the plan in force, the plan wanted, each zone's usable capacity and demand.
//! *Rule*: a zone that carries nothing is left at once; others are left, and returned to, by a bounded step. In no step is a
//! zone asked for more than it may carry: what is above that is rejected at its origin, the lowest priorities first.
//! *Why*: caches and connections warm up as traffic comes, and measurements follow only after it.
//! *Without it*: all traffic of a zone moves at once on one measurement.

use crate::broken::{self, BrokenRule};
use crate::planner::PlannerConfig;
use crate::traffic_plan::{TrafficPlan, PRIORITY_BANDS};
use crate::zone_capacity::ZoneCapacity;

/// A near share that lacks less than this is all.
const SHARE_TOLERANCE: f64 = 1e-9;
/// Demand, in cores, below which a zone is not asked beyond its capacity, or nothing comes to it.
const EXCESS_TOLERANCE: f64 = 1e-9;
const MIN_INCOMING: f64 = 1e-12;

/// From the plan in force, given the state of the zones.
pub(crate) struct Transition<'a> {
    pub(crate) current: &'a TrafficPlan,
    pub(crate) zones: &'a [ZoneCapacity],
    pub(crate) config: &'a PlannerConfig,
}

impl Transition<'_> {
    /// The next plan on the way to the one wanted.
    pub(crate) fn step(&self, wanted: &TrafficPlan) -> TrafficPlan {
        let count = self.zones.len();
        let mut next = wanted.clone();
        for row in 0..count * PRIORITY_BANDS {
            let zone = row / PRIORITY_BANDS;
            let (current_near, wanted_near) = (self.current.shares[row][zone], wanted.shares[row][zone]);
            let near = self.step_near(zone, current_near, wanted_near);
            // What is not near goes where it is wanted; on the way back, where it went before.
            let (plan, elsewhere) = if wanted_near < 1.0 - SHARE_TOLERANCE {
                (wanted, 1.0 - wanted_near)
            } else {
                (self.current, 1.0 - current_near)
            };
            for to in 0..=count {
                let share = plan.shares[row][to];
                next.shares[row][to] = match to == zone {
                    true => near,
                    false if elsewhere > SHARE_TOLERANCE => share * (1.0 - near) / elsewhere,
                    false => 0.0,
                };
            }
        }
        for to in 0..count {
            self.limit_incoming(&mut next, wanted, to);
        }
        next
    }

    fn step_near(&self, zone: usize, current: f64, wanted: f64) -> f64 {
        let is_lost = self.zones[zone].is_lost(self.config);
        if wanted >= current {
            if broken::is(BrokenRule::NoHysteresis) {
                wanted
            } else {
                wanted.min(current + self.config.return_step)
            }
        } else if is_lost {
            wanted
        } else {
            wanted.max(current - self.config.leave_step)
        }
    }

    fn demand(&self, row: usize) -> f64 {
        self.zones[row / PRIORITY_BANDS].demand()[row % PRIORITY_BANDS]
    }

    /// Rows of other zones' traffic.
    fn incoming_rows(&self, to: usize) -> impl Iterator<Item = usize> {
        (0..self.zones.len() * PRIORITY_BANDS).filter(move |row| row / PRIORITY_BANDS != to)
    }

    fn incoming(&self, plan: &TrafficPlan, to: usize) -> f64 {
        self.incoming_rows(to).map(|row| self.demand(row) * plan.shares[row][to]).sum()
    }

    /// Rejects at the origins what comes to a zone beyond its capacity.
    fn limit_incoming(&self, next: &mut TrafficPlan, wanted: &TrafficPlan, to: usize) {
        let count = self.zones.len();
        let near: f64 = (0..PRIORITY_BANDS)
            .map(|band| self.demand(to * PRIORITY_BANDS + band) * next.share(to, band, to))
            .sum();
        let left = self.zones[to].usable() * self.config.fill_fraction - near;
        let left = left.max(self.incoming(wanted, to)).max(0.0);
        let left = if next.is_excluded[to] { 0.0 } else { left };
        let mut excess = self.incoming(next, to) - left;
        if excess <= EXCESS_TOLERANCE || broken::is(BrokenRule::NoHeadroom) {
            return;
        }
        for band in 0..PRIORITY_BANDS {
            let rows = || self.incoming_rows(to).filter(|row| row % PRIORITY_BANDS == band);
            let incoming: f64 = rows().map(|row| self.demand(row) * next.shares[row][to]).sum();
            let part = if incoming > MIN_INCOMING {
                (excess / incoming).clamp(0.0, 1.0)
            } else {
                f64::from(u8::from(left <= 0.0))
            };
            for row in rows() {
                let rejected = next.shares[row][to] * part;
                next.shares[row][to] -= rejected;
                next.shares[row][count] += rejected;
            }
            excess -= incoming * part;
        }
    }
}

#[cfg(test)]
mod tests;
