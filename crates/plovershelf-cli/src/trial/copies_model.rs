//! Copies on simulated time: machines lost with their disks throughout, tries that go elsewhere; and the same without copies.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use plovershelf_simulation::replication::{schedule, Came, Plan, World};
use plovershelf_simulation::statistics::Spread;

use super::{Aim, Figures, Ground};

const LOSSES: usize = 20;
const ZONES: usize = 3;

#[derive(Default)]
struct Sum {
    came: Came,
    worst: Vec<u64>,
    launch: Spread,
    answer: Spread,
}

fn many(seeds: std::ops::Range<u64>, members: usize, with_copies: bool) -> Sum {
    let next = AtomicU64::new(seeds.start);
    let sum = Mutex::new(Sum::default());
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return;
        }
        let one = World::run(Plan::of(schedule(seed, members, ZONES, LOSSES), seed, with_copies));
        let Ok(mut sum) = sum.lock() else { return };
        if one.effects_twice + one.succeeded_then_other + one.verdicts_that_differ > 0 {
            sum.worst.push(seed);
        }
        sum.launch.join(&one.launch_wait_ms);
        sum.answer.join(&one.answer_wait_ms);
        let all = &mut sum.came;
        for (sum, one) in [
            (&mut all.tickets, one.tickets),
            (&mut all.repeats_elsewhere, one.repeats_elsewhere),
            (&mut all.machines_lost, one.machines_lost),
            (&mut all.effects_twice, one.effects_twice),
            (&mut all.succeeded_then_other, one.succeeded_then_other),
            (&mut all.verdicts_that_differ, one.verdicts_that_differ),
            (&mut all.in_doubt, one.in_doubt),
            (&mut all.ran_on_lost, one.ran_on_lost),
            (&mut all.succeeded, one.succeeded),
            (&mut all.messages, one.messages),
        ] {
            *sum += one;
        }
        all.most_lost_at_once = all.most_lost_at_once.max(one.most_lost_at_once);
        all.low_ms_most = all.low_ms_most.max(one.low_ms_most);
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
    let with = many(from..from + seeds, members, true);
    let without = many(from..from + seeds.min(20), members, false);
    let came = &with.came;
    let mut figures = Figures::default();
    let none = Aim::AtMost(0.0);
    // Without a ticket there is no share of tickets.
    let a_ticket = |value: f64| (came.tickets > 0).then(|| value / came.tickets as f64);
    figures.told("members", members as f64);
    figures.told("seeds", seeds as f64);
    figures.told("tickets", came.tickets as f64);
    figures.told("repeats_elsewhere", came.repeats_elsewhere as f64);
    figures.put("machines_lost_with_disk", came.machines_lost as f64, Aim::AtLeast(20.0 * seeds as f64));
    figures.put("most_lost_at_once", came.most_lost_at_once as f64, Aim::AtLeast(2.0));
    figures.put("effects_twice", came.effects_twice as f64, none);
    figures.put("succeeded_then_other", came.succeeded_then_other as f64, none);
    figures.put("verdicts_that_differ", came.verdicts_that_differ as f64, none);
    let beyond = came.in_doubt.saturating_sub(came.ran_on_lost) as f64;
    figures.put("in_doubt_share_beyond_lost", a_ticket(beyond), Aim::Under(0.005));
    figures.told("in_doubt_share", a_ticket(came.in_doubt as f64));
    figures.told("succeeded_share", a_ticket(came.succeeded as f64));
    figures.told("launch_wait_ms_median", with.launch.at(0.5));
    figures.told("answer_wait_ms_median", with.answer.at(0.5));
    // Two of three ways lead to another zone: half a millisecond at the median, and as much again between zones.
    let round_trip = 2.0 * (0.5 + 0.5 * (1.0 - 1.0 / ZONES as f64));
    figures.told("round_trip_ms_mean", round_trip);
    let waits = with.launch.at(0.5).zip(with.answer.at(0.5));
    let added = waits.map(|(launch, answer)| (launch + answer) / round_trip);
    figures.put("wait_added_round_trips", added, Aim::AtMost(3.5));
    figures.told("messages_a_ticket", a_ticket(came.messages as f64));
    figures.told("copies_low_s_worst", came.low_ms_most / 1000.0);
    figures.put("without_effects_twice", without.came.effects_twice as f64, Aim::AtLeast(1.0));
    figures.put("without_succeeded_then_other", without.came.succeeded_then_other as f64, Aim::AtLeast(1.0));
    with.worst.iter().take(5).for_each(|seed| tracing::warn!(event = "broken", seed));
    Ok(figures)
}
