//! Trial `group-model`: groups in simulated time, under thousands of drawn fault schedules and at growing sizes.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use plovershelf_simulation::cluster::{Plan, Report, World};
use plovershelf_simulation::plot::{lines, Line};
use plovershelf_simulation::schedule::Schedule;
use plovershelf_simulation::statistics::{Fit, SampleDistribution};

use super::{Bound, Figures, TrialContext};

const ZONES: usize = 3;
const STEPS: usize = 14;
const SPAN_MS: f64 = 30_000.0;

/// Totals over all seeds.
#[derive(Default)]
struct Totals {
    /// Seeds with a broken guarantee, and the guarantee's name.
    broken: Vec<(u64, String)>,
    /// Seeds in which the members never agreed again after the last fault.
    never_agreed: Vec<u64>,
    /// Members that lagged behind or were outside the view at the end.
    lagging: u64,
    /// Healthy members that were removed from a view.
    healthy_removed: u64,
    /// Time from the end of the faults to agreement.
    agreement_ms: SampleDistribution,
    /// Time from a kill to a view without the member.
    removal_ms: SampleDistribution,
}

/// Simulates all seeds on all cores.
fn run_seeds(seeds: std::ops::Range<u64>, members: usize) -> Totals {
    let next = AtomicU64::new(seeds.start);
    let totals = Mutex::new(Totals::default());
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return;
        }
        let schedule = Schedule::draw(seed, members, ZONES, STEPS, SPAN_MS);
        let report = World::run(Plan::of(schedule, seed));
        let Ok(mut totals) = totals.lock() else { return };
        totals.broken.extend(report.audit.broken.iter().map(|b| (seed, b.promise.to_string())));
        match report.committed_after_ms {
            Some(ms) => totals.agreement_ms.put(ms),
            None => totals.never_agreed.push(seed),
        }
        totals.lagging += (report.lagging + report.outside_view) as u64;
        totals.healthy_removed += report.healthy_removed.len() as u64;
        totals.removal_ms.join(&report.removal_ms);
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(work))));
    totals.into_inner().unwrap_or_default()
}

/// Longest time until all members have detected a failure, in seconds.
const MAX_DETECTION_S: f64 = 4.0;
/// Largest traffic of a member without faults, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 4096.0;
/// Members that are killed in the growth scenario.
const KILLS: usize = 3;

fn seconds(ms: Option<f64>) -> Option<f64> {
    ms.map(|ms| ms / 1000.0)
}

/// Simulates one size: the start, an interval without faults, then kills of single members, far apart.
fn simulate_growth(seed: u64, size: usize) -> (Report, Figures) {
    let report = World::run(Plan::growing(size, ZONES, seed, KILLS));
    let mut figures = Figures::default();
    let growth = &report.growth;
    figures.report("all_know_all_s", seconds(growth.all_known_ms));
    figures.report("view_whole_s", seconds(growth.view_complete_ms));
    figures.report("start_bytes_a_member", growth.start_bytes);
    figures.put("bytes_a_member_a_second", growth.rest_bytes, Bound::AtMost(MAX_BYTES_PER_SECOND));
    figures.report("bytes_a_second_busiest", growth.rest_bytes_busiest);
    figures.report("news_under_way_in_calm", growth.rest_pending_updates);
    figures.report("death_bytes_a_member", growth.death_bytes);
    figures.put("deaths_not_known", report.deaths_not_known as f64, Bound::AtMost(0.0));
    figures.report("until_all_know_s_median", seconds(report.known_ms.at(0.5)));
    figures.put("until_all_know_s_worst", seconds(report.known_ms.most()), Bound::AtMost(MAX_DETECTION_S));
    figures.report("put_out_s_worst", seconds(report.removal_ms.most()));
    figures.put("healthy_put_out", report.healthy_removed.len() as f64, Bound::AtMost(0.0));
    figures.put("promises_broken", report.audit.broken.len() as f64, Bound::AtMost(0.0));
    (report, figures)
}

/// Fits a line through the values by size. Sizes without a value are left out; they fail the trial by their own figure.
fn linear_fit(points: &[(f64, f64)]) -> Figures {
    let fit = Fit::of(points);
    let mut figures = Figures::default();
    figures.report("slope", fit.map(|fit| fit.slope));
    figures.report("slope_error", fit.map(|fit| fit.slope_error));
    figures.report("intercept", fit.map(|fit| fit.intercept));
    figures.report("r_squared", fit.map(|fit| fit.r_squared));
    figures
}

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let (members, seeds) = (context.members.unwrap_or(9), context.seeds.unwrap_or(200));
    if !(3..=900).contains(&members) {
        return Err(format!("--members {members}: from 3 to 900"));
    }
    let mut figures = Figures::default();
    let from = context.seed * 100_000;
    let totals = if members <= 30 { run_seeds(from..from + seeds, members) } else { Totals::default() };
    if members <= 30 {
        figures.report("members", members as f64);
        figures.report("seeds", seeds as f64);
        figures.put("promises_broken", totals.broken.len() as f64, Bound::AtMost(0.0));
        figures.put(
            "never_agreed_again",
            totals.never_agreed.len() as f64,
            Bound::AtMost(seeds as f64 / 200.0),
        );
        figures.report("lagging_or_left_out", totals.lagging as f64);
        figures.report("healthy_put_out", totals.healthy_removed as f64);
        figures.report("agreed_after_heal_s_median", seconds(totals.agreement_ms.at(0.5)));
        figures.report("agreed_after_heal_s_99", seconds(totals.agreement_ms.at(0.99)));
        figures.report("agreed_after_heal_s_worst", seconds(totals.agreement_ms.most()));
        figures.report("put_out_s_median", seconds(totals.removal_ms.at(0.5)));
        for (seed, promise) in totals.broken.iter().take(5) {
            tracing::warn!(event = "broken", seed, promise, "replay: --members {members} --seeds 1");
        }
        totals.never_agreed.iter().take(5).for_each(|seed| tracing::warn!(event = "never_agreed", seed));
    }
    // Simulates sizes up to the requested one, and at least up to 90, so that the plot shows the growth.
    let sizes: Vec<usize> =
        [9, 30, 90, 300, 900].into_iter().filter(|size| *size <= members.max(90)).collect();
    let mut by_size: [Vec<(f64, f64)>; 4] = Default::default();
    for size in sizes {
        let (report, size_figures) = simulate_growth(context.seed, size);
        figures.phase(phase_name(size), size_figures);
        let growth = &report.growth;
        let values =
            [seconds(report.known_ms.most()), growth.rest_bytes, growth.start_bytes, growth.death_bytes];
        for (points, value) in by_size.iter_mut().zip(values) {
            points.extend(value.map(|value| (size as f64, value)));
        }
    }
    let [detection, steady, start, kill] = by_size;
    figures.phase("fit_bytes_a_member_a_second", linear_fit(&steady));
    figures.phase("fit_start_bytes_a_member", linear_fit(&start));
    figures.phase("fit_death_bytes_a_member", linear_fit(&kill));
    // The detection time grows with the logarithm of the number of members.
    let by_log: Vec<(f64, f64)> = detection.iter().map(|(size, value)| (size.log2(), *value)).collect();
    figures.phase("fit_until_all_know_s_by_log2", linear_fit(&by_log));
    let bytes = steady.iter().map(|(size, value)| (*size, value / 1000.0)).collect();
    if let Some(folder) = &context.logs {
        plot(folder, detection, bytes)?;
    }
    Ok(figures)
}

fn phase_name(size: usize) -> &'static str {
    match size {
        9 => "members_9",
        30 => "members_30",
        90 => "members_90",
        300 => "members_300",
        _ => "members_900",
    }
}

fn plot(folder: &Path, detection: Vec<(f64, f64)>, bytes: Vec<(f64, f64)>) -> Result<(), String> {
    let curves = [
        Line { name: "seconds until all know of a death, worst".into(), points: detection },
        Line { name: "kB a member a second".into(), points: bytes },
    ];
    let path = folder.join("group-model.svg");
    let text = lines("A group as it grows", "members", "seconds, kB a second", &curves)?;
    std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))
}
