//! Twelve backends in two regions of three zones: zones are killed, flap, lose their agents, stand still; callers go where the plan
//! says, or each by itself as the baseline in the same run of faults.

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

use super::client_overload::plan;
use super::{Aim, Figures, Ground};
use crate::load;
use crate::zones::ask_zones;

const ZONES: usize = 6;
const MEMBERS: usize = 12;
const CORES: f64 = 1.0;
const WORK_MS: f64 = 40.0;
const DEMAND: f64 = 0.55;
/// Offering, its part of what is asked, its worth.
const OFFERINGS: [(&str, f64, f64); 2] = [("quote", 0.6, 1.0), ("plan", 0.4, 10.0)];

fn members_of(zone: usize) -> impl Iterator<Item = usize> {
    (0..MEMBERS).filter(move |member| member % ZONES == zone)
}

/// A zone at a time: lost with its disks, flapping, without its agents, standing still, cut off from the others.
fn schedule(seed: u64) -> (Schedule, Vec<(f64, f64, usize)>) {
    let mut chance = Pcg64::seed_from_u64(seed);
    let mut schedule = Schedule { members: MEMBERS, zones: ZONES, steps: Vec::new() };
    let mut away = Vec::new();
    let mut at_ms = 6000.0;
    let first = chance.random_range(0..ZONES);
    for kind in 0..4 {
        let zone = (first + kind * 2) % ZONES;
        let mut put = |at_ms: f64, for_ms: f64, fault: &dyn Fn(usize) -> Fault| {
            away.push((at_ms, at_ms + for_ms, zone));
            schedule.steps.extend(members_of(zone).map(|m| Step { at_ms, for_ms, fault: fault(m) }));
        };
        match kind {
            0 => put(at_ms, 7000.0, &|member| Fault::Kill { member, folder: Folder::Wiped }),
            1 => put(at_ms, 6000.0, &|member| Fault::Unfit { member }),
            2 => (0..2).for_each(|n| {
                put(at_ms + 8000.0 * f64::from(n), 4000.0, &|member| Fault::Kill {
                    member,
                    folder: Folder::Kept,
                })
            }),
            _ => put(at_ms, 5000.0, &|member| Fault::Stop { member }),
        }
        at_ms += if kind == 2 { 24_000.0 } else { 18_000.0 };
    }
    (schedule, away)
}

#[derive(Default)]
struct Tally {
    asked: Cell<f64>,
    served: Cell<f64>,
    /// While no zone was away: near, all.
    near_calm: Cell<[f64; 2]>,
    near_healthy: Cell<[f64; 2]>,
    changes_in_calm: Cell<u64>,
    late: Cell<u64>,
}

struct Came {
    told: Rc<Tally>,
    shift_s_worst: f64,
    turns: u64,
    rules_broken: u64,
    effects_twice: u64,
}

/// One origin zone's callers: by the plan, and what those that judge alone felt of each zone of late.
struct Origin {
    advisor: RefCell<RoutingAdvisor>,
    felt: RefCell<Vec<[f64; 2]>>,
}

fn topology() -> Topology {
    let zone =
        |n: usize| Zone { name: format!("z{}", n + 1), region: if n < 3 { "r1" } else { "r2" }.into() };
    Topology::new((0..ZONES).map(zone).collect())
}

fn away_at(away: &[(f64, f64, usize)], at: f64, after_ms: f64) -> Vec<usize> {
    away.iter()
        .filter(|(from, to, _)| (*from..*to + after_ms).contains(&at))
        .map(|(.., zone)| *zone)
        .collect()
}

/// Where a call of an origin that judges alone goes.
fn alone(origin: &Origin, from: usize, draw: f64) -> Option<usize> {
    let felt = origin.felt.borrow();
    let bad = |zone: usize| felt[zone][0] > 3.0 && felt[zone][1] / felt[zone][0] > 0.33;
    if !bad(from) || draw < 0.05 {
        return Some(from);
    }
    let in_order =
        (1..ZONES).map(|n| if n < 3 { from / 3 * 3 + (from + n) % 3 } else { (from / 3 * 3 + n) % ZONES });
    Some(in_order.into_iter().find(|zone| !bad(*zone)).unwrap_or(from))
}

fn play(ground: &Ground, schedule: &Schedule, away: &[(f64, f64, usize)], led: bool) -> Result<Came, String> {
    let executor = &ground.executor;
    let clock = Clock::start();
    let mut plan = plan(ground, MEMBERS, 24);
    plan.cores = cores::CoresConfig { cores: CORES, ..plan.cores };
    plan.settings = load::settings(CORES, MEMBERS, 24, 40.0, 8.0);
    let zones: String =
        topology().zones().iter().map(|z| format!("[zone {}]\nregion = {}\n", z.name, z.region)).collect();
    let more = format!("replace_ms = 1500\n\n{zones}[zones]\nwell_ms = 4000\n");
    plan.cluster = Some(cluster::ClusterConfig { zones: ZONES, founders: 5, folders: true, more });
    let fleet =
        Fleet::start(executor, clock, &plan).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        if !fleet.up(clock, 15_000.0).await {
            return Err("the backends did not come up within 15 s".to_string());
        }
        Timer::after(Duration::from_millis(4000)).await;
        let members = fleet.addresses();
        let asked_at: Vec<SocketAddr> = fleet
            .cluster
            .iter()
            .flat_map(|cluster| cluster.members.iter().map(|member| member.address))
            .collect();
        let fleet = RefCell::new(fleet);
        let done = RefCell::new(Vec::new());
        let told: Rc<Tally> = Rc::default();
        let began = clock.now();
        let ends = began + schedule.ends_ms() + 6000.0;
        let origin = |zone: usize| {
            Rc::new(Origin {
                advisor: RefCell::new(RoutingAdvisor::new(zone, ZONES, began)),
                felt: RefCell::new(vec![[0.0; 2]; ZONES]),
            })
        };
        let origins: Vec<Rc<Origin>> = (0..ZONES).map(origin).collect();
        let plains: Vec<BasicClient> =
            (0..ZONES as u32).map(|number| BasicClient::new(executor, &members, number)).collect();
        let open = Rc::new(Cell::new(0u64));
        // Callers ask members for the plan, near ones first, and tell what they see.
        let ask_plan = async {
            let mut chance = Pcg64::seed_from_u64(ground.seed ^ 0x91a);
            while clock.now() < ends && led {
                for (zone, origin) in origins.iter().enumerate() {
                    let report = origin.advisor.borrow_mut().poll_report(clock.now());
                    let near: Vec<usize> = members_of(zone).collect();
                    let member = match chance.random::<f64>() < 0.5 {
                        true => near[chance.random_range(0..near.len())],
                        false => chance.random_range(0..MEMBERS),
                    };
                    let request = Request::Advice { caller: zone as u64 + 1, report };
                    let response =
                        ask_zones(asked_at[member], "trial", &request, Duration::from_millis(60)).await;
                    if let Ok(Response::Status(status)) = response {
                        origin.advisor.borrow_mut().handle_status(clock.now(), &status);
                    }
                }
                Timer::after(Duration::from_millis(150)).await;
            }
        };
        let (shift_worst, turns) = (Cell::new(0.0f64), Cell::new(0u64));
        let watch = async {
            let mut was: Vec<Option<bool>> = vec![None; ZONES];
            let mut near_was = [1.0f64; ZONES];
            let mut change = 0;
            while clock.now() < ends && led {
                let at = clock.now() - began;
                let gone = away_at(away, at, 0.0);
                for zone in 0..ZONES {
                    let advisor = origins[zone].advisor.borrow();
                    let follower = advisor.follower();
                    let near = follower
                        .active_plan(clock.now())
                        .map_or(1.0, |plan| plan.share_of_demand(zone, zone, &[0.6, 0.0, 0.4]));
                    if (near - near_was[zone]).abs() > 0.1 {
                        let rises = near > near_was[zone];
                        turns.set(turns.get() + u64::from(was[zone] != Some(rises)));
                        (was[zone], near_was[zone]) = (Some(rises), near);
                    }
                    if gone.contains(&zone) && near > 0.1 {
                        let since =
                            away.iter().filter(|(from, to, z)| *z == zone && (*from..*to).contains(&at));
                        let for_ms = since.map(|(from, ..)| at - from).fold(0.0, f64::max);
                        shift_worst.set(shift_worst.get().max(for_ms));
                    }
                }
                let newest = origins
                    .iter()
                    .map(|o| o.advisor.borrow().follower().revision(clock.now()))
                    .max()
                    .unwrap_or(0);
                if newest > change && away_at(away, at, 16_000.0).is_empty() && change > 0 {
                    told.changes_in_calm.set(told.changes_in_calm.get() + 1);
                }
                change = change.max(newest);
                Timer::after(Duration::from_millis(50)).await;
            }
        };
        let ask = async {
            let mut chance = Pcg64::seed_from_u64(ground.seed);
            let mut number = 0u64;
            while clock.now() < ends {
                number += 1;
                let from = chance.random_range(0..ZONES);
                let draw: f64 = chance.random();
                let (name, _, worth) = if draw < OFFERINGS[0].1 { OFFERINGS[0] } else { OFFERINGS[1] };
                let work = WorkSpec {
                    number,
                    work_ms: WORK_MS * (0.4 + 1.2 * chance.random::<f64>()),
                    outbound_calls: 0,
                    idempotency: Idempotency::Idempotent,
                };
                let (origin, plain, told) = (origins[from].clone(), plains[from].clone(), told.clone());
                let (open, members) = (open.clone(), members.clone());
                let draws: [f64; 3] = [chance.random(), chance.random(), chance.random()];
                let pick = chance.random_range(0..2usize);
                let gone = away_at(away, clock.now() - began, 14_000.0);
                let one = async move {
                    open.set(open.get() + 1);
                    told.asked.set(told.asked.get() + worth);
                    let body = work.body();
                    let rank = worth / 10.0;
                    let asked = Call {
                        class: name,
                        tenant: load::TENANTS[0],
                        rank,
                        idempotency_key: None,
                        idempotent: true,
                        body: &body,
                        timeout: Duration::from_millis(600),
                    };
                    let mut tried = Vec::new();
                    let due = clock.now() + 1400.0;
                    for (turn, draw) in draws.into_iter().enumerate() {
                        let now = clock.now();
                        let to = match (turn, led) {
                            (0, true) => {
                                origin
                                    .advisor
                                    .borrow_mut()
                                    .choose_zone(now, rank, work.work_ms, draw, |_| true)
                            }
                            // Another member of the zone once, then where else the plan sends some.
                            (1, _) => tried.last().copied(),
                            (_, true) => origin.advisor.borrow().choose_retry_zone(now, rank, &tried),
                            (_, false) => alone(&origin, from, draw),
                        };
                        let Some(to) = to.filter(|_| clock.now() < due) else { break };
                        if turn == 0 {
                            let near = f64::from(u8::from(to == from));
                            let add =
                                |cell: &Cell<[f64; 2]>| cell.set([cell.get()[0] + near, cell.get()[1] + 1.0]);
                            if gone.is_empty() {
                                add(&told.near_calm);
                            }
                            if !gone.contains(&from) {
                                add(&told.near_healthy);
                            }
                        }
                        tried.push(to);
                        let at: Vec<usize> = members_of(to).collect();
                        let member = members[at[(pick + turn) % at.len()]];
                        let late = async {
                            Timer::after(Duration::from_millis(600)).await;
                            Outcome::NoResponse
                        };
                        let ended = futures_lite::future::or(plain.attempt(member, &asked), late).await;
                        let well = matches!(ended, Outcome::Succeeded(_));
                        origin.advisor.borrow_mut().record_attempt(
                            clock.now(),
                            to,
                            ended != Outcome::NoResponse,
                        );
                        let mut felt = origin.felt.borrow_mut();
                        felt[to] = [felt[to][0] * 0.9 + 1.0, felt[to][1] * 0.9 + f64::from(u8::from(!well))];
                        drop(felt);
                        if well {
                            if clock.now() <= due {
                                told.served.set(told.served.get() + worth);
                            } else {
                                told.late.set(told.late.get() + 1);
                            }
                            break;
                        }
                    }
                    open.set(open.get() - 1);
                };
                executor.spawn(one).detach();
                let a_second = DEMAND * MEMBERS as f64 * CORES * 1000.0 / WORK_MS;
                let gap = -chance.random::<f64>().max(1e-9).ln() / a_second;
                Timer::after(Duration::from_secs_f64(gap)).await;
            }
        };
        let faults = fault_injection::play(&fleet, clock, schedule, &done);
        let both = futures_lite::future::zip(faults, ask);
        futures_lite::future::zip(both, futures_lite::future::zip(ask_plan, watch)).await;
        let until = clock.now() + 5000.0;
        while open.get() > 0 && clock.now() < until {
            Timer::after(Duration::from_millis(50)).await;
        }
        let mut fleet = fleet.into_inner();
        let mut rules_broken = fleet.effects.borrow().dependency_outages;
        for backend in &mut fleet.backends {
            rules_broken += u64::from(backend.poll_exit().is_some());
        }
        let effects_twice = fleet.effects.borrow().repeated_keyed_launches().len() as u64;
        Ok(Came {
            told,
            shift_s_worst: shift_worst.get() / 1000.0,
            turns: turns.get(),
            rules_broken,
            effects_twice,
        })
    };
    async_io::block_on(executor.run(run))
}

/// Of the worth that is asked, what could be had with all known at once.
fn best(schedule: &Schedule, away: &[(f64, f64, usize)]) -> f64 {
    let ends = schedule.ends_ms() + 6000.0;
    let topology = topology();
    let cores = CORES * MEMBERS as f64 / ZONES as f64;
    let asked = [0.6 * DEMAND * cores, 0.0, 0.4 * DEMAND * cores];
    let config = PlannerConfig { fill_fraction: 1.0, near_fill_fraction: 1.0, ..PlannerConfig::default() };
    let mut kinds: BTreeMap<Vec<usize>, f64> = BTreeMap::new();
    let mut at = 0.0;
    while at < ends {
        *kinds.entry(away_at(away, at, 0.0)).or_default() += 50.0;
        at += 50.0;
    }
    let worth = |gone: &Vec<usize>| {
        let state = |zone: usize| ZoneState {
            capacity: if gone.contains(&zone) { 0.0 } else { cores },
            demand: asked,
            largest_member: 0.0,
        };
        let zones: Vec<ZoneState> = (0..ZONES).map(state).collect();
        let plan = locality_weighted_plan(&topology, &config, &zones, &[]);
        let kept = |band: usize| {
            1.0 - (0..ZONES).map(|zone| plan.rejected_share(zone, band)).sum::<f64>() / ZONES as f64
        };
        (0.6 * kept(0) + 4.0 * kept(2)) / 4.6
    };
    kinds.iter().map(|(gone, ms)| worth(gone) * ms).sum::<f64>() / kinds.values().sum::<f64>().max(1.0)
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let (schedule, away) = schedule(ground.seed);
    if let Some(logs) = &ground.logs {
        let file = logs.join("schedule.txt");
        std::fs::write(&file, schedule.to_string())
            .map_err(|error| format!("{}: {error}", file.display()))?;
    }
    let own = play(ground, &schedule, &away, true)?;
    let alone = play(ground, &schedule, &away, false)?;
    let share = |came: &Came| came.told.served.get() / came.told.asked.get().max(1.0);
    let part = |cell: &Cell<[f64; 2]>| cell.get()[0] / cell.get()[1].max(1.0);
    let (own_share, alone_share, best) = (share(&own), share(&alone), best(&schedule, &away));
    let none = Aim::AtMost(0.0);
    let mut figures = Figures::default();
    figures.told("processes", MEMBERS as f64);
    figures.told("faults", schedule.steps.len() as f64);
    figures.told("kinds_of_fault", schedule.kinds() as f64);
    figures.put("near_share_calm", part(&own.told.near_calm), Aim::AtLeast(0.98));
    figures.told("near_share_healthy_zones", part(&own.told.near_healthy));
    figures.told("revenue_share", own_share);
    figures.told("revenue_share_best", best);
    figures.put("revenue_to_best", own_share / best.max(1e-9), Aim::AtLeast(0.93));
    figures.told("revenue_share_each_alone", alone_share);
    figures.put("revenue_over_each_alone", own_share - alone_share, Aim::AtLeast(0.0));
    figures.put("shift_s_worst", own.shift_s_worst, Aim::AtMost(3.0));
    figures.told("moves", own.turns as f64);
    figures.put("needless_shifts", own.told.changes_in_calm.get() as f64, none);
    figures.told("late", own.told.late.get() as f64);
    figures.put("effects_twice", own.effects_twice as f64, none);
    figures.put("rules_broken", own.rules_broken as f64, none);
    Ok(figures)
}
