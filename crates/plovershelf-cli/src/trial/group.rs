//! Nine backends in three zones as one group, under load and a schedule of faults; the same without a group.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_client::{BackpressureSignal, ClientConfig};
use plovershelf_cluster::status::{Answer, Question, Status};
use plovershelf_simulation::audit::{self, Event, Seen};
use plovershelf_simulation::schedule::{Fault, Folder, Schedule, Step, CALM_MS};
use plovershelf_testkit::fault_injection::{self, AppliedFault};
use plovershelf_testkit::fleet::Fleet;
use plovershelf_testkit::{cluster, cores, Clock};

use super::client_overload::{plan, taps};
use super::{Aim, Figures, Ground};
use crate::group::ask;
use crate::load::{self, Asker};

const MEMBERS: usize = 9;
const ZONES: usize = 3;
const CLIENTS: usize = 30;
const CORES: f64 = 2.0;
/// The part of what the cores do that is asked for.
const DEMAND: f64 = 0.35;
const STEPS: usize = 14;
const SPAN_MS: f64 = 36_000.0;
const LOOK_MS: u64 = 100;
/// One that no fault has touched for so long counts as healthy.
const HEALTHY_AFTER_MS: f64 = CALM_MS;

/// What one look at one member gave: when it was asked, when it answered.
#[derive(Clone)]
struct Look {
    member: usize,
    asked: f64,
    answered: f64,
    status: Rc<Status>,
}

struct Came {
    service: f64,
    rules_broken: u64,
    looks: Vec<Look>,
    done: Vec<AppliedFault>,
    began: f64,
}

/// The schedule of a seed with at least so many kinds of faults.
pub fn schedule(seed: u64, span_ms: f64) -> Schedule {
    let steps = ((span_ms / SPAN_MS * STEPS as f64).round() as usize).max(STEPS);
    let drawn = (0..1000).map(|n| Schedule::draw(seed * 1000 + n, MEMBERS, ZONES, steps, span_ms));
    let wide = |s: &Schedule| {
        let wiped = |step: &Step| matches!(step.fault, Fault::Kill { folder: Folder::Wiped, .. });
        s.kinds() >= 6 && s.steps.iter().any(wiped) && (0..s.steps.len()).any(|place| alone(s, place))
    };
    let mut drawn: Vec<Schedule> = drawn.collect();
    let place = drawn.iter().position(wide).unwrap_or(0);
    drawn.swap_remove(place)
}

fn play(ground: &Ground, schedule: &Schedule, with_group: bool) -> Result<Came, String> {
    let executor = &ground.executor;
    let clock = Clock::start();
    let mut plan = plan(ground, MEMBERS, CLIENTS);
    plan.cores = cores::CoresConfig { cores: CORES, ..plan.cores };
    plan.settings = load::settings(CORES, MEMBERS, CLIENTS, 40.0, 8.0);
    plan.cluster = with_group.then(|| cluster::ClusterConfig {
        zones: ZONES,
        founders: 3,
        folders: true,
        more: String::new(),
    });
    let demand = DEMAND * MEMBERS as f64 * CORES * 1000.0 / load::mean_work_ms();
    let planned = Rc::new(load::schedule(ground.seed, CLIENTS, schedule.ends_ms(), |_| demand));
    let fleet =
        Fleet::start(executor, clock, &plan).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        let (taps, addresses) = taps(executor, clock, &fleet).await?;
        let mut askers = Vec::new();
        for number in 0..CLIENTS {
            let seed = ground.seed * 1000 + number as u64 + 1;
            let config = ClientConfig {
                seed,
                backpressure: BackpressureSignal::MinimumPriority,
                ..ClientConfig::default()
            };
            let client = load::library_client(executor, &addresses, number, config)?;
            askers.push(Asker::Library(client));
        }
        let looks: Rc<RefCell<Vec<Look>>> = Rc::default();
        if let Some(cluster) = &fleet.cluster {
            for (member, place) in cluster.members.iter().enumerate() {
                let (at, looks) = (place.address, looks.clone());
                let look = async move {
                    loop {
                        let asked = clock.now();
                        let answer = ask(at, "trial", Question::Status, Duration::from_millis(8000)).await;
                        if let Ok(Answer::Status(status)) = answer {
                            let status = Rc::from(status);
                            looks.borrow_mut().push(Look { member, asked, answered: clock.now(), status });
                        }
                        Timer::after(Duration::from_millis(LOOK_MS)).await;
                    }
                };
                executor.spawn(look).detach();
            }
        }
        let fleet = RefCell::new(fleet);
        let done = RefCell::new(Vec::new());
        let results = load::Results::default();
        let began = clock.now();
        let faults = fault_injection::play(&fleet, clock, schedule, &done);
        let load = load::play(executor, clock, &planned, &askers, &results, 4000.0);
        futures_lite::future::zip(faults, load).await;
        // What was agreed by the end is looked at once more.
        Timer::after(Duration::from_millis(3000)).await;
        let sum = load::sum(&planned, &results.borrow());
        let mut fleet = fleet.into_inner();
        let mut rules_broken = sum.wrong as u64 + sum.with_two as u64;
        rules_broken += fleet.effects.borrow().repeated_executions().len() as u64
            + fleet.effects.borrow().dependency_outages;
        for backend in &mut fleet.backends {
            rules_broken += u64::from(backend.poll_exit().is_some());
        }
        for tap in &taps {
            rules_broken += tap.traffic.borrow().duplicate_responses;
        }
        let looks = looks.borrow().clone();
        let service = sum.revenue_in_time / sum.revenue.max(1e-9);
        Ok(Came { service, rules_broken, looks, done: done.into_inner(), began })
    };
    async_io::block_on(executor.run(run))
}

/// What was seen, in the form that the audit judges: acts not before they were asked about, views by when they were told.
fn history(came: &Came, schedule: &Schedule) -> Vec<Event> {
    let mut events = Vec::new();
    for done in &came.done {
        let text = format!("{} {}", if done.begins() { "begins" } else { "ends" }, schedule.steps[done.step]);
        events.push(Event { at: done.at_ms, seen: Seen::Fault { text } });
        if let (true, Fault::Kill { member, folder: Folder::Wiped }) =
            (done.begins(), &schedule.steps[done.step].fault)
        {
            let before = came.looks.iter().rfind(|look| look.member == *member && look.answered < done.at_ms);
            events.extend(
                before.map(|look| Event { at: done.at_ms, seen: Seen::Lost { memory: look.status.node_id } }),
            );
        }
    }
    for look in &came.looks {
        let status = &look.status;
        let (memory, era) = (status.node_id, status.epoch);
        if status.view > 0 {
            let seen = Seen::View { memory, era, number: status.view, members: status.view_members.clone() };
            events.push(Event { at: look.answered, seen });
        }
        if status.leads {
            events.push(Event { at: look.answered, seen: Seen::Leads { memory, era, term: status.term } });
        }
        if let Some(view) = status.may_act {
            events.push(Event { at: look.asked, seen: Seen::Acts { memory, era, view } });
        }
    }
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    events
}

/// Whose work faults touch, and when: wide ones touch all.
fn touched(came: &Came, schedule: &Schedule, member: usize, from: f64, to: f64) -> bool {
    schedule.steps.iter().enumerate().any(|(place, step)| {
        let at = |begins: bool| {
            came.done
                .iter()
                .find(|d| d.step == place && d.begins() == begins)
                .map_or(f64::INFINITY, |d| d.at_ms)
        };
        let wide = matches!(step.fault, Fault::Cut { .. } | Fault::Loss { .. } | Fault::KillThird { .. });
        let concerns = wide || step.fault.touches(MEMBERS).contains(&member);
        concerns && at(true) <= to && from <= at(false) + HEALTHY_AFTER_MS
    })
}

/// A death that lasts, with nothing beside it that keeps the others from deciding.
fn alone(schedule: &Schedule, place: usize) -> bool {
    let step = &schedule.steps[place];
    let hinders = |other: &Fault| match other {
        Fault::Stop { member } | Fault::Slow { member, .. } => *member < ZONES,
        Fault::Unfit { .. } | Fault::Clock { .. } => false,
        _ => true,
    };
    let beside = schedule.steps.iter().enumerate().any(|(other, one)| {
        let over = step.at_ms + 3000.0 <= one.at_ms || one.at_ms + one.for_ms + 1000.0 <= step.at_ms;
        other != place && hinders(&one.fault) && !over
    });
    matches!(step.fault, Fault::Kill { .. }) && step.for_ms >= 3000.0 && !beside
}

struct Judged {
    healthy_put_out: usize,
    /// None where no single death, or no stretch without a fault, was there to be judged.
    lost_put_out_s: Option<f64>,
    agreed_s: Option<f64>,
    views: usize,
}

fn worse(most: Option<f64>, other: f64) -> Option<f64> {
    Some(most.map_or(other, |most| most.max(other)))
}

fn judge(came: &Came, schedule: &Schedule) -> Judged {
    // When each view was first told of, and whose memory is whose.
    let mut first: BTreeMap<u64, (f64, BTreeSet<u64>)> = BTreeMap::new();
    let mut whose: BTreeMap<u64, usize> = BTreeMap::new();
    for look in &came.looks {
        whose.insert(look.status.node_id, look.member);
        let members = || look.status.view_members.iter().copied().collect();
        let view = first.entry(look.status.view).or_insert_with(|| (look.answered, members()));
        view.0 = view.0.min(look.answered);
    }
    let mut healthy_put_out = 0;
    let views: Vec<&(f64, BTreeSet<u64>)> = first.values().collect();
    for pair in views.windows(2) {
        for memory in pair[0].1.difference(&pair[1].1) {
            let Some(member) = whose.get(memory) else { continue };
            if !touched(came, schedule, *member, pair[0].0.max(pair[1].0 - HEALTHY_AFTER_MS), pair[1].0) {
                healthy_put_out += 1;
                tracing::warn!(event = "healthy_put_out", member = member + 1, at = pair[1].0 - came.began);
            }
        }
    }
    // Single deaths without any other fault beside them: how long until a view without them.
    let mut lost_put_out_s = None;
    for done in came.done.iter().filter(|done| done.begins()) {
        let step = &schedule.steps[done.step];
        let Fault::Kill { member, .. } = step.fault else { continue };
        if !alone(schedule, done.step) {
            continue;
        }
        let Some(look) = came.looks.iter().rfind(|look| look.member == member && look.answered < done.at_ms)
        else {
            continue;
        };
        let out =
            views.iter().find(|(at, members)| *at > done.at_ms && !members.contains(&look.status.node_id));
        let took = out.map_or(f64::INFINITY, |(at, _)| at - done.at_ms);
        lost_put_out_s = worse(lost_put_out_s, took / 1000.0);
    }
    // After the last fault of a stretch is over: until all answer with one view that has them all, and may act.
    let mut agreed_s = None;
    let mut active = 0i32;
    for (place, done) in came.done.iter().enumerate() {
        active += if done.begins() { 1 } else { -1 };
        if active > 0 || done.begins() {
            continue;
        }
        let next = came.done.get(place + 1).map_or(f64::INFINITY, |next| next.at_ms);
        if next - done.at_ms < 3000.0 {
            continue;
        }
        let mut last: BTreeMap<usize, &Look> = BTreeMap::new();
        let mut when = f64::INFINITY;
        for look in came.looks.iter().filter(|look| look.asked > done.at_ms && look.answered < next) {
            last.insert(look.member, look);
            let numbers: BTreeSet<Option<u64>> = last.values().map(|look| look.status.may_act).collect();
            let all = last.len() == MEMBERS && numbers.len() == 1 && !numbers.contains(&None);
            if all && look.status.view_members.len() == MEMBERS {
                when = look.answered;
                break;
            }
        }
        agreed_s = worse(agreed_s, (when - done.at_ms) / 1000.0);
    }
    Judged { healthy_put_out, lost_put_out_s, agreed_s, views: first.len() }
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let span_ms = ground.seconds.map_or(SPAN_MS, |seconds| seconds * 1000.0);
    let schedule = match &ground.schedule {
        Some(path) => {
            let text =
                std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
            text.parse().map_err(|error| format!("{}: {error}", path.display()))?
        }
        None => schedule(ground.seed, span_ms),
    };
    if schedule.members != MEMBERS {
        return Err(format!("the schedule has {} members, this trial {MEMBERS}", schedule.members));
    }
    let with = play(ground, &schedule, true)?;
    let without = play(ground, &schedule, false)?;
    let events = history(&with, &schedule);
    let audited = audit::judge(&events);
    let judged = judge(&with, &schedule);
    if let Some(folder) = &ground.logs {
        for (name, text) in
            [("schedule.txt", schedule.to_string()), ("history.jsonl", audit::written(&events))]
        {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        }
    }
    for broken in &audited.broken {
        tracing::warn!(event = "broken", promise = broken.promise, at = broken.at - with.began, told = %broken.told);
    }
    let mut figures = Figures::default();
    figures.told("processes", MEMBERS as f64);
    figures.put("faults", schedule.steps.len() as f64, Aim::AtLeast(12.0));
    figures.put("kinds_of_fault", schedule.kinds() as f64, Aim::AtLeast(6.0));
    figures.told("views", judged.views as f64);
    let none = Aim::AtMost(0.0);
    figures.put("two_views_of_one_number", audited.count(audit::ONE_VIEW_A_NUMBER) as f64, none);
    figures.put("two_leaders_of_one_term", audited.count(audit::ONE_LEADER_A_TERM) as f64, none);
    figures.put("acted_past_lease", audited.count(audit::NOT_PAST_LEASE) as f64, none);
    let blank = events.iter().filter(|event| matches!(event.seen, Seen::Lost { .. })).count();
    figures.told("blank_returns", blank as f64);
    figures.put("blank_votes", audited.count(audit::BLANK_IS_NEW) as f64, none);
    figures.put("healthy_put_out", judged.healthy_put_out as f64, none);
    figures.put("lost_put_out_s_worst", judged.lost_put_out_s, Aim::AtMost(3.0));
    figures.put("agreed_after_heal_s_worst", judged.agreed_s, Aim::AtMost(3.0));
    figures.put("service_lost_to_group", without.service - with.service, Aim::AtMost(0.02));
    figures.told("service", with.service);
    figures.told("service_without_group", without.service);
    figures.put("rules_broken", with.rules_broken as f64, none);
    figures.told("rules_broken_without_group", without.rules_broken as f64);
    Ok(figures)
}
