//! Aggregation of callers' reports about the reachability of zones.
//!
//! *Decides*: the fraction of attempts at a zone that is answered, and which paths between zones count as cut.
//! *Inputs*: each caller's counts of attempts and answers per zone, and its demand for other zones, in cores.
//! *Rule*: a zone's reachability is the median over the origins that send attempts to it. A path is cut if attempts from its
//! origin fail while attempts from another origin to the same zone are answered.
//! *Why*: members of an unreachable zone still report normal load.
//! *Without it*: traffic continues to flow to a zone behind a failed network.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::load_reports::{median, sanitize, ReportLimits, ZoneLoad, MAX_REPORTERS};
use crate::traffic_plan::PRIORITY_BANDS;

/// Recent attempts at one zone, as exponentially decayed counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Number of attempts.
    pub attempts: f64,
    /// Number of attempts that received any answer from the zone, including rejections.
    pub answered: f64,
}

/// Report of a caller about all zones as seen from its own zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerReport {
    /// The index of the caller's zone.
    pub origin: usize,
    /// Demand that the plan redirects to other zones or rejects at the origin, in cores per priority band. No member of the
    /// caller's own zone can measure it.
    pub demand_elsewhere: [f64; PRIORITY_BANDS],
    /// Recent attempts by zone index.
    pub attempts: Vec<AttemptCounts>,
}

/// Upper bound of a valid attempt count.
const MAX_ATTEMPT_COUNT: f64 = 1e9;
/// Fraction of answered attempts below which a path counts as cut, if another path to the same zone exceeds
/// [`REACHED_ABOVE_FRACTION`].
const CUT_BELOW_FRACTION: f64 = 0.3;
/// Fraction of answered attempts above which a path shows that its destination zone is reachable.
const REACHED_ABOVE_FRACTION: f64 = 0.7;

/// The latest report of each caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerReports {
    zones: usize,
    limits: ReportLimits,
    /// Report and time of receipt in milliseconds, by caller id.
    reports: BTreeMap<u64, (CallerReport, f64)>,
}

impl CallerReports {
    pub(crate) fn new(zones: usize, limits: ReportLimits) -> Self {
        CallerReports { zones, limits, reports: BTreeMap::new() }
    }

    /// Records a report. Malformed reports and reports of callers beyond [`MAX_REPORTERS`] are ignored.
    pub(crate) fn handle_report(&mut self, now_ms: f64, caller: u64, report: CallerReport) {
        let has_capacity = self.reports.contains_key(&caller) || self.reports.len() < MAX_REPORTERS;
        let is_count = |count: f64| (0.0..MAX_ATTEMPT_COUNT).contains(&count);
        let is_valid = report.origin < self.zones
            && report.attempts.len() <= self.zones
            && report.attempts.iter().all(|counts| is_count(counts.attempts) && is_count(counts.answered));
        if has_capacity && is_valid {
            self.reports.insert(caller, (report, now_ms));
        }
    }

    /// Returns the paths (from, to) on which attempts fail although other origins reach the destination zone.
    pub(crate) fn cut_paths(&self, now_ms: f64) -> Vec<(usize, usize)> {
        let recent_reports = self.recent_reports(now_ms);
        let pairs = (0..self.zones).flat_map(|from| (0..self.zones).map(move |to| (from, to)));
        let is_cut = |(from, to): &(usize, usize)| {
            let others = (0..self.zones).filter(|other| other != from);
            let is_reached = others
                .filter_map(|other| self.answered_fraction(&recent_reports, other, *to))
                .any(|fraction| fraction > REACHED_ABOVE_FRACTION);
            let own = self.answered_fraction(&recent_reports, *from, *to);
            from != to && is_reached && own.is_some_and(|fraction| fraction < CUT_BELOW_FRACTION)
        };
        pairs.filter(is_cut).collect()
    }

    /// Scales each zone's capacity by the fraction of attempts that it answers, relative to the best zone, and adds the
    /// callers' redirected demand to their own zones.
    pub(crate) fn adjust(&self, now_ms: f64, loads: &mut [ZoneLoad]) {
        let recent_reports = self.recent_reports(now_ms);
        // The median over the origins ignores an origin whose own network path has failed.
        let zone_fraction = |zone: usize| {
            let fractions: Vec<f64> = (0..self.zones)
                .filter_map(|from| self.answered_fraction(&recent_reports, from, zone))
                .collect();
            (!fractions.is_empty()).then(|| median(fractions))
        };
        let fractions: Vec<Option<f64>> = (0..loads.len()).map(zone_fraction).collect();
        let best = fractions.iter().flatten().copied().fold(0.0, f64::max);
        for (zone, load) in loads.iter_mut().enumerate() {
            if let Some(fraction) = fractions[zone].filter(|_| best > 0.0) {
                load.capacity *= (fraction / best).min(1.0);
            }
            for report in recent_reports.iter().filter(|report| report.origin == zone) {
                let pairs = load.demand.iter_mut().zip(report.demand_elsewhere);
                pairs.for_each(|(demand, elsewhere)| *demand += sanitize(elsewhere));
            }
        }
    }

    fn recent_reports(&self, now_ms: f64) -> Vec<&CallerReport> {
        let recent_reports =
            self.reports.values().filter(|(_, at_ms)| now_ms - at_ms <= self.limits.stale_after_ms);
        recent_reports.map(|(report, _)| report).collect()
    }

    /// Returns the fraction of an origin's attempts at a zone that was answered, if there were enough attempts. Each caller's
    /// attempts are capped, so that no single caller dominates the result.
    fn answered_fraction(&self, recent_reports: &[&CallerReport], from: usize, zone: usize) -> Option<f64> {
        let reports = recent_reports.iter().filter(|report| report.origin == from);
        let counts = reports.filter_map(|report| report.attempts.get(zone));
        let [attempts, answered] = counts.fold([0.0, 0.0], |sum, counts| {
            let AttemptCounts { attempts, answered } = *counts;
            let max = self.limits.max_caller_attempts;
            let weight = if attempts > max { max / attempts } else { 1.0 };
            [sum[0] + attempts * weight, sum[1] + answered.min(attempts) * weight]
        });
        (attempts >= self.limits.min_attempts).then(|| answered / attempts)
    }
}

#[cfg(test)]
mod tests;
