//! Trial `client-overload`: demand beyond the capacity of the cores, once from callers with the client library and once
//! from basic clients, with the same schedule.

use std::net::SocketAddr;
use std::rc::Rc;

use plovershelf_client::{BackpressureSignal, ClientConfig};
use plovershelf_testkit::backend::Backend;
use plovershelf_testkit::basic_client::BasicClient;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::tap::{ReadCost, Tap, Traffic};
use plovershelf_testkit::{cores, dependency, Clock, Executor};

use super::{Bound, Figures, TrialContext};
use crate::load::{self, Caller, PlannedCall, Summary};

const BACKENDS: usize = 3;
const CLIENTS: usize = 40;
/// Demand as a fraction of the capacity of the cores.
const DEMAND: f64 = 1.6;
const CORES: f64 = 4.0;
const OVERLOAD_FACTOR: f64 = 8.0;

/// Returns the configuration of a fleet with the trial's cores and dependency.
pub fn fleet_config(context: &TrialContext, backends: usize, callers: usize) -> FleetConfig {
    let share = 40.0;
    FleetConfig {
        program: context.program.clone(),
        backends,
        cores: cores::CoresConfig {
            cores: CORES,
            overload_factor: OVERLOAD_FACTOR,
            initial_speed: 1.0,
            slow_start_ms: 1.0,
        },
        dependency: dependency::DependencyConfig {
            call_ms: 12.0,
            slots: 24 * backends,
            max_in_flight: share as usize * backends,
            outage_ms: 2000.0,
        },
        settings: load::settings(CORES, backends, callers, share, OVERLOAD_FACTOR),
        memory_mb: 192.0,
        sockets: 1024,
        stop_ms: 2500.0,
        logs: context.logs.clone(),
        pools: None,
        cluster: None,
        peer_paths: false,
    }
}

/// Returns the calls a second that the cores of `backends` backends can serve.
pub fn calls_per_second(backends: usize) -> f64 {
    backends as f64 * CORES * 1000.0 / load::mean_work_ms()
}

/// Waits until all backends are up and starts a tap in front of each, which charges the cost of reading a request to the
/// backend's cores. Returns the taps and the addresses for the callers.
pub async fn start_taps(
    executor: &Executor,
    clock: Clock,
    fleet: &Fleet,
) -> Result<(Vec<Tap>, Vec<SocketAddr>), String> {
    if !fleet.wait_until_up(clock, 10_000.0).await {
        return Err("the backends did not come up within 10 s".to_string());
    }
    let cost_ms = load::READ_COST_FRACTION * load::mean_work_ms();
    let tap = |backend: &Backend| {
        let read_cost = ReadCost { agent: backend.agent.clone(), cost_ms };
        Tap::start(executor, clock, backend.address, Some(read_cost))
    };
    let taps: std::io::Result<Vec<Tap>> = fleet.backends.iter().map(tap).collect();
    let taps = taps.map_err(|error| format!("starting taps: {error}"))?;
    let members = taps.iter().map(|tap| tap.address).collect();
    Ok((taps, members))
}

/// Measurements of one run of the planned calls, with the client library or with basic clients.
struct RunResult {
    summary: Summary,
    /// Fraction of the cores' capacity that was used.
    used_fraction: f64,
    traffic: Vec<Rc<std::cell::RefCell<Traffic>>>,
    rules_broken: u64,
}

fn play(context: &TrialContext, planned: &Rc<Vec<PlannedCall>>, library: bool) -> Result<RunResult, String> {
    let executor = &context.executor;
    let clock = Clock::start();
    let config = fleet_config(context, BACKENDS, CLIENTS);
    let mut fleet =
        Fleet::start(executor, clock, &config).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        let (taps, members) = start_taps(executor, clock, &fleet).await?;
        let mut callers = Vec::new();
        for number in 0..CLIENTS {
            if !library {
                callers.push(Caller::Basic(BasicClient::new(executor, &members, number as u32)));
                continue;
            }
            let config = ClientConfig {
                seed: context.seed * 1000 + number as u64 + 1,
                subset_index: Some(number as u64),
                backpressure: BackpressureSignal::MinimumPriority,
                ..ClientConfig::default()
            };
            let client = load::library_client(executor, &members, number, config)?;
            callers.push(Caller::Library(client));
        }
        let results = load::Results::default();
        load::play(executor, clock, planned, &callers, &results, 3000.0).await;
        let results = results.borrow();
        let summary = load::summarize(planned, &results);
        let effects = fleet.effects.borrow();
        let span_ms = planned.last().map_or(1.0, |last| last.at_ms);
        let used_fraction = effects.work_done_ms / (BACKENDS as f64 * CORES * span_ms);
        // Calls that the caller saw succeed although no execution succeeded.
        let not_executed = planned.iter().zip(results.iter()).filter(|(call, results)| {
            results.iter().any(|result| result.outcome == load::CallOutcome::Succeeded)
                && !effects.succeeded(call.work.number)
        });
        let mut rules_broken = effects.repeated_executions().len() as u64
            + not_executed.count() as u64
            + summary.wrong_result as u64;
        rules_broken += effects.launched_after_drain
            + effects.dependency_outages
            + u64::from(effects.peak_overload > 1.0);
        drop(effects);
        for backend in &mut fleet.backends {
            rules_broken += u64::from(backend.poll_exit().is_some());
        }
        let traffic: Vec<_> = taps.iter().map(|tap| tap.traffic.clone()).collect();
        for tap_traffic in &traffic {
            let counts = tap_traffic.borrow();
            rules_broken += counts.duplicate_responses
                + counts.unanswered
                + if library { counts.late_responses } else { 0 };
        }
        Ok(RunResult { summary, used_fraction, traffic, rules_broken })
    };
    async_io::block_on(executor.run(run))
}

/// Returns the largest ratio of marked retries to first attempts in a second, among seconds with at least 100 first
/// attempts.
fn worst_second_retry_ratio(traffic: &[Rc<std::cell::RefCell<Traffic>>]) -> f64 {
    let mut seconds: std::collections::BTreeMap<u64, (u64, u64)> = Default::default();
    for tap_traffic in traffic {
        let counts = tap_traffic.borrow();
        counts
            .first_attempts
            .iter()
            .for_each(|(tenth, count)| seconds.entry(tenth / 10).or_default().0 += count);
        counts
            .marked_retries
            .iter()
            .for_each(|(tenth, count)| seconds.entry(tenth / 10).or_default().1 += count);
    }
    let busy = seconds.values().filter(|(firsts, _)| *firsts >= 100);
    busy.map(|(firsts, marked)| *marked as f64 / *firsts as f64).fold(0.0, f64::max)
}

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let span_ms = context.seconds.unwrap_or(9.0) * 1000.0;
    let demand = DEMAND * calls_per_second(BACKENDS);
    let planned = Rc::new(load::schedule(context.seed, CLIENTS, span_ms, |_| demand));
    let baseline = play(context, &planned, false)?;
    let library = play(context, &planned, true)?;
    let total = |count: fn(&Traffic) -> u64| {
        library.traffic.iter().map(|traffic| count(&traffic.borrow())).sum::<u64>() as f64
    };
    let firsts = total(|traffic| traffic.first_attempts.values().sum());
    let marked = total(|traffic| traffic.marked_retries.values().sum());
    let share = library.summary.revenue_in_time / library.summary.revenue;
    let baseline_share = baseline.summary.revenue_in_time / baseline.summary.revenue;
    let work: f64 = planned.iter().map(|call| call.work.work_ms).sum();
    let mut figures = Figures::default();
    figures.report("demand_ratio", work / (BACKENDS as f64 * CORES * span_ms));
    figures.report("reading_to_work", load::READ_COST_FRACTION);
    figures.report("calls", planned.len() as f64);
    figures.report("first_tries", firsts);
    figures.report("marked_retries", marked);
    figures.put("retry_share", marked / firsts.max(1.0), Bound::Under(0.10));
    figures.put("worst_second_retry_share", worst_second_retry_ratio(&library.traffic), Bound::Under(0.10));
    figures.put("calls_without_result", library.summary.without_result as f64, Bound::AtMost(0.0));
    figures.put("calls_with_two_results", library.summary.duplicate_results as f64, Bound::AtMost(0.0));
    figures.put("results_late", library.summary.late as f64, Bound::AtMost(0.0));
    figures.report("revenue_in_time_share", share);
    figures.report("baseline_revenue_in_time_share", baseline_share);
    figures.put("revenue_to_baseline", share / baseline_share.max(1e-9), Bound::AtLeast(1.15));
    figures.put("rules_broken", library.rules_broken as f64, Bound::AtMost(0.0));
    figures.report("cores_used", library.used_fraction);
    figures.report("baseline_cores_used", baseline.used_fraction);
    let baseline_attempts = baseline.traffic.iter().map(|traffic| traffic.borrow().requests).sum::<u64>();
    figures.report("baseline_tries", baseline_attempts as f64);
    for (index, class) in load::CLASSES.iter().enumerate() {
        let (library, baseline) = (&library.summary.by_class[index], &baseline.summary.by_class[index]);
        tracing::info!(event = "request_class", name = class.name, ?library, ?baseline);
    }
    Ok(figures)
}
