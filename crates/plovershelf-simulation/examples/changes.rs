//! Simulates a strategy of configuration distribution and prints the results of each scenario:
//! `changes [tree|direct|gossip] [LISTENERS] [SEED] [SHAPE...]`. Without a scenario, all scenarios run.

use std::sync::atomic::{AtomicUsize, Ordering};

use plovershelf_simulation::changes::direct::Direct;
use plovershelf_simulation::changes::gossip::Gossip;
use plovershelf_simulation::changes::shapes::{Scenario, SCENARIOS};
use plovershelf_simulation::changes::tree::Tree;
use plovershelf_simulation::changes::{run, RunReport};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let strategy = args.first().map_or("tree", String::as_str);
    let number = |index: usize, default: u64| -> u64 {
        args.get(index).map_or(default, |text| text.parse().unwrap_or(default))
    };
    let selected = args.get(3..).unwrap_or_default();
    let names: Vec<&'static str> = SCENARIOS
        .into_iter()
        .filter(|name| selected.is_empty() || selected.iter().any(|scenario| scenario == name))
        .collect();
    let next = AtomicUsize::new(0);
    let work = || {
        while let Some(name) = names.get(next.fetch_add(1, Ordering::Relaxed)) {
            simulate(strategy, name, number(1, 900) as usize, number(2, 1));
        }
    };
    // Two scenarios in parallel keep the memory usage below 1 GB.
    std::thread::scope(|scope| (0..2).for_each(|_| drop(scope.spawn(work))));
}

fn simulate(strategy: &str, name: &'static str, listeners: usize, seed: u64) {
    let started = std::time::Instant::now();
    let scenario = Scenario::of(name, listeners, seed);
    let results: RunReport = match strategy {
        "direct" => run::<Direct>(&scenario, None),
        "gossip" => run::<Gossip<300>>(&scenario, None),
        _ => run::<Tree>(&scenario, None),
    };
    println!(
            "{name:14} {:5.1} s, {} events, agreed {}+{}, in force {:?} 99th {:?} worst {:.0?} ms, late {}, missed {} of {}, counted {} {}, broken {:?}",
            started.elapsed().as_secs_f64(), results.events, results.agreed, results.not_agreed, results.in_force_ms.count(),
            results.in_force_at(0.99), results.in_force_worst(), results.late, results.missed, results.reachable, results.counted,
            results.counted_in_force, results.broken_count,
        );
    let spent = results.spent;
    println!(
            "    bytes a second: listener {:.0?} relay {:.0?} source {:.0?}; messages {}, peers {}, children {} {}, depth {}",
            [spent.listeners.mean, spent.listeners.most, spent.listeners.second].map(Option::unwrap_or_default),
            [spent.relays.mean, spent.relays.most, spent.relays.second].map(Option::unwrap_or_default),
            [spent.sources.mean, spent.sources.most, spent.sources.second].map(Option::unwrap_or_default),
            spent.messages_second, spent.peers_second, spent.children_of_source, spent.children_of_listener, spent.depth
        );
    results.broken.iter().take(4).for_each(|violation| println!("    {violation:?}"));
    results.seen.iter().take(4).for_each(|line| println!("    {line}"));
}
