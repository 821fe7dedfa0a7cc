//! A caller's side: the zone of each call, and what the caller reports to the members that it asks for the plan.
//!
//! Nothing is opened here: the caller asks a member ([`Request::Advice`](crate::Request::Advice) with
//! [`RoutingAdvisor::poll_report`]), passes the answer to [`RoutingAdvisor::handle_status`], and asks again after
//! [`ADVICE_INTERVAL_MS`], near members first and any other when these do not answer.

use crate::caller_reports::{AttemptCounts, CallerReport};
use crate::follower::PlanFollower;
use crate::messages::Status;
use crate::traffic_plan::{priority_band, TrafficPlan, PRIORITY_BANDS};

/// Between two requests for advice, in milliseconds.
pub const ADVICE_INTERVAL_MS: f64 = 300.0;
/// Half-life of the counts of attempts, in milliseconds.
const ATTEMPTS_HALF_LIFE_MS: f64 = 1000.0;

/// Routes one origin's calls by the plan, and counts what it sees.
#[derive(Clone, Debug)]
pub struct RoutingAdvisor {
    origin: usize,
    follower: PlanFollower,
    attempts: Vec<AttemptCounts>,
    /// Work sent elsewhere or rejected since the last report, in core-milliseconds by band.
    work_elsewhere_ms: [f64; PRIORITY_BANDS],
    last_report_ms: f64,
    last_decay_ms: f64,
}

impl RoutingAdvisor {
    /// For callers in the zone of that index.
    pub fn new(origin: usize, zones: usize, now_ms: f64) -> Self {
        RoutingAdvisor {
            origin,
            follower: PlanFollower::new(zones),
            attempts: vec![AttemptCounts::default(); zones],
            work_elsewhere_ms: [0.0; PRIORITY_BANDS],
            last_report_ms: now_ms,
            last_decay_ms: now_ms,
        }
    }

    /// The plan that is acted by.
    pub fn follower(&self) -> &PlanFollower {
        &self.follower
    }

    /// The zone of a call's first attempt, by a draw from 0 to 1; `None` where it is rejected at the origin. `work_ms` is what
    /// it takes of a core; `is_in_time` says whether its deadline allows the path to a zone.
    pub fn choose_zone(
        &mut self,
        now_ms: f64,
        priority: f64,
        work_ms: f64,
        draw: f64,
        is_in_time: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let zone = self.follower.choose_zone(now_ms, self.origin, priority, draw, is_in_time);
        if zone != Some(self.origin) {
            self.work_elsewhere_ms[priority_band(priority)] += work_ms.max(0.0);
        }
        zone
    }

    /// The zone of a retry after attempts at these zones; `None` where the plan sends nothing of it any further.
    pub fn choose_retry_zone(&self, now_ms: f64, priority: f64, tried: &[usize]) -> Option<usize> {
        self.follower.choose_retry_zone(now_ms, self.origin, priority, tried)
    }

    /// An attempt ended: whether the zone answered at all, also where it rejected.
    pub fn record_attempt(&mut self, now_ms: f64, zone: usize, is_answered: bool) {
        self.decay(now_ms);
        if let Some(counts) = self.attempts.get_mut(zone) {
            counts.attempts += 1.0;
            counts.answered += f64::from(u8::from(is_answered));
        }
    }

    /// The report for the member that is asked next. Work sent elsewhere is counted anew from here.
    pub fn poll_report(&mut self, now_ms: f64) -> CallerReport {
        self.decay(now_ms);
        let period_ms = (now_ms - std::mem::replace(&mut self.last_report_ms, now_ms)).max(1.0);
        let demand_elsewhere = std::mem::take(&mut self.work_elsewhere_ms).map(|ms| ms / period_ms);
        CallerReport { origin: self.origin, demand_elsewhere, attempts: self.attempts.clone() }
    }

    /// A member's answer; returns whether its plan is acted by from now on. It holds no longer than it does at the member, so
    /// that nobody acts by a plan that the member itself has dropped.
    pub fn handle_status(&mut self, now_ms: f64, status: &Status) -> bool {
        let plan = || TrafficPlan { valid_ms: status.remaining_ms, ..status.plan.clone() };
        status.is_active && self.follower.handle_plan(now_ms, status.version, plan())
    }

    fn decay(&mut self, now_ms: f64) {
        let part = 0.5f64.powf((now_ms - self.last_decay_ms).max(0.0) / ATTEMPTS_HALF_LIFE_MS);
        for counts in &mut self.attempts {
            counts.attempts *= part;
            counts.answered *= part;
        }
        self.last_decay_ms = self.last_decay_ms.max(now_ms);
    }
}

#[cfg(test)]
mod tests;
