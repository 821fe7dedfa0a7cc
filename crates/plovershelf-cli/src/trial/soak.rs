//! Backends under overlapping faults of all kinds, drawn from a seed, and judged by the histories of callers and peers.
//!
//! - `plan`: what a seed draws.
//! - `callers`, `probes`: who talks to the backends, well and badly.
//! - `faults`: what is done to backends and their peers.
//! - `disturbance`: how much the machine itself held up the run.
//! - `judge`: the promises, and what breaks them.

mod callers;
mod disturbance;
mod faults;
mod judge;
mod plan;
mod probes;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

use async_io::Timer;
use futures_lite::future;
use plovershelf_testkit::cores::CoresConfig;
use plovershelf_testkit::dependency::DependencyConfig;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::{Clock, Executor};
use serde_json::json;

use self::callers::Counts;
use self::disturbance::Disturbance;
use self::faults::{Player, SharedLog};
use self::judge::{Caused, Evidence, Promise, Violation};
use self::plan::{Plan, CORES, DEPENDENCY_SHARE, OVERLOAD_FACTOR};
use self::probes::SharedSeen;
use super::{Aim, Figures, Ground};

const DEFAULT_SPAN_MS: f64 = 12_000.0;
const MIN_SPAN_MS: f64 = 8000.0;
/// After the span all that is open comes to its end.
const LAST_ANSWERS_MS: f64 = 3000.0;
/// After the backends' end all connections end.
const LAST_ENDS_MS: f64 = 300.0;
const READY_TIMEOUT_MS: f64 = 15_000.0;
/// Violations that are printed of a seed.
const MAX_PRINTED: usize = 5;
const MIN_READY_FRACTION: f64 = 0.9;

/// What one seed came to.
struct Outcome {
    caused: Caused,
    retries: u64,
    violations: Vec<Violation>,
    worst_late_ms: f64,
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let span_ms = ground.seconds.map_or(DEFAULT_SPAN_MS, |seconds| seconds * 1000.0).max(MIN_SPAN_MS);
    let mut by_promise: BTreeMap<Promise, u64> = BTreeMap::new();
    let (mut broken_seeds, mut void_seeds) = (Vec::new(), Vec::new());
    let (mut sum, mut retries, mut worst_late_ms) = (Caused::default(), 0, 0.0f64);
    let seeds = ground.seeds.unwrap_or(1);
    for seed in ground.seed..ground.seed + seeds {
        let plan = Plan::draw(seed, span_ms);
        let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
        let outcome = play(&executor, ground, &plan)?;
        if !outcome.violations.is_empty() {
            broken_seeds.push(seed);
            print_violations(ground, &plan, &outcome.violations);
        }
        let caused = outcome.caused;
        if caused.restarts == 0 || caused.rejected == 0 || outcome.retries == 0 {
            void_seeds.push(seed);
        }
        outcome
            .violations
            .iter()
            .for_each(|violation| *by_promise.entry(violation.promise).or_default() += 1);
        sum.restarts += caused.restarts;
        sum.restarts_ready += caused.restarts_ready;
        sum.requests += caused.requests;
        sum.succeeded += caused.succeeded;
        sum.rejected += caused.rejected;
        sum.keyed_launches += caused.keyed_launches;
        sum.bad_clients += caused.bad_clients;
        retries += outcome.retries;
        worst_late_ms = worst_late_ms.max(outcome.worst_late_ms);
    }
    let mut figures = Figures::default();
    figures.told("seeds", seeds as f64);
    figures.put("broken_promises", by_promise.values().sum::<u64>() as f64, Aim::AtMost(0.0));
    figures.put("seeds_without_data", void_seeds.len() as f64, Aim::AtMost(0.0));
    let ready = (sum.restarts > 0).then(|| sum.restarts_ready as f64 / sum.restarts as f64);
    figures.put("restarts_ready_in_10_s", ready, Aim::AtLeast(MIN_READY_FRACTION));
    figures.told("requests", sum.requests as f64);
    figures.told("succeeded", sum.succeeded as f64);
    figures.told("rejected", sum.rejected as f64);
    figures.told("retries", retries as f64);
    figures.told("keyed_launches", sum.keyed_launches as f64);
    figures.told("bad_clients", sum.bad_clients as f64);
    figures.told("restarts", sum.restarts as f64);
    figures.told("worst_timer_late_ms", worst_late_ms);
    let by_promise = by_promise.iter().map(|(promise, count)| (promise.name().to_string(), json!(count)));
    figures.note("broken", by_promise.collect::<serde_json::Map<_, _>>().into());
    figures.note("broken_seeds", json!(broken_seeds));
    figures.note("seeds_void", json!(void_seeds));
    Ok(figures)
}

fn print_violations(ground: &Ground, plan: &Plan, violations: &[Violation]) {
    let seconds = plan.span_ms / 1000.0;
    eprintln!(
        "seed {}: {} broken; plovershelf trial soak --seed {0} --seconds {seconds}",
        plan.seed,
        violations.len()
    );
    eprintln!("  {plan:?}");
    for Violation { promise, history } in violations.iter().take(MAX_PRINTED) {
        eprintln!("  {}: {history}", promise.name());
    }
    if let Some(logs) = &ground.logs {
        eprintln!("  logs of the backends: {}", logs.display());
    }
}

fn fleet_config(ground: &Ground, plan: &Plan, pools: Option<PathBuf>) -> FleetConfig {
    FleetConfig {
        program: ground.program.clone(),
        backends: plan.backends,
        cores: CoresConfig {
            cores: CORES,
            overload_factor: OVERLOAD_FACTOR,
            initial_speed: 1.0,
            slow_start_ms: 1.0,
        },
        dependency: DependencyConfig {
            call_ms: 10.0,
            slots: 12 * plan.backends,
            max_in_flight: DEPENDENCY_SHARE as usize * plan.backends,
            outage_ms: 800.0,
        },
        settings: plan.settings(),
        memory_mb: plan.memory_mb,
        sockets: plan.sockets,
        stop_ms: plan.stop_ms,
        logs: ground.logs.clone(),
        pools,
        cluster: None,
        peer_paths: true,
    }
}

fn write_pools(plan: &Plan) -> Result<Option<PathBuf>, String> {
    if !plan.has_pools {
        return Ok(None);
    }
    let name = format!("plovershelf-soak-{}-{}.ini", std::process::id(), plan.seed);
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, plan.pools()).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(Some(path))
}

fn play(executor: &Executor, ground: &Ground, plan: &Plan) -> Result<Outcome, String> {
    let clock = Clock::start();
    let pools = write_pools(plan)?;
    let fleet = Fleet::start(executor, clock, &fleet_config(ground, plan, pools.clone()))
        .map_err(|error| format!("starting backends: {error}"))?;
    if !async_io::block_on(executor.run(fleet.up(clock, READY_TIMEOUT_MS))) {
        return Err("the backends did not come up within 15 s".to_string());
    }
    let addresses = fleet.addresses();
    let effects = fleet.effects.clone();
    let fleet = Rc::new(RefCell::new(fleet));
    let (log, seen): (SharedLog, SharedSeen) = Default::default();
    let (history, counts) = (Rc::default(), Rc::<Counts>::default());
    let disturbance = Disturbance::default();
    let player = Player {
        clock,
        fleet: fleet.clone(),
        log: log.clone(),
        down: Rc::new(RefCell::new(vec![false; plan.backends])),
        stop_ms: plan.stop_ms,
        grace_ms: plan.grace_ms,
        pools: pools.clone(),
    };
    let run = async {
        let watches = [
            executor.spawn(disturbance.clone().watch(clock, fleet.clone())),
            executor.spawn(player.clone().watch_for_crashes()),
            executor.spawn(probes::watch_usage(clock, fleet.clone(), seen.clone())),
        ];
        let main = async {
            let asking = callers::run(executor, clock, plan, &addresses, &history, &counts);
            future::zip(asking, player.clone().play(executor, plan)).await;
            Timer::at(clock.at(clock.now() + LAST_ANSWERS_MS)).await;
        };
        let health = probes::check_health(executor, clock, &addresses, &seen);
        let bad = probes::misbehave(executor, clock, plan, &addresses, &seen);
        let rush = callers::rush(executor, clock, plan, &addresses, &history, &log);
        future::or(main, future::or(health, future::or(bad, rush))).await;
        let ended_ms = clock.now();
        for watch in watches {
            watch.cancel().await;
        }
        // All connections end with their backends, and so do the tasks that hold them.
        fleet.borrow_mut().backends.iter_mut().for_each(|backend| drop(backend.kill()));
        Timer::at(clock.at(ended_ms + LAST_ENDS_MS)).await;
        ended_ms
    };
    let ended_ms = async_io::block_on(executor.run(run));
    let _ = pools.map(std::fs::remove_file);
    let (history, effects, log, seen) = (history.borrow(), effects.borrow(), log.borrow(), seen.borrow());
    let evidence = Evidence {
        plan,
        history: &history,
        effects: &effects,
        log: &log,
        seen: &seen,
        disturbance: &disturbance,
        ended_ms,
    };
    Ok(Outcome {
        caused: evidence.caused(),
        retries: counts.retries.get(),
        violations: evidence.violations(),
        worst_late_ms: disturbance.worst_late_ms(),
    })
}
