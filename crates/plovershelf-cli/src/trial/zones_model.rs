//! Trial `zones-model`: zones in simulated time. Each fault scenario runs with the failover plan, with callers that choose
//! zones by their own observations, with fixed weights, and with the best possible routing under full knowledge. Results of
//! the same seed are compared in pairs.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use plovershelf_simulation::plot::{lines, Line};
use plovershelf_simulation::statistics::compared;
use plovershelf_simulation::zones::{RoutingPolicy, RunReport, Scenario, World, SCENARIOS};

use super::{Bound, Figures, TrialContext};

/// Routing policies, in the order of the results.
const POLICIES: [RoutingPolicy; 4] =
    [RoutingPolicy::Plan, RoutingPolicy::Alone, RoutingPolicy::Fixed, RoutingPolicy::Best];

/// Simulates a scenario on all cores; returns the results of the four policies by seed.
fn play(name: &'static str, members: usize, seeds: std::ops::Range<u64>) -> Vec<[RunReport; 4]> {
    let all: Vec<u64> = seeds.collect();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![Default::default(); all.len()]);
    let work = || loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(seed) = all.get(index).copied() else { return };
        let by_policy = POLICIES.map(|policy| World::run(Scenario::of(name, members, seed), policy, seed));
        if let Ok(mut results) = results.lock() {
            results[index] = by_policy;
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(work))));
    results.into_inner().unwrap_or_default()
}

/// Returns the fraction of the requested revenue that was earned.
fn revenue_share(result: &RunReport) -> f64 {
    result.worth / result.value_demanded.max(1e-9)
}

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let (members, seeds) = (context.members.unwrap_or(36), context.seeds.unwrap_or(20));
    if !(6..=900).contains(&members) {
        return Err(format!("--members {members}: from 6 to 900"));
    }
    if seeds == 0 {
        return Err("--seeds 0: at least 1".into());
    }
    let from = context.seed * 100_000;
    let mut figures = Figures::default();
    let zero = Bound::AtMost(0.0);
    let (mut local_calm, mut needless, mut past_bound) = ([0.0; 2], 0, 0);
    for name in SCENARIOS {
        let results = play(name, members, from..from + seeds);
        let mean = |value: &dyn Fn(&[RunReport; 4]) -> f64| {
            results.iter().map(value).sum::<f64>() / results.len() as f64
        };
        let worst =
            |value: &dyn Fn(&RunReport) -> f64| results.iter().map(|run| value(&run[0])).fold(0.0, f64::max);
        let ratio = |counts: &dyn Fn(&RunReport) -> [f64; 2]| {
            let sum =
                results.iter().map(|run| counts(&run[0])).fold([0.0; 2], |a, b| [a[0] + b[0], a[1] + b[1]]);
            (sum[1] > 0.0).then(|| sum[0] / sum[1])
        };
        let calm = results
            .iter()
            .map(|run| run[0].local_fault_free)
            .fold([0.0; 2], |a, b| [a[0] + b[0], a[1] + b[1]]);
        local_calm = [local_calm[0] + calm[0], local_calm[1] + calm[1]];
        needless += results.iter().map(|run| run[0].needless).sum::<u64>();
        past_bound += results.iter().map(|run| run[0].two_plans_past_bound).sum::<u64>();
        let mut scenario_figures = Figures::default();
        let best = mean(&|run| revenue_share(&run[3]));
        let planned = mean(&|run| revenue_share(&run[0]));
        scenario_figures.report("revenue_share", planned);
        scenario_figures.report("revenue_share_best", best);
        scenario_figures.report("revenue_share_each_alone", mean(&|run| revenue_share(&run[1])));
        scenario_figures.report("revenue_share_fixed", mean(&|run| revenue_share(&run[2])));
        scenario_figures.put("revenue_to_best", planned / best.max(1e-9), Bound::AtLeast(0.93));
        // A difference that is not statistically significant is smaller than its error bar and is not judged.
        let gain_over = |other: usize| -> Vec<f64> {
            results.iter().map(|run| revenue_share(&run[0]) - revenue_share(&run[other])).collect()
        };
        let (alone, fixed) = (compared(&gain_over(1)), compared(&gain_over(2)));
        scenario_figures.put(
            "over_each_alone",
            alone.mean,
            Bound::AtLeast(if alone.told { 0.0 } else { -1.0 }),
        );
        scenario_figures.report("over_each_alone_bar", alone.bar.min(9.0));
        scenario_figures.report("over_each_alone_told", f64::from(u8::from(alone.told)));
        scenario_figures.report("over_fixed", fixed.mean);
        scenario_figures.report("over_fixed_bar", fixed.bar.min(9.0));
        scenario_figures.put("near_share_healthy_zones", ratio(&|c| c.near_healthy), Bound::AtLeast(0.9));
        scenario_figures.put(
            "shift_s_worst",
            worst(&|c| c.shift_ms_worst) / 1000.0,
            Bound::AtMost(if name == "late-news" { 9.0 } else { 3.0 }),
        );
        scenario_figures.report("two_plans_past_bound", worst(&|c| c.two_plans_past_bound as f64));
        scenario_figures.report("return_s_worst", worst(&|c| c.return_ms_worst) / 1000.0);
        scenario_figures.put("survivors_overrun_s", worst(&|c| c.overrun_s), Bound::AtMost(0.5));
        scenario_figures.put(
            "moves_a_minute_worst",
            worst(&|c| c.reversals_per_minute as f64),
            Bound::AtMost(2.0),
        );
        figures.phase(name, scenario_figures);
        if let Some(folder) = &context.logs {
            let line = |policy: usize, label: &str| Line {
                name: label.to_string(),
                points: results
                    .iter()
                    .enumerate()
                    .map(|(n, run)| (n as f64, revenue_share(&run[policy])))
                    .collect(),
            };
            let curves =
                [line(0, "by the plan"), line(1, "each alone"), line(2, "fixed"), line(3, "best possible")];
            let text = lines(&format!("Zones: {name}"), "seed", "share of the worth asked for", &curves)?;
            let path = folder.join(format!("zones-{name}.svg"));
            std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        }
    }
    figures.report("members", members as f64);
    figures.report("seeds", seeds as f64);
    figures.put("near_share_calm", local_calm[0] / local_calm[1].max(1e-9), Bound::AtLeast(0.98));
    figures.put("needless_shifts", needless as f64, zero);
    figures.put("two_plans_past_bound", past_bound as f64, zero);
    Ok(figures)
}
