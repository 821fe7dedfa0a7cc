//! Trial `client-restart`: all backends are killed at once and restarted; measures how their callers reconnect.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_client::{BackpressureSignal, Client, ClientConfig};
use plovershelf_testkit::fleet::Fleet;
use plovershelf_testkit::Clock;

use super::client_overload::{calls_per_second, fleet_config, start_taps};
use super::{Bound, Figures, TrialContext};
use crate::load::{self, CallOutcome, Caller};

const BACKENDS: usize = 3;
const CLIENTS: usize = 200;
/// Demand as a fraction of the capacity of the cores.
const DEMAND: f64 = 0.5;
/// Time before the kill.
const STEADY_STATE_MS: f64 = 4000.0;
/// Time between the kill and the restart.
const DOWN_MS: f64 = 1000.0;

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let executor = &context.executor;
    let clock = Clock::start();
    let span_ms = context
        .seconds
        .map_or(16_000.0, |seconds| (seconds * 1000.0).max(STEADY_STATE_MS + DOWN_MS + 8000.0));
    let demand = DEMAND * calls_per_second(BACKENDS);
    let planned = Rc::new(load::schedule(context.seed, CLIENTS, span_ms, |_| demand));
    let config = fleet_config(context, BACKENDS, CLIENTS);
    let mut fleet =
        Fleet::start(executor, clock, &config).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        let (mut taps, members) = start_taps(executor, clock, &fleet).await?;
        let mut clients: Vec<Client> = Vec::new();
        for number in 0..CLIENTS {
            let config = ClientConfig {
                seed: context.seed * 1000 + number as u64 + 1,
                backpressure: BackpressureSignal::MinimumPriority,
                ..ClientConfig::default()
            };
            let client = load::library_client(executor, &members, number, config)?;
            clients.push(client);
        }
        let callers: Vec<Caller> = clients.iter().cloned().map(Caller::Library).collect();
        let started_ms = clock.now();
        // When all backends were killed, and when the last was ready again.
        let times: Rc<RefCell<(f64, f64)>> = Rc::default();
        // Connection attempts before the kill, and 6 s after all backends are ready again.
        let attempts: Rc<RefCell<(u64, u64)>> = Rc::default();
        let restart = async {
            Timer::at(clock.at(started_ms + STEADY_STATE_MS)).await;
            attempts.borrow_mut().0 = total_connects(&clients).await;
            for (tap, backend) in taps.iter_mut().zip(&mut fleet.backends) {
                tap.down();
                let _ = backend.kill();
            }
            times.borrow_mut().0 = clock.now();
            Timer::after(Duration::from_secs_f64(DOWN_MS / 1000.0)).await;
            for backend in &mut fleet.backends {
                let _ = backend.start();
            }
            let processes_before: Vec<u32> =
                fleet.backends.iter().map(|backend| backend.agent.processes()).collect();
            let deadline_ms = clock.now() + 10_000.0;
            let restarted = |processes_before: &[u32]| {
                fleet.backends.iter().zip(processes_before).all(|(b, before)| b.agent.processes() > *before)
            };
            while !(restarted(&processes_before) && fleet.wait_until_up(clock, 1.0).await)
                && clock.now() < deadline_ms
            {
                Timer::after(Duration::from_millis(5)).await;
            }
            taps.iter_mut().for_each(|tap| drop(tap.up()));
            times.borrow_mut().1 = clock.now();
            Timer::at(clock.at(clock.now() + 6000.0)).await;
            attempts.borrow_mut().1 = total_connects(&clients).await;
        };
        let results = load::Results::default();
        let play = load::play(executor, clock, &planned, &callers, &results, 4000.0);
        futures_lite::future::zip(play, restart).await;
        let (killed, ready) = *times.borrow();
        let summary = load::summarize(&planned, &results.borrow());

        // Time of each caller's first connection after the kill.
        let mut first: BTreeMap<u32, f64> = BTreeMap::new();
        for tap in &taps {
            for (connected, caller) in &tap.traffic.borrow().connections {
                if let Some(caller) = caller.filter(|_| *connected > killed) {
                    let at = first.entry(caller).or_insert(*connected);
                    *at = at.min(*connected);
                }
            }
        }
        let mut reconnected: Vec<f64> = first.values().copied().collect();
        reconnected.sort_by(f64::total_cmp);
        let quantile = |fraction: f64| {
            reconnected.get(((reconnected.len() as f64 - 1.0) * fraction).round() as usize).copied()
        };
        let spread = quantile(0.99).zip(quantile(0.01)).map(|(late, early)| late - early);
        let max_in_100_ms = reconnected
            .iter()
            .map(|from| reconnected.iter().filter(|at| (*from..from + 100.0).contains(*at)).count())
            .max();
        // Service is fully restored at the first of two consecutive seconds in each of which the fraction of calls that
        // succeed is at least 95 % of the fraction before the kill.
        let served_fraction = |from: f64, to: f64| {
            let within = |call: &load::PlannedCall| (from..to).contains(&(started_ms + call.at_ms));
            let results = results.borrow();
            let all = planned.iter().zip(results.iter()).filter(|(call, _)| within(call));
            let (mut calls, mut succeeded) = (0.0f64, 0.0);
            for (_, results) in all {
                let success = results.iter().any(|result| result.outcome == CallOutcome::Succeeded);
                calls += 1.0;
                succeeded += f64::from(u8::from(success));
            }
            succeeded / calls.max(1.0)
        };
        let before_kill = served_fraction(started_ms + 1000.0, killed - 100.0);
        let mut tenths = (0..)
            .map(|tenth| ready + f64::from(tenth) * 100.0)
            .take_while(|at| at + 2000.0 < started_ms + span_ms);
        let is_restored = |at: &f64| {
            [0.0, 1000.0]
                .iter()
                .all(|offset| served_fraction(at + offset, at + offset + 1000.0) >= 0.95 * before_kill)
        };
        let restored = tenths.find(is_restored).unwrap_or(f64::INFINITY);
        for second in 0..(span_ms / 1000.0) as u64 {
            let from = started_ms + second as f64 * 1000.0;
            let mut outcomes: BTreeMap<String, u32> = BTreeMap::new();
            for (call, results) in planned.iter().zip(results.borrow().iter()) {
                if (from..from + 1000.0).contains(&(started_ms + call.at_ms)) {
                    let outcome =
                        results.first().map_or("none".into(), |result| format!("{:?}", result.outcome));
                    *outcomes.entry(outcome).or_default() += 1;
                }
            }
            // `ready` is the time from the start of this second until all backends were up again, or until the wait for
            // them ended, in milliseconds. It is negative for seconds that start later.
            tracing::info!(event = "second", second, ready = (ready - from) as i64, ?outcomes);
        }
        let (before, after) = *attempts.borrow();
        let effects = fleet.effects.borrow();
        let mut figures = Figures::default();
        figures.report("clients", CLIENTS as f64);
        figures.report("clients_back", reconnected.len() as f64);
        figures.put("reconnect_spread_ms", spread, Bound::AtLeast(2000.0));
        figures.put(
            "worst_tenth_second_share",
            max_in_100_ms.map(|max| max as f64 / CLIENTS as f64),
            Bound::AtMost(0.15),
        );
        figures.report("reconnect_attempts_per_client", (after - before) as f64 / CLIENTS as f64);
        figures.put("calls_without_result", summary.without_result as f64, Bound::AtMost(0.0));
        figures.put("calls_with_two_results", summary.duplicate_results as f64, Bound::AtMost(0.0));
        figures.put("results_late", summary.late as f64, Bound::AtMost(0.0));
        figures.report("calm_share", before_kill);
        figures.report("seconds_to_full_service", (restored - ready) / 1000.0);
        let beyond = spread.map(|spread| ((restored - ready - spread) / 1000.0).max(0.0));
        figures.put("seconds_beyond_the_spread", beyond, Bound::AtMost(3.0));
        figures.put("ran_twice", effects.repeated_executions().len() as f64, Bound::AtMost(0.0));
        Ok(figures)
    };
    async_io::block_on(executor.run(run))
}

/// Returns the connection attempts of all clients so far.
async fn total_connects(clients: &[Client]) -> u64 {
    let mut sum = 0;
    for client in clients {
        sum += client.counters().await.connects;
    }
    sum
}
