//! Nine backends in three zones whose tickets have copies: machines are killed with their disks throughout, two at once among
//! them, ways are cut, processes stopped; callers' repeats go to other backends. The same schedule without copies.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_cluster::status::{Answer, Question};
use plovershelf_simulation::audit::{self, Event, Seen};
use plovershelf_simulation::replication::schedule as drawn;
use plovershelf_simulation::schedule::{Fault, Folder, Schedule, Step};
use plovershelf_simulation::statistics::Spread;
use plovershelf_testkit::basic_client::{BasicClient, Call, Outcome};
use plovershelf_testkit::fleet::Fleet;
use plovershelf_testkit::work::{Idempotency, WorkSpec};
use plovershelf_testkit::{cluster, cores, fault_injection, Clock};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::client_overload::plan;
use super::{Aim, Figures, Ground};
use crate::load;

const MEMBERS: usize = 9;
const ZONES: usize = 3;
const VOTERS: usize = 7;
const LOSSES: usize = 20;
const CORES: f64 = 1.0;
const WORK_MS: f64 = 60.0;
/// Of what the cores do: once below, once above.
const DEMAND: f64 = 0.8;
const DEMAND_OVER: f64 = 1.5;
const LOSSES_OVER: usize = 6;
const MEMORY_MB: f64 = 64.0;
const TRIES: u32 = 8;

/// The model's schedule, its pairs lost at once as two machines each.
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

/// What became of one ticket, by its callers' accounts.
#[derive(Default)]
struct Story {
    succeeded: bool,
    /// A try was dismissed after another had a verdict.
    dismissed_after: bool,
    scrapped: u32,
    after_success: u32,
}

#[derive(Default)]
struct Told {
    tickets: Cell<u64>,
    elsewhere: Cell<u64>,
    succeeded: Cell<u64>,
    dismissed: Cell<u64>,
    wrong: Cell<u64>,
    open: Cell<u64>,
    took: RefCell<Spread>,
    history: RefCell<Vec<Event>>,
}

impl Told {
    fn answered(&self, at: f64, ticket: u64, result: Option<&[u8]>) {
        let result = result.map(|bytes| u64::from(crc32fast::hash(bytes)));
        self.history.borrow_mut().push(Event { at, seen: Seen::Answered { ticket, result } });
    }
}

fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

pub(super) struct Came {
    low_s_worst: f64,
    round_trip_ms: Option<f64>,
    told: Rc<Told>,
    effects_twice: u64,
    other_after: u64,
    verdicts_that_differ: u64,
    /// Tickets of which a try was dismissed after another had heard how they ended.
    dismissed_after_verdict: u64,
    doubt: u64,
    rules_broken: u64,
    peak_kb: Option<u64>,
    history: Vec<Event>,
}

/// One caller's tries of a ticket.
struct Caller {
    plain: BasicClient,
    members: Vec<std::net::SocketAddr>,
    seed: u64,
    tries: u32,
    told: Rc<Told>,
    story: Rc<RefCell<Story>>,
    clock: Clock,
}

/// One after the other, at members drawn anew.
async fn tries(caller: Caller, work: WorkSpec) {
    let Caller { plain, members, seed, tries, told, story, clock } = caller;
    let mut chance = Pcg64::seed_from_u64(seed);
    let ticket = format!("ticket-{}", work.number);
    let body = work.body();
    let asked = Call {
        class: "book",
        tenant: load::TENANTS[0],
        rank: 0.5,
        idempotency_key: Some(&ticket),
        idempotent: false,
        body: &body,
        timeout: Duration::from_millis(1500),
    };
    for place in 0..tries {
        if place > 0 {
            count(&told.elsewhere);
        }
        let member = members[chance.random_range(0..members.len())];
        let began = clock.now();
        let patience = Duration::from_millis(1200 + chance.random_range(0..600));
        let late = async {
            Timer::after(patience).await;
            Outcome::NoResponse
        };
        match futures_lite::future::or(plain.attempt(member, &asked), late).await {
            Outcome::Succeeded(result) => {
                told.answered(clock.now(), work.number, Some(&result));
                if result != work.result() {
                    count(&told.wrong);
                }
                let mut story = story.borrow_mut();
                if !story.succeeded {
                    count(&told.succeeded);
                    if place == 0 {
                        told.took.borrow_mut().put(clock.now() - began);
                    }
                }
                story.succeeded = true;
                return;
            }
            Outcome::Failed => {
                told.answered(clock.now(), work.number, None);
                let mut story = story.borrow_mut();
                story.scrapped += 1;
                story.after_success += u32::from(story.succeeded);
                return;
            }
            Outcome::Rejected => {
                count(&told.dismissed);
                {
                    let mut story = story.borrow_mut();
                    story.dismissed_after |= story.succeeded || story.scrapped > 0;
                }
                Timer::after(Duration::from_millis(300)).await;
            }
            Outcome::NoResponse => {
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

/// What a member says of its copies: this one figure hangs on its own word.
async fn low(at: std::net::SocketAddr) -> Option<(u64, f64)> {
    let began = std::time::Instant::now();
    let answer = crate::group::ask(at, "trial", Question::Copies, Duration::from_millis(300)).await.ok()?;
    let Answer::Copies(status) = answer else { return None };
    Some((status.under_replicated_records, began.elapsed().as_secs_f64() * 1000.0))
}

pub(super) fn play(
    ground: &Ground,
    schedule: &Schedule,
    with_copies: bool,
    demand: f64,
) -> Result<Came, String> {
    let executor = &ground.executor;
    let clock = Clock::start();
    let mut plan = plan(ground, MEMBERS, 20);
    plan.cores = cores::CoresConfig { cores: CORES, ..plan.cores };
    plan.memory_mb = MEMORY_MB;
    plan.settings = load::settings(CORES, MEMBERS, 20, 40.0, 8.0);
    let more = if with_copies {
        "replace_ms = 1500\n\n[copies]\ncopies = 3\nleast = 2\nmemory_mb = 16\n"
    } else {
        "replace_ms = 1500\n"
    };
    plan.cluster =
        Some(cluster::ClusterConfig { zones: ZONES, founders: VOTERS, folders: true, more: more.into() });
    let fleet =
        Fleet::start(executor, clock, &plan).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        if !fleet.up(clock, 15_000.0).await {
            return Err("the backends did not come up within 15 s".to_string());
        }
        Timer::after(Duration::from_millis(2500)).await;
        let members = fleet.addresses();
        let fleet = RefCell::new(fleet);
        let done = RefCell::new(Vec::new());
        let told: Rc<Told> = Rc::default();
        let stories: Rc<RefCell<Vec<Rc<RefCell<Story>>>>> = Rc::default();
        let plains: Vec<BasicClient> =
            (0..8).map(|number| BasicClient::new(executor, &members, number)).collect();
        let mut chance = Pcg64::seed_from_u64(ground.seed);
        let ends = clock.now() + schedule.ends_ms();
        let ask = async {
            let mut number = 0u64;
            while clock.now() < ends {
                number += 1;
                count(&told.tickets);
                let work = WorkSpec {
                    number,
                    work_ms: WORK_MS * (0.4 + 1.2 * chance.random::<f64>()),
                    outbound_calls: 1,
                    idempotency: Idempotency::Keyed,
                };
                let story: Rc<RefCell<Story>> = Rc::default();
                stories.borrow_mut().push(story.clone());
                // Some ask two backends in the same instant, some ask again for what they have.
                let mut asks = vec![(0u64, TRIES)];
                if chance.random::<f64>() < 0.15 {
                    asks.push((0, 3));
                }
                if chance.random::<f64>() < 0.2 {
                    asks.push((chance.random_range(200..2500), 1));
                }
                for (after_ms, left) in asks {
                    let plain = plains[number as usize % 8].clone();
                    let caller = Caller {
                        plain,
                        members: members.clone(),
                        seed: chance.random(),
                        tries: left,
                        told: told.clone(),
                        story: story.clone(),
                        clock,
                    };
                    let told = told.clone();
                    let one = async move {
                        Timer::after(Duration::from_millis(after_ms)).await;
                        told.open.set(told.open.get() + 1);
                        tries(caller, work).await;
                        told.open.set(told.open.get() - 1);
                    };
                    executor.spawn(one).detach();
                }
                let a_second = demand * MEMBERS as f64 * CORES * 1000.0 / WORK_MS;
                let gap = -chance.random::<f64>().max(1e-9).ln() * 1000.0 / a_second;
                Timer::after(Duration::from_secs_f64(gap / 1000.0)).await;
            }
        };
        let faults = fault_injection::play(&fleet, clock, schedule, &done);
        // How long any member had tickets with too few copies, asked of all a few times a second.
        let (low_most, trips) = (Cell::new(0.0f64), RefCell::new(Spread::default()));
        let watch = async {
            let mut since: Vec<Option<f64>> = vec![None; MEMBERS];
            let at: Vec<_> = fleet
                .borrow()
                .cluster
                .iter()
                .flat_map(|cluster| cluster.members.iter().map(|m| m.address))
                .collect();
            while with_copies && clock.now() < ends {
                for (member, at) in at.iter().enumerate() {
                    match low(*at).await {
                        Some((low, took)) => {
                            trips.borrow_mut().put(took);
                            since[member] = if low > 0 { since[member].or(Some(clock.now())) } else { None };
                        }
                        None => since[member] = None,
                    }
                    if let Some(since) = since[member] {
                        low_most.set(low_most.get().max(clock.now() - since));
                    }
                }
                Timer::after(Duration::from_millis(150)).await;
            }
        };
        futures_lite::future::zip(futures_lite::future::zip(faults, ask), watch).await;
        let until = clock.now() + 15_000.0;
        while told.open.get() > 0 && clock.now() < until {
            Timer::after(Duration::from_millis(50)).await;
        }
        let round_trip_ms = trips.borrow().at(0.5);
        let mut fleet = fleet.into_inner();
        let peak_kb = fleet.backends.iter().filter_map(|backend| backend.peak_memory_kb()).max();
        let mut rules_broken = told.wrong.get() + fleet.effects.borrow().dependency_outages;
        for backend in &mut fleet.backends {
            backend.poll_exit();
            rules_broken += u64::from(backend.crashes);
        }
        let effects_twice = fleet.effects.borrow().repeated_keyed_launches().len() as u64;
        let mut history = told.history.take();
        let steps = done.borrow();
        history.extend(steps.iter().map(|done| Event {
            at: done.at_ms,
            seen: Seen::Fault {
                text: format!(
                    "{} {}",
                    if done.begins() { "begins" } else { "ends" },
                    schedule.steps[done.step]
                ),
            },
        }));
        history.sort_by(|a, b| a.at.total_cmp(&b.at));
        // Agents keep no times of launches: these stand at the end.
        let at = clock.now();
        let launched = |(ticket, (place, life)): (u64, (usize, u32))| Event {
            at,
            seen: Seen::Launched { ticket, process: format!("n{}, start {life}", place + 1) },
        };
        history.extend(fleet.effects.borrow().keyed_launches().map(launched));
        let stories = stories.borrow();
        let all = || stories.iter().map(|story| story.borrow());
        Ok(Came {
            effects_twice,
            other_after: all().filter(|story| story.after_success > 0).count() as u64,
            dismissed_after_verdict: all().filter(|story| story.dismissed_after).count() as u64,
            verdicts_that_differ: all().filter(|story| story.succeeded && story.scrapped > 0).count() as u64,
            doubt: all().filter(|story| story.scrapped > 0).count() as u64,
            low_s_worst: low_most.get() / 1000.0,
            round_trip_ms,
            history,
            rules_broken,
            peak_kb,
            told,
        })
    };
    async_io::block_on(executor.run(run))
}

fn goodput(came: &Came) -> f64 {
    came.told.succeeded.get() as f64 / came.told.tickets.get().max(1) as f64
}

/// The figures of one load, with copies and without.
pub(super) fn told(figures: &mut Figures, with: &Came, without: &Came, goodput_least: Aim) {
    let none = Aim::AtMost(0.0);
    let tickets = with.told.tickets.get() as f64;
    figures.told("tickets", tickets);
    figures.told("repeats_elsewhere", with.told.elsewhere.get() as f64);
    figures.put("effects_twice", with.effects_twice as f64, none);
    figures.put("succeeded_then_other", with.other_after as f64, none);
    // Where nobody who knows can be reached in time a repeat is told to come back: not a verdict, and nothing runs on it.
    figures.put("promises_broken", audit::judge(&with.history).broken.len() as f64, none);
    figures.told("dismissed_after_verdict", with.dismissed_after_verdict as f64);
    figures.put("verdicts_that_differ", with.verdicts_that_differ as f64, none);
    figures.told("told_failed_share", with.doubt as f64 / tickets.max(1.0));
    figures.told("dismissed", with.told.dismissed.get() as f64);
    figures.told("copies_low_s_worst", with.low_s_worst);
    figures.told("round_trip_ms_median", with.round_trip_ms);
    figures.told("took_ms_median", with.told.took.borrow().at(0.5));
    figures.told("without_took_ms_median", without.told.took.borrow().at(0.5));
    let took = |side: &Came| side.told.took.borrow().at(0.5);
    let added = took(with).zip(took(without)).map(|(with, without)| with - without);
    figures.told("wait_added_ms_median", added);
    figures.told("served", goodput(with));
    figures.told("without_served", goodput(without));
    figures.put("goodput_ratio", goodput(with) / goodput(without).max(1e-9), goodput_least);
    let peak_share = with.peak_kb.map(|kb| kb as f64 / 1024.0 / MEMORY_MB);
    figures.put("memory_peak_share", peak_share, Aim::AtMost(1.0));
    figures.put("rules_broken", with.rules_broken as f64, none);
    figures.put("without_effects_twice", without.effects_twice as f64, Aim::AtLeast(1.0));
    figures.told("without_succeeded_then_other", without.other_after as f64);
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    // A loss takes about four seconds with the pauses beside it.
    let losses = ground.seconds.map_or(LOSSES, |seconds| ((seconds / 4.0) as usize).max(2));
    let schedule = match &ground.schedule {
        Some(file) => {
            let text =
                std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
            text.parse().map_err(|wrong| format!("{}: {wrong}", file.display()))?
        }
        None => schedule(ground.seed, losses),
    };
    if let Some(logs) = &ground.logs {
        let file = logs.join("schedule.txt");
        std::fs::write(&file, schedule.to_string())
            .map_err(|error| format!("{}: {error}", file.display()))?;
    }
    let with = play(ground, &schedule, true, DEMAND)?;
    if let Some(logs) = &ground.logs {
        let file = logs.join("history.jsonl");
        std::fs::write(&file, audit::written(&with.history))
            .map_err(|error| format!("{}: {error}", file.display()))?;
    }
    let without = play(ground, &schedule, false, DEMAND)?;
    let kills: Vec<&Step> =
        schedule.steps.iter().filter(|step| matches!(step.fault, Fault::Kill { .. })).collect();
    let at_once = |step: &&Step| kills.iter().filter(|other| (other.at_ms - step.at_ms).abs() < 1.0).count();
    let mut figures = Figures::default();
    figures.put("machines_lost_with_disk", kills.len() as f64, Aim::AtLeast(losses as f64));
    figures.put("most_lost_at_once", kills.iter().map(at_once).max().unwrap_or(0) as f64, Aim::AtLeast(2.0));
    told(&mut figures, &with, &without, Aim::AtLeast(0.9));
    // Above what the cores do, with fewer losses.
    let fewer = self::schedule(ground.seed ^ 0x0f, losses.min(LOSSES_OVER));
    let (with, without) =
        (play(ground, &fewer, true, DEMAND_OVER)?, play(ground, &fewer, false, DEMAND_OVER)?);
    let mut over = Figures::default();
    told(&mut over, &with, &without, Aim::AtLeast(0.9));
    figures.phase("over", over);
    Ok(figures)
}
