//! Trial `changes-model`: configuration distribution in simulated time. Each fault scenario runs with the distribution tree,
//! with direct distribution by the leader, and with gossip at two intervals, on the same seeds and changes. Afterwards the
//! costs of the tree are measured at growing sizes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use plovershelf_config_distribution::DistributionConfig;
use plovershelf_simulation::changes::direct::Direct;
use plovershelf_simulation::changes::gossip::Gossip;
use plovershelf_simulation::changes::shapes::{Scenario, SCENARIOS, TIME_FACTOR};
use plovershelf_simulation::changes::tree::Tree;
use plovershelf_simulation::changes::{
    self, Rates, RunReport, BAD_CHANGES_NOTHING, CUT_OFF_SERVES_ON, IN_FORCE_MS, NEVER_BACKWARDS,
    ONE_CONTENT_A_NUMBER,
};
use plovershelf_simulation::plot::{lines, Line};
use plovershelf_simulation::statistics::{Fit, SampleDistribution};

use super::{Bound, Figures, TrialContext};

/// Largest traffic of a backend, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 4096.0;
/// Simulations that run at the same time. The number is limited because each one stores the contents of all its members.
const CONCURRENT_RUNS: usize = 2;
const SIZES: [(usize, &str); 4] =
    [(30, "members_30"), (100, "members_100"), (300, "members_300"), (900, "members_900")];

/// Expands each scenario's name to the names of its four phases, one for each distribution method.
macro_rules! phase_names {
    ($($name:literal),*) => { [$([
        $name,
        concat!($name, "/leader-to-all"),
        concat!($name, "/gossip-0.3"),
        concat!($name, "/gossip-1.0"),
    ]),*] };
}

const NAMES: [[&str; 4]; SCENARIOS.len()] = phase_names!(
    "calm",
    "day",
    "burst",
    "release",
    "rack",
    "zone",
    "zone-stopped",
    "relays",
    "relays-gone",
    "relay-gone",
    "relay-stopped",
    "relays-deaf",
    "relays-slow",
    "source",
    "source-gone",
    "sources",
    "regions",
    "back",
    "loss",
    "mangled"
);

/// Runs all items, `CONCURRENT_RUNS` at a time; returns the results in the order of the items.
fn run_all<T: Sync, R: Send>(work: &[T], run: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    let worker = || loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(item) = work.get(index) else { return };
        let result = run(item);
        if let Ok(mut results) = results.lock() {
            results.push((index, result));
        }
    };
    std::thread::scope(|scope| (0..CONCURRENT_RUNS).for_each(|_| drop(scope.spawn(worker))));
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Runs a scenario with each method. The tree runs first; the faults of the other methods hit the same members.
fn run_methods(scenario: &Scenario) -> [RunReport; 4] {
    let tree = changes::run::<Tree>(scenario, None);
    let fault_targets = Some(&tree.fault_targets[..]);
    let direct = changes::run::<Direct>(scenario, fault_targets);
    let gossip = changes::run::<Gossip<300>>(scenario, fault_targets);
    let slow_gossip = changes::run::<Gossip<1000>>(scenario, fault_targets);
    [tree, direct, gossip, slow_gossip]
}

fn max(values: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    values.flatten().reduce(f64::max)
}

fn mean(values: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    let all: Vec<f64> = values.flatten().collect();
    (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
}

/// Returns the figures of one method in one scenario over all seeds. Only the tree is `judged` against bounds.
fn figures(name: &str, runs: &[&RunReport], judged: bool) -> Figures {
    let mut figures = Figures::default();
    let bound = |bound: Bound| if judged { bound } else { Bound::Informational };
    let zero = bound(Bound::AtMost(0.0));
    let sum = |value: &dyn Fn(&RunReport) -> u64| runs.iter().map(|run| value(run)).sum::<u64>() as f64;
    let rate = |rates: &dyn Fn(&RunReport) -> Rates| -> [Option<f64>; 3] {
        let rates: Vec<Rates> = runs.iter().map(|run| rates(run)).collect();
        [
            mean(rates.iter().map(|rates| rates.mean)),
            max(rates.iter().map(|rates| rates.most)),
            max(rates.iter().map(|rates| rates.second)),
        ]
    };
    let bounded = if matches!(name, "calm" | "day") {
        bound(Bound::AtMost(MAX_BYTES_PER_SECOND))
    } else {
        Bound::Informational
    };
    let [listener, max_listener, worst_listener_second] = rate(&|run| run.spent.listeners);
    figures.put("bytes_a_listener_a_second", listener, bounded);
    figures.report("bytes_worst_listener_a_second", max_listener);
    figures.report("bytes_worst_listener_worst_second", worst_listener_second);
    if judged {
        let [relay, max_relay, _] = rate(&|run| run.spent.relays);
        figures.report("bytes_a_relay_a_second", relay);
        // A relay is also a backend and has the same budget while no changes are made.
        let calm = if name == "calm" { Bound::AtMost(MAX_BYTES_PER_SECOND) } else { Bound::Informational };
        figures.put("bytes_worst_relay_a_second", max_relay, calm);
    }
    let [source, max_source, worst_source_second] = rate(&|run| run.spent.sources);
    figures.report("bytes_a_source_a_second", source);
    figures.report("bytes_worst_source_a_second", max_source);
    figures.report("bytes_worst_source_worst_second", worst_source_second);
    let highest =
        |value: &dyn Fn(&RunReport) -> u64| runs.iter().map(|run| value(run)).max().map(|n| n as f64);
    figures.report("messages_worst_second", highest(&|run| run.spent.messages_second));
    figures.report("peers_worst_second", highest(&|run| run.spent.peers_second));
    let config = DistributionConfig::default();
    if judged {
        figures.put(
            "fed_by_a_source_most",
            highest(&|run| run.spent.children_of_source),
            Bound::AtMost(config.origin_failover_fan_out as f64),
        );
        figures.put(
            "fed_by_a_relay_most",
            highest(&|run| run.spent.children_of_listener),
            Bound::AtMost(config.failover_fan_out as f64),
        );
        figures.put("depth_most", highest(&|run| run.spent.depth), Bound::AtMost(2.0));
    } else {
        figures.report("fed_by_a_source_most", highest(&|run| run.spent.children_of_source));
    }
    if name != "calm" {
        let mut in_force = SampleDistribution::default();
        runs.iter().for_each(|run| in_force.join(&run.in_force_ms));
        let seconds = |ms: Option<f64>| ms.map(|ms| ms / 1000.0);
        figures.put("changes", sum(&|run| run.agreed), bound(Bound::AtLeast(runs.len() as f64 * 10.0)));
        figures.report("changes_without_a_council", sum(&|run| run.not_agreed));
        figures.report("in_force_s_median", seconds(in_force.at(0.5)));
        figures.put("in_force_s_99", seconds(in_force.at(0.99)), bound(Bound::AtMost(IN_FORCE_MS / 1000.0)));
        figures.report("in_force_s_worst", seconds(in_force.most()));
        figures.report("listeners_not_in_time", sum(&|run| run.late));
    }
    figures.put("reachable_at_end", sum(&|run| run.reachable), bound(Bound::AtLeast(1.0)));
    figures.put("missed", sum(&|run| run.missed), zero);
    figures.put("went_back", sum(&|run| run.count(NEVER_BACKWARDS)), zero);
    if judged {
        // The other methods are simulated with version numbers only and have no contents that could differ.
        figures.put("two_at_one_number", sum(&|run| run.count(ONE_CONTENT_A_NUMBER)), zero);
        figures.put("cut_off_did_not_serve_on", sum(&|run| run.count(CUT_OFF_SERVES_ON)), zero);
        figures.put("bad_changed_something", sum(&|run| run.count(BAD_CHANGES_NOTHING)), zero);
        let miscounted = |run: &RunReport| {
            run.counted.abs_diff(run.reachable) + run.counted_in_force.abs_diff(run.reachable)
        };
        figures.put("counted_wrong_at_sources", sum(&miscounted), zero);
    }
    figures
}

/// Adds the figures of the tree at growing sizes, without changes and on an ordinary day.
fn add_growth_figures(
    context: &TrialContext,
    members: usize,
    all_figures: &mut Figures,
) -> Result<(), String> {
    let sizes: Vec<(usize, &'static str)> = SIZES.into_iter().filter(|(size, _)| *size <= members).collect();
    let seeds = context.seeds.unwrap_or(1);
    let work: Vec<(usize, &'static str, u64)> = sizes
        .iter()
        .flat_map(|(size, _)| ["calm", "day"].map(|name| (*size, name)))
        .flat_map(|(size, name)| (context.seed..context.seed + seeds).map(move |seed| (size, name, seed)))
        .collect();
    let runs =
        run_all(&work, |(size, name, seed)| changes::run::<Tree>(&Scenario::of(name, *size, *seed), None));
    type Figure = (&'static str, &'static str, fn(&RunReport) -> Option<f64>);
    let growing: [Figure; 7] = [
        ("calm_bytes_a_listener_a_second", "calm", |run| run.spent.listeners.mean),
        ("calm_bytes_worst_relay_a_second", "calm", |run| run.spent.relays.most),
        ("calm_bytes_a_source_a_second", "calm", |run| run.spent.sources.mean),
        ("day_bytes_a_listener_a_second", "day", |run| run.spent.listeners.mean),
        ("day_bytes_a_relay_a_second", "day", |run| run.spent.relays.mean),
        ("day_bytes_a_source_a_second", "day", |run| run.spent.sources.mean),
        ("day_in_force_s_99", "day", |run| run.in_force_at(0.99).map(|ms| ms / 1000.0)),
    ];
    let value = |size: usize, name: &str, figure: fn(&RunReport) -> Option<f64>| {
        let same = work.iter().zip(&runs).filter(|((s, n, _), _)| *s == size && *n == name);
        mean(same.map(|(_, run)| figure(run)))
    };
    for (size, phase) in &sizes {
        let mut figures = Figures::default();
        growing.iter().for_each(|(key, name, figure)| figures.report(key, value(*size, name, *figure)));
        all_figures.phase(phase, figures);
    }
    let mut curves = Vec::new();
    // A linear fit needs at least three sizes.
    for (key, name, figure) in growing.into_iter().filter(|_| sizes.len() > 2) {
        let points: Vec<(f64, f64)> = work
            .iter()
            .zip(&runs)
            .filter(|((_, scenario, _), _)| *scenario == name)
            .filter_map(|((size, ..), run)| figure(run).map(|value| (*size as f64, value)))
            .collect();
        let fit = Fit::of(&points);
        let mut figures = Figures::default();
        figures.report("slope_a_member", fit.map(|fit| fit.slope));
        figures.report("slope_bar", fit.map(|fit| fit.slope_bar()));
        figures.report("intercept", fit.map(|fit| fit.intercept));
        figures.report("r_squared", fit.map(|fit| fit.r_squared));
        figures.report("at_920", fit.map(|fit| fit.at(920.0)));
        all_figures.phase(key, figures);
        curves.push(Line { name: key.into(), points });
    }
    if let Some(folder) = &context.logs {
        let path = folder.join("changes-model.svg");
        let text =
            lines("Numbered changes as the fleet grows", "members", "bytes a second, seconds", &curves)?;
        std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(())
}

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let (members, seeds) = (context.members.unwrap_or(900), context.seeds.unwrap_or(1));
    if !(30..=2000).contains(&members) {
        return Err(format!("--members {members}: from 30 to 2000"));
    }
    if seeds == 0 {
        return Err("--seeds 0: at least 1".into());
    }
    let mut all_figures = Figures::default();
    all_figures.report("members", members as f64);
    all_figures.report("seeds", seeds as f64);
    all_figures.report("tenants", changes::shapes::TENANTS as f64);
    all_figures.report("days_faster", TIME_FACTOR);
    let work: Vec<(usize, u64)> = (0..SCENARIOS.len())
        .flat_map(|scenario| (context.seed..context.seed + seeds).map(move |seed| (scenario, seed)))
        .collect();
    let runs =
        run_all(&work, |(scenario, seed)| run_methods(&Scenario::of(SCENARIOS[*scenario], members, *seed)));
    for (number, names) in NAMES.iter().enumerate() {
        for (method, name) in names.iter().enumerate() {
            let of_scenario = work.iter().zip(&runs).filter(|((scenario, _), _)| *scenario == number);
            let runs: Vec<&RunReport> = of_scenario.map(|(_, runs)| &runs[method]).collect();
            if method == 0 {
                let violations = runs.iter().flat_map(|run| run.broken.iter().take(3));
                violations.for_each(
                    |violation| tracing::warn!(event = "broken", shape = name, details = ?violation),
                );
            }
            all_figures.phase(name, figures(names[0], &runs, method == 0));
        }
    }
    add_growth_figures(context, members, &mut all_figures)?;
    Ok(all_figures)
}

#[cfg(test)]
mod tests;
