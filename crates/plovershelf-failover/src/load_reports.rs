//! Members' load reports, summed up by zone so that one that lies, is wrong or is silent moves little.
//!
//! *Decides*: each zone's demand and capacity, in cores.
//! *Inputs*: the last load report of each member, callers' reports, and who is a member.
//! *Rule*: a member counts for at most a multiple of the median of its like; one that is silent carries nothing; what is late
//! is compared with what is late everywhere.
//! *Why*: a dependency that is slow for all makes no zone better than another.
//! *Without it*: one wrong report moves a zone's traffic.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::caller_reports::{CallerReport, CallerReports};
use crate::traffic_plan::PRIORITY_BANDS;

/// What a member reports of itself once a period. Load is in cores: core-seconds a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The revision of the plan that it acts by; 0 for the safe default.
    pub plan_revision: u64,
    /// What callers of its own zone asked of it, admitted or not, by band.
    pub demand: [f64; PRIORITY_BANDS],
    /// What it could carry, as warm as it is; 0 where its agent or dependency is gone.
    pub capacity: f64,
    /// The fraction of its answers that was in time.
    pub in_time_fraction: f64,
    /// The dependency, which all share, is what is slow.
    pub is_dependency_slow: bool,
}

/// How reports are bounded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportLimits {
    /// A member or caller that has not reported for so long is silent, in milliseconds.
    pub silent_after_ms: f64,
    /// A member counts for at most this multiple of the median.
    pub max_median_multiple: f64,
    /// Attempts of callers from which on they say something of a zone.
    pub min_attempts: f64,
    /// Attempts for which one caller counts at most.
    pub max_caller_attempts: f64,
}

impl Default for ReportLimits {
    fn default() -> Self {
        ReportLimits {
            silent_after_ms: 1600.0,
            max_median_multiple: 2.0,
            min_attempts: 20.0,
            max_caller_attempts: 100.0,
        }
    }
}

/// A zone, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// What its callers want, in cores by band.
    pub demand: [f64; PRIORITY_BANDS],
    /// What it carries in time: what its members could, less what is later than elsewhere.
    pub capacity: f64,
    /// What it loses with its largest member.
    pub largest_member: f64,
    /// Its members.
    pub members: usize,
    /// Those of them that are silent.
    pub silent_members: usize,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    zone: usize,
    report: LoadReport,
    reported_ms: f64,
}

/// The reports of all members and callers.
#[derive(Clone, Debug)]
pub struct LoadReports {
    zones: usize,
    limits: ReportLimits,
    members: BTreeMap<u64, Member>,
    callers: CallerReports,
}

/// Members, and callers, at most; more are left out.
pub(crate) const MAX_REPORTERS: usize = 4096;
/// Nobody has more cores; sums stay finite.
const MAX_CORES: f64 = 1e6;
/// From how many fresh members on each one's demand is bounded by the median.
const MIN_MEMBERS_FOR_MEDIAN: usize = 3;

pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// A reported figure within bounds; 0 where it is none.
pub(crate) fn finite(value: f64) -> f64 {
    if value.is_finite() {
        value.clamp(0.0, MAX_CORES)
    } else {
        0.0
    }
}

/// What the fresh reports of one zone say.
#[derive(Clone, Default)]
struct ZoneReports {
    in_time_fractions: Vec<f64>,
    demands: Vec<[f64; PRIORITY_BANDS]>,
}

impl ZoneReports {
    fn mean_in_time(&self) -> f64 {
        self.in_time_fractions.iter().sum::<f64>() / self.in_time_fractions.len().max(1) as f64
    }
}

impl LoadReports {
    /// No reports yet, for so many zones.
    pub fn new(zones: usize, limits: ReportLimits) -> Self {
        let callers = CallerReports::new(zones, limits);
        LoadReports { zones, limits, members: BTreeMap::new(), callers }
    }

    /// Takes a member's report. One of an unknown zone, or of a member too many, is left out.
    pub fn handle_report(&mut self, now_ms: f64, member: u64, zone: usize, report: LoadReport) {
        let has_place = self.members.contains_key(&member) || self.members.len() < MAX_REPORTERS;
        if zone < self.zones && has_place {
            let report = LoadReport {
                demand: report.demand.map(finite),
                capacity: finite(report.capacity),
                in_time_fraction: finite(report.in_time_fraction).min(1.0),
                ..report
            };
            self.members.insert(member, Member { zone, report, reported_ms: now_ms });
        }
    }

    /// Takes a caller's report. One that is malformed, or of a caller too many, is left out.
    pub fn handle_caller_report(&mut self, now_ms: f64, caller: u64, report: CallerReport) {
        self.callers.handle_report(now_ms, caller, report);
    }

    /// Sets the members and their zones; reports of others are forgotten. A member that never reported is silent.
    pub fn update_members(&mut self, members: &BTreeMap<u64, usize>) {
        self.members.retain(|member, _| members.contains_key(member));
        for (member, zone) in members {
            let silent =
                Member { zone: *zone, report: LoadReport::default(), reported_ms: f64::NEG_INFINITY };
            self.members.entry(*member).or_insert(silent);
        }
    }

    /// Members that act by another revision of the plan than this. Silent ones are not waited for: the plan that they act by
    /// expires by itself, which is the bound that is promised.
    pub fn members_behind(&self, now_ms: f64, revision: u64) -> usize {
        let is_behind =
            |member: &&Member| member.report.plan_revision != revision && member.report.plan_revision != 0;
        self.fresh(now_ms).filter(is_behind).count()
    }

    /// Whether most find the shared dependency slow: then no zone is better than another.
    pub fn is_dependency_slow(&self, now_ms: f64) -> bool {
        let (slow, all) = self.fresh(now_ms).fold((0, 0), |(slow, all), member| {
            (slow + usize::from(member.report.is_dependency_slow), all + 1)
        });
        all > 0 && slow * 2 > all
    }

    /// The load of all zones, by what is fresh.
    pub fn zone_loads(&self, now_ms: f64) -> Vec<ZoneLoad> {
        let mut loads = vec![ZoneLoad::default(); self.zones];
        let reports = self.sum_capacities(now_ms, &mut loads);
        self.sum_demands(&reports, &mut loads);
        self.discount_late(now_ms, &reports, &mut loads);
        self.callers.adjust(now_ms, &mut loads);
        loads
    }

    /// Paths between zones, from and to, that callers find cut while the zone at the end answers others.
    pub fn cut_paths(&self, now_ms: f64) -> Vec<(usize, usize)> {
        self.callers.cut_paths(now_ms)
    }

    fn is_fresh(&self, now_ms: f64, member: &Member) -> bool {
        now_ms - member.reported_ms <= self.limits.silent_after_ms
    }

    fn fresh(&self, now_ms: f64) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| self.is_fresh(now_ms, member))
    }

    /// Adds up members and capacities, and returns the fresh reports by zone.
    fn sum_capacities(&self, now_ms: f64, loads: &mut [ZoneLoad]) -> Vec<ZoneReports> {
        let capacities = self.fresh(now_ms).map(|member| member.report.capacity);
        let max_capacity =
            self.limits.max_median_multiple * median(capacities.filter(|capacity| *capacity > 0.0).collect());
        let mut reports = vec![ZoneReports::default(); self.zones];
        for member in self.members.values() {
            let (load, zone) = (&mut loads[member.zone], &mut reports[member.zone]);
            load.members += 1;
            if !self.is_fresh(now_ms, member) {
                load.silent_members += 1;
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

    /// Adds up demand by zone; a member that reports far more than its like counts for a multiple of their median.
    fn sum_demands(&self, reports: &[ZoneReports], loads: &mut [ZoneLoad]) {
        for (zone, load) in reports.iter().zip(loads) {
            let totals = zone.demands.iter().map(|demand| demand.iter().sum()).collect();
            let max_total = self.limits.max_median_multiple * median(totals);
            let is_bounded = load.members - load.silent_members >= MIN_MEMBERS_FOR_MEDIAN;
            for demand in &zone.demands {
                let total: f64 = demand.iter().sum();
                let part = if total > max_total && is_bounded { max_total / total } else { 1.0 };
                load.demand.iter_mut().zip(demand).for_each(|(sum, demand)| *sum += demand * part);
            }
        }
    }

    /// Lowers capacities by what is later than elsewhere. What is late in most zones alike is no zone's own, so it is compared
    /// with the median over zones; a dependency that is slow for all moves nothing.
    fn discount_late(&self, now_ms: f64, reports: &[ZoneReports], loads: &mut [ZoneLoad]) {
        let with_answers = reports.iter().filter(|zone| !zone.in_time_fractions.is_empty());
        let usual = median(with_answers.map(ZoneReports::mean_in_time).collect());
        if usual <= 0.0 || self.is_dependency_slow(now_ms) {
            return;
        }
        for (zone, load) in reports.iter().zip(loads).filter(|(zone, _)| !zone.in_time_fractions.is_empty()) {
            load.capacity *= (zone.mean_in_time() / usual).min(1.0);
        }
    }
}
