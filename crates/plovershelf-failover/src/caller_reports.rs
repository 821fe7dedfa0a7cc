//! What callers see of zones from outside.
//!
//! *Decides*: which fraction of attempts at a zone is answered, and which paths between zones count as cut.
//! *Inputs*: each caller's counts of attempts and answers by zone, and what it wants of other zones, in cores.
//! *Rule*: a zone counts by the median over the origins that try it; a path is cut where one origin's attempts fail and
//! another's are answered.
//! *Why*: members of a zone that nobody reaches report that all is well.
//! *Without it*: traffic goes on to a zone behind a failed network.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::load_reports::{finite, median, ReportLimits, ZoneLoad, MAX_REPORTERS};
use crate::traffic_plan::PRIORITY_BANDS;

/// Attempts of late at one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// All of them, decayed.
    pub attempts: f64,
    /// Those that the zone answered at all, decayed.
    pub answered: f64,
}

/// What a caller sees from its own zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerReport {
    /// The index of its zone.
    pub origin: usize,
    /// What it sends to other zones, or nowhere, by the plan, in cores by band: no member of its own zone sees that.
    pub demand_elsewhere: [f64; PRIORITY_BANDS],
    /// By zone.
    pub attempts: Vec<AttemptCounts>,
}

/// The largest count that is taken for one.
const MAX_ATTEMPTS: f64 = 1e9;
/// A path is cut where a smaller fraction of attempts is answered on it...
const CUT_BELOW_FRACTION: f64 = 0.3;
/// ...and a larger one on another path to the same zone.
const REACHED_ABOVE_FRACTION: f64 = 0.7;

/// The last report of each caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerReports {
    zones: usize,
    limits: ReportLimits,
    /// By caller: its report, and when it came.
    reports: BTreeMap<u64, (CallerReport, f64)>,
}

impl CallerReports {
    pub(crate) fn new(zones: usize, limits: ReportLimits) -> Self {
        CallerReports { zones, limits, reports: BTreeMap::new() }
    }

    /// Takes a report. One that is malformed, or of a caller too many, is left out.
    pub(crate) fn handle_report(&mut self, now_ms: f64, caller: u64, report: CallerReport) {
        let has_place = self.reports.contains_key(&caller) || self.reports.len() < MAX_REPORTERS;
        let is_count = |count: f64| (0.0..MAX_ATTEMPTS).contains(&count);
        let is_valid = report.origin < self.zones
            && report.attempts.len() <= self.zones
            && report.attempts.iter().all(|counts| is_count(counts.attempts) && is_count(counts.answered));
        if has_place && is_valid {
            self.reports.insert(caller, (report, now_ms));
        }
    }

    /// Paths between zones, from and to, that callers find cut while the zone at the end answers others.
    pub(crate) fn cut_paths(&self, now_ms: f64) -> Vec<(usize, usize)> {
        let fresh = self.fresh(now_ms);
        let pairs = (0..self.zones).flat_map(|from| (0..self.zones).map(move |to| (from, to)));
        let is_cut = |(from, to): &(usize, usize)| {
            let others = (0..self.zones).filter(|other| other != from);
            let is_reached = others
                .filter_map(|other| self.answered_fraction(&fresh, other, *to))
                .any(|fraction| fraction > REACHED_ABOVE_FRACTION);
            let own = self.answered_fraction(&fresh, *from, *to);
            from != to && is_reached && own.is_some_and(|fraction| fraction < CUT_BELOW_FRACTION)
        };
        pairs.filter(is_cut).collect()
    }

    /// Lowers the capacity of zones that callers do not reach to what they get of them, and adds callers' demand elsewhere.
    pub(crate) fn adjust(&self, now_ms: f64, loads: &mut [ZoneLoad]) {
        let fresh = self.fresh(now_ms);
        // By the median of the origins that try it: one whose own path is bad says nothing of the zone.
        let zone_fraction = |zone: usize| {
            let fractions: Vec<f64> =
                (0..self.zones).filter_map(|from| self.answered_fraction(&fresh, from, zone)).collect();
            (!fractions.is_empty()).then(|| median(fractions))
        };
        let fractions: Vec<Option<f64>> = (0..loads.len()).map(zone_fraction).collect();
        let best = fractions.iter().flatten().copied().fold(0.0, f64::max);
        for (zone, load) in loads.iter_mut().enumerate() {
            if let Some(fraction) = fractions[zone].filter(|_| best > 0.0) {
                load.capacity *= (fraction / best).min(1.0);
            }
            for report in fresh.iter().filter(|report| report.origin == zone) {
                let elsewhere = load.demand.iter_mut().zip(report.demand_elsewhere);
                elsewhere.for_each(|(demand, elsewhere)| *demand += finite(elsewhere));
            }
        }
    }

    fn fresh(&self, now_ms: f64) -> Vec<&CallerReport> {
        let fresh = self.reports.values().filter(|(_, at_ms)| now_ms - at_ms <= self.limits.silent_after_ms);
        fresh.map(|(report, _)| report).collect()
    }

    /// The fraction of one origin's attempts at a zone that was answered, where there were enough. No caller counts for many.
    fn answered_fraction(&self, fresh: &[&CallerReport], from: usize, zone: usize) -> Option<f64> {
        let of_origin = fresh.iter().filter(|report| report.origin == from);
        let counts = of_origin.filter_map(|report| report.attempts.get(zone));
        let [attempts, answered] = counts.fold([0.0, 0.0], |sum, counts| {
            let AttemptCounts { attempts, answered } = *counts;
            let max = self.limits.max_caller_attempts;
            let part = if attempts > max { max / attempts } else { 1.0 };
            [sum[0] + attempts * part, sum[1] + answered.min(attempts) * part]
        });
        (attempts >= self.limits.min_attempts).then(|| answered / attempts)
    }
}

#[cfg(test)]
mod tests;
