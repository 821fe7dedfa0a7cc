//! Trial `pools`: calls of a cheap class flood the dependency that a valuable class needs. Compares runs with bulkheads,
//! without bulkheads, and with the valuable class alone.

use std::rc::Rc;

use async_io::Timer;
use plovershelf_client::ClientConfig;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::{cores, dependency, Clock};

use super::client_overload::start_taps;
use super::{Bound, Figures, TrialContext};
use crate::load::{self, CallOutcome, Caller, PlannedCall};

const BACKENDS: usize = 3;
const CLIENTS: usize = 30;
const CORES: f64 = 4.0;
const OVERLOAD_FACTOR: f64 = 8.0;
/// Indices of the two classes in `load::CLASSES`.
const CHEAP: usize = 0;
const VALUABLE: usize = 3;
/// Calls a second of each class.
const VALUABLE_RATE: f64 = 130.0;
const CHEAP_RATE: f64 = 470.0;
/// Calls that the dependency processes at once.
const SLOTS: usize = 12;
/// Time that the dependency takes for a call.
const CALL_MS: f64 = 40.0;
/// Calls in flight that the dependency survives.
const MAX_IN_FLIGHT: usize = 48;
const PHASES: [&str; 3] = ["flood", "costly", "slow"];
/// Factor on the work of cheap calls in the second phase.
const COSTLY_FACTOR: f64 = 2.5;
/// Factor on the duration of all work in the third phase.
const SLOW_FACTOR: f64 = 2.0;

const BULKHEADS_FILE: &str = "[pool cheap]\nofferings = quote\nweight = 1\nleast_calls = 1\n\n\
                    [pool dear]\nofferings = plan\nweight = 12\nleast_runs = 4\nleast_calls = 4\n\n\
                    [pool others]\nofferings = book, settle\n\n[reserve]\npool = cheap\nshare = 0.08\n";

/// Draws the schedule. The calls of the valuable class are the same with and without the cheap class.
fn planned(context: &TrialContext, phase_ms: f64, with_cheap: bool) -> Vec<PlannedCall> {
    let span_ms = phase_ms * PHASES.len() as f64;
    let draw_class = |class: usize, rate: f64| {
        let mut shares = [0.0; load::CLASSES.len()];
        shares[class] = 1.0;
        load::schedule_with_shares(context.seed * 10 + class as u64, CLIENTS, span_ms, |_| rate, &shares)
    };
    let mut all = draw_class(VALUABLE, VALUABLE_RATE);
    if with_cheap {
        all.extend(draw_class(CHEAP, CHEAP_RATE));
    }
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    for (index, call) in all.iter_mut().enumerate() {
        call.work.number = index as u64 + 1;
        call.work.work_ms *= 0.3;
        if phase(call, phase_ms) == 1 && call.class == CHEAP {
            call.work.work_ms *= COSTLY_FACTOR;
        }
    }
    all
}

/// Returns the phase that a call belongs to.
fn phase(call: &PlannedCall, phase_ms: f64) -> usize {
    ((call.at_ms / phase_ms) as usize).min(PHASES.len() - 1)
}

#[derive(Default)]
struct RunResult {
    /// Number of calls by phase, of the cheap and of the valuable class.
    calls: [[f64; 2]; PHASES.len()],
    /// Number of calls that succeeded within the latency target, by phase and class.
    in_time: [[f64; 2]; PHASES.len()],
    /// Largest number of calls in flight to the dependency, as a fraction of what it survives.
    dependency_peak: f64,
    /// Largest overload of a backend, as a fraction of what it survives.
    overload_peak: f64,
    rules_broken: u64,
}

impl RunResult {
    /// Returns the fraction of calls in time; `class` is 0 for the cheap class and 1 for the valuable one.
    fn in_time_fraction(&self, class: usize, phases: std::ops::Range<usize>) -> f64 {
        let sum =
            |counts: &[[f64; 2]]| counts[phases.clone()].iter().map(|counts| counts[class]).sum::<f64>();
        sum(&self.in_time) / sum(&self.calls).max(1.0)
    }
}

fn play(
    context: &TrialContext,
    phase_ms: f64,
    with_cheap: bool,
    with_bulkheads: bool,
) -> Result<RunResult, String> {
    let executor = &context.executor;
    let clock = Clock::start();
    let share = MAX_IN_FLIGHT as f64 / BACKENDS as f64;
    let file = std::env::temp_dir().join(format!("plovershelf-pools-{}.ini", std::process::id()));
    std::fs::write(&file, BULKHEADS_FILE).map_err(|error| format!("{}: {error}", file.display()))?;
    let config = FleetConfig {
        program: context.program.clone(),
        backends: BACKENDS,
        cores: cores::CoresConfig {
            cores: CORES,
            overload_factor: OVERLOAD_FACTOR,
            initial_speed: 1.0,
            slow_start_ms: 1.0,
        },
        dependency: dependency::DependencyConfig {
            call_ms: CALL_MS,
            slots: SLOTS,
            max_in_flight: MAX_IN_FLIGHT,
            outage_ms: 2000.0,
        },
        settings: load::settings(CORES, BACKENDS, CLIENTS, share, OVERLOAD_FACTOR),
        memory_mb: 192.0,
        sockets: 1024,
        stop_ms: 2500.0,
        logs: context.logs.clone(),
        pools: with_bulkheads.then(|| file.clone()),
        cluster: None,
        peer_paths: false,
    };
    let planned = Rc::new(planned(context, phase_ms, with_cheap));
    let mut fleet =
        Fleet::start(executor, clock, &config).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        let (taps, members) = start_taps(executor, clock, &fleet).await?;
        let mut callers = Vec::new();
        for number in 0..CLIENTS {
            // Callers neither throttle nor follow a priority threshold, so that the flood reaches the backends.
            let seed = context.seed * 1000 + number as u64 + 1;
            let config = ClientConfig { seed, throttle_ratio: 1000.0, ..ClientConfig::default() };
            let client = load::library_client(executor, &members, number, config)?;
            callers.push(Caller::Library(client));
        }
        let started_ms = clock.now();
        let results = load::Results::default();
        let slow_down = async {
            Timer::at(clock.at(started_ms + 2.0 * phase_ms)).await;
            fleet.backends.iter().for_each(|backend| backend.agent.set_speed_factor(1.0 / SLOW_FACTOR));
            fleet.dependency.set_latency_factor(SLOW_FACTOR);
        };
        let play = load::play(executor, clock, &planned, &callers, &results, 3000.0);
        futures_lite::future::zip(play, slow_down).await;
        let mut run_result = RunResult::default();
        for (call, results) in planned.iter().zip(results.borrow().iter()) {
            let class = usize::from(call.class == VALUABLE);
            let in_time = |result: &load::CallResult| {
                result.outcome == CallOutcome::Succeeded
                    && result.took_ms <= load::CLASSES[call.class].target_ms
            };
            run_result.calls[phase(call, phase_ms)][class] += 1.0;
            run_result.in_time[phase(call, phase_ms)][class] +=
                f64::from(u8::from(results.iter().any(in_time)));
            run_result.rules_broken += u64::from(results.len() != 1);
        }
        let effects = fleet.effects.borrow();
        run_result.dependency_peak = effects.peak_dependency_calls as f64 / MAX_IN_FLIGHT as f64;
        run_result.overload_peak = effects.peak_overload;
        run_result.rules_broken += effects.repeated_executions().len() as u64
            + effects.launched_after_drain
            + effects.dependency_outages;
        drop(effects);
        run_result.rules_broken +=
            fleet.backends.iter_mut().filter_map(|backend| backend.poll_exit()).count() as u64;
        for tap in &taps {
            let traffic = tap.traffic.borrow();
            run_result.rules_broken +=
                traffic.duplicate_responses + traffic.unanswered + traffic.late_responses;
        }
        Ok(run_result)
    };
    let run_result = async_io::block_on(executor.run(run));
    let _ = std::fs::remove_file(&file);
    run_result
}

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let phase_ms = context.seconds.unwrap_or(7.5) * 1000.0 / PHASES.len() as f64;
    let alone = play(context, phase_ms, false, false)?;
    let without = play(context, phase_ms, true, false)?;
    let with = play(context, phase_ms, true, true)?;
    let all = 0..PHASES.len();
    let fill = |figures: &mut Figures, phases: std::ops::Range<usize>| {
        let valuable_alone = alone.in_time_fraction(1, phases.clone());
        let (cheap, valuable) =
            (with.in_time_fraction(0, phases.clone()), with.in_time_fraction(1, phases.clone()));
        figures.put("cheap_service", cheap, Bound::AtLeast(0.05));
        figures.put("dear_service", valuable, Bound::AtLeast(valuable_alone - 0.03));
        figures.report("dear_service_alone", valuable_alone);
        figures.report("without_pools_cheap_service", without.in_time_fraction(0, phases.clone()));
        figures.report("without_pools_dear_service", without.in_time_fraction(1, phases));
    };
    let mut figures = Figures::default();
    let capacity = SLOTS as f64 * 1000.0 / CALL_MS;
    figures.report("ledger_demand_ratio", (VALUABLE_RATE + CHEAP_RATE) / capacity);
    fill(&mut figures, all);
    figures.put("ledger_peak_share", with.dependency_peak, Bound::Under(1.0));
    figures.put("crowd_peak_share", with.overload_peak, Bound::Under(1.0));
    figures.put("rules_broken", with.rules_broken as f64, Bound::AtMost(0.0));
    figures.report("without_pools_rules_broken", without.rules_broken as f64);
    for (index, name) in PHASES.into_iter().enumerate() {
        let mut phase_figures = Figures::default();
        fill(&mut phase_figures, index..index + 1);
        figures.phase(name, phase_figures);
    }
    Ok(figures)
}
