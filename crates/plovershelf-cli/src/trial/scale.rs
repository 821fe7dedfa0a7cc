//! Trial `scale`: a group of up to 920 members. Most members are hollow, that is, they run the real protocol state
//! machine on real connections but serve no requests; four real backends run beside them under light load.
//!
//! Costs are read from the operating system's counters and reported as the difference to the same processes before they
//! join the group. Propagation times are measured by polling the members.

mod poller;
mod processes;
mod real_backends;
mod resource_usage;
mod results;
mod scenario;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use async_io::Timer;
use plovershelf_testkit::Clock;

use super::{Figures, TrialContext};
use poller::{MemberStatus, Observations, Poller, POLLER_ADDRESS};
use processes::{Fleet, Mode, ProcessKind, Topology, CLUSTER_PORT, CONFIG_DISTRIBUTION_PORT};
use real_backends::RealBackends;
use resource_usage::{ProcessUsage, TrafficCounter};
use results::SizeResult;

/// Size of the trial, as requested on the command line.
#[derive(Clone, Copy, Debug)]
pub struct ScaleOptions {
    pub members: usize,
    pub callers: usize,
    pub tenants: usize,
}

/// Group sizes that are measured before the requested one, where they are smaller.
const SMALLER_SIZES: [usize; 3] = [30, 100, 300];
const DEFAULT_MEMBERS: usize = 920;
const DEFAULT_CALLERS: usize = 400;
const DEFAULT_TENANTS: usize = 1000;
/// Length of the baseline measurement, before any process joins the group.
const BASELINE_MS: f64 = 2500.0;
/// Length of the measurement of the settled group, without faults or changes.
const STEADY_STATE_MS: f64 = 7000.0;
const SETTLE_TIMEOUT_MS: f64 = 12_000.0;
/// Time after the last scenario event at which an undetected failure or a missing change counts as missed.
const PROPAGATION_TIMEOUT_MS: f64 = 8000.0;
/// Largest fraction of the machine's memory that the trial may use.
const MAX_MEMORY_FRACTION: f64 = 0.5;
pub const MAX_PROCESSES: usize = 200;
const TRAFFIC_SAMPLE_INTERVAL: Duration = Duration::from_millis(1000);

/// Returns the current processor time and memory of processes by process id; processes that can't be read are missing.
fn process_usage(ids: &[u32]) -> BTreeMap<u32, ProcessUsage> {
    ids.iter().filter_map(|id| Some((*id, resource_usage::process(*id)?))).collect()
}

/// Processor and memory use of a set of processes over a span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    pub core_percent: f64,
    pub memory_mb: f64,
}

/// Returns the total cost of the processes over the span; `None` if the usage of one of them is missing at either end.
fn cost(
    ids: &[u32],
    before: &BTreeMap<u32, ProcessUsage>,
    after: &BTreeMap<u32, ProcessUsage>,
    span_ms: f64,
) -> Option<Cost> {
    let mut sum = Cost::default();
    for id in ids {
        let (before, after) = (before.get(id)?, after.get(id)?);
        sum.core_percent += (after.processor_ms - before.processor_ms) / span_ms * 100.0;
        sum.memory_mb += after.resident_kb / 1024.0;
    }
    (!ids.is_empty() && span_ms > 0.0).then_some(sum)
}

/// Returns the resident memory of all processes of the run, this one included, as a fraction of the machine's memory.
fn memory_fraction(fleet: &Fleet, real: &RealBackends) -> Option<f64> {
    let ids = fleet.processes.iter().filter(|p| !p.killed).map(|p| p.id()).chain(real.ids());
    let ids: Vec<u32> = ids.chain([std::process::id()]).collect();
    let kb: f64 = process_usage(&ids).values().map(|process| process.resident_kb).sum();
    (kb > 0.0).then_some(kb / resource_usage::memory_kb()?)
}

/// Returns the larger of two measurements; `None` if either is missing.
fn larger(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    Some(a?.max(b?))
}

/// Starts a thread that samples the traffic on all connections among members once a second for `span`.
fn count_traffic(
    single_member_processes: BTreeMap<u32, IpAddr>,
    span: Duration,
) -> std::thread::JoinHandle<Result<TrafficCounter, String>> {
    std::thread::spawn(move || {
        let ports = &[CLUSTER_PORT, CONFIG_DISTRIBUTION_PORT];
        let mut traffic = TrafficCounter::new(ports, POLLER_ADDRESS.into(), single_member_processes);
        traffic.sample()?;
        let started = std::time::Instant::now();
        // Sampling may be slow, so the span is measured between the first and the last sample.
        loop {
            let remaining = span.saturating_sub(started.elapsed());
            if remaining.is_zero() {
                return Ok(traffic);
            }
            std::thread::sleep(remaining.min(TRAFFIC_SAMPLE_INTERVAL));
            traffic.sample()?;
            traffic.span_ms = started.elapsed().as_secs_f64() * 1000.0;
        }
    })
}

/// Runs one group size: measures the processes before they join, waits until the group has settled, measures its steady
/// state and plays the scenario of faults and changes.
fn run_size(
    context: &TrialContext,
    options: ScaleOptions,
    mode: Mode,
    number: u8,
    short: bool,
) -> Result<SizeResult, String> {
    let (executor, clock) = (&context.executor, Clock::start());
    let topology = Topology::of(options.members)?;
    let mut result = SizeResult {
        members: options.members,
        mode: Some(mode),
        topology: Some(topology),
        ..SizeResult::default()
    };
    let run = async {
        let mut fleet = Fleet::start(topology, mode, options.tenants, number, context.logs.clone())?;
        let mut real = RealBackends::start(context, clock, options.callers, options.tenants).await?;
        let (racks, single) = (fleet.running(ProcessKind::Rack), fleet.running(ProcessKind::Single));
        let ids =
            |indices: &[usize], fleet: &Fleet| indices.iter().map(|p| fleet.processes[*p].id()).collect();
        let (racks, single): (Vec<u32>, Vec<u32>) = (ids(&racks, &fleet), ids(&single, &fleet));
        let ids_by_kind = |real: &RealBackends| [single.clone(), racks.clone(), real.ids()];
        let all_ids = |real: &RealBackends| ids_by_kind(real).concat();

        // Baseline without a group.
        let (before, at) = (process_usage(&all_ids(&real)), clock.now());
        let baseline = real.run_light_load(executor, clock, context.seed, BASELINE_MS).await;
        let (after, span) = (process_usage(&all_ids(&real)), clock.now() - at);
        result.baseline_cost = ids_by_kind(&real).map(|ids| cost(&ids, &before, &after, span));
        result.baseline_added_ms = baseline.p99_ms();

        // Voters start first, then the other members; racks start one after another.
        for index in 0..fleet.processes.len() {
            fleet.start_members(index)?;
            Timer::after(Duration::from_millis(40)).await;
        }
        let files = (0..processes::REAL_BACKENDS)
            .map(|index| fleet.write_real_backend_config(index))
            .collect::<Result<_, _>>()?;
        real.join(executor, clock, mode, files).await?;
        (0..processes::REAL_BACKENDS).for_each(|index| fleet.members[index].running = true);
        let poller = Poller::new(executor, clock, mode);
        let is_voter =
            |fleet: &Fleet, index: usize| fleet.voters().any(|voter| voter.name == fleet.members[index].name);
        for index in 0..fleet.members.len() {
            poller.poll_member(index, fleet.members[index].address, is_voter(&fleet, index));
        }
        let all = options.members;
        let settled = |observed: &Observations| results::group_has_settled(observed, &fleet, all);
        result.settled_ms = poller.wait_until(SETTLE_TIMEOUT_MS, settled).await;
        let settled_members = |observed: &Observations| {
            observed.latest.values().filter(|(_, status)| results::member_has_settled(status, all)).count()
        };
        result.settled_fraction = settled_members(&poller.observations.borrow()) as f64 / all as f64;
        if result.settled_ms.is_none() {
            let (observed, share) = (poller.observations.borrow(), result.settled_fraction);
            tracing::warn!(
                event = "not_settled",
                members = all,
                answered = observed.latest.len(),
                share,
                summed = observed.listeners_counted_by_origins()
            );
        }
        poller.observations.borrow_mut().max_age_ms.clear();
        result.memory_fraction = memory_fraction(&fleet, &real);

        // Steady state: polling pauses, so that only the members' own traffic is measured.
        poller.set_paused(true);
        Timer::after(Duration::from_millis(500)).await;
        let (before, at) = (process_usage(&all_ids(&real)), clock.now());
        let cpu_ticks = resource_usage::cpu_ticks();
        let span = Duration::from_secs_f64(STEADY_STATE_MS / 1000.0);
        let counting = count_traffic(fleet.single_member_processes(), span);
        let loaded = real.run_light_load(executor, clock, context.seed + 1, STEADY_STATE_MS).await;
        let (after, span) = (process_usage(&all_ids(&real)), clock.now() - at);
        result.group_cost = ids_by_kind(&real).map(|ids| cost(&ids, &before, &after, span));
        result.busy_fraction = resource_usage::busy_fraction_since(cpu_ticks);
        result.added_ms = loaded.p99_ms();
        let traffic = counting.join().map_err(|_| "the traffic counting thread panicked".to_string())??;
        let leader_index = |(index, (_, status)): (&usize, &(f64, MemberStatus))| match status {
            MemberStatus::Group(brief) => brief.leads.then_some(*index),
            MemberStatus::ConfigDistribution(report) => {
                let leader = report.consensus.as_ref()?.leader.as_deref()?;
                fleet.members.iter().position(|member| member.name == leader)
            }
        };
        let leader_index = poller.observations.borrow().latest.iter().find_map(leader_index);
        let leader = leader_index.map(|index| fleet.members[index].address.ip());
        let leader = leader
            .filter(|address| fleet.single_member_processes().values().any(|candidate| candidate == address));
        result.record_traffic(&traffic, leader, &fleet);
        result.memory_fraction = larger(result.memory_fraction, memory_fraction(&fleet, &real));

        poller.set_paused(false);
        let schedule = scenario::schedule(context.seed, short);
        result.event_counts = scenario::play(&mut fleet, &poller, &schedule).await?;
        let all_propagated = |observed: &Observations| results::all_propagated(observed, &fleet);
        poller.wait_until(PROPAGATION_TIMEOUT_MS, all_propagated).await;
        result.record_propagation(&poller.observations.borrow(), &fleet);
        result.memory_fraction = larger(result.memory_fraction, memory_fraction(&fleet, &real));
        let crashed =
            fleet.processes.iter_mut().filter_map(|process| process.has_crashed().then_some(())).count();
        result.rules_broken =
            baseline.rules_broken + loaded.rules_broken + real.rules_broken() + crashed as u64;
        Ok(result)
    };
    async_io::block_on(executor.run(run))
}

/// Returns the largest size up to `requested` that memory and the number of processes allow, and the name of the limit
/// that bounds it.
fn largest_size(requested: usize, smaller: &[SizeResult]) -> (usize, &'static str) {
    let mut largest = (requested, "requested");
    while Topology::of(largest.0).is_ok_and(|topology| topology.processes() > MAX_PROCESSES) {
        largest = (largest.0 - 1, "processes");
    }
    // Extrapolates the memory per member from the largest size measured so far, with a margin of one half.
    let measured = smaller.last().and_then(|result| Some((result.memory_fraction?, result.members)));
    if let Some((fraction, members)) = measured {
        let fitting = (MAX_MEMORY_FRACTION / (1.5 * fraction / members as f64)) as usize;
        if fitting < largest.0 {
            largest = (fitting, "memory");
        }
    }
    largest
}

/// Returns the sizes to measure before `members`: at least two, so that a slope is fitted to three points.
fn smaller_sizes(members: usize) -> Vec<usize> {
    let min = Topology::MIN_MEMBERS;
    let defaults: Vec<usize> = SMALLER_SIZES.into_iter().filter(|size| *size < members).collect();
    match defaults.len() {
        0 | 1 => vec![(members / 2).max(min), (members * 3 / 4).max(min)],
        _ => defaults,
    }
}

/// Runs all sizes of one mode; returns their results and the limit that bounds the largest size. `first_run` numbers the
/// first of the runs.
fn run_sizes(
    context: &TrialContext,
    options: ScaleOptions,
    mode: Mode,
    first_run: u8,
) -> Result<(Vec<SizeResult>, &'static str), String> {
    let mut all: Vec<SizeResult> = Vec::new();
    for members in smaller_sizes(options.members) {
        let options = ScaleOptions { members, ..options };
        all.push(run_size(context, options, mode, first_run + all.len() as u8, true)?);
    }
    let (members, limit) = largest_size(options.members, &all);
    let options = ScaleOptions { members, ..options };
    all.push(run_size(context, options, mode, first_run + all.len() as u8, false)?);
    Ok((all, limit))
}

/// Runs the trial with configuration distribution and, for comparison, with all members in one group.
pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let options = ScaleOptions {
        members: context.members.unwrap_or(DEFAULT_MEMBERS),
        callers: context.callers.unwrap_or(DEFAULT_CALLERS),
        tenants: context.tenants.unwrap_or(DEFAULT_TENANTS),
    };
    Topology::of(options.members)?;
    let (with, limit) = run_sizes(context, options, Mode::ConfigDistribution, 0)?;
    let (without, without_limit) = run_sizes(context, options, Mode::Group, with.len() as u8)?;
    if let Some(folder) = &context.logs {
        results::plot(&with, &folder.join("scale.svg"))?;
        results::plot(&without, &folder.join("scale-without-mechanism.svg"))?;
    }
    let mut figures = results::figures(&with, options, limit, true);
    figures.phase("without_mechanism", results::figures(&without, options, without_limit, false));
    Ok(figures)
}
