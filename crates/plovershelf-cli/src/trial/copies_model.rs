//! Trial `copies-model`: replication in simulated time. Machines are lost with their disks throughout while callers retry at
//! other backends; the same seeds run without replication for comparison.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use plovershelf_simulation::replication::{schedule, Mode, Plan, Report, World};
use plovershelf_simulation::statistics::SampleDistribution;

use super::{Bound, Figures, TrialContext};

const LOSSES: usize = 20;
const ZONES: usize = 3;

/// Totals over all seeds.
#[derive(Default)]
struct Totals {
    report: Report,
    /// Seeds in which a rule was broken.
    broken_seeds: Vec<u64>,
    launch_wait_ms: SampleDistribution,
    answer_wait_ms: SampleDistribution,
}

/// Simulates all seeds on all cores.
fn run_seeds(seeds: std::ops::Range<u64>, members: usize, mode: Mode) -> Totals {
    let next = AtomicU64::new(seeds.start);
    let totals = Mutex::new(Totals::default());
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return;
        }
        let report = World::run(Plan::new(schedule(seed, members, ZONES, LOSSES), seed, mode));
        let Ok(mut totals) = totals.lock() else { return };
        if report.executed_twice + report.changed_after_success + report.conflicting_outcomes > 0 {
            totals.broken_seeds.push(seed);
        }
        totals.launch_wait_ms.join(&report.launch_wait_ms);
        totals.answer_wait_ms.join(&report.answer_wait_ms);
        let all = &mut totals.report;
        for (total, value) in [
            (&mut all.keys, report.keys),
            (&mut all.retries_elsewhere, report.retries_elsewhere),
            (&mut all.machines_lost, report.machines_lost),
            (&mut all.executed_twice, report.executed_twice),
            (&mut all.changed_after_success, report.changed_after_success),
            (&mut all.conflicting_outcomes, report.conflicting_outcomes),
            (&mut all.in_doubt, report.in_doubt),
            (&mut all.ran_on_lost, report.ran_on_lost),
            (&mut all.succeeded, report.succeeded),
            (&mut all.messages, report.messages),
        ] {
            *total += value;
        }
        all.max_lost_at_once = all.max_lost_at_once.max(report.max_lost_at_once);
        all.max_under_replicated_ms = all.max_under_replicated_ms.max(report.max_under_replicated_ms);
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(work))));
    totals.into_inner().unwrap_or_default()
}

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let (members, seeds) = (context.members.unwrap_or(9), context.seeds.unwrap_or(20));
    if !(4..=300).contains(&members) {
        return Err(format!("--members {members}: from 4 to 300"));
    }
    let from = context.seed * 100_000;
    let with = run_seeds(from..from + seeds, members, Mode::Replicated);
    let without = run_seeds(from..from + seeds.min(20), members, Mode::Alone);
    let report = &with.report;
    let mut figures = Figures::default();
    let zero = Bound::AtMost(0.0);
    // Without any key a fraction of keys is undefined.
    let per_key = |value: f64| (report.keys > 0).then(|| value / report.keys as f64);
    figures.report("members", members as f64);
    figures.report("seeds", seeds as f64);
    figures.report("tickets", report.keys as f64);
    figures.report("repeats_elsewhere", report.retries_elsewhere as f64);
    figures.put("machines_lost_with_disk", report.machines_lost as f64, Bound::AtLeast(20.0 * seeds as f64));
    figures.put("most_lost_at_once", report.max_lost_at_once as f64, Bound::AtLeast(2.0));
    figures.put("effects_twice", report.executed_twice as f64, zero);
    figures.put("succeeded_then_other", report.changed_after_success as f64, zero);
    figures.put("verdicts_that_differ", report.conflicting_outcomes as f64, zero);
    let beyond_lost = report.in_doubt.saturating_sub(report.ran_on_lost) as f64;
    figures.put("in_doubt_share_beyond_lost", per_key(beyond_lost), Bound::Under(0.005));
    figures.report("in_doubt_share", per_key(report.in_doubt as f64));
    figures.report("succeeded_share", per_key(report.succeeded as f64));
    figures.report("launch_wait_ms_median", with.launch_wait_ms.at(0.5));
    figures.report("answer_wait_ms_median", with.answer_wait_ms.at(0.5));
    // The one-way latency is 0.5 ms at the median, and another 0.5 ms between zones; two of three links cross zones.
    let round_trip_ms = 2.0 * (0.5 + 0.5 * (1.0 - 1.0 / ZONES as f64));
    figures.report("round_trip_ms_mean", round_trip_ms);
    let waits = with.launch_wait_ms.at(0.5).zip(with.answer_wait_ms.at(0.5));
    let added = waits.map(|(launch, answer)| (launch + answer) / round_trip_ms);
    figures.put("wait_added_round_trips", added, Bound::AtMost(3.5));
    figures.report("messages_a_ticket", per_key(report.messages as f64));
    figures.report("copies_low_s_worst", report.max_under_replicated_ms / 1000.0);
    figures.put("without_effects_twice", without.report.executed_twice as f64, Bound::AtLeast(1.0));
    figures.put(
        "without_succeeded_then_other",
        without.report.changed_after_success as f64,
        Bound::AtLeast(1.0),
    );
    with.broken_seeds.iter().take(5).for_each(|seed| tracing::warn!(event = "broken", seed));
    Ok(figures)
}
