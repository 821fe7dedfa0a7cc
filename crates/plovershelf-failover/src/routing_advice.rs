//! Caller's side of the plan: chooses the zone of each call and collects the caller's reports.
//!
//! This module performs no I/O. The caller sends [`Request::Advice`](crate::Request::Advice) with the report from
//! [`RoutingAdvisor::poll_report`] to a member, passes the response to [`RoutingAdvisor::handle_status`], and repeats this every
//! [`ADVICE_INTERVAL_MS`]. It prefers members in its own zone and falls back to others if these do not respond.

use crate::caller_reports::{AttemptCounts, CallerReport};
use crate::follower::PlanFollower;
use crate::messages::Status;
use crate::traffic_plan::{priority_band, TrafficPlan, PRIORITY_BANDS};

/// Interval between two advice requests, in milliseconds.
pub const ADVICE_INTERVAL_MS: f64 = 300.0;
/// Half-life of the attempt counts, in milliseconds.
const ATTEMPTS_HALF_LIFE_MS: f64 = 1000.0;

/// Routes the calls of one origin by the plan and counts the results of attempts.
#[derive(Clone, Debug)]
pub struct RoutingAdvisor {
    origin: usize,
    follower: PlanFollower,
    attempts: Vec<AttemptCounts>,
    /// Work redirected to other zones or rejected at the origin since the last report, in core-milliseconds per priority band.
    redirected_work_ms: [f64; PRIORITY_BANDS],
    last_report_ms: f64,
    last_decay_ms: f64,
}

impl RoutingAdvisor {
    /// Creates an advisor for callers in the zone with index `origin`, of `zones` zones in total.
    pub fn new(origin: usize, zones: usize, now_ms: f64) -> Self {
        RoutingAdvisor {
            origin,
            follower: PlanFollower::new(zones),
            attempts: vec![AttemptCounts::default(); zones],
            redirected_work_ms: [0.0; PRIORITY_BANDS],
            last_report_ms: now_ms,
            last_decay_ms: now_ms,
        }
    }

    /// Returns the follower that holds the current plan.
    pub fn follower(&self) -> &PlanFollower {
        &self.follower
    }

    /// Chooses the zone of a call's first attempt, or `None` if the plan rejects the call at its origin.
    ///
    /// `draw` is a random number from 0 to 1, `work_ms` the expected work in core-milliseconds. `is_in_time` returns whether the
    /// call's deadline allows the latency to a zone.
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
            self.redirected_work_ms[priority_band(priority)] += work_ms.max(0.0);
        }
        zone
    }

    /// Chooses the zone of a retry after attempts at the zones in `tried`, or `None` if the plan has no further zone.
    pub fn choose_retry_zone(&self, now_ms: f64, priority: f64, tried: &[usize]) -> Option<usize> {
        self.follower.choose_retry_zone(now_ms, self.origin, priority, tried)
    }

    /// Records the end of an attempt. `is_answered` is true for any answer from the zone, including a rejection.
    pub fn record_attempt(&mut self, now_ms: f64, zone: usize, is_answered: bool) {
        self.decay(now_ms);
        if let Some(counts) = self.attempts.get_mut(zone) {
            counts.attempts += 1.0;
            counts.answered += f64::from(u8::from(is_answered));
        }
    }

    /// Returns the report for the next advice request and restarts the count of redirected work.
    pub fn poll_report(&mut self, now_ms: f64) -> CallerReport {
        self.decay(now_ms);
        let period_ms = (now_ms - std::mem::replace(&mut self.last_report_ms, now_ms)).max(1.0);
        let demand_elsewhere = std::mem::take(&mut self.redirected_work_ms).map(|ms| ms / period_ms);
        CallerReport { origin: self.origin, demand_elsewhere, attempts: self.attempts.clone() }
    }

    /// Handles a member's status and returns whether its plan was installed. The plan expires no later than at the member, so
    /// that no caller routes by a plan that the member has discarded.
    pub fn handle_status(&mut self, now_ms: f64, status: &Status) -> bool {
        let plan = || TrafficPlan { valid_ms: status.remaining_ms, ..status.plan.clone() };
        status.is_active && self.follower.handle_plan(now_ms, status.version, plan())
    }

    fn decay(&mut self, now_ms: f64) {
        let factor = 0.5f64.powf((now_ms - self.last_decay_ms).max(0.0) / ATTEMPTS_HALF_LIFE_MS);
        for counts in &mut self.attempts {
            counts.attempts *= factor;
            counts.answered *= factor;
        }
        self.last_decay_ms = self.last_decay_ms.max(now_ms);
    }
}

#[cfg(test)]
mod tests;
