//! The leader's planner: determines the next plan to commit, applies operators' overrides and computes forecasts.
//!
//! | input | when |
//! | --- | --- |
//! | [`handle_committed`](Planner::handle_committed) | a plan of this member or of a previous leader was committed |
//! | [`shift`](Planner::shift), [`end_shift`](Planner::end_shift), [`hold`](Planner::hold) | an operator requests it |
//! | [`poll_plan`](Planner::poll_plan) | once per period while this member is the leader |
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | plan committed | the target plan differs, no hold, the last change is in use everywhere, the step interval has passed | a new revision is proposed |
//! | plan committed | the renewal interval has passed | the same revision is proposed again, which renews its validity |
//!
//! A change is proposed only after all members have installed the previous one, or after the plans of those that have not
//! must have expired.

use serde::{Deserialize, Serialize};

use crate::broken::{self, BrokenRule};
use crate::load_reports::LoadReports;
use crate::locality::{locality_weighted_plan, ZoneState};
use crate::overrides::{Overrides, ShiftError};
use crate::topology::Topology;
use crate::traffic_plan::{TrafficPlan, ZonalShift};
use crate::transition::Transition;
use crate::zone_capacity::ZoneCapacity;

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerConfig {
    /// Interval between a member's reports and between the leader's evaluations, in milliseconds.
    pub period_ms: f64,
    /// Time in milliseconds after which a plan expires unless it is renewed.
    pub valid_ms: f64,
    /// Interval at which an unchanged plan is renewed, in milliseconds.
    pub renew_interval_ms: f64,
    /// Minimum interval between two changes of the plan, in milliseconds.
    pub step_interval_ms: f64,
    /// Fraction of a zone's capacity that its own traffic may use.
    pub near_fill_fraction: f64,
    /// Fraction of a zone's capacity up to which other zones' traffic may fill it, before the capacity of its largest member is
    /// subtracted.
    pub fill_fraction: f64,
    /// Maximum share of a zone's traffic that is redirected per step.
    pub leave_step: f64,
    /// Maximum share of a zone's traffic that returns per step, and fraction of its capacity that becomes usable per step.
    pub return_step: f64,
    /// A zone is degraded if its measured capacity is below this fraction of its usable capacity.
    pub degraded_fraction: f64,
    /// A zone counts as lost if its usable capacity is at most this fraction of its demand.
    pub lost_fraction: f64,
    /// Initial time that a zone's capacity must stay increased before its recovery starts, in milliseconds.
    pub recovery_wait_ms: f64,
    /// Upper bound of the recovery wait after repeated drops, in milliseconds.
    pub max_recovery_wait_ms: f64,
    /// Time after the last drop at which the recovery wait is reset, in milliseconds.
    pub backoff_reset_ms: f64,
    /// Minimum difference of a share for which the plan is changed.
    pub min_share_change: f64,
    /// Time constant of the exponential smoothing of demand, in milliseconds.
    pub smoothing_ms: f64,
    /// Maximum one-way latency of a path used for redirected traffic, in milliseconds.
    pub max_latency_ms: f64,
    /// Time for which a path that callers reported as cut is not used, in milliseconds.
    pub cut_path_retention_ms: f64,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        PlannerConfig {
            period_ms: 300.0,
            valid_ms: 4000.0,
            renew_interval_ms: 1000.0,
            step_interval_ms: 400.0,
            near_fill_fraction: 0.95,
            fill_fraction: 0.85,
            leave_step: 0.5,
            return_step: 0.2,
            degraded_fraction: 0.8,
            lost_fraction: 0.1,
            recovery_wait_ms: 8000.0,
            max_recovery_wait_ms: 48_000.0,
            backoff_reset_ms: 60_000.0,
            min_share_change: 0.04,
            smoothing_ms: 1500.0,
            max_latency_ms: 200.0,
            cut_path_retention_ms: 15_000.0,
        }
    }
}

/// An operator's request for a zonal shift.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShiftRequest {
    /// Name of the zone.
    pub zone: String,
    /// Duration of the shift in milliseconds.
    pub duration_ms: f64,
    /// Reason given by the operator.
    pub reason: String,
    /// Name of the operator.
    pub operator: String,
    /// Whether to apply the shift even if the other zones lack the capacity for it.
    pub is_forced: bool,
}

/// Forecast for one zone, in cores. Serialized as an array in field order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "[f64; 3]", from = "[f64; 3]")]
pub struct ZoneForecast {
    /// Demand of the zone's own callers.
    pub demand: f64,
    /// Load that the zone would receive, including other zones' traffic.
    pub carried: f64,
    /// Usable capacity of the zone.
    pub capacity: f64,
}

impl From<ZoneForecast> for [f64; 3] {
    fn from(forecast: ZoneForecast) -> Self {
        [forecast.demand, forecast.carried, forecast.capacity]
    }
}

impl From<[f64; 3]> for ZoneForecast {
    fn from([demand, carried, capacity]: [f64; 3]) -> Self {
        ZoneForecast { demand, carried, capacity }
    }
}

/// Forecast of a plan's effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// The forecast plan.
    pub plan: TrafficPlan,
    /// Forecasts by zone index.
    pub zones: Vec<ZoneForecast>,
    /// Fraction of all demand that would be rejected or exceed a zone's capacity.
    #[serde(rename = "cut")]
    pub rejected_fraction: f64,
}

/// Maximum increase of the rejected fraction by a shift that is not forced.
const MAX_ADDED_REJECTION: f64 = 0.01;
/// Maximum difference from the all-near plan at which a plan counts as all near.
const ALL_NEAR_TOLERANCE: f64 = 1e-9;
/// Minimum difference from the committed plan for a final change back to the all-near plan.
const MIN_DIFFERENCE: f64 = 1e-6;

/// A path (from, to) that callers reported as cut, and the time until which it is not used.
#[derive(Clone, Copy, Debug)]
struct CutPath {
    path: (usize, usize),
    until_ms: f64,
}

/// Computes the target plan on the leader and moves the committed plan towards it in steps. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Planner {
    topology: Topology,
    config: PlannerConfig,
    zones: Vec<ZoneCapacity>,
    committed: TrafficPlan,
    /// Time at which the committed revision last changed.
    changed_ms: f64,
    /// Time of the last proposal.
    proposed_ms: f64,
    /// Earliest time of the next change.
    next_step_ms: f64,
    last_update_ms: Option<f64>,
    overrides: Overrides,
    cut_paths: Vec<CutPath>,
}

impl Planner {
    /// Creates a planner whose committed plan is all near.
    pub fn new(topology: Topology, config: PlannerConfig) -> Self {
        let count = topology.len();
        Planner {
            topology,
            zones: vec![ZoneCapacity::new(&config); count],
            config,
            committed: TrafficPlan::all_near(count),
            changed_ms: f64::NEG_INFINITY,
            proposed_ms: f64::NEG_INFINITY,
            next_step_ms: f64::NEG_INFINITY,
            last_update_ms: None,
            overrides: Overrides::new(),
            cut_paths: Vec::new(),
        }
    }

    /// Returns the topology.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Returns the settings.
    pub fn config(&self) -> &PlannerConfig {
        &self.config
    }

    /// Returns the last committed plan.
    pub fn committed(&self) -> &TrafficPlan {
        &self.committed
    }

    /// Records a committed plan, proposed by this member or a previous leader. Further changes and overrides start from it.
    pub fn handle_committed(&mut self, now_ms: f64, plan: &TrafficPlan) {
        if plan.revision != self.committed.revision {
            self.changed_ms = now_ms;
        }
        self.overrides.restore(now_ms, plan);
        self.committed = plan.clone();
    }

    /// Starts a zonal shift and returns the forecast with it.
    ///
    /// # Errors
    /// Returns an error if the zone does not exist or is already shifted, the maximum number of shifts is reached, or the other
    /// zones lack capacity and the request is not forced.
    pub fn shift(
        &mut self,
        now_ms: f64,
        reports: &LoadReports,
        request: &ShiftRequest,
    ) -> Result<Forecast, ShiftError> {
        let ShiftRequest { zone: name, duration_ms, reason, operator, is_forced } = request;
        let zone = self.topology.index_of(name).ok_or_else(|| ShiftError::UnknownZone {
            zone: name.clone(),
            zones: self.topology.zones().iter().map(|zone| zone.name.clone()).collect(),
        })?;
        self.overrides.check_can_add(now_ms, zone, name)?;
        let before = self.forecast(now_ms, reports, &[]);
        let after = self.forecast(now_ms, reports, &[zone]);
        if !is_forced && after.rejected_fraction > before.rejected_fraction + MAX_ADDED_REJECTION {
            return Err(self.not_enough_capacity(name, &before, &after));
        }
        let (reason, operator) = (reason.clone(), operator.clone());
        self.overrides.add(now_ms, ZonalShift { zone, remaining_ms: *duration_ms, reason, operator });
        self.propose_immediately();
        Ok(after)
    }

    fn not_enough_capacity(&self, zone: &str, before: &Forecast, after: &Forecast) -> ShiftError {
        let load = |(zone, forecast): (&crate::topology::Zone, &ZoneForecast)| {
            format!("{} {:.1} of {:.1} cores", zone.name, forecast.carried, forecast.capacity)
        };
        ShiftError::NotEnoughCapacity {
            zone: zone.into(),
            rejected_percent: after.rejected_fraction * 100.0,
            rejected_now_percent: before.rejected_fraction * 100.0,
            loads: self.topology.zones().iter().zip(&after.zones).map(load).collect(),
        }
    }

    /// Ends a shift before it expires.
    ///
    /// # Errors
    /// Returns an error if the zone is not shifted.
    pub fn end_shift(&mut self, zone: &str) -> Result<(), ShiftError> {
        let is_removed = self.overrides.remove(self.topology.index_of(zone));
        self.propose_immediately();
        is_removed.then_some(()).ok_or_else(|| ShiftError::NotShifted { zone: zone.into() })
    }

    /// Suspends changes of the plan for the given duration.
    pub fn hold(&mut self, now_ms: f64, duration_ms: f64) {
        self.overrides.hold(now_ms, duration_ms);
        self.proposed_ms = f64::NEG_INFINITY;
    }

    /// Returns the next plan to commit, if any: a new revision, or the current one if its renewal is due.
    pub fn poll_plan(&mut self, now_ms: f64, reports: &LoadReports) -> Option<TrafficPlan> {
        self.update_zones(now_ms, reports);
        self.overrides.expire(now_ms);
        let change = self.next_revision(now_ms, reports);
        let is_renewal_due = now_ms - self.proposed_ms >= self.config.renew_interval_ms;
        if change.is_none() && !is_renewal_due {
            return None;
        }
        if change.is_some() {
            self.next_step_ms = now_ms + self.config.step_interval_ms;
        }
        self.proposed_ms = now_ms;
        Some(TrafficPlan {
            shifts: self.overrides.shifts(now_ms),
            hold_remaining_ms: self.overrides.hold_remaining_ms(now_ms),
            valid_ms: self.config.valid_ms,
            ..change.unwrap_or_else(|| self.committed.clone())
        })
    }

    /// Returns the forecast of a plan in which the given zones are additionally shifted, without changing anything.
    pub fn forecast(&self, now_ms: f64, reports: &LoadReports, shifted: &[usize]) -> Forecast {
        let mut states = self.zone_states(now_ms, reports);
        shifted.iter().for_each(|zone| states[*zone].capacity = 0.0);
        let plan = self.plan_for(&states);
        let count = states.len();
        let sent = |from: usize, to: usize| {
            states[from].total_demand() * plan.share_of_demand(from, to, &states[from].demand)
        };
        let received = |to: usize| (0..count).map(|from| sent(from, to)).sum::<f64>();
        let zone = |zone: usize| ZoneForecast {
            demand: states[zone].total_demand(),
            carried: received(zone),
            capacity: states[zone].capacity,
        };
        let zones = (0..count).map(zone).collect();
        let total: f64 = states.iter().map(ZoneState::total_demand).sum();
        let excess = |zone: usize| (received(zone) - states[zone].capacity).max(0.0);
        let rejected: f64 = (0..count).map(|from| sent(from, count) + excess(from)).sum();
        Forecast { plan, zones, rejected_fraction: if total > 0.0 { rejected / total } else { 0.0 } }
    }

    /// Makes both a change and a renewal due at the next poll.
    fn propose_immediately(&mut self) {
        (self.proposed_ms, self.next_step_ms) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
    }

    /// Updates the zones and cut paths from the reports.
    fn update_zones(&mut self, now_ms: f64, reports: &LoadReports) {
        let elapsed_ms = self.last_update_ms.map_or(f64::INFINITY, |last_ms| now_ms - last_ms);
        self.last_update_ms = Some(now_ms);
        let smoothing = 1.0 - (-elapsed_ms / self.config.smoothing_ms).exp();
        let loads = reports.zone_loads(now_ms);
        for ((zone, load), is_excluded) in self.zones.iter_mut().zip(loads).zip(&self.committed.is_excluded) {
            zone.update_demand(&load, smoothing);
            zone.update_capacity(now_ms, load.capacity, *is_excluded, &self.config);
        }
        // No attempts use a cut path, so no report can show its recovery. It is therefore tried again after the retention time.
        self.cut_paths.retain(|cut| cut.until_ms > now_ms);
        for path in reports.cut_paths(now_ms) {
            self.cut_paths.retain(|cut| cut.path != path);
            self.cut_paths.push(CutPath { path, until_ms: now_ms + self.config.cut_path_retention_ms });
        }
    }

    /// Returns the next revision, if the target plan differs and a change is allowed.
    fn next_revision(&self, now_ms: f64, reports: &LoadReports) -> Option<TrafficPlan> {
        let is_allowed = !self.overrides.is_hold_active(now_ms)
            && self.is_change_complete(now_ms, reports)
            && now_ms >= self.next_step_ms;
        if !is_allowed {
            return None;
        }
        let target = self.plan_for(&self.zone_states(now_ms, reports));
        let (current, zones, config) = (&self.committed, self.zones.as_slice(), &self.config);
        let next = Transition { current, zones, config }.step(&target);
        let is_significant = next.max_difference(current) >= config.min_share_change
            || next.is_excluded != current.is_excluded
            || !self.overrides.has_same_zones_as(current);
        // The final step back to the all-near plan is taken even if it is small, so that no traffic stays redirected forever.
        let is_final_return = next.max_difference(&TrafficPlan::all_near(zones.len())) < ALL_NEAR_TOLERANCE
            && next.max_difference(current) > MIN_DIFFERENCE;
        (is_significant || is_final_return).then(|| TrafficPlan { revision: current.revision + 1, ..next })
    }

    /// Returns whether no member routes by a revision before the committed one: all members report it, or enough time has passed
    /// for older plans to expire.
    fn is_change_complete(&self, now_ms: f64, reports: &LoadReports) -> bool {
        reports.outdated_member_count(now_ms, self.committed.revision) == 0
            || now_ms - self.changed_ms > self.config.valid_ms + self.config.renew_interval_ms
            || broken::is(BrokenRule::PlanWithoutFence)
    }

    /// Returns the planning input of all zones. A shifted zone has no capacity.
    fn zone_states(&self, now_ms: f64, reports: &LoadReports) -> Vec<ZoneState> {
        let loads = reports.zone_loads(now_ms);
        let state = |(index, zone): (usize, &ZoneCapacity)| ZoneState {
            capacity: if self.overrides.is_shifted(now_ms, index) { 0.0 } else { zone.usable() },
            demand: zone.demand(),
            largest_member: loads.get(index).map_or(0.0, |load| load.largest_member),
        };
        self.zones.iter().enumerate().map(state).collect()
    }

    fn plan_for(&self, states: &[ZoneState]) -> TrafficPlan {
        let cut_paths: Vec<(usize, usize)> = self.cut_paths.iter().map(|cut| cut.path).collect();
        locality_weighted_plan(&self.topology, &self.config, states, &cut_paths)
    }
}
