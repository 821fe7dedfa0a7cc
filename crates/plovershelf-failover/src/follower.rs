//! Routing by the plan: by the newest one while it is confirmed, and all near after that.
//!
//! *Decides*: the zone of a call, first and on retry.
//! *Inputs*: plans under versions, the call's origin and priority, a draw.
//! *Rule*: a plan of an older version is refused; one that is not confirmed within its validity expires.
//! *Why*: static stability: nothing of failover needs the part that failed.
//! *Without it*: callers cut off from the cluster act by an old plan for good.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | all near | a valid plan of a newer version | by that plan |
//! | by a plan | a valid plan of a newer version | by that plan |
//! | by a plan | nothing for its validity | all near |

use crate::broken::{self, BrokenRule};
use crate::traffic_plan::{priority_band, TrafficPlan};

/// The plan that a member or caller acts by.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanFollower {
    zones: usize,
    plan: TrafficPlan,
    /// The newest version that was ever taken over; older ones are refused also after the plan has expired.
    version: u64,
    expires_ms: f64,
}

impl PlanFollower {
    /// All near, for so many zones.
    pub fn new(zones: usize) -> Self {
        PlanFollower { zones, plan: TrafficPlan::all_near(zones), version: 0, expires_ms: f64::NEG_INFINITY }
    }

    /// Takes a committed plan under its version; returns whether it is acted by from now on.
    ///
    /// Guards against messages that come late or twice: an older plan after a newer one would send traffic into a zone that
    /// has been left since. Versions only grow, so comparing them fences older plans off.
    pub fn handle_plan(&mut self, now_ms: f64, version: u64, plan: TrafficPlan) -> bool {
        let is_newer = version > self.version || broken::is(BrokenRule::PlanWithoutFence);
        if !is_newer || !plan.is_valid(self.zones) {
            return false;
        }
        (self.version, self.expires_ms, self.plan) = (version, now_ms + plan.valid_ms, plan);
        true
    }

    /// The newest version taken over.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The revision of the plan that is acted by; 0 for the safe default.
    pub fn revision(&self, now_ms: f64) -> u64 {
        self.active_plan(now_ms).map_or(0, |plan| plan.revision)
    }

    /// The plan that is acted by, where there is one.
    pub fn active_plan(&self, now_ms: f64) -> Option<&TrafficPlan> {
        let is_valid = now_ms < self.expires_ms || broken::is(BrokenRule::PlanWithoutFence);
        (self.version > 0 && is_valid).then_some(&self.plan)
    }

    /// When the plan expires unless it is confirmed.
    pub fn expires_ms(&self) -> f64 {
        self.expires_ms
    }

    /// The zone of an origin's call, by a draw from 0 to 1; `None` where it is rejected at the origin. `is_in_time` says
    /// whether the call's deadline allows the path to a zone.
    pub fn choose_zone(
        &self,
        now_ms: f64,
        origin: usize,
        priority: f64,
        draw: f64,
        is_in_time: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let Some(plan) = self.active_plan(now_ms) else { return Some(origin) };
        let band = priority_band(priority);
        let mut cumulative = 0.0;
        let chosen = (0..self.zones).find(|to| {
            cumulative += plan.share(origin, band, *to);
            draw < cumulative
        })?;
        if chosen == origin || is_in_time(chosen) {
            Some(chosen)
        } else {
            (plan.share(origin, band, origin) > 0.0).then_some(origin)
        }
    }

    /// The zone of a retry: the one with the next largest share, never one that the plan sends nothing of this origin to.
    pub fn choose_retry_zone(
        &self,
        now_ms: f64,
        origin: usize,
        priority: f64,
        tried: &[usize],
    ) -> Option<usize> {
        let Some(plan) = self.active_plan(now_ms) else {
            return (!tried.contains(&origin)).then_some(origin);
        };
        let share = |to: usize| plan.share(origin, priority_band(priority), to);
        let open = (0..self.zones).filter(|to| !tried.contains(to) && share(*to) > 0.0);
        open.max_by(|a, b| share(*a).total_cmp(&share(*b)))
    }
}
