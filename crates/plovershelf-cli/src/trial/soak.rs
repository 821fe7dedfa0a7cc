//! Soak trial: runs backends under overlapping faults of all kinds, drawn from a seed, and checks their promises against
//! the histories of clients and test peers.
//!
//! - `plan`: the random draw of a run from its seed.
//! - `callers`: clients that send requests.
//! - `probes`: health checks, misbehaving clients and monitoring of the backends' resource usage.
//! - `faults`: fault injection on backends and their peers.
//! - `machine_delay`: delays caused by a busy machine.
//! - `evaluation`: the promises and the detection of violations.

mod callers;
mod evaluation;
mod faults;
mod machine_delay;
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

use self::callers::CallerCounts;
use self::evaluation::{Evaluation, Promise, Totals, Violation};
use self::faults::{FaultInjector, SharedEventLog};
use self::machine_delay::MachineDelay;
use self::plan::{Plan, CORES, DEPENDENCY_SHARE, OVERLOAD_FACTOR};
use self::probes::SharedProbeResults;
use super::{Bound, Figures, TrialContext};

/// Default duration of the load of one seed.
const DEFAULT_SPAN_MS: f64 = 12_000.0;
/// Minimum duration of the load of one seed.
const MIN_SPAN_MS: f64 = 8000.0;
/// Time after the span for open requests to be answered.
const ANSWER_DRAIN_MS: f64 = 3000.0;
/// Time after the kill of all backends for their connections to end.
const CONNECTION_END_MS: f64 = 300.0;
/// Timeout for all backends to be up at the start of a seed.
const READY_TIMEOUT_MS: f64 = 15_000.0;
/// Maximum number of violations printed per seed.
const MAX_PRINTED_VIOLATIONS: usize = 5;
/// Minimum fraction of restarts that must be ready in time.
const MIN_READY_RESTART_FRACTION: f64 = 0.9;

/// Result of the run of one seed.
struct SeedResult {
    totals: Totals,
    retries: u64,
    violations: Vec<Violation>,
    worst_late_ms: f64,
}

/// Runs the given number of seeds, one after the other, and returns the figures of the trial.
pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let span_ms = context.seconds.map_or(DEFAULT_SPAN_MS, |seconds| seconds * 1000.0).max(MIN_SPAN_MS);
    let mut violations_by_promise: BTreeMap<Promise, u64> = BTreeMap::new();
    let (mut failed_seeds, mut seeds_without_data) = (Vec::new(), Vec::new());
    let (mut totals, mut retries, mut worst_late_ms) = (Totals::default(), 0, 0.0f64);
    let seeds = context.seeds.unwrap_or(1);
    for seed in context.seed..context.seed + seeds {
        let plan = Plan::draw(seed, span_ms);
        let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
        let result = run_seed(&executor, context, &plan)?;
        if !result.violations.is_empty() {
            failed_seeds.push(seed);
            print_violations(context, &plan, &result.violations);
        }
        let seed_totals = result.totals;
        if seed_totals.restarts == 0 || seed_totals.rejected == 0 || result.retries == 0 {
            seeds_without_data.push(seed);
        }
        result
            .violations
            .iter()
            .for_each(|violation| *violations_by_promise.entry(violation.promise).or_default() += 1);
        totals.restarts += seed_totals.restarts;
        totals.restarts_ready += seed_totals.restarts_ready;
        totals.requests += seed_totals.requests;
        totals.succeeded += seed_totals.succeeded;
        totals.rejected += seed_totals.rejected;
        totals.keyed_launches += seed_totals.keyed_launches;
        totals.bad_clients += seed_totals.bad_clients;
        retries += result.retries;
        worst_late_ms = worst_late_ms.max(result.worst_late_ms);
    }
    let mut figures = Figures::default();
    figures.report("seeds", seeds as f64);
    figures.put("broken_promises", violations_by_promise.values().sum::<u64>() as f64, Bound::AtMost(0.0));
    figures.put("seeds_without_data", seeds_without_data.len() as f64, Bound::AtMost(0.0));
    let ready = (totals.restarts > 0).then(|| totals.restarts_ready as f64 / totals.restarts as f64);
    figures.put("restarts_ready_in_10_s", ready, Bound::AtLeast(MIN_READY_RESTART_FRACTION));
    figures.report("requests", totals.requests as f64);
    figures.report("succeeded", totals.succeeded as f64);
    figures.report("rejected", totals.rejected as f64);
    figures.report("retries", retries as f64);
    figures.report("keyed_launches", totals.keyed_launches as f64);
    figures.report("bad_clients", totals.bad_clients as f64);
    figures.report("restarts", totals.restarts as f64);
    figures.report("worst_timer_late_ms", worst_late_ms);
    let violation_counts =
        violations_by_promise.iter().map(|(promise, count)| (promise.name().to_string(), json!(count)));
    figures.note("broken", violation_counts.collect::<serde_json::Map<_, _>>().into());
    figures.note("broken_seeds", json!(failed_seeds));
    figures.note("seeds_void", json!(seeds_without_data));
    Ok(figures)
}

/// Prints the plan, the command that repeats the run, and the first violations of a seed.
fn print_violations(context: &TrialContext, plan: &Plan, violations: &[Violation]) {
    let seconds = plan.span_ms / 1000.0;
    eprintln!(
        "seed {}: {} promises broken; to repeat: plovershelf trial soak --seed {0} --seconds {seconds}",
        plan.seed,
        violations.len()
    );
    eprintln!("  {plan:?}");
    for Violation { promise, history } in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        eprintln!("  {}: {history}", promise.name());
    }
    if let Some(logs) = &context.logs {
        eprintln!("  logs of the backends: {}", logs.display());
    }
}

fn fleet_config(context: &TrialContext, plan: &Plan, bulkheads_file: Option<PathBuf>) -> FleetConfig {
    FleetConfig {
        program: context.program.clone(),
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
        logs: context.logs.clone(),
        pools: bulkheads_file,
        cluster: None,
        peer_paths: true,
    }
}

/// Writes the operator's file of bulkheads to the temporary folder, if the plan has bulkheads.
fn write_bulkheads_file(plan: &Plan) -> Result<Option<PathBuf>, String> {
    if !plan.has_bulkheads {
        return Ok(None);
    }
    let name = format!("plovershelf-soak-{}-{}.ini", std::process::id(), plan.seed);
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, plan.bulkheads_config()).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(Some(path))
}

/// Runs one plan on a new fleet and evaluates the run.
fn run_seed(executor: &Executor, context: &TrialContext, plan: &Plan) -> Result<SeedResult, String> {
    let clock = Clock::start();
    let bulkheads_file = write_bulkheads_file(plan)?;
    let fleet = Fleet::start(executor, clock, &fleet_config(context, plan, bulkheads_file.clone()))
        .map_err(|error| format!("starting backends: {error}"))?;
    if !async_io::block_on(executor.run(fleet.wait_until_up(clock, READY_TIMEOUT_MS))) {
        return Err("the backends did not come up within 15 s".to_string());
    }
    let addresses = fleet.addresses();
    let effects = fleet.effects.clone();
    let fleet = Rc::new(RefCell::new(fleet));
    let (log, probe_results): (SharedEventLog, SharedProbeResults) = Default::default();
    let (history, counts) = (Rc::default(), Rc::<CallerCounts>::default());
    let machine_delay = MachineDelay::default();
    let injector = FaultInjector {
        clock,
        fleet: fleet.clone(),
        log: log.clone(),
        claimed: Rc::new(RefCell::new(vec![false; plan.backends])),
        stop_ms: plan.stop_ms,
        grace_ms: plan.grace_ms,
        bulkheads_file: bulkheads_file.clone(),
    };
    let run = async {
        let monitors = [
            executor.spawn(machine_delay.clone().monitor(clock, fleet.clone())),
            executor.spawn(injector.clone().restart_crashed()),
            executor.spawn(probes::monitor_usage(clock, fleet.clone(), probe_results.clone())),
        ];
        let main = async {
            let requests = callers::run(executor, clock, plan, &addresses, &history, &counts);
            future::zip(requests, injector.clone().run(executor, plan)).await;
            Timer::at(clock.at(clock.now() + ANSWER_DRAIN_MS)).await;
        };
        let health = probes::check_health(executor, clock, &addresses, &probe_results);
        let bad_clients = probes::run_bad_clients(executor, clock, plan, &addresses, &probe_results);
        let bursts = callers::connect_around_refusal(executor, clock, plan, &addresses, &history, &log);
        future::or(main, future::or(health, future::or(bad_clients, bursts))).await;
        let ended_ms = clock.now();
        for monitor in monitors {
            monitor.cancel().await;
        }
        // Killing the backends ends all connections and with them the tasks that own them.
        fleet.borrow_mut().backends.iter_mut().for_each(|backend| drop(backend.kill()));
        Timer::at(clock.at(ended_ms + CONNECTION_END_MS)).await;
        ended_ms
    };
    let ended_ms = async_io::block_on(executor.run(run));
    let _ = bulkheads_file.map(std::fs::remove_file);
    let (history, effects, log, probe_results) =
        (history.borrow(), effects.borrow(), log.borrow(), probe_results.borrow());
    let evaluation = Evaluation {
        plan,
        history: &history,
        effects: &effects,
        log: &log,
        probe_results: &probe_results,
        machine_delay: &machine_delay,
        ended_ms,
    };
    Ok(SeedResult {
        totals: evaluation.totals(),
        retries: counts.retries.get(),
        violations: evaluation.violations(),
        worst_late_ms: machine_delay.worst_late_ms(),
    })
}
