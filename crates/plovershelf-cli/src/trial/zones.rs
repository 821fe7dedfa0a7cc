//! Trial `zones`: twelve backends in two regions of three zones each. Zones are killed, flap, lose their agents and are
//! paused. Callers follow the failover plan; in the baseline, which has the same faults, each caller chooses zones by its own
//! observations.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_failover::{
    locality_weighted_plan, PlannerConfig, Request, Response, RoutingAdvisor, Topology, Zone, ZoneState,
};
use plovershelf_simulation::schedule::{Fault, Folder, Schedule, Step};
use plovershelf_testkit::basic_client::{BasicClient, Call, Outcome};
use plovershelf_testkit::fleet::Fleet;
use plovershelf_testkit::work::{Idempotency, WorkSpec};
use plovershelf_testkit::{cluster, cores, fault_injection, Clock};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::client_overload::fleet_config;
use super::{Bound, Figures, TrialContext};
use crate::load;
use crate::zones::ask_zones;

const ZONES: usize = 6;
const MEMBERS: usize = 12;
const CORES: f64 = 1.0;
const WORK_MS: f64 = 40.0;
/// Demand as a fraction of the capacity of the cores.
const DEMAND: f64 = 0.55;
/// Request class, its fraction of the calls, and its revenue.
const CLASSES: [(&str, f64, f64); 2] = [("quote", 0.6, 1.0), ("plan", 0.4, 10.0)];

fn members_of(zone: usize) -> impl Iterator<Item = usize> {
    (0..MEMBERS).filter(move |member| member % ZONES == zone)
}

/// Draws a schedule with one faulty zone at a time: lost with its disks, without its agents, flapping, and paused. Also
/// returns the outages, each with its start and end in milliseconds and its zone.
fn schedule(seed: u64) -> (Schedule, Vec<(f64, f64, usize)>) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut schedule = Schedule { members: MEMBERS, zones: ZONES, steps: Vec::new() };
    let mut outages = Vec::new();
    let mut at_ms = 6000.0;
    let first = rng.random_range(0..ZONES);
    for kind in 0..4 {
        let zone = (first + kind * 2) % ZONES;
        let mut add_outage = |at_ms: f64, for_ms: f64, fault: &dyn Fn(usize) -> Fault| {
            outages.push((at_ms, at_ms + for_ms, zone));
            schedule.steps.extend(members_of(zone).map(|m| Step { at_ms, for_ms, fault: fault(m) }));
        };
        match kind {
            0 => add_outage(at_ms, 7000.0, &|member| Fault::Kill { member, folder: Folder::Wiped }),
            1 => add_outage(at_ms, 6000.0, &|member| Fault::Unready { member }),
            2 => (0..2).for_each(|n| {
                add_outage(at_ms + 8000.0 * f64::from(n), 4000.0, &|member| Fault::Kill {
                    member,
                    folder: Folder::Kept,
                })
            }),
            _ => add_outage(at_ms, 5000.0, &|member| Fault::Stop { member }),
        }
        at_ms += if kind == 2 { 24_000.0 } else { 18_000.0 };
    }
    (schedule, outages)
}

#[derive(Default)]
struct Counts {
    /// Revenue of all calls.
    requested_revenue: Cell<f64>,
    /// Revenue of the calls that succeeded in time.
    earned_revenue: Cell<f64>,
    /// Calls to the caller's own zone and all calls, while no zone had an outage.
    local_calm: Cell<[f64; 2]>,
    /// Calls to the caller's own zone and all calls, while that zone had no outage.
    local_healthy: Cell<[f64; 2]>,
    /// Plan revisions without a recent outage.
    needless_revisions: Cell<u64>,
    /// Calls that succeeded too late.
    late: Cell<u64>,
}

/// Measurements of one run of the schedule of faults under load, with or without the failover plan.
struct RunResult {
    counts: Rc<Counts>,
    /// Longest time for which callers sent more than a tenth of their calls to a zone with an outage, in seconds.
    max_shift_s: f64,
    /// Reversals of the direction in which the share of local calls changes.
    reversals: u64,
    /// Number of outages of the dependency, plus the number of exits of backends found at the end of the run.
    rules_broken: u64,
    effects_twice: u64,
}

/// The callers of one origin zone.
struct Origin {
    /// Routes calls by the failover plan.
    advisor: RefCell<RoutingAdvisor>,
    /// Decaying counts of attempts and failures by zone, which callers without a plan route by.
    observed: RefCell<Vec<[f64; 2]>>,
}

fn topology() -> Topology {
    let zone =
        |n: usize| Zone { name: format!("z{}", n + 1), region: if n < 3 { "r1" } else { "r2" }.into() };
    Topology::new((0..ZONES).map(zone).collect())
}

/// Returns the zones that have an outage at a time, or had one within `after_ms` before.
fn zones_out_at(outages: &[(f64, f64, usize)], at: f64, after_ms: f64) -> Vec<usize> {
    outages
        .iter()
        .filter(|(from, to, _)| (*from..*to + after_ms).contains(&at))
        .map(|(.., zone)| *zone)
        .collect()
}

/// Returns the zone that a caller without a plan sends a call to.
fn choose_zone_unplanned(origin: &Origin, from: usize, draw: f64) -> Option<usize> {
    let observed = origin.observed.borrow();
    let bad = |zone: usize| observed[zone][0] > 3.0 && observed[zone][1] / observed[zone][0] > 0.33;
    if !bad(from) || draw < 0.05 {
        return Some(from);
    }
    let in_order =
        (1..ZONES).map(|n| if n < 3 { from / 3 * 3 + (from + n) % 3 } else { (from / 3 * 3 + n) % ZONES });
    Some(in_order.into_iter().find(|zone| !bad(*zone)).unwrap_or(from))
}

/// Runs a schedule of faults under load; with `planned`, callers follow the failover plan.
fn play(
    context: &TrialContext,
    schedule: &Schedule,
    outages: &[(f64, f64, usize)],
    planned: bool,
) -> Result<RunResult, String> {
    let executor = &context.executor;
    let clock = Clock::start();
    let mut config = fleet_config(context, MEMBERS, 24);
    config.cores = cores::CoresConfig { cores: CORES, ..config.cores };
    config.settings = load::settings(CORES, MEMBERS, 24, 40.0, 8.0);
    let zones: String =
        topology().zones().iter().map(|z| format!("[zone {}]\nregion = {}\n", z.name, z.region)).collect();
    let more = format!("replace_ms = 1500\n\n{zones}[zones]\nwell_ms = 4000\n");
    config.cluster = Some(cluster::ClusterConfig { zones: ZONES, initial_voters: 5, folders: true, more });
    let fleet =
        Fleet::start(executor, clock, &config).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        if !fleet.wait_until_up(clock, 15_000.0).await {
            return Err("the backends did not come up within 15 s".to_string());
        }
        Timer::after(Duration::from_millis(4000)).await;
        let members = fleet.addresses();
        let status_addresses: Vec<SocketAddr> = fleet
            .cluster
            .iter()
            .flat_map(|cluster| cluster.members.iter().map(|member| member.address))
            .collect();
        let fleet = RefCell::new(fleet);
        let applied = RefCell::new(Vec::new());
        let counts: Rc<Counts> = Rc::default();
        let started_ms = clock.now();
        let ends_ms = started_ms + schedule.ends_ms() + 6000.0;
        let origin = |zone: usize| {
            Rc::new(Origin {
                advisor: RefCell::new(RoutingAdvisor::new(zone, ZONES, started_ms)),
                observed: RefCell::new(vec![[0.0; 2]; ZONES]),
            })
        };
        let origins: Vec<Rc<Origin>> = (0..ZONES).map(origin).collect();
        let clients: Vec<BasicClient> =
            (0..ZONES as u32).map(|number| BasicClient::new(executor, &members, number)).collect();
        let open = Rc::new(Cell::new(0u64));
        // Callers request the plan from members, half of the time from one in their own zone, and report their observations.
        let request_plans = async {
            let mut rng = Pcg64::seed_from_u64(context.seed ^ 0x91a);
            while clock.now() < ends_ms && planned {
                for (zone, origin) in origins.iter().enumerate() {
                    let report = origin.advisor.borrow_mut().poll_report(clock.now());
                    let local: Vec<usize> = members_of(zone).collect();
                    let member = match rng.random::<f64>() < 0.5 {
                        true => local[rng.random_range(0..local.len())],
                        false => rng.random_range(0..MEMBERS),
                    };
                    let request = Request::Advice { caller: zone as u64 + 1, report };
                    let response =
                        ask_zones(status_addresses[member], "trial", &request, Duration::from_millis(60))
                            .await;
                    if let Ok(Response::Status(status)) = response {
                        origin.advisor.borrow_mut().handle_status(clock.now(), &status);
                    }
                }
                Timer::after(Duration::from_millis(150)).await;
            }
        };
        let (max_shift_ms, reversals) = (Cell::new(0.0f64), Cell::new(0u64));
        let observe_plans = async {
            let mut was_rising: Vec<Option<bool>> = vec![None; ZONES];
            let mut previous_share = [1.0f64; ZONES];
            let mut latest_revision = 0;
            while clock.now() < ends_ms && planned {
                let at = clock.now() - started_ms;
                let out = zones_out_at(outages, at, 0.0);
                for zone in 0..ZONES {
                    let advisor = origins[zone].advisor.borrow();
                    let follower = advisor.follower();
                    let local_share = follower
                        .active_plan(clock.now())
                        .map_or(1.0, |plan| plan.share_of_demand(zone, zone, &[0.6, 0.0, 0.4]));
                    if (local_share - previous_share[zone]).abs() > 0.1 {
                        let rises = local_share > previous_share[zone];
                        reversals.set(reversals.get() + u64::from(was_rising[zone] != Some(rises)));
                        (was_rising[zone], previous_share[zone]) = (Some(rises), local_share);
                    }
                    if out.contains(&zone) && local_share > 0.1 {
                        let since =
                            outages.iter().filter(|(from, to, z)| *z == zone && (*from..*to).contains(&at));
                        let for_ms = since.map(|(from, ..)| at - from).fold(0.0, f64::max);
                        max_shift_ms.set(max_shift_ms.get().max(for_ms));
                    }
                }
                let newest = origins
                    .iter()
                    .map(|o| o.advisor.borrow().follower().revision(clock.now()))
                    .max()
                    .unwrap_or(0);
                let calm = zones_out_at(outages, at, 16_000.0).is_empty();
                if newest > latest_revision && calm && latest_revision > 0 {
                    counts.needless_revisions.set(counts.needless_revisions.get() + 1);
                }
                latest_revision = latest_revision.max(newest);
                Timer::after(Duration::from_millis(50)).await;
            }
        };
        let generate_load = async {
            let mut rng = Pcg64::seed_from_u64(context.seed);
            let mut number = 0u64;
            while clock.now() < ends_ms {
                number += 1;
                let from = rng.random_range(0..ZONES);
                let draw: f64 = rng.random();
                let (name, _, revenue) = if draw < CLASSES[0].1 { CLASSES[0] } else { CLASSES[1] };
                let work = WorkSpec {
                    number,
                    work_ms: WORK_MS * (0.4 + 1.2 * rng.random::<f64>()),
                    outbound_calls: 0,
                    idempotency: Idempotency::Idempotent,
                };
                let (origin, client, counts) = (origins[from].clone(), clients[from].clone(), counts.clone());
                let (open, members) = (open.clone(), members.clone());
                let draws: [f64; 3] = [rng.random(), rng.random(), rng.random()];
                let pick = rng.random_range(0..2usize);
                let out = zones_out_at(outages, clock.now() - started_ms, 14_000.0);
                let call_once = async move {
                    open.set(open.get() + 1);
                    counts.requested_revenue.set(counts.requested_revenue.get() + revenue);
                    let body = work.body();
                    let rank = revenue / 10.0;
                    let call = Call {
                        class: name,
                        tenant: load::TENANTS[0],
                        rank,
                        idempotency_key: None,
                        idempotent: true,
                        body: &body,
                        timeout: Duration::from_millis(600),
                    };
                    let mut tried = Vec::new();
                    let deadline_ms = clock.now() + 1400.0;
                    for (attempt, draw) in draws.into_iter().enumerate() {
                        let now = clock.now();
                        let to = match (attempt, planned) {
                            (0, true) => {
                                origin
                                    .advisor
                                    .borrow_mut()
                                    .choose_zone(now, rank, work.work_ms, draw, |_| true)
                            }
                            // The second attempt goes to another member of the zone, the third to another zone.
                            (1, _) => tried.last().copied(),
                            (_, true) => origin.advisor.borrow().choose_retry_zone(now, rank, &tried),
                            (_, false) => choose_zone_unplanned(&origin, from, draw),
                        };
                        let Some(to) = to.filter(|_| clock.now() < deadline_ms) else { break };
                        if attempt == 0 {
                            let local = f64::from(u8::from(to == from));
                            let add = |cell: &Cell<[f64; 2]>| {
                                cell.set([cell.get()[0] + local, cell.get()[1] + 1.0])
                            };
                            if out.is_empty() {
                                add(&counts.local_calm);
                            }
                            if !out.contains(&from) {
                                add(&counts.local_healthy);
                            }
                        }
                        tried.push(to);
                        let candidates: Vec<usize> = members_of(to).collect();
                        let member = members[candidates[(pick + attempt) % candidates.len()]];
                        let timed_out = async {
                            Timer::after(Duration::from_millis(600)).await;
                            Outcome::NoResponse
                        };
                        let outcome =
                            futures_lite::future::or(client.attempt(member, &call), timed_out).await;
                        let succeeded = matches!(outcome, Outcome::Succeeded(_));
                        origin.advisor.borrow_mut().record_attempt(
                            clock.now(),
                            to,
                            outcome != Outcome::NoResponse,
                        );
                        let mut observed = origin.observed.borrow_mut();
                        let failed = f64::from(u8::from(!succeeded));
                        observed[to] = [observed[to][0] * 0.9 + 1.0, observed[to][1] * 0.9 + failed];
                        drop(observed);
                        if succeeded {
                            if clock.now() <= deadline_ms {
                                counts.earned_revenue.set(counts.earned_revenue.get() + revenue);
                            } else {
                                counts.late.set(counts.late.get() + 1);
                            }
                            break;
                        }
                    }
                    open.set(open.get() - 1);
                };
                executor.spawn(call_once).detach();
                let per_second = DEMAND * MEMBERS as f64 * CORES * 1000.0 / WORK_MS;
                let gap_s = -rng.random::<f64>().max(1e-9).ln() / per_second;
                Timer::after(Duration::from_secs_f64(gap_s)).await;
            }
        };
        let faults = fault_injection::play(&fleet, clock, schedule, &applied);
        let faults_and_load = futures_lite::future::zip(faults, generate_load);
        let plans = futures_lite::future::zip(request_plans, observe_plans);
        futures_lite::future::zip(faults_and_load, plans).await;
        let deadline_ms = clock.now() + 5000.0;
        while open.get() > 0 && clock.now() < deadline_ms {
            Timer::after(Duration::from_millis(50)).await;
        }
        let mut fleet = fleet.into_inner();
        let mut rules_broken = fleet.effects.borrow().dependency_outages;
        for backend in &mut fleet.backends {
            rules_broken += u64::from(backend.poll_exit().is_some());
        }
        let effects_twice = fleet.effects.borrow().repeated_keyed_launches().len() as u64;
        Ok(RunResult {
            counts,
            max_shift_s: max_shift_ms.get() / 1000.0,
            reversals: reversals.get(),
            rules_broken,
            effects_twice,
        })
    };
    async_io::block_on(executor.run(run))
}

/// Returns the fraction of the requested revenue that a plan with immediate knowledge of all outages could earn.
fn best_revenue_fraction(schedule: &Schedule, outages: &[(f64, f64, usize)]) -> f64 {
    let ends_ms = schedule.ends_ms() + 6000.0;
    let topology = topology();
    let cores = CORES * MEMBERS as f64 / ZONES as f64;
    let demand = [0.6 * DEMAND * cores, 0.0, 0.4 * DEMAND * cores];
    let config = PlannerConfig { fill_fraction: 1.0, near_fill_fraction: 1.0, ..PlannerConfig::default() };
    // Milliseconds by the set of zones with an outage.
    let mut duration_ms: BTreeMap<Vec<usize>, f64> = BTreeMap::new();
    let mut at = 0.0;
    while at < ends_ms {
        *duration_ms.entry(zones_out_at(outages, at, 0.0)).or_default() += 50.0;
        at += 50.0;
    }
    let revenue_fraction = |out: &Vec<usize>| {
        let state = |zone: usize| ZoneState {
            capacity: if out.contains(&zone) { 0.0 } else { cores },
            demand,
            largest_member: 0.0,
        };
        let zones: Vec<ZoneState> = (0..ZONES).map(state).collect();
        let plan = locality_weighted_plan(&topology, &config, &zones, &[]);
        let served_fraction = |band: usize| {
            1.0 - (0..ZONES).map(|zone| plan.rejected_share(zone, band)).sum::<f64>() / ZONES as f64
        };
        (0.6 * served_fraction(0) + 4.0 * served_fraction(2)) / 4.6
    };
    let total_ms = duration_ms.values().sum::<f64>().max(1.0);
    duration_ms.iter().map(|(out, ms)| revenue_fraction(out) * ms).sum::<f64>() / total_ms
}

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let (schedule, outages) = schedule(context.seed);
    if let Some(logs) = &context.logs {
        let file = logs.join("schedule.txt");
        std::fs::write(&file, schedule.to_string())
            .map_err(|error| format!("{}: {error}", file.display()))?;
    }
    let planned = play(context, &schedule, &outages, true)?;
    let unplanned = play(context, &schedule, &outages, false)?;
    let revenue_share =
        |run: &RunResult| run.counts.earned_revenue.get() / run.counts.requested_revenue.get().max(1.0);
    let ratio = |cell: &Cell<[f64; 2]>| cell.get()[0] / cell.get()[1].max(1.0);
    let (planned_share, unplanned_share) = (revenue_share(&planned), revenue_share(&unplanned));
    let best = best_revenue_fraction(&schedule, &outages);
    let zero = Bound::AtMost(0.0);
    let mut figures = Figures::default();
    figures.report("processes", MEMBERS as f64);
    figures.report("faults", schedule.steps.len() as f64);
    figures.report("kinds_of_fault", schedule.kinds() as f64);
    figures.put("near_share_calm", ratio(&planned.counts.local_calm), Bound::AtLeast(0.98));
    figures.report("near_share_healthy_zones", ratio(&planned.counts.local_healthy));
    figures.report("revenue_share", planned_share);
    figures.report("revenue_share_best", best);
    figures.put("revenue_to_best", planned_share / best.max(1e-9), Bound::AtLeast(0.93));
    figures.report("revenue_share_each_alone", unplanned_share);
    figures.put("revenue_over_each_alone", planned_share - unplanned_share, Bound::AtLeast(0.0));
    figures.put("shift_s_worst", planned.max_shift_s, Bound::AtMost(3.0));
    figures.report("moves", planned.reversals as f64);
    figures.put("needless_shifts", planned.counts.needless_revisions.get() as f64, zero);
    figures.report("late", planned.counts.late.get() as f64);
    figures.put("effects_twice", planned.effects_twice as f64, zero);
    figures.put("rules_broken", planned.rules_broken as f64, zero);
    Ok(figures)
}
