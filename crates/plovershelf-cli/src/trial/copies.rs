//! Trial `copies`: nine backends in three zones replicate the outcomes of requests with idempotency keys. Machines are
//! killed with their disks throughout, some of them two at once, links are cut and processes are paused, while callers
//! retry at other backends. The same schedule runs without replication for comparison.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_cluster::status::{Answer, Question};
use plovershelf_simulation::audit::{self, Event, Observation};
use plovershelf_simulation::replication::schedule as drawn;
use plovershelf_simulation::schedule::{Fault, Folder, Schedule, Step};
use plovershelf_simulation::statistics::SampleDistribution;
use plovershelf_testkit::basic_client::{BasicClient, Call, Outcome};
use plovershelf_testkit::fleet::Fleet;
use plovershelf_testkit::work::{Idempotency, WorkSpec};
use plovershelf_testkit::{cluster, cores, fault_injection, Clock};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::client_overload::fleet_config;
use super::{Bound, Figures, TrialContext};
use crate::load;

const MEMBERS: usize = 9;
const ZONES: usize = 3;
const VOTERS: usize = 7;
const LOSSES: usize = 20;
const CORES: f64 = 1.0;
const WORK_MS: f64 = 60.0;
/// Demand as a fraction of the capacity of the cores.
const DEMAND: f64 = 0.8;
/// Demand of the overloaded phase.
const OVERLOAD_DEMAND: f64 = 1.5;
const OVERLOAD_LOSSES: usize = 6;
const MEMORY_MB: f64 = 64.0;
const MAX_ATTEMPTS: u32 = 8;

/// Returns the schedule of the simulation, with each `KillThird` step, which loses two machines at once, as two kills.
fn schedule(seed: u64, losses: usize) -> Schedule {
    let mut schedule = drawn(seed, MEMBERS, ZONES, losses);
    let pairs = std::mem::take(&mut schedule.steps).into_iter().flat_map(|step| match step.fault {
        Fault::KillThird { first } => [first, (first + 1) % MEMBERS]
            .map(|member| Step { fault: Fault::Kill { member, folder: Folder::Wiped }, ..step.clone() })
            .to_vec(),
        _ => vec![step],
    });
    schedule.steps = pairs.collect();
    schedule
}

/// Outcomes that the callers of one idempotency key observed.
#[derive(Default)]
struct KeyOutcome {
    succeeded: bool,
    /// True if an attempt was rejected after another had a final outcome.
    rejected_after_outcome: bool,
    /// Number of attempts that failed.
    failed: u32,
    /// Number of attempts that failed after another had succeeded.
    failed_after_success: u32,
}

/// Counts over all callers of a run.
#[derive(Default)]
struct CallerCounts {
    keys: Cell<u64>,
    /// Retries, each at a newly drawn backend.
    retries: Cell<u64>,
    /// Keys that succeeded.
    succeeded: Cell<u64>,
    /// Rejected attempts.
    rejected: Cell<u64>,
    /// Attempts with a wrong result.
    wrong_result: Cell<u64>,
    /// Callers that have not finished.
    open: Cell<u64>,
    /// Latency of first attempts that succeeded, in milliseconds.
    latency_ms: RefCell<SampleDistribution>,
    history: RefCell<Vec<Event>>,
}

impl CallerCounts {
    /// Records a final outcome in the history; `result` is `None` for a failure.
    fn record_outcome(&self, at: f64, ticket: u64, result: Option<&[u8]>) {
        let result = result.map(|bytes| u64::from(crc32fast::hash(bytes)));
        self.history.borrow_mut().push(Event { at, seen: Observation::Answered { ticket, result } });
    }
}

fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

/// Measurements of one run of the schedule of faults under load, with or without replication.
pub(super) struct RunResult {
    /// Longest time for which a member reported under-replicated records, in seconds.
    max_under_replicated_s: f64,
    /// Median time of a status query, in milliseconds.
    round_trip_ms: Option<f64>,
    counts: Rc<CallerCounts>,
    /// Keys that were executed more than once.
    executed_twice: u64,
    /// Keys that failed after they had succeeded.
    failed_after_success: u64,
    /// Keys that both succeeded and failed.
    conflicting_outcomes: u64,
    /// Keys with an attempt that was rejected after another had a final outcome.
    rejected_after_outcome: u64,
    /// Keys with a failed attempt.
    failed: u64,
    /// Number of wrong results, outages of the dependency and crashes of backends.
    rules_broken: u64,
    peak_kb: Option<u64>,
    history: Vec<Event>,
}

/// One caller of an idempotency key.
struct Caller {
    client: BasicClient,
    members: Vec<std::net::SocketAddr>,
    seed: u64,
    max_attempts: u32,
    counts: Rc<CallerCounts>,
    key_outcome: Rc<RefCell<KeyOutcome>>,
    clock: Clock,
}

/// Makes a caller's attempts one after another, each at a newly drawn member, until one has a final outcome.
async fn run_attempts(caller: Caller, work: WorkSpec) {
    let Caller { client, members, seed, max_attempts, counts, key_outcome, clock } = caller;
    let mut rng = Pcg64::seed_from_u64(seed);
    let key = format!("ticket-{}", work.number);
    let body = work.body();
    let call = Call {
        class: "book",
        tenant: load::TENANTS[0],
        rank: 0.5,
        idempotency_key: Some(&key),
        idempotent: false,
        body: &body,
        timeout: Duration::from_millis(1500),
    };
    for attempt in 0..max_attempts {
        if attempt > 0 {
            count(&counts.retries);
        }
        let member = members[rng.random_range(0..members.len())];
        let started_ms = clock.now();
        let timeout = Duration::from_millis(1200 + rng.random_range(0..600));
        let timed_out = async {
            Timer::after(timeout).await;
            Outcome::NoResponse
        };
        match futures_lite::future::or(client.attempt(member, &call), timed_out).await {
            Outcome::Succeeded(result) => {
                counts.record_outcome(clock.now(), work.number, Some(&result));
                if result != work.result() {
                    count(&counts.wrong_result);
                }
                let mut key_outcome = key_outcome.borrow_mut();
                if !key_outcome.succeeded {
                    count(&counts.succeeded);
                    if attempt == 0 {
                        counts.latency_ms.borrow_mut().put(clock.now() - started_ms);
                    }
                }
                key_outcome.succeeded = true;
                return;
            }
            Outcome::Failed => {
                counts.record_outcome(clock.now(), work.number, None);
                let mut key_outcome = key_outcome.borrow_mut();
                key_outcome.failed += 1;
                key_outcome.failed_after_success += u32::from(key_outcome.succeeded);
                return;
            }
            Outcome::Rejected => {
                count(&counts.rejected);
                {
                    let mut key_outcome = key_outcome.borrow_mut();
                    key_outcome.rejected_after_outcome |= key_outcome.succeeded || key_outcome.failed > 0;
                }
                Timer::after(Duration::from_millis(300)).await;
            }
            Outcome::NoResponse => {
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Queries a member for its number of under-replicated records; also returns the duration of the query in milliseconds.
/// No other figure of the trial relies on what a member reports about itself.
async fn query_under_replicated(address: std::net::SocketAddr) -> Option<(u64, f64)> {
    let started = std::time::Instant::now();
    let timeout = Duration::from_millis(300);
    let answer = crate::group::ask(address, "trial", Question::Copies, timeout).await.ok()?;
    let Answer::Copies(status) = answer else { return None };
    Some((status.under_replicated_records, started.elapsed().as_secs_f64() * 1000.0))
}

/// Runs a schedule of faults under load, with or without replication.
pub(super) fn play(
    context: &TrialContext,
    schedule: &Schedule,
    replicated: bool,
    demand: f64,
) -> Result<RunResult, String> {
    let executor = &context.executor;
    let clock = Clock::start();
    let mut config = fleet_config(context, MEMBERS, 20);
    config.cores = cores::CoresConfig { cores: CORES, ..config.cores };
    config.memory_mb = MEMORY_MB;
    config.settings = load::settings(CORES, MEMBERS, 20, 40.0, 8.0);
    let more = if replicated {
        "replace_ms = 1500\n\n[copies]\ncopies = 3\nleast = 2\nmemory_mb = 16\n"
    } else {
        "replace_ms = 1500\n"
    };
    config.cluster = Some(cluster::ClusterConfig {
        zones: ZONES,
        initial_voters: VOTERS,
        folders: true,
        more: more.into(),
    });
    let fleet =
        Fleet::start(executor, clock, &config).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        if !fleet.wait_until_up(clock, 15_000.0).await {
            return Err("the backends did not come up within 15 s".to_string());
        }
        Timer::after(Duration::from_millis(2500)).await;
        let members = fleet.addresses();
        let fleet = RefCell::new(fleet);
        let applied = RefCell::new(Vec::new());
        let counts: Rc<CallerCounts> = Rc::default();
        let key_outcomes: Rc<RefCell<Vec<Rc<RefCell<KeyOutcome>>>>> = Rc::default();
        let clients: Vec<BasicClient> =
            (0..8).map(|number| BasicClient::new(executor, &members, number)).collect();
        let mut rng = Pcg64::seed_from_u64(context.seed);
        let ends_ms = clock.now() + schedule.ends_ms();
        let generate_load = async {
            let mut number = 0u64;
            while clock.now() < ends_ms {
                number += 1;
                count(&counts.keys);
                let work = WorkSpec {
                    number,
                    work_ms: WORK_MS * (0.4 + 1.2 * rng.random::<f64>()),
                    outbound_calls: 1,
                    idempotency: Idempotency::Keyed,
                };
                let key_outcome: Rc<RefCell<KeyOutcome>> = Rc::default();
                key_outcomes.borrow_mut().push(key_outcome.clone());
                // Some keys are sent to two backends at the same time; some are sent again later, possibly after they
                // have succeeded.
                let mut callers = vec![(0u64, MAX_ATTEMPTS)];
                if rng.random::<f64>() < 0.15 {
                    callers.push((0, 3));
                }
                if rng.random::<f64>() < 0.2 {
                    callers.push((rng.random_range(200..2500), 1));
                }
                for (delay_ms, max_attempts) in callers {
                    let client = clients[number as usize % 8].clone();
                    let caller = Caller {
                        client,
                        members: members.clone(),
                        seed: rng.random(),
                        max_attempts,
                        counts: counts.clone(),
                        key_outcome: key_outcome.clone(),
                        clock,
                    };
                    let counts = counts.clone();
                    let run_caller = async move {
                        Timer::after(Duration::from_millis(delay_ms)).await;
                        counts.open.set(counts.open.get() + 1);
                        run_attempts(caller, work).await;
                        counts.open.set(counts.open.get() - 1);
                    };
                    executor.spawn(run_caller).detach();
                }
                let per_second = demand * MEMBERS as f64 * CORES * 1000.0 / WORK_MS;
                let gap_ms = -rng.random::<f64>().max(1e-9).ln() * 1000.0 / per_second;
                Timer::after(Duration::from_secs_f64(gap_ms / 1000.0)).await;
            }
        };
        let faults = fault_injection::play(&fleet, clock, schedule, &applied);
        // Polls all members several times a second for the time for which a member has under-replicated records.
        let (max_under_replicated_ms, round_trips_ms) =
            (Cell::new(0.0f64), RefCell::new(SampleDistribution::default()));
        let poll_members = async {
            let mut since: Vec<Option<f64>> = vec![None; MEMBERS];
            let addresses: Vec<_> = fleet
                .borrow()
                .cluster
                .iter()
                .flat_map(|cluster| cluster.members.iter().map(|m| m.address))
                .collect();
            while replicated && clock.now() < ends_ms {
                for (member, address) in addresses.iter().enumerate() {
                    match query_under_replicated(*address).await {
                        Some((records, took_ms)) => {
                            round_trips_ms.borrow_mut().put(took_ms);
                            since[member] =
                                if records > 0 { since[member].or(Some(clock.now())) } else { None };
                        }
                        None => since[member] = None,
                    }
                    if let Some(since) = since[member] {
                        let longest = max_under_replicated_ms.get().max(clock.now() - since);
                        max_under_replicated_ms.set(longest);
                    }
                }
                Timer::after(Duration::from_millis(150)).await;
            }
        };
        futures_lite::future::zip(futures_lite::future::zip(faults, generate_load), poll_members).await;
        let deadline_ms = clock.now() + 15_000.0;
        while counts.open.get() > 0 && clock.now() < deadline_ms {
            Timer::after(Duration::from_millis(50)).await;
        }
        let round_trip_ms = round_trips_ms.borrow().at(0.5);
        let mut fleet = fleet.into_inner();
        let peak_kb = fleet.backends.iter().filter_map(|backend| backend.peak_memory_kb()).max();
        let mut rules_broken = counts.wrong_result.get() + fleet.effects.borrow().dependency_outages;
        for backend in &mut fleet.backends {
            backend.poll_exit();
            rules_broken += u64::from(backend.crashes);
        }
        let executed_twice = fleet.effects.borrow().repeated_keyed_launches().len() as u64;
        let mut history = counts.history.take();
        let applied = applied.borrow();
        history.extend(applied.iter().map(|fault| Event {
            at: fault.at_ms,
            seen: Observation::Fault {
                text: format!(
                    "{} {}",
                    if fault.begins() { "begins" } else { "ends" },
                    schedule.steps[fault.step]
                ),
            },
        }));
        history.sort_by(|a, b| a.at.total_cmp(&b.at));
        // Agents don't record the times of launches, so all launches are dated at the end of the run.
        let at = clock.now();
        let launched = |(ticket, (backend, start)): (u64, (usize, u32))| Event {
            at,
            seen: Observation::Launched { ticket, process: format!("n{}, start {start}", backend + 1) },
        };
        history.extend(fleet.effects.borrow().keyed_launches().map(launched));
        let key_outcomes = key_outcomes.borrow();
        let all = || key_outcomes.iter().map(|key| key.borrow());
        Ok(RunResult {
            executed_twice,
            failed_after_success: all().filter(|key| key.failed_after_success > 0).count() as u64,
            rejected_after_outcome: all().filter(|key| key.rejected_after_outcome).count() as u64,
            conflicting_outcomes: all().filter(|key| key.succeeded && key.failed > 0).count() as u64,
            failed: all().filter(|key| key.failed > 0).count() as u64,
            max_under_replicated_s: max_under_replicated_ms.get() / 1000.0,
            round_trip_ms,
            history,
            rules_broken,
            peak_kb,
            counts,
        })
    };
    async_io::block_on(executor.run(run))
}

/// Returns the fraction of keys that succeeded.
fn goodput(run: &RunResult) -> f64 {
    run.counts.succeeded.get() as f64 / run.counts.keys.get().max(1) as f64
}

/// Adds the figures of one load, with and without replication.
pub(super) fn add_figures(figures: &mut Figures, with: &RunResult, without: &RunResult, min_goodput: Bound) {
    let zero = Bound::AtMost(0.0);
    let tickets = with.counts.keys.get() as f64;
    figures.report("tickets", tickets);
    figures.report("repeats_elsewhere", with.counts.retries.get() as f64);
    figures.put("effects_twice", with.executed_twice as f64, zero);
    figures.put("succeeded_then_other", with.failed_after_success as f64, zero);
    // A retry is rejected if no member that knows the outcome can be reached in time. A rejection is no outcome, and
    // nothing is executed for it.
    figures.put("promises_broken", audit::judge(&with.history).broken.len() as f64, zero);
    figures.report("dismissed_after_verdict", with.rejected_after_outcome as f64);
    figures.put("verdicts_that_differ", with.conflicting_outcomes as f64, zero);
    figures.report("told_failed_share", with.failed as f64 / tickets.max(1.0));
    figures.report("dismissed", with.counts.rejected.get() as f64);
    figures.report("copies_low_s_worst", with.max_under_replicated_s);
    figures.report("round_trip_ms_median", with.round_trip_ms);
    figures.report("took_ms_median", with.counts.latency_ms.borrow().at(0.5));
    figures.report("without_took_ms_median", without.counts.latency_ms.borrow().at(0.5));
    let median_ms = |run: &RunResult| run.counts.latency_ms.borrow().at(0.5);
    let added = median_ms(with).zip(median_ms(without)).map(|(with, without)| with - without);
    figures.report("wait_added_ms_median", added);
    figures.report("served", goodput(with));
    figures.report("without_served", goodput(without));
    figures.put("goodput_ratio", goodput(with) / goodput(without).max(1e-9), min_goodput);
    let peak_share = with.peak_kb.map(|kb| kb as f64 / 1024.0 / MEMORY_MB);
    figures.put("memory_peak_share", peak_share, Bound::AtMost(1.0));
    figures.put("rules_broken", with.rules_broken as f64, zero);
    figures.put("without_effects_twice", without.executed_twice as f64, Bound::AtLeast(1.0));
    figures.report("without_succeeded_then_other", without.failed_after_success as f64);
}

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    // Each loss takes about four seconds, pauses included.
    let losses = context.seconds.map_or(LOSSES, |seconds| ((seconds / 4.0) as usize).max(2));
    let schedule = match &context.schedule {
        Some(file) => {
            let text =
                std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
            text.parse().map_err(|error| format!("{}: {error}", file.display()))?
        }
        None => schedule(context.seed, losses),
    };
    if let Some(logs) = &context.logs {
        let file = logs.join("schedule.txt");
        std::fs::write(&file, schedule.to_string())
            .map_err(|error| format!("{}: {error}", file.display()))?;
    }
    let with = play(context, &schedule, true, DEMAND)?;
    if let Some(logs) = &context.logs {
        let file = logs.join("history.jsonl");
        std::fs::write(&file, audit::written(&with.history))
            .map_err(|error| format!("{}: {error}", file.display()))?;
    }
    let without = play(context, &schedule, false, DEMAND)?;
    let kills: Vec<&Step> =
        schedule.steps.iter().filter(|step| matches!(step.fault, Fault::Kill { .. })).collect();
    let at_once = |step: &&Step| kills.iter().filter(|other| (other.at_ms - step.at_ms).abs() < 1.0).count();
    let mut figures = Figures::default();
    figures.put("machines_lost_with_disk", kills.len() as f64, Bound::AtLeast(losses as f64));
    figures.put(
        "most_lost_at_once",
        kills.iter().map(at_once).max().unwrap_or(0) as f64,
        Bound::AtLeast(2.0),
    );
    add_figures(&mut figures, &with, &without, Bound::AtLeast(0.9));
    // Demand beyond the capacity of the cores, with fewer losses.
    let fewer = self::schedule(context.seed ^ 0x0f, losses.min(OVERLOAD_LOSSES));
    let (with, without) =
        (play(context, &fewer, true, OVERLOAD_DEMAND)?, play(context, &fewer, false, OVERLOAD_DEMAND)?);
    let mut overloaded = Figures::default();
    add_figures(&mut overloaded, &with, &without, Bound::AtLeast(0.9));
    figures.phase("over", overloaded);
    Ok(figures)
}
