//! Routing by the newest plan while it is valid, and to the caller's own zone afterwards.
//!
//! *Decides*: the zone of a call's first attempt and of its retries.
//! *Inputs*: committed plans with versions, the call's origin and priority, a random draw.
//! *Rule*: a plan of an older version is rejected; a plan that is not renewed within its validity expires.
//! *Why*: static stability: routing must not depend on the components that failed.
//! *Without it*: callers that are disconnected from the cluster follow an old plan forever.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | all near | a valid plan of a newer version | routing by that plan |
//! | routing by a plan | a valid plan of a newer version | routing by that plan |
//! | routing by a plan | no newer version within its validity | all near |

use crate::broken::{self, BrokenRule};
use crate::traffic_plan::{priority_band, TrafficPlan};

/// The plan that a member or caller routes by.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanFollower {
    zones: usize,
    plan: TrafficPlan,
    /// Newest version ever installed. Older versions are rejected even after the plan has expired.
    version: u64,
    expires_ms: f64,
}

impl PlanFollower {
    /// Creates a follower without a plan for the given number of zones; all traffic stays near.
    pub fn new(zones: usize) -> Self {
        PlanFollower { zones, plan: TrafficPlan::all_near(zones), version: 0, expires_ms: f64::NEG_INFINITY }
    }

    /// Installs a committed plan if it is valid and newer than the last one, and returns whether it was installed.
    ///
    /// Guards against delayed and duplicated messages: an older plan installed after a newer one would send traffic to a zone
    /// that has been drained since. Versions only increase, so older plans can be rejected by comparing versions.
    pub fn handle_plan(&mut self, now_ms: f64, version: u64, plan: TrafficPlan) -> bool {
        let is_newer = version > self.version || broken::is(BrokenRule::PlanWithoutFence);
        if !is_newer || !plan.is_valid(self.zones) {
            return false;
        }
        (self.version, self.expires_ms, self.plan) = (version, now_ms + plan.valid_ms, plan);
        true
    }

    /// Returns the newest installed version; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the revision of the active plan; 0 for the safe default.
    pub fn revision(&self, now_ms: f64) -> u64 {
        self.active_plan(now_ms).map_or(0, |plan| plan.revision)
    }

    /// Returns the active plan, or `None` if no plan was installed or the last one has expired.
    pub fn active_plan(&self, now_ms: f64) -> Option<&TrafficPlan> {
        let is_valid = now_ms < self.expires_ms || broken::is(BrokenRule::PlanWithoutFence);
        (self.version > 0 && is_valid).then_some(&self.plan)
    }

    /// Returns the time at which the plan expires unless it is renewed, in milliseconds.
    pub fn expires_ms(&self) -> f64 {
        self.expires_ms
    }

    /// Chooses the zone of a call's first attempt, or `None` if the plan rejects the call at its origin. `draw` is a random number
    /// from 0 to 1; `is_in_time` returns whether the call's deadline allows the latency to a zone.
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

    /// Chooses the zone of a retry: the untried zone with the largest share of the origin's band. Returns `None` if no untried
    /// zone has a share.
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
        let candidates = (0..self.zones).filter(|to| !tried.contains(to) && share(*to) > 0.0);
        candidates.max_by(|a, b| share(*a).total_cmp(&share(*b)))
    }
}
