//! A bounded step from the current plan to the target plan.
//!
//! *Decides*: the shares of the next revision.
//! *Inputs*: the current plan, the target plan, each zone's usable capacity and demand.
//! *Rule*: traffic leaves a lost zone in a single step. Otherwise a zone's near share changes by a bounded amount per step. No
//! step redirects more traffic to a zone than its capacity allows: the excess is rejected at its origin, lowest priority first.
//! *Why*: caches and connections need traffic to warm up, and load measurements lag behind changes of traffic.
//! *Without it*: a single measurement moves all traffic of a zone at once.

use crate::broken::{self, BrokenRule};
use crate::planner::PlannerConfig;
use crate::traffic_plan::{TrafficPlan, PRIORITY_BANDS};
use crate::zone_capacity::ZoneCapacity;

/// Tolerance when comparing near shares with 1 and redirected shares with 0.
const SHARE_TOLERANCE: f64 = 1e-9;
/// Redirected traffic in excess of a zone's spare capacity, in cores, up to which nothing is rejected.
const EXCESS_TOLERANCE: f64 = 1e-9;
/// Redirected traffic of one band to a zone, in cores, up to which it counts as zero, so that the excess is not divided by
/// it.
const INCOMING_TOLERANCE: f64 = 1e-12;

/// Computes the next step from the current plan, given the state of the zones.
pub(crate) struct Transition<'a> {
    pub(crate) current: &'a TrafficPlan,
    pub(crate) zones: &'a [ZoneCapacity],
    pub(crate) config: &'a PlannerConfig,
}

impl Transition<'_> {
    /// Returns the plan one step closer to the target plan.
    pub(crate) fn step(&self, target: &TrafficPlan) -> TrafficPlan {
        let count = self.zones.len();
        let mut next = target.clone();
        for row in 0..count * PRIORITY_BANDS {
            let zone = row / PRIORITY_BANDS;
            let (current_near, target_near) = (self.current.shares[row][zone], target.shares[row][zone]);
            let near = self.step_near(zone, current_near, target_near);
            // Traffic that is not near is distributed as in the target plan, or as in the current plan if all of it returns.
            let (plan, redirected) = if target_near < 1.0 - SHARE_TOLERANCE {
                (target, 1.0 - target_near)
            } else {
                (self.current, 1.0 - current_near)
            };
            for to in 0..=count {
                let share = plan.shares[row][to];
                next.shares[row][to] = match to == zone {
                    true => near,
                    false if redirected > SHARE_TOLERANCE => share * (1.0 - near) / redirected,
                    false => 0.0,
                };
            }
        }
        for to in 0..count {
            self.limit_incoming(&mut next, target, to);
        }
        next
    }

    /// Returns a zone's near share after one step.
    fn step_near(&self, zone: usize, current: f64, target: f64) -> f64 {
        let is_lost = self.zones[zone].is_lost(self.config);
        if target >= current {
            if broken::is(BrokenRule::NoHysteresis) {
                target
            } else {
                target.min(current + self.config.return_step)
            }
        } else if is_lost {
            target
        } else {
            target.max(current - self.config.leave_step)
        }
    }

    fn demand(&self, row: usize) -> f64 {
        self.zones[row / PRIORITY_BANDS].demand()[row % PRIORITY_BANDS]
    }

    /// Returns the rows of all zones except `to`.
    fn incoming_rows(&self, to: usize) -> impl Iterator<Item = usize> {
        (0..self.zones.len() * PRIORITY_BANDS).filter(move |row| row / PRIORITY_BANDS != to)
    }

    fn incoming(&self, plan: &TrafficPlan, to: usize) -> f64 {
        self.incoming_rows(to).map(|row| self.demand(row) * plan.shares[row][to]).sum()
    }

    /// Rejects redirected traffic at its origins as far as it exceeds a zone's capacity.
    fn limit_incoming(&self, next: &mut TrafficPlan, target: &TrafficPlan, to: usize) {
        let count = self.zones.len();
        let near: f64 = (0..PRIORITY_BANDS)
            .map(|band| self.demand(to * PRIORITY_BANDS + band) * next.share(to, band, to))
            .sum();
        let spare = self.zones[to].usable() * self.config.fill_fraction - near;
        let spare = spare.max(self.incoming(target, to)).max(0.0);
        let spare = if next.is_excluded[to] { 0.0 } else { spare };
        let mut excess = self.incoming(next, to) - spare;
        if excess <= EXCESS_TOLERANCE || broken::is(BrokenRule::NoHeadroom) {
            return;
        }
        for band in 0..PRIORITY_BANDS {
            let rows = || self.incoming_rows(to).filter(|row| row % PRIORITY_BANDS == band);
            let incoming: f64 = rows().map(|row| self.demand(row) * next.shares[row][to]).sum();
            let rejected_fraction = if incoming > INCOMING_TOLERANCE {
                (excess / incoming).clamp(0.0, 1.0)
            } else {
                f64::from(u8::from(spare <= 0.0))
            };
            for row in rows() {
                let rejected = next.shares[row][to] * rejected_fraction;
                next.shares[row][to] -= rejected;
                next.shares[row][count] += rejected;
            }
            excess -= incoming * rejected_fraction;
        }
    }
}

#[cfg(test)]
mod tests;
