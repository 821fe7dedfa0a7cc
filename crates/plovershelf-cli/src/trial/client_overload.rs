//! Demand past what the cores do: callers of the library against plain ones, the same demand for both.

use std::net::SocketAddr;
use std::rc::Rc;

use plovershelf_client::{BackpressureSignal, ClientConfig};
use plovershelf_testkit::backend::Backend;
use plovershelf_testkit::basic_client::BasicClient;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::tap::{ReadCost, Tap, Traffic};
use plovershelf_testkit::{cores, dependency, Clock, Executor};

use super::{Aim, Figures, Ground};
use crate::load::{self, Asker, Planned, Sum};

const BACKENDS: usize = 3;
const CLIENTS: usize = 40;
const DEMAND: f64 = 1.6;
const CORES: f64 = 4.0;
const CROWD: f64 = 8.0;

pub fn plan(ground: &Ground, backends: usize, callers: usize) -> FleetConfig {
    let share = 40.0;
    FleetConfig {
        program: ground.program.clone(),
        backends,
        cores: cores::CoresConfig {
            cores: CORES,
            overload_factor: CROWD,
            initial_speed: 1.0,
            slow_start_ms: 1.0,
        },
        dependency: dependency::DependencyConfig {
            call_ms: 12.0,
            slots: 24 * backends,
            max_in_flight: share as usize * backends,
            outage_ms: 2000.0,
        },
        settings: load::settings(CORES, backends, callers, share, CROWD),
        memory_mb: 192.0,
        sockets: 1024,
        stop_ms: 2500.0,
        logs: ground.logs.clone(),
        pools: None,
        cluster: None,
        peer_paths: false,
    }
}

/// Invocations a second that the cores of so many backends do.
pub fn capacity(backends: usize) -> f64 {
    backends as f64 * CORES * 1000.0 / load::mean_work_ms()
}

/// Waits until all backends are up, and puts a tap before each, through which reading costs the cores what it costs. The
/// addresses are those that callers go to.
pub async fn taps(
    executor: &Executor,
    clock: Clock,
    fleet: &Fleet,
) -> Result<(Vec<Tap>, Vec<SocketAddr>), String> {
    if !fleet.up(clock, 10_000.0).await {
        return Err("the backends did not come up within 10 s".to_string());
    }
    let cost_ms = load::READING * load::mean_work_ms();
    let tap = |backend: &Backend| {
        let reading = ReadCost { agent: backend.agent.clone(), cost_ms };
        Tap::start(executor, clock, backend.address, Some(reading))
    };
    let taps: std::io::Result<Vec<Tap>> = fleet.backends.iter().map(tap).collect();
    let taps = taps.map_err(|error| format!("starting taps: {error}"))?;
    let members = taps.iter().map(|tap| tap.address).collect();
    Ok((taps, members))
}

struct Played {
    sum: Sum,
    /// Of what the cores do, by the work that was done on them.
    used: f64,
    seen: Vec<Rc<std::cell::RefCell<Traffic>>>,
    rules_broken: u64,
}

fn play(ground: &Ground, planned: &Rc<Vec<Planned>>, library: bool) -> Result<Played, String> {
    let executor = &ground.executor;
    let clock = Clock::start();
    let plan = plan(ground, BACKENDS, CLIENTS);
    let mut fleet =
        Fleet::start(executor, clock, &plan).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        let (taps, members) = taps(executor, clock, &fleet).await?;
        let mut askers = Vec::new();
        for number in 0..CLIENTS {
            if !library {
                askers.push(Asker::Basic(BasicClient::new(executor, &members, number as u32)));
                continue;
            }
            let config = ClientConfig {
                seed: ground.seed * 1000 + number as u64 + 1,
                subset_index: Some(number as u64),
                backpressure: BackpressureSignal::MinimumPriority,
                ..ClientConfig::default()
            };
            let client = load::library_client(executor, &members, number, config)?;
            askers.push(Asker::Library(client));
        }
        let results = load::Results::default();
        load::play(executor, clock, planned, &askers, &results, 3000.0).await;
        let results = results.borrow();
        let sum = load::sum(planned, &results);
        let effects = fleet.effects.borrow();
        let span_ms = planned.last().map_or(1.0, |last| last.at_ms);
        let used = effects.work_done_ms / (BACKENDS as f64 * CORES * span_ms);
        let unmade = planned.iter().zip(results.iter()).filter(|(one, ends)| {
            ends.iter().any(|end| end.end == load::End::Succeeded) && !effects.succeeded(one.work.number)
        });
        let mut rules_broken =
            effects.repeated_executions().len() as u64 + unmade.count() as u64 + sum.wrong as u64;
        rules_broken += effects.launched_after_drain
            + effects.dependency_outages
            + u64::from(effects.peak_overload > 1.0);
        drop(effects);
        for backend in &mut fleet.backends {
            rules_broken += u64::from(backend.poll_exit().is_some());
        }
        let seen: Vec<_> = taps.iter().map(|tap| tap.traffic.clone()).collect();
        for seen in &seen {
            let seen = seen.borrow();
            rules_broken +=
                seen.duplicate_responses + seen.unanswered + if library { seen.late_responses } else { 0 };
        }
        Ok(Played { sum, used, seen, rules_broken })
    };
    async_io::block_on(executor.run(run))
}

/// The share of marked tries in the worst whole second, of those with enough to tell.
fn worst_second(seen: &[Rc<std::cell::RefCell<Traffic>>]) -> f64 {
    let mut seconds: std::collections::BTreeMap<u64, (u64, u64)> = Default::default();
    for seen in seen {
        let seen = seen.borrow();
        seen.first_attempts
            .iter()
            .for_each(|(tenth, count)| seconds.entry(tenth / 10).or_default().0 += count);
        seen.marked_retries
            .iter()
            .for_each(|(tenth, count)| seconds.entry(tenth / 10).or_default().1 += count);
    }
    let told = seconds.values().filter(|(firsts, _)| *firsts >= 100);
    told.map(|(firsts, marked)| *marked as f64 / *firsts as f64).fold(0.0, f64::max)
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let span_ms = ground.seconds.unwrap_or(9.0) * 1000.0;
    let demand = DEMAND * capacity(BACKENDS);
    let planned = Rc::new(load::schedule(ground.seed, CLIENTS, span_ms, |_| demand));
    let baseline = play(ground, &planned, false)?;
    let own = play(ground, &planned, true)?;
    let total = |of: fn(&Traffic) -> u64| own.seen.iter().map(|seen| of(&seen.borrow())).sum::<u64>() as f64;
    let firsts = total(|seen| seen.first_attempts.values().sum());
    let marked = total(|seen| seen.marked_retries.values().sum());
    let share = own.sum.revenue_in_time / own.sum.revenue;
    let baseline_share = baseline.sum.revenue_in_time / baseline.sum.revenue;
    let work: f64 = planned.iter().map(|one| one.work.work_ms).sum();
    let mut figures = Figures::default();
    figures.told("demand_ratio", work / (BACKENDS as f64 * CORES * span_ms));
    figures.told("reading_to_work", load::READING);
    figures.told("calls", planned.len() as f64);
    figures.told("first_tries", firsts);
    figures.told("marked_retries", marked);
    figures.put("retry_share", marked / firsts.max(1.0), Aim::Under(0.10));
    figures.put("worst_second_retry_share", worst_second(&own.seen), Aim::Under(0.10));
    figures.put("calls_without_result", own.sum.without_result as f64, Aim::AtMost(0.0));
    figures.put("calls_with_two_results", own.sum.with_two as f64, Aim::AtMost(0.0));
    figures.put("results_late", own.sum.late as f64, Aim::AtMost(0.0));
    figures.told("revenue_in_time_share", share);
    figures.told("baseline_revenue_in_time_share", baseline_share);
    figures.put("revenue_to_baseline", share / baseline_share.max(1e-9), Aim::AtLeast(1.15));
    figures.put("rules_broken", own.rules_broken as f64, Aim::AtMost(0.0));
    figures.told("cores_used", own.used);
    figures.told("baseline_cores_used", baseline.used);
    figures
        .told("baseline_tries", baseline.seen.iter().map(|seen| seen.borrow().requests).sum::<u64>() as f64);
    for (place, offering) in load::OFFERINGS.iter().enumerate() {
        tracing::info!(event = "offering", name = offering.name, own = ?own.sum.by_offering[place], baseline = ?baseline.sum.by_offering[place]);
    }
    Ok(figures)
}
