//! Groups on simulated time: thousands of drawn schedules, and how the group behaves as it grows.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use plovershelf_model::group::{Plan, World};
use plovershelf_model::plot::{lines, Line};
use plovershelf_model::schedule::{Fault, Folder, Schedule, Step};
use plovershelf_model::statistics::Spread;

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
    known: Spread,
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
        let came = World::run(Plan::of(schedule, seed));
        let Ok(mut sum) = sum.lock() else { return };
        sum.broken.extend(came.audit.broken.iter().map(|b| (seed, b.promise.to_string())));
        match came.agreed_after_ms {
            Some(ms) => sum.agreed.put(ms),
            None => sum.never.push(seed),
        }
        sum.lagging += (came.lagging + came.left_out) as u64;
        sum.healthy += came.healthy_put_out.len() as u64;
        sum.put_out.join(&came.put_out_ms);
        sum.known.join(&came.known_ms);
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(work))));
    sum.into_inner().unwrap_or_default()
}

/// How it grows: deaths of single members, far apart, and nothing else wrong.
fn growth(seed: u64, members: usize, deaths: usize) -> (Spread, Spread, f64, u64) {
    let mut schedule = Schedule { members, zones: ZONES, steps: Vec::new() };
    for place in 0..deaths {
        let member = ZONES + (seed as usize * 7 + place * 13) % (members - ZONES);
        let fault = Fault::Kill { member, folder: Folder::Kept };
        schedule.steps.push(Step { at_ms: 8000.0 + place as f64 * 9000.0, for_ms: 8000.0, fault });
    }
    let mut plan = Plan::of(schedule, seed);
    plan.count_bytes = true;
    let came = World::run(plan);
    (
        came.known_ms,
        came.put_out_ms,
        came.bytes as f64 / came.member_seconds,
        came.healthy_put_out.len() as u64,
    )
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
        figures.told("agreed_after_heal_s_median", sum.agreed.at(0.5) / 1000.0);
        figures.told("agreed_after_heal_s_99", sum.agreed.at(0.99) / 1000.0);
        figures.told("agreed_after_heal_s_worst", sum.agreed.most() / 1000.0);
        figures.told("put_out_s_median", sum.put_out.at(0.5) / 1000.0);
        for (seed, promise) in sum.broken.iter().take(5) {
            tracing::warn!(event = "broken", seed, promise, "replay: --members {members} --seeds 1");
        }
        sum.never.iter().take(5).for_each(|seed| tracing::warn!(event = "never_agreed", seed));
    }
    // Up to the size asked for, so that the plot shows what grows and what does not.
    let sizes: Vec<usize> =
        [9, 30, 90, 300, 900].into_iter().filter(|size| *size <= members.max(90)).collect();
    let (mut known, mut bytes) = (Vec::new(), Vec::new());
    for size in sizes {
        let (spread, out, rate, false_deaths) = growth(ground.seed, size, if size > 100 { 2 } else { 6 });
        let mut of_size = Figures::default();
        of_size.told("until_all_know_s_median", spread.at(0.5) / 1000.0);
        of_size.told("until_all_know_s_worst", spread.most() / 1000.0);
        of_size.told("put_out_s_worst", out.most() / 1000.0);
        of_size.told("bytes_a_member_a_second", rate);
        of_size.told("healthy_put_out", false_deaths as f64);
        figures.phase(name_of(size), of_size);
        known.push((size as f64, spread.most() / 1000.0));
        bytes.push((size as f64, rate / 1000.0));
    }
    let (first, last) = (bytes.first().map_or(1.0, |b| b.1), bytes.last().map_or(1.0, |b| b.1));
    figures.told("bytes_growth", last / first);
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
