//! The leader's planner: the next plan to commit, operators' overrides, forecasts.
//!
//! | input | when |
//! | --- | --- |
//! | [`handle_committed`](Planner::handle_committed) | a plan was committed, this member's or a leader's before it |
//! | [`shift`](Planner::shift), [`end_shift`](Planner::end_shift), [`hold`](Planner::hold) | an operator asks |
//! | [`poll_plan`](Planner::poll_plan) | once a period, while this member leads |
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | plan in force | another is wanted, no hold, the last change has reached all | a change is proposed, no sooner than a step after the last |
//! | plan in force | the renewal interval is over | it is proposed again, which confirms it |
//!
//! A change is proposed only when the last one has reached all, or those that it has not reached act by none any more.

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
    /// Between two reports of a member, and two looks of the leader, in milliseconds.
    pub period_ms: f64,
    /// For how long a plan is valid without being confirmed, in milliseconds.
    pub valid_ms: f64,
    /// A plan that stays is confirmed after this, in milliseconds.
    pub renew_interval_ms: f64,
    /// Between two changes, in milliseconds.
    pub step_interval_ms: f64,
    /// Fraction of a zone's capacity that its own traffic may fill.
    pub near_fill_fraction: f64,
    /// Fraction of a zone's capacity up to which traffic of other zones may fill it, less what it loses with its largest member.
    pub fill_fraction: f64,
    /// By how much of its traffic a zone is left in one step.
    pub leave_step: f64,
    /// By how much of its traffic a zone is returned to in one step.
    pub return_step: f64,
    /// A zone that carries less than this fraction of what is usable has fallen.
    pub fall_fraction: f64,
    /// A zone that carries less than this fraction of its demand counts as lost.
    pub lost_fraction: f64,
    /// How long a zone must be well before it recovers, the first time, in milliseconds.
    pub recovery_wait_ms: f64,
    /// The same at most, in milliseconds.
    pub max_recovery_wait_ms: f64,
    /// A fall is forgotten after so long, in milliseconds.
    pub forget_fall_ms: f64,
    /// Smaller differences of shares are no change.
    pub min_change: f64,
    /// Time constant of demand's smoothing, in milliseconds.
    pub smoothing_ms: f64,
    /// Paths of a higher latency are not used, in milliseconds.
    pub max_latency_ms: f64,
    /// A path that callers found cut is not used for so long, in milliseconds.
    pub cut_path_ms: f64,
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
            fall_fraction: 0.8,
            lost_fraction: 0.1,
            recovery_wait_ms: 8000.0,
            max_recovery_wait_ms: 48_000.0,
            forget_fall_ms: 60_000.0,
            min_change: 0.04,
            smoothing_ms: 1500.0,
            max_latency_ms: 200.0,
            cut_path_ms: 15_000.0,
        }
    }
}

/// An operator's request for a zonal shift.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShiftRequest {
    /// The name of the zone.
    pub zone: String,
    /// How long it lasts, in milliseconds.
    pub duration_ms: f64,
    /// Why, in the operator's words.
    pub reason: String,
    /// Who asks.
    pub operator: String,
    /// Also where the other zones can't carry it.
    pub is_forced: bool,
}

/// What a plan would come to in one zone, in cores. Serialized as an array.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "[f64; 3]", from = "[f64; 3]")]
pub struct ZoneForecast {
    /// What its own callers want.
    pub demand: f64,
    /// What it would carry, its own and others'.
    pub carried: f64,
    /// What it may carry.
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

/// What a plan would come to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// The plan.
    pub plan: TrafficPlan,
    /// By zone.
    pub zones: Vec<ZoneForecast>,
    /// Of all demand, the fraction that nobody would carry.
    #[serde(rename = "cut")]
    pub rejected_fraction: f64,
}

/// A shift may add this much to the rejected fraction without being forced.
const MAX_ADDED_REJECTION: f64 = 0.01;
/// A plan that differs from all near by less than the first is home; one that differs from the plan in force by more than the
/// second has still a way to go.
const HOME_DIFFERENCE: f64 = 1e-9;
const MIN_DIFFERENCE: f64 = 1e-6;

/// A path, from and to, that callers found cut, and until when it counts as such.
#[derive(Clone, Copy, Debug)]
struct CutPath {
    path: (usize, usize),
    until_ms: f64,
}

/// Works out the plan where its member leads, and moves towards it in steps.
#[derive(Clone, Debug)]
pub struct Planner {
    topology: Topology,
    config: PlannerConfig,
    zones: Vec<ZoneCapacity>,
    committed: TrafficPlan,
    /// When a revision was committed last, when a plan was proposed last, and from when on a change may be.
    changed_ms: f64,
    proposed_ms: f64,
    next_step_ms: f64,
    last_look_ms: Option<f64>,
    overrides: Overrides,
    cut_paths: Vec<CutPath>,
}

impl Planner {
    /// All near, until a plan is committed.
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
            last_look_ms: None,
            overrides: Overrides::new(),
            cut_paths: Vec::new(),
        }
    }

    /// The zones.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// The settings.
    pub fn config(&self) -> &PlannerConfig {
        &self.config
    }

    /// The plan that was committed last.
    pub fn committed(&self) -> &TrafficPlan {
        &self.committed
    }

    /// A plan was committed, this member's or a leader's before it: what follows starts from there.
    pub fn handle_committed(&mut self, now_ms: f64, plan: &TrafficPlan) {
        if plan.revision != self.committed.revision {
            self.changed_ms = now_ms;
        }
        self.overrides.restore(now_ms, plan);
        self.committed = plan.clone();
    }

    /// Shifts a zone's traffic elsewhere for a while; returns what that comes to.
    ///
    /// # Errors
    /// There is no such zone, or it is shifted already, or there are too many shifts; or the others can't carry it and the
    /// request is not forced.
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
        self.overrides.check_free(now_ms, zone, name)?;
        let before = self.forecast(now_ms, reports, &[]);
        let after = self.forecast(now_ms, reports, &[zone]);
        if !is_forced && after.rejected_fraction > before.rejected_fraction + MAX_ADDED_REJECTION {
            return Err(self.not_enough_capacity(name, &before, &after));
        }
        let (reason, operator) = (reason.clone(), operator.clone());
        self.overrides.add(now_ms, ZonalShift { zone, remaining_ms: *duration_ms, reason, operator });
        self.propose_at_once();
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
    /// The zone is not shifted.
    pub fn end_shift(&mut self, zone: &str) -> Result<(), ShiftError> {
        let is_removed = self.overrides.remove(self.topology.index_of(zone));
        self.propose_at_once();
        is_removed.then_some(()).ok_or_else(|| ShiftError::NotShifted { zone: zone.into() })
    }

    /// Keeps the plan as it is for a while, whatever is reported.
    pub fn hold(&mut self, now_ms: f64, duration_ms: f64) {
        self.overrides.hold(now_ms, duration_ms);
        self.proposed_ms = f64::NEG_INFINITY;
    }

    /// The next plan to commit, where there is one: a change, or the plan in force confirmed.
    pub fn poll_plan(&mut self, now_ms: f64, reports: &LoadReports) -> Option<TrafficPlan> {
        self.look(now_ms, reports);
        self.overrides.expire(now_ms);
        let change = self.change(now_ms, reports);
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

    /// What a plan with these zones shifted would come to; nothing is done.
    pub fn forecast(&self, now_ms: f64, reports: &LoadReports, shifted: &[usize]) -> Forecast {
        let mut states = self.zone_states(now_ms, reports);
        shifted.iter().for_each(|zone| states[*zone].capacity = 0.0);
        let plan = self.plan_for(&states);
        let count = states.len();
        let sent = |from: usize, to: usize| {
            states[from].total_demand() * plan.share_of_demand(from, to, &states[from].demand)
        };
        let carried = |to: usize| (0..count).map(|from| sent(from, to)).sum::<f64>();
        let zone = |zone: usize| ZoneForecast {
            demand: states[zone].total_demand(),
            carried: carried(zone),
            capacity: states[zone].capacity,
        };
        let zones = (0..count).map(zone).collect();
        let total: f64 = states.iter().map(ZoneState::total_demand).sum();
        let excess = |zone: usize| (carried(zone) - states[zone].capacity).max(0.0);
        let rejected: f64 = (0..count).map(|from| sent(from, count) + excess(from)).sum();
        Forecast { plan, zones, rejected_fraction: if total > 0.0 { rejected / total } else { 0.0 } }
    }

    fn propose_at_once(&mut self) {
        (self.proposed_ms, self.next_step_ms) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
    }

    /// Takes in what is reported of each zone.
    fn look(&mut self, now_ms: f64, reports: &LoadReports) {
        let since_ms = self.last_look_ms.map_or(f64::INFINITY, |last_ms| now_ms - last_ms);
        self.last_look_ms = Some(now_ms);
        let smoothing = 1.0 - (-since_ms / self.config.smoothing_ms).exp();
        let loads = reports.zone_loads(now_ms);
        for ((zone, load), is_excluded) in self.zones.iter_mut().zip(loads).zip(&self.committed.is_excluded) {
            zone.update_demand(&load, smoothing);
            zone.update_capacity(now_ms, load.capacity, *is_excluded, &self.config);
        }
        // While a path counts as cut nothing is sent by it, so nothing more is seen of it: it is tried again after a while.
        self.cut_paths.retain(|cut| cut.until_ms > now_ms);
        for path in reports.cut_paths(now_ms) {
            self.cut_paths.retain(|cut| cut.path != path);
            self.cut_paths.push(CutPath { path, until_ms: now_ms + self.config.cut_path_ms });
        }
    }

    /// The next revision, where a change is wanted and allowed.
    fn change(&self, now_ms: f64, reports: &LoadReports) -> Option<TrafficPlan> {
        let is_allowed = !self.overrides.is_held(now_ms)
            && self.has_reached_all(now_ms, reports)
            && now_ms >= self.next_step_ms;
        if !is_allowed {
            return None;
        }
        let wanted = self.plan_for(&self.zone_states(now_ms, reports));
        let (current, zones, config) = (&self.committed, self.zones.as_slice(), &self.config);
        let next = Transition { current, zones, config }.step(&wanted);
        let is_worth = next.max_difference(current) >= config.min_change
            || next.is_excluded != current.is_excluded
            || !self.overrides.has_zones_of(current);
        // The last bit of the way home is gone too: else a little traffic would stay away for good.
        let is_home = next.max_difference(&TrafficPlan::all_near(zones.len())) < HOME_DIFFERENCE
            && next.max_difference(current) > MIN_DIFFERENCE;
        (is_worth || is_home).then(|| TrafficPlan { revision: current.revision + 1, ..next })
    }

    /// Whether nobody acts by a revision before the last: who it has not reached acts by none once its validity is over.
    fn has_reached_all(&self, now_ms: f64, reports: &LoadReports) -> bool {
        reports.members_behind(now_ms, self.committed.revision) == 0
            || now_ms - self.changed_ms > self.config.valid_ms + self.config.renew_interval_ms
            || broken::is(BrokenRule::PlanWithoutFence)
    }

    /// What a plan is worked out for: a shifted zone carries nothing.
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
