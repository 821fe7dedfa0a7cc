//! Cold backends and what all processes send them, as a sum: a flood from callers that heed what one advises and from such
//! that heed nothing, and two dozen cold backends on one ledger. The control is told that all is warm, and shares as large.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_client::{BackpressureSignal, ClientConfig};
use plovershelf_testkit::basic_client::BasicClient;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::{cores, dependency, Clock};
use serde_json::json;

use super::client_overload::taps;
use super::{Aim, Figures, Ground};
use crate::load::{self, Asker};

const CALLERS: usize = 24;
const CORES: f64 = 4.0;
const CROWD: f64 = 8.0;
const COLD: f64 = 0.2;
/// What each of the backends that share the ledger may have there.
const SHARE: f64 = 1.3;
const CALL_MS: f64 = 40.0;
/// The time over which the settings want the crowd, and what lies below, held in the mean.
const SPAN_MS: f64 = 2000.0;
const LOOK_MS: u64 = 5;
/// Demand, as a part of what the cores do once they are warm.
const DEMAND: f64 = 2.0;

/// Who sends, to how many backends.
#[derive(Clone, Copy)]
enum Senders {
    /// Callers of the library, that share out what they are told.
    Heed,
    /// Basic ones, that know of nothing.
    Untold,
}

#[derive(Default)]
struct Came {
    /// The most on the cores of one backend at once, and in the mean over the span, by what they survive then; at once
    /// with the chance that a sum has.
    peak: f64,
    mean: f64,
    /// The same of the calls that the ledger holds, by the sum of the shares.
    ledger_peak: f64,
    ledger_mean: f64,
    runs: u64,
    rules_broken: u64,
}

fn with_chance(budget: f64) -> f64 {
    budget + 2.0 * budget.sqrt() + 2.0
}

fn mean_over(looks: &[f64]) -> f64 {
    let span = (SPAN_MS / LOOK_MS as f64) as usize;
    let mean = |window: &[f64]| window.iter().sum::<f64>() / window.len() as f64;
    looks.windows(span.min(looks.len().max(1))).map(mean).fold(0.0, f64::max)
}

fn play(ground: &Ground, backends: usize, senders: Senders, told: bool) -> Result<Came, String> {
    let executor = &ground.executor;
    let clock = Clock::start();
    let span_ms = ground.seconds.map_or(5000.0, |seconds| seconds * 1000.0);
    let budget = SHARE * backends as f64;
    let share = if told { SHARE } else { 50.0 * SHARE };
    let mut settings = load::settings(CORES, backends, CALLERS, share, CROWD);
    settings["family_info"]["signal"] = "window".into();
    if told {
        settings["rules"]["cold_from"] = json!(COLD);
        settings["rules"]["warm_within_ms"] = json!(span_ms);
    }
    let plan = FleetConfig {
        program: ground.program.clone(),
        backends,
        cores: cores::CoresConfig {
            cores: CORES,
            overload_factor: CROWD,
            initial_speed: COLD,
            slow_start_ms: span_ms,
        },
        dependency: dependency::DependencyConfig {
            call_ms: CALL_MS,
            slots: budget as usize + 1,
            max_in_flight: usize::MAX,
            outage_ms: 1.0,
        },
        settings,
        memory_mb: 64.0,
        sockets: 512,
        stop_ms: 1500.0,
        logs: ground.logs.clone(),
        pools: None,
        cluster: None,
        peer_paths: false,
    };
    let rate = DEMAND * backends as f64 * CORES * 1000.0 / load::mean_work_ms();
    let planned = Rc::new(load::schedule(ground.seed, CALLERS, span_ms, |_| rate));
    let mut fleet =
        Fleet::start(executor, clock, &plan).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        let (taps, members) = taps(executor, clock, &fleet).await?;
        let mut askers = Vec::new();
        for number in 0..CALLERS {
            let Senders::Heed = senders else {
                askers.push(Asker::Basic(BasicClient::new(executor, &members, number as u32)));
                continue;
            };
            let seed = ground.seed * 1000 + number as u64 + 1;
            let backpressure = BackpressureSignal::ConcurrencyPerClient;
            let config = ClientConfig {
                seed,
                backpressure,
                subset_index: Some(number as u64),
                ..ClientConfig::default()
            };
            let client = load::library_client(executor, &members, number, config)?;
            askers.push(Asker::Library(client));
        }
        let results = load::Results::default();
        let mut came = Came::default();
        let mut crowds = vec![Vec::new(); backends];
        let mut held = Vec::new();
        let look = async {
            loop {
                for (backend, looks) in fleet.backends.iter().zip(&mut crowds) {
                    let (runs, survives) = backend.agent.concurrency();
                    looks.push(runs as f64 / survives);
                    came.peak = came.peak.max(runs as f64 / with_chance(survives));
                }
                held.push(fleet.dependency.in_flight() as f64 / budget);
                Timer::after(Duration::from_millis(LOOK_MS)).await;
            }
        };
        let play = load::play(executor, clock, &planned, &askers, &results, 1500.0);
        futures_lite::future::or(play, look).await;
        came.mean = crowds.iter().map(|looks| mean_over(looks)).fold(0.0, f64::max);
        came.ledger_mean = mean_over(&held);
        let effects = fleet.effects.borrow();
        came.ledger_peak = effects.peak_dependency_calls as f64 / with_chance(budget);
        came.runs = effects.executions();
        came.rules_broken = effects.repeated_executions().len() as u64 + effects.launched_after_drain;
        drop(effects);
        came.rules_broken +=
            fleet.backends.iter_mut().filter_map(|backend| backend.poll_exit()).count() as u64;
        for tap in &taps {
            let seen = tap.traffic.borrow();
            came.rules_broken += seen.duplicate_responses + seen.late_responses;
        }
        Ok(came)
    };
    async_io::block_on(executor.run(run))
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let mut figures = Figures::default();
    let mut broken = 0;
    for (name, senders) in [("heed", Senders::Heed), ("untold", Senders::Untold)] {
        let came = play(ground, 1, senders, true)?;
        let control = play(ground, 1, senders, false)?;
        let mut one = Figures::default();
        one.told("runs", came.runs as f64);
        one.put("crowd_mean", came.mean, Aim::AtMost(1.0));
        one.put("crowd_peak", came.peak, Aim::AtMost(1.0));
        one.told("control_crowd_mean", control.mean);
        one.told("control_crowd_peak", control.peak);
        broken += came.rules_broken;
        figures.phase(name, one);
    }
    let came = play(ground, CALLERS, Senders::Untold, true)?;
    let control = play(ground, CALLERS, Senders::Untold, false)?;
    let mut shared = Figures::default();
    shared.told("runs", came.runs as f64);
    shared.put("ledger_mean", came.ledger_mean, Aim::AtMost(1.0));
    shared.put("ledger_peak", came.ledger_peak, Aim::AtMost(1.0));
    shared.put("crowd_mean", came.mean, Aim::AtMost(1.0));
    shared.put("control_ledger_peak", control.ledger_peak, Aim::AtLeast(1.0));
    broken += came.rules_broken;
    figures.phase("shared", shared);
    figures.put("rules_broken", broken as f64, Aim::AtMost(0.0));
    Ok(figures)
}
