//! Groups on simulated time: thousands of drawn schedules, and how the group behaves as it grows.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use plovershelf_simulation::cluster::{Plan, Report, World};
use plovershelf_simulation::plot::{lines, Line};
use plovershelf_simulation::schedule::Schedule;
use plovershelf_simulation::statistics::{Fit, Spread};

use super::{Aim, Figures, Ground};

const ZONES: usize = 3;
const STEPS: usize = 14;
const SPAN_MS: f64 = 30_000.0;

/// What all seeds came to.
#[derive(Default)]
struct Sum {
    broken: Vec<(u64, String)>,
    never: Vec<u64>,
    lagging: u64,
    healthy: u64,
    agreed: Spread,
    put_out: Spread,
}

fn many(seeds: std::ops::Range<u64>, members: usize) -> Sum {
    let next = AtomicU64::new(seeds.start);
    let sum = Mutex::new(Sum::default());
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return;
        }
        let schedule = Schedule::draw(seed, members, ZONES, STEPS, SPAN_MS);
        let report = World::run(Plan::of(schedule, seed));
        let Ok(mut sum) = sum.lock() else { return };
        sum.broken.extend(report.audit.broken.iter().map(|b| (seed, b.promise.to_string())));
        match report.committed_after_ms {
            Some(ms) => sum.agreed.put(ms),
            None => sum.never.push(seed),
        }
        sum.lagging += (report.lagging + report.outside_view) as u64;
        sum.healthy += report.healthy_removed.len() as u64;
        sum.put_out.join(&report.removal_ms);
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(work))));
    sum.into_inner().unwrap_or_default()
}

/// What a change may take until all know of it, and what a member may spend a second.
const KNOWN_S: f64 = 4.0;
const BYTES_A_SECOND: f64 = 4096.0;
const DEATHS: usize = 3;

fn seconds(ms: Option<f64>) -> Option<f64> {
    ms.map(|ms| ms / 1000.0)
}

/// How it grows: the start, then nothing, then deaths of single members, far apart, and nothing else wrong.
fn growth(seed: u64, size: usize) -> (Report, Figures) {
    let report = World::run(Plan::growing(size, ZONES, seed, DEATHS));
    let mut figures = Figures::default();
    let grown = &report.growth;
    figures.told("all_know_all_s", seconds(grown.all_known_ms));
    figures.told("view_whole_s", seconds(grown.view_complete_ms));
    figures.told("start_bytes_a_member", grown.start_bytes);
    figures.put("bytes_a_member_a_second", grown.rest_bytes, Aim::AtMost(BYTES_A_SECOND));
    figures.told("bytes_a_second_busiest", grown.rest_bytes_busiest);
    figures.told("news_under_way_in_calm", grown.rest_pending_updates);
    figures.told("death_bytes_a_member", grown.death_bytes);
    figures.put("deaths_not_known", report.deaths_not_known as f64, Aim::AtMost(0.0));
    figures.told("until_all_know_s_median", seconds(report.known_ms.at(0.5)));
    figures.put("until_all_know_s_worst", seconds(report.known_ms.most()), Aim::AtMost(KNOWN_S));
    figures.told("put_out_s_worst", seconds(report.removal_ms.most()));
    figures.put("healthy_put_out", report.healthy_removed.len() as f64, Aim::AtMost(0.0));
    figures.put("promises_broken", report.audit.broken.len() as f64, Aim::AtMost(0.0));
    (report, figures)
}

/// A line through what each size came to. Sizes that a figure is missing for are missing here too, and fail by themselves.
fn slope(points: &[(f64, f64)]) -> Figures {
    let fit = Fit::of(points);
    let mut figures = Figures::default();
    figures.told("slope", fit.map(|fit| fit.slope));
    figures.told("slope_error", fit.map(|fit| fit.slope_error));
    figures.told("intercept", fit.map(|fit| fit.intercept));
    figures.told("r_squared", fit.map(|fit| fit.r_squared));
    figures
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let (members, seeds) = (ground.members.unwrap_or(9), ground.seeds.unwrap_or(200));
    if !(3..=900).contains(&members) {
        return Err(format!("--members {members}: from 3 to 900"));
    }
    let mut figures = Figures::default();
    let from = ground.seed * 100_000;
    let sum = if members <= 30 { many(from..from + seeds, members) } else { Sum::default() };
    if members <= 30 {
        figures.told("members", members as f64);
        figures.told("seeds", seeds as f64);
        figures.put("promises_broken", sum.broken.len() as f64, Aim::AtMost(0.0));
        figures.put("never_agreed_again", sum.never.len() as f64, Aim::AtMost(seeds as f64 / 200.0));
        figures.told("lagging_or_left_out", sum.lagging as f64);
        figures.told("healthy_put_out", sum.healthy as f64);
        figures.told("agreed_after_heal_s_median", seconds(sum.agreed.at(0.5)));
        figures.told("agreed_after_heal_s_99", seconds(sum.agreed.at(0.99)));
        figures.told("agreed_after_heal_s_worst", seconds(sum.agreed.most()));
        figures.told("put_out_s_median", seconds(sum.put_out.at(0.5)));
        for (seed, promise) in sum.broken.iter().take(5) {
            tracing::warn!(event = "broken", seed, promise, "replay: --members {members} --seeds 1");
        }
        sum.never.iter().take(5).for_each(|seed| tracing::warn!(event = "never_agreed", seed));
    }
    // Up to the size asked for, so that the plot shows what grows and what does not.
    let sizes: Vec<usize> =
        [9, 30, 90, 300, 900].into_iter().filter(|size| *size <= members.max(90)).collect();
    let mut seen: [Vec<(f64, f64)>; 4] = Default::default();
    for size in sizes {
        let (report, of_size) = growth(ground.seed, size);
        figures.phase(name_of(size), of_size);
        let grown = &report.growth;
        let values =
            [seconds(report.known_ms.most()), grown.rest_bytes, grown.start_bytes, grown.death_bytes];
        for (points, value) in seen.iter_mut().zip(values) {
            points.extend(value.map(|value| (size as f64, value)));
        }
    }
    let [known, calm, start, death] = seen;
    figures.phase("fit_bytes_a_member_a_second", slope(&calm));
    figures.phase("fit_start_bytes_a_member", slope(&start));
    figures.phase("fit_death_bytes_a_member", slope(&death));
    // The time grows with the logarithm of the members.
    let by_log: Vec<(f64, f64)> = known.iter().map(|(size, value)| (size.log2(), *value)).collect();
    figures.phase("fit_until_all_know_s_by_log2", slope(&by_log));
    let bytes = calm.iter().map(|(size, value)| (*size, value / 1000.0)).collect();
    if let Some(folder) = &ground.logs {
        plot(folder, known, bytes)?;
    }
    Ok(figures)
}

fn name_of(size: usize) -> &'static str {
    match size {
        9 => "members_9",
        30 => "members_30",
        90 => "members_90",
        300 => "members_300",
        _ => "members_900",
    }
}

fn plot(folder: &Path, known: Vec<(f64, f64)>, bytes: Vec<(f64, f64)>) -> Result<(), String> {
    let drawn = [
        Line { name: "seconds until all know of a death, worst".into(), points: known },
        Line { name: "kB a member a second".into(), points: bytes },
    ];
    let path = folder.join("group-model.svg");
    let text = lines("A group as it grows", "members", "seconds, kB a second", &drawn)?;
    std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))
}
