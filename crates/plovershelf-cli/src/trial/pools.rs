//! The cheap flood what the dear need: with pools, without, and the dear alone.

use std::rc::Rc;

use async_io::Timer;
use plovershelf_client::ClientConfig;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::{cores, dependency, Clock};

use super::client_overload::taps;
use super::{Aim, Figures, Ground};
use crate::load::{self, Asker, End, Planned};

const BACKENDS: usize = 3;
const CLIENTS: usize = 30;
const CORES: f64 = 4.0;
const CROWD: f64 = 8.0;
/// Places of the two offerings, and what they ask for a second.
const CHEAP: usize = 0;
const DEAR: usize = 3;
const DEAR_RATE: f64 = 130.0;
const CHEAP_RATE: f64 = 470.0;
/// What the ledger does: so many at once, so long each.
const SLOTS: usize = 12;
const CALL_MS: f64 = 40.0;
const SURVIVES: usize = 48;
const PHASES: [&str; 3] = ["flood", "costly", "slow"];
/// Runs of the cheap in the second phase take so many times as long; all do in the third.
const COSTLY: f64 = 2.5;
const SLOW: f64 = 2.0;

const FILE: &str = "[pool cheap]\nofferings = quote\nweight = 1\nleast_calls = 1\n\n\
                    [pool dear]\nofferings = plan\nweight = 12\nleast_runs = 4\nleast_calls = 4\n\n\
                    [pool others]\nofferings = book, settle\n\n[reserve]\npool = cheap\nshare = 0.08\n";

/// Who asks when. The dear are the same with the cheap and without.
fn planned(ground: &Ground, phase_ms: f64, cheap: bool) -> Vec<Planned> {
    let span_ms = phase_ms * PHASES.len() as f64;
    let of = |offering: usize, rate: f64| {
        let mut shares = [0.0; load::OFFERINGS.len()];
        shares[offering] = 1.0;
        load::schedule_of(ground.seed * 10 + offering as u64, CLIENTS, span_ms, |_| rate, &shares)
    };
    let mut all = of(DEAR, DEAR_RATE);
    if cheap {
        all.extend(of(CHEAP, CHEAP_RATE));
    }
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    for (place, one) in all.iter_mut().enumerate() {
        one.work.number = place as u64 + 1;
        one.work.work_ms *= 0.3;
        if phase(one, phase_ms) == 1 && one.offering == CHEAP {
            one.work.work_ms *= COSTLY;
        }
    }
    all
}

fn phase(one: &Planned, phase_ms: f64) -> usize {
    ((one.at_ms / phase_ms) as usize).min(PHASES.len() - 1)
}

#[derive(Default)]
struct Came {
    /// By phase: asked and in time, cheap and dear.
    asked: [[f64; 2]; PHASES.len()],
    in_time: [[f64; 2]; PHASES.len()],
    ledger_peak: f64,
    crowd_peak: f64,
    rules_broken: u64,
}

impl Came {
    fn service(&self, which: usize, phases: std::ops::Range<usize>) -> f64 {
        let sum = |of: &[[f64; 2]]| of[phases.clone()].iter().map(|counts| counts[which]).sum::<f64>();
        sum(&self.in_time) / sum(&self.asked).max(1.0)
    }
}

fn play(ground: &Ground, phase_ms: f64, cheap: bool, pools: bool) -> Result<Came, String> {
    let executor = &ground.executor;
    let clock = Clock::start();
    let share = SURVIVES as f64 / BACKENDS as f64;
    let file = std::env::temp_dir().join(format!("plovershelf-pools-{}.ini", std::process::id()));
    std::fs::write(&file, FILE).map_err(|error| format!("{}: {error}", file.display()))?;
    let plan = FleetConfig {
        program: ground.program.clone(),
        backends: BACKENDS,
        cores: cores::CoresConfig {
            cores: CORES,
            overload_factor: CROWD,
            initial_speed: 1.0,
            slow_start_ms: 1.0,
        },
        dependency: dependency::DependencyConfig {
            call_ms: CALL_MS,
            slots: SLOTS,
            max_in_flight: SURVIVES,
            outage_ms: 2000.0,
        },
        settings: load::settings(CORES, BACKENDS, CLIENTS, share, CROWD),
        memory_mb: 192.0,
        sockets: 1024,
        stop_ms: 2500.0,
        logs: ground.logs.clone(),
        pools: pools.then(|| file.clone()),
        cluster: None,
        peer_paths: false,
    };
    let planned = Rc::new(planned(ground, phase_ms, cheap));
    let mut fleet =
        Fleet::start(executor, clock, &plan).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        let (taps, members) = taps(executor, clock, &fleet).await?;
        let mut askers = Vec::new();
        for number in 0..CLIENTS {
            // Callers that neither throttle nor heed a rank, so that the flood reaches the backends.
            let seed = ground.seed * 1000 + number as u64 + 1;
            let config = ClientConfig { seed, throttle_ratio: 1000.0, ..ClientConfig::default() };
            let client = load::library_client(executor, &members, number, config)?;
            askers.push(Asker::Library(client));
        }
        let began = clock.now();
        let results = load::Results::default();
        let slow = async {
            Timer::at(clock.at(began + 2.0 * phase_ms)).await;
            fleet.backends.iter().for_each(|backend| backend.agent.set_speed_factor(1.0 / SLOW));
            fleet.dependency.set_latency_factor(SLOW);
        };
        let play = load::play(executor, clock, &planned, &askers, &results, 3000.0);
        futures_lite::future::zip(play, slow).await;
        let mut came = Came::default();
        for (one, ends) in planned.iter().zip(results.borrow().iter()) {
            let which = usize::from(one.offering == DEAR);
            let in_time = |end: &load::Result| {
                end.end == End::Succeeded && end.took_ms <= load::OFFERINGS[one.offering].contract_ms
            };
            came.asked[phase(one, phase_ms)][which] += 1.0;
            came.in_time[phase(one, phase_ms)][which] += f64::from(u8::from(ends.iter().any(in_time)));
            came.rules_broken += u64::from(ends.len() != 1);
        }
        let effects = fleet.effects.borrow();
        came.ledger_peak = effects.peak_dependency_calls as f64 / SURVIVES as f64;
        came.crowd_peak = effects.peak_overload;
        came.rules_broken += effects.repeated_executions().len() as u64
            + effects.launched_after_drain
            + effects.dependency_outages;
        drop(effects);
        came.rules_broken +=
            fleet.backends.iter_mut().filter_map(|backend| backend.poll_exit()).count() as u64;
        for tap in &taps {
            let seen = tap.traffic.borrow();
            came.rules_broken += seen.duplicate_responses + seen.unanswered + seen.late_responses;
        }
        Ok(came)
    };
    let came = async_io::block_on(executor.run(run));
    let _ = std::fs::remove_file(&file);
    came
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let phase_ms = ground.seconds.unwrap_or(7.5) * 1000.0 / PHASES.len() as f64;
    let alone = play(ground, phase_ms, false, false)?;
    let without = play(ground, phase_ms, true, false)?;
    let own = play(ground, phase_ms, true, true)?;
    let all = 0..PHASES.len();
    let fill = |figures: &mut Figures, phases: std::ops::Range<usize>| {
        let dear_alone = alone.service(1, phases.clone());
        let (cheap, dear) = (own.service(0, phases.clone()), own.service(1, phases.clone()));
        figures.put("cheap_service", cheap, Aim::AtLeast(0.05));
        figures.put("dear_service", dear, Aim::AtLeast(dear_alone - 0.03));
        figures.told("dear_service_alone", dear_alone);
        figures.told("without_pools_cheap_service", without.service(0, phases.clone()));
        figures.told("without_pools_dear_service", without.service(1, phases));
    };
    let mut figures = Figures::default();
    let done = SLOTS as f64 * 1000.0 / CALL_MS;
    figures.told("ledger_demand_ratio", (DEAR_RATE + CHEAP_RATE) / done);
    fill(&mut figures, all);
    figures.put("ledger_peak_share", own.ledger_peak, Aim::Under(1.0));
    figures.put("crowd_peak_share", own.crowd_peak, Aim::Under(1.0));
    figures.put("rules_broken", own.rules_broken as f64, Aim::AtMost(0.0));
    figures.told("without_pools_rules_broken", without.rules_broken as f64);
    for (place, name) in PHASES.into_iter().enumerate() {
        let mut one = Figures::default();
        fill(&mut one, place..place + 1);
        figures.phase(name, one);
    }
    Ok(figures)
}
