//! Aggregation of members' load reports by zone, robust against wrong, malicious or missing reports of single members.
//!
//! *Decides*: each zone's demand and capacity, in cores.
//! *Inputs*: the latest load report of each member, callers' reports, and the list of members.
//! *Rule*: a member's report is capped at a multiple of the members' median; a member without a recent report contributes no
//! capacity; a zone's late answers count only as far as they exceed the median over all zones.
//! *Why*: a single faulty report must not change the plan, and a shared dependency that is slow for all zones gives no reason
//! to move traffic between them.
//! *Without it*: one wrong report moves a zone's traffic.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::caller_reports::{CallerReport, CallerReports};
use crate::traffic_plan::PRIORITY_BANDS;

/// Periodic report of a member about its own load. Load is in cores, that is core-seconds per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The revision of the plan that the member routes by; 0 for the safe default.
    pub plan_revision: u64,
    /// Demand of callers in the member's own zone, admitted or not, in cores per priority band.
    pub demand: [f64; PRIORITY_BANDS],
    /// Load in cores that the member could process in its current warm-up state; 0 without its agent or dependency.
    pub capacity: f64,
    /// The fraction of the member's answers that met their deadline.
    pub in_time_fraction: f64,
    /// Whether late answers are caused by the dependency that all zones share.
    pub is_dependency_slow: bool,
}

/// Bounds on the influence of single reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportLimits {
    /// Age in milliseconds after which a report is stale and ignored.
    pub stale_after_ms: f64,
    /// Cap on a member's reported values, as a multiple of the median.
    pub max_median_multiple: f64,
    /// Minimum number of attempts of an origin's callers at a zone for the answered fraction to count.
    pub min_attempts: f64,
    /// Cap on the attempts at a zone that are counted for one caller.
    pub max_caller_attempts: f64,
}

impl Default for ReportLimits {
    fn default() -> Self {
        ReportLimits {
            stale_after_ms: 1600.0,
            max_median_multiple: 2.0,
            min_attempts: 20.0,
            max_caller_attempts: 100.0,
        }
    }
}

/// Aggregated load of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Demand of the zone's callers, in cores per priority band.
    pub demand: [f64; PRIORITY_BANDS],
    /// Capacity in cores: the sum over the members, reduced by the excess of late or lost answers over other zones.
    pub capacity: f64,
    /// Capacity of the zone's largest member, in cores.
    pub largest_member: f64,
    /// Number of members.
    pub members: usize,
    /// Number of members without a recent report.
    pub stale_members: usize,
}

/// The latest report of a member and the time of its receipt.
#[derive(Clone, Copy, Debug)]
struct Member {
    zone: usize,
    report: LoadReport,
    reported_ms: f64,
}

/// The latest reports of all members and callers.
#[derive(Clone, Debug)]
pub struct LoadReports {
    zones: usize,
    limits: ReportLimits,
    members: BTreeMap<u64, Member>,
    callers: CallerReports,
}

/// Maximum number of members, and of callers, whose reports are stored.
pub(crate) const MAX_REPORTERS: usize = 4096;
/// Upper bound of a reported value in cores, which keeps sums finite.
const MAX_CORES: f64 = 1e6;
/// Minimum number of members with recent reports in a zone for their demand to be capped by the median.
const MIN_MEMBERS_FOR_MEDIAN: usize = 3;

/// Returns the upper median of the values, or 0 if there are none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Clamps a reported value to `0..=MAX_CORES`; returns 0 if it is not finite.
pub(crate) fn sanitize(value: f64) -> f64 {
    if value.is_finite() {
        value.clamp(0.0, MAX_CORES)
    } else {
        0.0
    }
}

/// Contents of a zone's recent reports.
#[derive(Clone, Default)]
struct ZoneReports {
    in_time_fractions: Vec<f64>,
    demands: Vec<[f64; PRIORITY_BANDS]>,
}

impl ZoneReports {
    fn mean_in_time_fraction(&self) -> f64 {
        self.in_time_fractions.iter().sum::<f64>() / self.in_time_fractions.len().max(1) as f64
    }
}

impl LoadReports {
    /// Creates an empty collection for the given number of zones.
    pub fn new(zones: usize, limits: ReportLimits) -> Self {
        let callers = CallerReports::new(zones, limits);
        LoadReports { zones, limits, members: BTreeMap::new(), callers }
    }

    /// Records a member's report. Reports for unknown zones and of members beyond `MAX_REPORTERS` are ignored.
    pub fn handle_report(&mut self, now_ms: f64, member: u64, zone: usize, report: LoadReport) {
        let has_capacity = self.members.contains_key(&member) || self.members.len() < MAX_REPORTERS;
        if zone < self.zones && has_capacity {
            let report = LoadReport {
                demand: report.demand.map(sanitize),
                capacity: sanitize(report.capacity),
                in_time_fraction: sanitize(report.in_time_fraction).min(1.0),
                ..report
            };
            self.members.insert(member, Member { zone, report, reported_ms: now_ms });
        }
    }

    /// Records a caller's report. Malformed reports and reports of callers beyond `MAX_REPORTERS` are ignored.
    pub fn handle_caller_report(&mut self, now_ms: f64, caller: u64, report: CallerReport) {
        self.callers.handle_report(now_ms, caller, report);
    }

    /// Sets the members and their zones, and removes the reports of all others. A member that has never reported counts as
    /// stale.
    pub fn update_members(&mut self, members: &BTreeMap<u64, usize>) {
        self.members.retain(|member, _| members.contains_key(member));
        for (member, zone) in members {
            let never_reported =
                Member { zone: *zone, report: LoadReport::default(), reported_ms: f64::NEG_INFINITY };
            self.members.entry(*member).or_insert(never_reported);
        }
    }

    /// Returns the number of members that route by a different revision of the plan. Stale members are not counted: their plan
    /// expires on its own, which bounds how long an old plan can remain in use.
    pub fn outdated_member_count(&self, now_ms: f64, revision: u64) -> usize {
        let is_outdated =
            |member: &&Member| member.report.plan_revision != revision && member.report.plan_revision != 0;
        self.reporting_members(now_ms).filter(is_outdated).count()
    }

    /// Returns whether the majority of members report the shared dependency as slow, in which case lateness does not
    /// distinguish zones.
    pub fn is_dependency_slow(&self, now_ms: f64) -> bool {
        let (slow, total) = self.reporting_members(now_ms).fold((0, 0), |(slow, total), member| {
            (slow + usize::from(member.report.is_dependency_slow), total + 1)
        });
        total > 0 && slow * 2 > total
    }

    /// Returns the load of all zones, computed from recent reports.
    pub fn zone_loads(&self, now_ms: f64) -> Vec<ZoneLoad> {
        let mut loads = vec![ZoneLoad::default(); self.zones];
        let reports = self.sum_capacities(now_ms, &mut loads);
        self.sum_demands(&reports, &mut loads);
        self.discount_late_zones(now_ms, &reports, &mut loads);
        self.callers.adjust(now_ms, &mut loads);
        loads
    }

    /// Returns the paths (from, to) on which attempts fail although other origins reach the destination zone.
    pub fn cut_paths(&self, now_ms: f64) -> Vec<(usize, usize)> {
        self.callers.cut_paths(now_ms)
    }

    fn has_recent_report(&self, now_ms: f64, member: &Member) -> bool {
        now_ms - member.reported_ms <= self.limits.stale_after_ms
    }

    fn reporting_members(&self, now_ms: f64) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| self.has_recent_report(now_ms, member))
    }

    /// Adds members and capacities to `loads` and returns the recent reports by zone.
    fn sum_capacities(&self, now_ms: f64, loads: &mut [ZoneLoad]) -> Vec<ZoneReports> {
        let capacities = self.reporting_members(now_ms).map(|member| member.report.capacity);
        let max_capacity =
            self.limits.max_median_multiple * median(capacities.filter(|capacity| *capacity > 0.0).collect());
        let mut reports = vec![ZoneReports::default(); self.zones];
        for member in self.members.values() {
            let (load, zone) = (&mut loads[member.zone], &mut reports[member.zone]);
            load.members += 1;
            if !self.has_recent_report(now_ms, member) {
                load.stale_members += 1;
                continue;
            }
            let capacity = member.report.capacity.min(max_capacity);
            load.capacity += capacity;
            load.largest_member = load.largest_member.max(capacity);
            zone.demands.push(member.report.demand);
            if capacity > 0.0 {
                zone.in_time_fractions.push(member.report.in_time_fraction);
            }
        }
        reports
    }

    /// Adds demand to `loads`, with each member's demand capped at a multiple of its zone's median.
    fn sum_demands(&self, reports: &[ZoneReports], loads: &mut [ZoneLoad]) {
        for (zone, load) in reports.iter().zip(loads) {
            let totals = zone.demands.iter().map(|demand| demand.iter().sum()).collect();
            let max_total = self.limits.max_median_multiple * median(totals);
            let is_capped = load.members - load.stale_members >= MIN_MEMBERS_FOR_MEDIAN;
            for demand in &zone.demands {
                let total: f64 = demand.iter().sum();
                let weight = if total > max_total && is_capped { max_total / total } else { 1.0 };
                load.demand.iter_mut().zip(demand).for_each(|(sum, demand)| *sum += demand * weight);
            }
        }
    }

    /// Scales down the capacity of zones whose in-time fraction is below the median over all zones. Lateness common to most
    /// zones is not caused by a single zone, and none is discounted while the shared dependency is slow.
    fn discount_late_zones(&self, now_ms: f64, reports: &[ZoneReports], loads: &mut [ZoneLoad]) {
        let reporting_zones = reports.iter().filter(|zone| !zone.in_time_fractions.is_empty());
        let median_fraction = median(reporting_zones.map(ZoneReports::mean_in_time_fraction).collect());
        if median_fraction <= 0.0 || self.is_dependency_slow(now_ms) {
            return;
        }
        for (zone, load) in reports.iter().zip(loads).filter(|(zone, _)| !zone.in_time_fractions.is_empty()) {
            load.capacity *= (zone.mean_in_time_fraction() / median_fraction).min(1.0);
        }
    }
}
