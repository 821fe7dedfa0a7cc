//! Trial `ramp`: cold backends under the total demand of all processes. A single cold backend is flooded, once by callers
//! that follow its backpressure signal and once by basic callers; then two dozen cold backends share one dependency. The
//! control backends are configured as warm, with fifty times the share of the dependency.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_client::{BackpressureSignal, ClientConfig};
use plovershelf_testkit::basic_client::BasicClient;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::{cores, dependency, Clock};
use serde_json::json;

use super::client_overload::start_taps;
use super::{Bound, Figures, TrialContext};
use crate::load::{self, Caller};

const CALLERS: usize = 24;
const CORES: f64 = 4.0;
const OVERLOAD_FACTOR: f64 = 8.0;
/// Speed of a cold backend, as a fraction of its speed when warm.
const COLD_SPEED: f64 = 0.2;
/// Calls that each backend may have in flight to the shared dependency.
const SHARE: f64 = 1.3;
const CALL_MS: f64 = 40.0;
/// Window over which the mean concurrency has to stay within the limits of the settings.
const WINDOW_MS: f64 = 2000.0;
const SAMPLE_INTERVAL_MS: u64 = 5;
/// Demand as a fraction of the capacity of the warm cores.
const DEMAND: f64 = 2.0;

/// Kind of callers.
#[derive(Clone, Copy)]
enum CallerKind {
    /// Callers with the client library, which share out the concurrency that a backend advertises.
    Library,
    /// Basic callers, which ignore backpressure.
    Basic,
}

#[derive(Default)]
struct RunResult {
    /// Largest concurrency on the cores of one backend, as a fraction of the concurrency that they survive at the time plus
    /// an allowance for random variation.
    peak: f64,
    /// Largest mean concurrency over a window, as a fraction of the concurrency that the cores survive.
    mean: f64,
    /// Largest number of calls in flight to the dependency, as a fraction of the sum of the shares plus an allowance for
    /// random variation.
    dependency_peak: f64,
    /// Largest mean number of calls in flight over a window, as a fraction of the sum of the shares.
    dependency_mean: f64,
    executions: u64,
    rules_broken: u64,
}

/// Adds two standard deviations of a Poisson distribution, plus two, to a limit on a mean.
fn with_variation_allowance(budget: f64) -> f64 {
    budget + 2.0 * budget.sqrt() + 2.0
}

/// Returns the largest mean of the samples over a window.
fn max_window_mean(samples: &[f64]) -> f64 {
    let length = (WINDOW_MS / SAMPLE_INTERVAL_MS as f64) as usize;
    let mean = |window: &[f64]| window.iter().sum::<f64>() / window.len() as f64;
    samples.windows(length.min(samples.len().max(1))).map(mean).fold(0.0, f64::max)
}

/// Runs one load. With `limited`, the backends know their cold speed and their share of the dependency; otherwise they
/// are the control.
fn play(
    context: &TrialContext,
    backends: usize,
    kind: CallerKind,
    limited: bool,
) -> Result<RunResult, String> {
    let executor = &context.executor;
    let clock = Clock::start();
    let span_ms = context.seconds.map_or(5000.0, |seconds| seconds * 1000.0);
    let budget = SHARE * backends as f64;
    let share = if limited { SHARE } else { 50.0 * SHARE };
    let mut settings = load::settings(CORES, backends, CALLERS, share, OVERLOAD_FACTOR);
    settings["family_info"]["signal"] = "window".into();
    if limited {
        settings["rules"]["cold_from"] = json!(COLD_SPEED);
        settings["rules"]["warm_within_ms"] = json!(span_ms);
    }
    let config = FleetConfig {
        program: context.program.clone(),
        backends,
        cores: cores::CoresConfig {
            cores: CORES,
            overload_factor: OVERLOAD_FACTOR,
            initial_speed: COLD_SPEED,
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
        logs: context.logs.clone(),
        pools: None,
        cluster: None,
        peer_paths: false,
    };
    let rate = DEMAND * backends as f64 * CORES * 1000.0 / load::mean_work_ms();
    let planned = Rc::new(load::schedule(context.seed, CALLERS, span_ms, |_| rate));
    let mut fleet =
        Fleet::start(executor, clock, &config).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        let (taps, members) = start_taps(executor, clock, &fleet).await?;
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let CallerKind::Library = kind else {
                callers.push(Caller::Basic(BasicClient::new(executor, &members, number as u32)));
                continue;
            };
            let seed = context.seed * 1000 + number as u64 + 1;
            let backpressure = BackpressureSignal::ConcurrencyPerClient;
            let config = ClientConfig {
                seed,
                backpressure,
                subset_index: Some(number as u64),
                ..ClientConfig::default()
            };
            let client = load::library_client(executor, &members, number, config)?;
            callers.push(Caller::Library(client));
        }
        let results = load::Results::default();
        let mut result = RunResult::default();
        let mut overload_samples = vec![Vec::new(); backends];
        let mut dependency_samples = Vec::new();
        let sample = async {
            loop {
                for (backend, samples) in fleet.backends.iter().zip(&mut overload_samples) {
                    let (running, limit) = backend.agent.concurrency();
                    samples.push(running as f64 / limit);
                    result.peak = result.peak.max(running as f64 / with_variation_allowance(limit));
                }
                dependency_samples.push(fleet.dependency.in_flight() as f64 / budget);
                Timer::after(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
            }
        };
        let play = load::play(executor, clock, &planned, &callers, &results, 1500.0);
        futures_lite::future::or(play, sample).await;
        result.mean = overload_samples.iter().map(|samples| max_window_mean(samples)).fold(0.0, f64::max);
        result.dependency_mean = max_window_mean(&dependency_samples);
        let effects = fleet.effects.borrow();
        result.dependency_peak = effects.peak_dependency_calls as f64 / with_variation_allowance(budget);
        result.executions = effects.executions();
        result.rules_broken = effects.repeated_executions().len() as u64 + effects.launched_after_drain;
        drop(effects);
        result.rules_broken +=
            fleet.backends.iter_mut().filter_map(|backend| backend.poll_exit()).count() as u64;
        for tap in &taps {
            let traffic = tap.traffic.borrow();
            result.rules_broken += traffic.duplicate_responses + traffic.late_responses;
        }
        Ok(result)
    };
    async_io::block_on(executor.run(run))
}

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let mut figures = Figures::default();
    let mut broken = 0;
    for (name, kind) in [("heed", CallerKind::Library), ("untold", CallerKind::Basic)] {
        let result = play(context, 1, kind, true)?;
        let control = play(context, 1, kind, false)?;
        let mut kind_figures = Figures::default();
        kind_figures.report("runs", result.executions as f64);
        kind_figures.put("crowd_mean", result.mean, Bound::AtMost(1.0));
        kind_figures.put("crowd_peak", result.peak, Bound::AtMost(1.0));
        kind_figures.report("control_crowd_mean", control.mean);
        kind_figures.report("control_crowd_peak", control.peak);
        broken += result.rules_broken;
        figures.phase(name, kind_figures);
    }
    let result = play(context, CALLERS, CallerKind::Basic, true)?;
    let control = play(context, CALLERS, CallerKind::Basic, false)?;
    let mut shared = Figures::default();
    shared.report("runs", result.executions as f64);
    shared.put("ledger_mean", result.dependency_mean, Bound::AtMost(1.0));
    shared.put("ledger_peak", result.dependency_peak, Bound::AtMost(1.0));
    shared.put("crowd_mean", result.mean, Bound::AtMost(1.0));
    shared.put("control_ledger_peak", control.dependency_peak, Bound::AtLeast(1.0));
    broken += result.rules_broken;
    figures.phase("shared", shared);
    figures.put("rules_broken", broken as f64, Bound::AtMost(0.0));
    Ok(figures)
}
