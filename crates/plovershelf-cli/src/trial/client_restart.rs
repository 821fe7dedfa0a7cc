//! All backends end at once and are started again: how their callers come back.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_client::{BackpressureSignal, Client, ClientConfig};
use plovershelf_testkit::fleet::Fleet;
use plovershelf_testkit::Clock;

use super::client_overload::{capacity, plan, taps};
use super::{Aim, Figures, Ground};
use crate::load::{self, Asker, End};

const BACKENDS: usize = 3;
const CLIENTS: usize = 200;
/// The part of what the cores do that is asked for.
const DEMAND: f64 = 0.5;
const CALM_MS: f64 = 4000.0;
const DOWN_MS: f64 = 1000.0;

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let executor = &ground.executor;
    let clock = Clock::start();
    let span_ms =
        ground.seconds.map_or(16_000.0, |seconds| (seconds * 1000.0).max(CALM_MS + DOWN_MS + 8000.0));
    let demand = DEMAND * capacity(BACKENDS);
    let planned = Rc::new(load::schedule(ground.seed, CLIENTS, span_ms, |_| demand));
    let plan = plan(ground, BACKENDS, CLIENTS);
    let mut fleet =
        Fleet::start(executor, clock, &plan).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        let (mut taps, members) = taps(executor, clock, &fleet).await?;
        let mut clients: Vec<Client> = Vec::new();
        for number in 0..CLIENTS {
            let config = ClientConfig {
                seed: ground.seed * 1000 + number as u64 + 1,
                backpressure: BackpressureSignal::MinimumPriority,
                ..ClientConfig::default()
            };
            let client = load::library_client(executor, &members, number, config)?;
            clients.push(client);
        }
        let askers: Vec<Asker> = clients.iter().cloned().map(Asker::Library).collect();
        let began = clock.now();
        // When all were killed, when the last was ready again, connection attempts before and a while after.
        let times: Rc<RefCell<(f64, f64)>> = Rc::default();
        let attempts: Rc<RefCell<(u64, u64)>> = Rc::default();
        let trouble = async {
            Timer::at(clock.at(began + CALM_MS)).await;
            attempts.borrow_mut().0 = connects(&clients).await;
            for (tap, backend) in taps.iter_mut().zip(&mut fleet.backends) {
                tap.down();
                let _ = backend.kill();
            }
            times.borrow_mut().0 = clock.now();
            Timer::after(Duration::from_secs_f64(DOWN_MS / 1000.0)).await;
            for backend in &mut fleet.backends {
                let _ = backend.start();
            }
            let lives: Vec<u32> = fleet.backends.iter().map(|backend| backend.agent.processes()).collect();
            let until = clock.now() + 10_000.0;
            let back = |lives: &[u32]| {
                fleet.backends.iter().zip(lives).all(|(b, before)| b.agent.processes() > *before)
            };
            while !(back(&lives) && fleet.up(clock, 1.0).await) && clock.now() < until {
                Timer::after(Duration::from_millis(5)).await;
            }
            taps.iter_mut().for_each(|tap| drop(tap.up()));
            times.borrow_mut().1 = clock.now();
            Timer::at(clock.at(clock.now() + 6000.0)).await;
            attempts.borrow_mut().1 = connects(&clients).await;
        };
        let results = load::Results::default();
        let play = load::play(executor, clock, &planned, &askers, &results, 4000.0);
        futures_lite::future::zip(play, trouble).await;
        let (killed, ready) = *times.borrow();
        let sum = load::sum(&planned, &results.borrow());

        // The first connection of each caller after the kill.
        let mut first: BTreeMap<u32, f64> = BTreeMap::new();
        for tap in &taps {
            for (made, caller) in &tap.traffic.borrow().connections {
                if let Some(caller) = caller.filter(|_| *made > killed) {
                    let at = first.entry(caller).or_insert(*made);
                    *at = at.min(*made);
                }
            }
        }
        let mut made: Vec<f64> = first.values().copied().collect();
        made.sort_by(f64::total_cmp);
        let at = |part: f64| made.get(((made.len() as f64 - 1.0) * part).round() as usize).copied();
        let spread = at(0.99).zip(at(0.01)).map(|(late, early)| late - early);
        let most = made
            .iter()
            .map(|from| made.iter().filter(|at| (*from..from + 100.0).contains(*at)).count())
            .max();
        // Full service is back with the first of two seconds on end in which as much succeeds as in the calm before,
        // less one in twenty.
        let served = |from: f64, to: f64| {
            let within = |one: &load::Planned| (from..to).contains(&(began + one.at_ms));
            let results = results.borrow();
            let all = planned.iter().zip(results.iter()).filter(|(one, _)| within(one));
            let (mut asked, mut well) = (0.0f64, 0.0);
            for (_, ends) in all {
                asked += 1.0;
                well += f64::from(u8::from(ends.iter().any(|end| end.end == End::Succeeded)));
            }
            well / asked.max(1.0)
        };
        let calm = served(began + 1000.0, killed - 100.0);
        let mut tenths = (0..)
            .map(|tenth| ready + f64::from(tenth) * 100.0)
            .take_while(|at| at + 2000.0 < began + span_ms);
        let back = |at: &f64| [0.0, 1000.0].iter().all(|on| served(at + on, at + on + 1000.0) >= 0.95 * calm);
        let full = tenths.find(back).unwrap_or(f64::INFINITY);
        for second in 0..(span_ms / 1000.0) as u64 {
            let from = began + second as f64 * 1000.0;
            let mut ends: BTreeMap<String, u32> = BTreeMap::new();
            for (one, results) in planned.iter().zip(results.borrow().iter()) {
                if (from..from + 1000.0).contains(&(began + one.at_ms)) {
                    let end = results.first().map_or("none".into(), |result| format!("{:?}", result.end));
                    *ends.entry(end).or_default() += 1;
                }
            }
            tracing::info!(event = "second", second, ready = (ready - from) as i64, ?ends);
        }
        let (before, after) = *attempts.borrow();
        let effects = fleet.effects.borrow();
        let mut figures = Figures::default();
        figures.told("clients", CLIENTS as f64);
        figures.told("clients_back", made.len() as f64);
        figures.put("reconnect_spread_ms", spread, Aim::AtLeast(2000.0));
        figures.put(
            "worst_tenth_second_share",
            most.map(|most| most as f64 / CLIENTS as f64),
            Aim::AtMost(0.15),
        );
        figures.told("reconnect_attempts_per_client", (after - before) as f64 / CLIENTS as f64);
        figures.put("calls_without_result", sum.without_result as f64, Aim::AtMost(0.0));
        figures.put("calls_with_two_results", sum.with_two as f64, Aim::AtMost(0.0));
        figures.put("results_late", sum.late as f64, Aim::AtMost(0.0));
        figures.told("calm_share", calm);
        figures.told("seconds_to_full_service", (full - ready) / 1000.0);
        let beyond = spread.map(|spread| ((full - ready - spread) / 1000.0).max(0.0));
        figures.put("seconds_beyond_the_spread", beyond, Aim::AtMost(3.0));
        figures.put("ran_twice", effects.repeated_executions().len() as f64, Aim::AtMost(0.0));
        Ok(figures)
    };
    async_io::block_on(executor.run(run))
}

async fn connects(clients: &[Client]) -> u64 {
    let mut sum = 0;
    for client in clients {
        sum += client.counters().await.connects;
    }
    sum
}
