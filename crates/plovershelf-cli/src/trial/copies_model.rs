//! Replication on simulated time: machines lost with their disks throughout, retries that go elsewhere; and the same without
//! replication.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use plovershelf_simulation::replication::{schedule, Mode, Plan, Report, World};
use plovershelf_simulation::statistics::Spread;

use super::{Aim, Figures, Ground};

const LOSSES: usize = 20;
const ZONES: usize = 3;

#[derive(Default)]
struct Sum {
    report: Report,
    worst: Vec<u64>,
    launch: Spread,
    answer: Spread,
}

fn many(seeds: std::ops::Range<u64>, members: usize, mode: Mode) -> Sum {
    let next = AtomicU64::new(seeds.start);
    let sum = Mutex::new(Sum::default());
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return;
        }
        let one = World::run(Plan::new(schedule(seed, members, ZONES, LOSSES), seed, mode));
        let Ok(mut sum) = sum.lock() else { return };
        if one.executed_twice + one.changed_after_success + one.conflicting_outcomes > 0 {
            sum.worst.push(seed);
        }
        sum.launch.join(&one.launch_wait_ms);
        sum.answer.join(&one.answer_wait_ms);
        let all = &mut sum.report;
        for (sum, one) in [
            (&mut all.keys, one.keys),
            (&mut all.retries_elsewhere, one.retries_elsewhere),
            (&mut all.machines_lost, one.machines_lost),
            (&mut all.executed_twice, one.executed_twice),
            (&mut all.changed_after_success, one.changed_after_success),
            (&mut all.conflicting_outcomes, one.conflicting_outcomes),
            (&mut all.in_doubt, one.in_doubt),
            (&mut all.ran_on_lost, one.ran_on_lost),
            (&mut all.succeeded, one.succeeded),
            (&mut all.messages, one.messages),
        ] {
            *sum += one;
        }
        all.max_lost_at_once = all.max_lost_at_once.max(one.max_lost_at_once);
        all.max_under_replicated_ms = all.max_under_replicated_ms.max(one.max_under_replicated_ms);
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(work))));
    sum.into_inner().unwrap_or_default()
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let (members, seeds) = (ground.members.unwrap_or(9), ground.seeds.unwrap_or(20));
    if !(4..=300).contains(&members) {
        return Err(format!("--members {members}: from 4 to 300"));
    }
    let from = ground.seed * 100_000;
    let with = many(from..from + seeds, members, Mode::Replicated);
    let without = many(from..from + seeds.min(20), members, Mode::Alone);
    let report = &with.report;
    let mut figures = Figures::default();
    let none = Aim::AtMost(0.0);
    // Without a key there is no fraction of keys.
    let per_key = |value: f64| (report.keys > 0).then(|| value / report.keys as f64);
    figures.told("members", members as f64);
    figures.told("seeds", seeds as f64);
    figures.told("tickets", report.keys as f64);
    figures.told("repeats_elsewhere", report.retries_elsewhere as f64);
    figures.put("machines_lost_with_disk", report.machines_lost as f64, Aim::AtLeast(20.0 * seeds as f64));
    figures.put("most_lost_at_once", report.max_lost_at_once as f64, Aim::AtLeast(2.0));
    figures.put("effects_twice", report.executed_twice as f64, none);
    figures.put("succeeded_then_other", report.changed_after_success as f64, none);
    figures.put("verdicts_that_differ", report.conflicting_outcomes as f64, none);
    let beyond = report.in_doubt.saturating_sub(report.ran_on_lost) as f64;
    figures.put("in_doubt_share_beyond_lost", per_key(beyond), Aim::Under(0.005));
    figures.told("in_doubt_share", per_key(report.in_doubt as f64));
    figures.told("succeeded_share", per_key(report.succeeded as f64));
    figures.told("launch_wait_ms_median", with.launch.at(0.5));
    figures.told("answer_wait_ms_median", with.answer.at(0.5));
    // Two of three ways lead to another zone: half a millisecond at the median, and as much again between zones.
    let round_trip = 2.0 * (0.5 + 0.5 * (1.0 - 1.0 / ZONES as f64));
    figures.told("round_trip_ms_mean", round_trip);
    let waits = with.launch.at(0.5).zip(with.answer.at(0.5));
    let added = waits.map(|(launch, answer)| (launch + answer) / round_trip);
    figures.put("wait_added_round_trips", added, Aim::AtMost(3.5));
    figures.told("messages_a_ticket", per_key(report.messages as f64));
    figures.told("copies_low_s_worst", report.max_under_replicated_ms / 1000.0);
    figures.put("without_effects_twice", without.report.executed_twice as f64, Aim::AtLeast(1.0));
    figures.put(
        "without_succeeded_then_other",
        without.report.changed_after_success as f64,
        Aim::AtLeast(1.0),
    );
    with.worst.iter().take(5).for_each(|seed| tracing::warn!(event = "broken", seed));
    Ok(figures)
}
