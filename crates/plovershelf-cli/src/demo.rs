//! `plovershelf demo`: runs one backend under rising demand for ten seconds and prints what became of the calls.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use clap::Args;
use comfy_table::{presets, Table};
use plovershelf_client::{BackpressureSignal, ClientConfig};
use plovershelf_testkit::backend::server_program;
use plovershelf_testkit::fleet::{Fleet, FleetConfig};
use plovershelf_testkit::{cores, dependency, Clock, Executor};

use crate::load::{self, CallOutcome, Caller};
use crate::trial::start_taps;

#[derive(Args)]
pub struct Options {
    /// How long it lasts.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(2..=600))]
    seconds: u32,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

const CLIENTS: usize = 12;
const CORES: f64 = 4.0;
const OVERLOAD_FACTOR: f64 = 8.0;
const GRACE_MS: f64 = 1000.0;

/// Returns exit status 0 if no rule was broken, 1 otherwise.
pub fn run(options: &Options) -> Result<u8, String> {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let clock = Clock::start();
    let plan = FleetConfig {
        program: server_program().map_err(|error| error.to_string())?,
        backends: 1,
        cores: cores::CoresConfig {
            cores: CORES,
            overload_factor: OVERLOAD_FACTOR,
            initial_speed: 1.0,
            slow_start_ms: 1.0,
        },
        dependency: dependency::DependencyConfig {
            call_ms: 12.0,
            slots: 24,
            max_in_flight: 40,
            outage_ms: 2000.0,
        },
        settings: load::settings(CORES, 1, CLIENTS, 40.0, OVERLOAD_FACTOR),
        memory_mb: 64.0,
        sockets: 512,
        stop_ms: 2500.0,
        logs: None,
        pools: None,
        cluster: None,
        peer_paths: false,
    };
    let span_ms = f64::from(options.seconds) * 1000.0;
    let capacity = CORES * 1000.0 / load::mean_work_ms();
    // Demand rises from a third of the cores' capacity to twice the capacity.
    let demand = move |at_ms: f64| capacity * (0.35 + 1.65 * at_ms / span_ms);
    let planned = Rc::new(load::schedule(options.seed, CLIENTS, span_ms, demand));
    println!(
        "One backend with {CORES} cores, a ledger behind it and {CLIENTS} callers before it; demand rises from 35 % of what\n\
         the cores do to 200 % in {} s. By offering: succeeded / dismissed / given up by the caller.\n",
        options.seconds
    );
    let mut fleet =
        Fleet::start(&executor, clock, &plan).map_err(|error| format!("starting a backend: {error}"))?;
    let run = async {
        let (taps, members) = start_taps(&executor, clock, &fleet).await?;
        let tap = &taps[0];
        let mut callers = Vec::new();
        for number in 0..CLIENTS {
            let seed = options.seed * 1000 + number as u64 + 1;
            let config = ClientConfig {
                seed,
                backpressure: BackpressureSignal::MinimumPriority,
                ..ClientConfig::default()
            };
            let client = load::library_client(&executor, &members, number, config)?;
            callers.push(Caller::Library(client));
        }
        let names: Vec<String> =
            load::CLASSES.iter().map(|o| format!("{} ({}x)", o.name, o.revenue)).collect();
        println!("  s  demand  {}", names.iter().map(|name| format!("{name:>18}")).collect::<String>());
        let started_ms = clock.now();
        let results = load::Results::default();
        let play = load::play(&executor, clock, &planned, &callers, &results, 3000.0);
        let print_seconds = async {
            for second in 1..=options.seconds {
                Timer::at(clock.at(started_ms + f64::from(second) * 1000.0)).await;
                let demand = 100.0 * demand(f64::from(second) * 1000.0 - 500.0) / capacity;
                let counts = counts_in_second(&planned, &results.borrow(), started_ms, second);
                println!("{second:>3} {demand:>5.0} %  {counts}");
            }
        };
        futures_lite::future::zip(play, print_seconds).await;
        println!();
        // Sends the drain notice once all calls have ended.
        fleet.backends[0].start_drain(GRACE_MS);
        let mut status = None;
        for _ in 0..400 {
            status = fleet.backends[0].poll_exit();
            if status.is_some() {
                break;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        let summary = load::summarize(&planned, &results.borrow());
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header([
            "offering",
            "asked",
            "in time",
            "late",
            "dismissed",
            "given up",
            "failed",
            "out of time",
        ]);
        for (class, counts) in load::CLASSES.iter().zip(&summary.by_class) {
            let row = std::iter::once(class.name.to_string()).chain(counts.iter().map(usize::to_string));
            table.add_row(row);
        }
        println!("{table}\n");
        let (effects, traffic) = (fleet.effects.borrow(), tap.traffic.borrow());
        let wrong_responses = traffic.duplicate_responses + traffic.late_responses + traffic.unanswered;
        let rules = [
            (
                "1. One final answer to each that was read, in time",
                wrong_responses + summary.without_result as u64 + summary.duplicate_results as u64,
            ),
            ("2. No effect twice", effects.repeated_executions().len() as u64 + summary.wrong_result as u64),
            (
                "3. Nothing run past the grace, all answered before the stop",
                effects.launched_after_drain + u64::from(!status.is_some_and(|s| s.success())),
            ),
            (
                "4. Neither the backend nor the ledger fell",
                u64::from(effects.peak_overload > 1.0)
                    + effects.dependency_outages
                    + u64::from(fleet.backends[0].crashes),
            ),
        ];
        for (rule, broken) in rules {
            println!(
                "{rule}: {}",
                if broken == 0 { "kept".to_string() } else { format!("BROKEN {broken} times") }
            );
        }
        println!(
            "\n{} asked for, {} tries reached the backend ({} of them repeats), {:.0} % of the revenue came in time.",
            summary.calls,
            traffic.requests,
            traffic.marked_retries.values().sum::<u64>(),
            100.0 * summary.revenue_in_time / summary.revenue.max(1e-9)
        );
        Ok(u8::from(rules.iter().any(|(_, broken)| *broken > 0)))
    };
    async_io::block_on(executor.run(run))
}

/// Returns the columns of one second: the calls of each class that ended in it as succeeded, rejected and not sent.
fn counts_in_second(
    planned: &[load::PlannedCall],
    results: &[Vec<load::CallResult>],
    started_ms: f64,
    second: u32,
) -> String {
    let mut counts = [[0; 3]; load::CLASSES.len()];
    let is_in_second = |at_ms: f64| ((at_ms - started_ms) / 1000.0).floor() as i64 == i64::from(second) - 1;
    for (call, results) in planned.iter().zip(results) {
        for result in results.iter().filter(|result| is_in_second(result.ended_at)) {
            let column = match result.outcome {
                CallOutcome::Succeeded => 0,
                CallOutcome::Rejected => 1,
                CallOutcome::NotSent(_) => 2,
                _ => continue,
            };
            counts[call.class][column] += 1;
        }
    }
    let columns = counts.map(|[succeeded, rejected, not_sent]| {
        format!("{:>18}", format!("{succeeded} / {rejected} / {not_sent}"))
    });
    columns.concat()
}
