//! Trial `group`: nine backends in three zones form one group, under load and a schedule of faults; the same schedule runs
//! without a group for comparison.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use plovershelf_client::{BackpressureSignal, ClientConfig};
use plovershelf_cluster::status::{Answer, Question, Status};
use plovershelf_simulation::audit::{self, Event, Observation};
use plovershelf_simulation::schedule::{Fault, Folder, Schedule, Step, FAULT_FREE_MS};
use plovershelf_testkit::fault_injection::{self, AppliedFault};
use plovershelf_testkit::fleet::Fleet;
use plovershelf_testkit::{cluster, cores, Clock};

use super::client_overload::{fleet_config, start_taps};
use super::{Bound, Figures, TrialContext};
use crate::group::ask;
use crate::load::{self, Caller};

const MEMBERS: usize = 9;
const ZONES: usize = 3;
const CLIENTS: usize = 30;
const CORES: f64 = 2.0;
/// Demand as a fraction of the capacity of the cores.
const DEMAND: f64 = 0.35;
const STEPS: usize = 14;
const SPAN_MS: f64 = 36_000.0;
const POLL_INTERVAL_MS: u64 = 100;
/// Time without a fault after which a member counts as healthy.
const HEALTHY_AFTER_MS: f64 = FAULT_FREE_MS;

/// Status of one member, with the times at which it was requested and received, in milliseconds.
#[derive(Clone)]
struct StatusSample {
    member: usize,
    requested_at: f64,
    received_at: f64,
    status: Rc<Status>,
}

/// Observations of one run of the schedule of faults under load, with or without the cluster.
struct RunResult {
    /// Revenue earned in time, as a fraction of the revenue of all calls.
    service: f64,
    rules_broken: u64,
    samples: Vec<StatusSample>,
    faults: Vec<AppliedFault>,
    started_ms: f64,
}

/// Returns the first schedule drawn from a seed that has at least six kinds of faults, a kill with a wiped disk, and an
/// isolated kill.
pub fn schedule(seed: u64, span_ms: f64) -> Schedule {
    let steps = ((span_ms / SPAN_MS * STEPS as f64).round() as usize).max(STEPS);
    let drawn = (0..1000).map(|n| Schedule::draw(seed * 1000 + n, MEMBERS, ZONES, steps, span_ms));
    let is_varied = |s: &Schedule| {
        let wiped = |step: &Step| matches!(step.fault, Fault::Kill { folder: Folder::Wiped, .. });
        s.kinds() >= 6
            && s.steps.iter().any(wiped)
            && (0..s.steps.len()).any(|step| is_isolated_kill(s, step))
    };
    let mut drawn: Vec<Schedule> = drawn.collect();
    let index = drawn.iter().position(is_varied).unwrap_or(0);
    drawn.swap_remove(index)
}

fn play(context: &TrialContext, schedule: &Schedule, with_group: bool) -> Result<RunResult, String> {
    let executor = &context.executor;
    let clock = Clock::start();
    let mut config = fleet_config(context, MEMBERS, CLIENTS);
    config.cores = cores::CoresConfig { cores: CORES, ..config.cores };
    config.settings = load::settings(CORES, MEMBERS, CLIENTS, 40.0, 8.0);
    config.cluster = with_group.then(|| cluster::ClusterConfig {
        zones: ZONES,
        initial_voters: 3,
        folders: true,
        more: String::new(),
    });
    let demand = DEMAND * MEMBERS as f64 * CORES * 1000.0 / load::mean_work_ms();
    let planned = Rc::new(load::schedule(context.seed, CLIENTS, schedule.ends_ms(), |_| demand));
    let fleet =
        Fleet::start(executor, clock, &config).map_err(|error| format!("starting backends: {error}"))?;
    let run = async {
        let (taps, addresses) = start_taps(executor, clock, &fleet).await?;
        let mut callers = Vec::new();
        for number in 0..CLIENTS {
            let seed = context.seed * 1000 + number as u64 + 1;
            let config = ClientConfig {
                seed,
                backpressure: BackpressureSignal::MinimumPriority,
                ..ClientConfig::default()
            };
            let client = load::library_client(executor, &addresses, number, config)?;
            callers.push(Caller::Library(client));
        }
        let samples: Rc<RefCell<Vec<StatusSample>>> = Rc::default();
        if let Some(cluster) = &fleet.cluster {
            for (member, cluster_member) in cluster.members.iter().enumerate() {
                let (address, samples) = (cluster_member.address, samples.clone());
                let poll = async move {
                    loop {
                        let requested_at = clock.now();
                        let timeout = Duration::from_millis(8000);
                        let answer = ask(address, "trial", Question::Status, timeout).await;
                        if let Ok(Answer::Status(status)) = answer {
                            let status = Rc::from(status);
                            let received_at = clock.now();
                            samples.borrow_mut().push(StatusSample {
                                member,
                                requested_at,
                                received_at,
                                status,
                            });
                        }
                        Timer::after(Duration::from_millis(POLL_INTERVAL_MS)).await;
                    }
                };
                executor.spawn(poll).detach();
            }
        }
        let fleet = RefCell::new(fleet);
        let applied = RefCell::new(Vec::new());
        let results = load::Results::default();
        let started_ms = clock.now();
        let faults = fault_injection::play(&fleet, clock, schedule, &applied);
        let load = load::play(executor, clock, &planned, &callers, &results, 4000.0);
        futures_lite::future::zip(faults, load).await;
        // The members are polled for some more time, so that their final agreement is observed.
        Timer::after(Duration::from_millis(3000)).await;
        let summary = load::summarize(&planned, &results.borrow());
        let mut fleet = fleet.into_inner();
        let mut rules_broken = summary.wrong_result as u64 + summary.duplicate_results as u64;
        rules_broken += fleet.effects.borrow().repeated_executions().len() as u64
            + fleet.effects.borrow().dependency_outages;
        for backend in &mut fleet.backends {
            rules_broken += u64::from(backend.poll_exit().is_some());
        }
        for tap in &taps {
            rules_broken += tap.traffic.borrow().duplicate_responses;
        }
        let samples = samples.borrow().clone();
        let service = summary.revenue_in_time / summary.revenue.max(1e-9);
        Ok(RunResult { service, rules_broken, samples, faults: applied.into_inner(), started_ms })
    };
    async_io::block_on(executor.run(run))
}

/// Converts the observations to events for the audit. A permission to act counts from the time of the request, a view and a
/// leadership from the time of the response.
fn history(run: &RunResult, schedule: &Schedule) -> Vec<Event> {
    let mut events = Vec::new();
    for fault in &run.faults {
        let text =
            format!("{} {}", if fault.begins() { "begins" } else { "ends" }, schedule.steps[fault.step]);
        events.push(Event { at: fault.at_ms, seen: Observation::Fault { text } });
        if let (true, Fault::Kill { member, folder: Folder::Wiped }) =
            (fault.begins(), &schedule.steps[fault.step].fault)
        {
            let before = run
                .samples
                .iter()
                .rfind(|sample| sample.member == *member && sample.received_at < fault.at_ms);
            events.extend(before.map(|sample| Event {
                at: fault.at_ms,
                seen: Observation::Lost { memory: sample.status.node_id },
            }));
        }
    }
    for sample in &run.samples {
        let status = &sample.status;
        let (memory, era) = (status.node_id, status.epoch);
        if status.view > 0 {
            let seen =
                Observation::View { memory, era, number: status.view, members: status.view_members.clone() };
            events.push(Event { at: sample.received_at, seen });
        }
        if status.leads {
            events.push(Event {
                at: sample.received_at,
                seen: Observation::Leads { memory, era, term: status.term },
            });
        }
        if let Some(view) = status.may_act {
            events.push(Event { at: sample.requested_at, seen: Observation::Acts { memory, era, view } });
        }
    }
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    events
}

/// Returns true if a fault affects a member between two times, or up to `HEALTHY_AFTER_MS` before. Cuts, message loss and
/// the kill of a third affect all members.
fn is_affected(run: &RunResult, schedule: &Schedule, member: usize, from: f64, to: f64) -> bool {
    schedule.steps.iter().enumerate().any(|(step_index, step)| {
        let at = |begins: bool| {
            run.faults
                .iter()
                .find(|d| d.step == step_index && d.begins() == begins)
                .map_or(f64::INFINITY, |d| d.at_ms)
        };
        let affects_all =
            matches!(step.fault, Fault::Cut { .. } | Fault::Loss { .. } | Fault::KillThird { .. });
        let affects = affects_all || step.fault.touches(MEMBERS).contains(&member);
        affects && at(true) <= to && from <= at(false) + HEALTHY_AFTER_MS
    })
}

/// Returns true if a step kills a member for at least three seconds while no other fault can delay the group's decision.
fn is_isolated_kill(schedule: &Schedule, step_index: usize) -> bool {
    let step = &schedule.steps[step_index];
    let delays_decision = |other: &Fault| match other {
        Fault::Stop { member } | Fault::Slow { member, .. } => *member < ZONES,
        Fault::Unready { .. } | Fault::Clock { .. } => false,
        _ => true,
    };
    let overlaps = schedule.steps.iter().enumerate().any(|(other_index, other)| {
        let apart = step.at_ms + 3000.0 <= other.at_ms || other.at_ms + other.for_ms + 1000.0 <= step.at_ms;
        other_index != step_index && delays_decision(&other.fault) && !apart
    });
    matches!(step.fault, Fault::Kill { .. }) && step.for_ms >= 3000.0 && !overlaps
}

/// Reactions of the group's views to the faults.
struct ViewMetrics {
    /// Healthy members that were removed from a view.
    healthy_removed: usize,
    /// Longest time from an isolated kill to a view without the member; `None` if there was no isolated kill.
    max_removal_s: Option<f64>,
    /// Longest time from the end of all faults to agreement of all members; `None` if no interval was long enough to tell.
    max_agreement_s: Option<f64>,
    views: usize,
}

/// Returns the larger of two values, of which the first may be missing.
fn larger(max: Option<f64>, other: f64) -> Option<f64> {
    Some(max.map_or(other, |max| max.max(other)))
}

/// Evaluates the views that the members reported.
fn view_metrics(run: &RunResult, schedule: &Schedule) -> ViewMetrics {
    // Time of the first response with each view, and the members by node id.
    let mut first: BTreeMap<u64, (f64, BTreeSet<u64>)> = BTreeMap::new();
    let mut member_of: BTreeMap<u64, usize> = BTreeMap::new();
    for sample in &run.samples {
        member_of.insert(sample.status.node_id, sample.member);
        let members = || sample.status.view_members.iter().copied().collect();
        let view = first.entry(sample.status.view).or_insert_with(|| (sample.received_at, members()));
        view.0 = view.0.min(sample.received_at);
    }
    let mut healthy_removed = 0;
    let views: Vec<&(f64, BTreeSet<u64>)> = first.values().collect();
    for pair in views.windows(2) {
        for node_id in pair[0].1.difference(&pair[1].1) {
            let Some(member) = member_of.get(node_id) else { continue };
            if !is_affected(run, schedule, *member, pair[0].0.max(pair[1].0 - HEALTHY_AFTER_MS), pair[1].0) {
                healthy_removed += 1;
                tracing::warn!(
                    event = "healthy_member_removed",
                    member = member + 1,
                    at = pair[1].0 - run.started_ms
                );
            }
        }
    }
    // Isolated kills: the time until a view without the member.
    let mut max_removal_s = None;
    for fault in run.faults.iter().filter(|fault| fault.begins()) {
        let step = &schedule.steps[fault.step];
        let Fault::Kill { member, .. } = step.fault else { continue };
        if !is_isolated_kill(schedule, fault.step) {
            continue;
        }
        let before =
            run.samples.iter().rfind(|sample| sample.member == member && sample.received_at < fault.at_ms);
        let Some(sample) = before else {
            continue;
        };
        let removal =
            views.iter().find(|(at, members)| *at > fault.at_ms && !members.contains(&sample.status.node_id));
        let took_ms = removal.map_or(f64::INFINITY, |(at, _)| at - fault.at_ms);
        max_removal_s = larger(max_removal_s, took_ms / 1000.0);
    }
    // Intervals without a fault: the time until all members report one view that contains all of them, and may act.
    let mut max_agreement_s = None;
    let mut active = 0i32;
    for (index, fault) in run.faults.iter().enumerate() {
        active += if fault.begins() { 1 } else { -1 };
        if active > 0 || fault.begins() {
            continue;
        }
        let next = run.faults.get(index + 1).map_or(f64::INFINITY, |next| next.at_ms);
        if next - fault.at_ms < 3000.0 {
            continue;
        }
        let mut latest: BTreeMap<usize, &StatusSample> = BTreeMap::new();
        let mut agreed_at = f64::INFINITY;
        let within = |sample: &&StatusSample| sample.requested_at > fault.at_ms && sample.received_at < next;
        for sample in run.samples.iter().filter(within) {
            latest.insert(sample.member, sample);
            let views: BTreeSet<Option<u64>> = latest.values().map(|sample| sample.status.may_act).collect();
            let agreed = latest.len() == MEMBERS && views.len() == 1 && !views.contains(&None);
            if agreed && sample.status.view_members.len() == MEMBERS {
                agreed_at = sample.received_at;
                break;
            }
        }
        max_agreement_s = larger(max_agreement_s, (agreed_at - fault.at_ms) / 1000.0);
    }
    ViewMetrics { healthy_removed, max_removal_s, max_agreement_s, views: first.len() }
}

pub fn run(context: &TrialContext) -> Result<Figures, String> {
    let span_ms = context.seconds.map_or(SPAN_MS, |seconds| seconds * 1000.0);
    let schedule = match &context.schedule {
        Some(path) => {
            let text =
                std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
            text.parse().map_err(|error| format!("{}: {error}", path.display()))?
        }
        None => schedule(context.seed, span_ms),
    };
    if schedule.members != MEMBERS {
        return Err(format!("the schedule has {} members, but this trial has {MEMBERS}", schedule.members));
    }
    let with = play(context, &schedule, true)?;
    let without = play(context, &schedule, false)?;
    let events = history(&with, &schedule);
    let audited = audit::judge(&events);
    let metrics = view_metrics(&with, &schedule);
    if let Some(folder) = &context.logs {
        for (name, text) in
            [("schedule.txt", schedule.to_string()), ("history.jsonl", audit::written(&events))]
        {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        }
    }
    for broken in &audited.broken {
        tracing::warn!(event = "broken", promise = broken.promise, at = broken.at - with.started_ms, details = %broken.told);
    }
    let mut figures = Figures::default();
    figures.report("processes", MEMBERS as f64);
    figures.put("faults", schedule.steps.len() as f64, Bound::AtLeast(12.0));
    figures.put("kinds_of_fault", schedule.kinds() as f64, Bound::AtLeast(6.0));
    figures.report("views", metrics.views as f64);
    let zero = Bound::AtMost(0.0);
    figures.put("two_views_of_one_number", audited.count(audit::ONE_VIEW_PER_NUMBER) as f64, zero);
    figures.put("two_leaders_of_one_term", audited.count(audit::ONE_LEADER_PER_TERM) as f64, zero);
    figures.put("acted_past_lease", audited.count(audit::NO_ACTION_PAST_LEASE) as f64, zero);
    let wiped = events.iter().filter(|event| matches!(event.seen, Observation::Lost { .. })).count();
    figures.report("blank_returns", wiped as f64);
    figures.put("blank_votes", audited.count(audit::LOST_STORAGE_IS_NEW_NODE) as f64, zero);
    figures.put("healthy_put_out", metrics.healthy_removed as f64, zero);
    figures.put("lost_put_out_s_worst", metrics.max_removal_s, Bound::AtMost(3.0));
    figures.put("agreed_after_heal_s_worst", metrics.max_agreement_s, Bound::AtMost(3.0));
    figures.put("service_lost_to_group", without.service - with.service, Bound::AtMost(0.02));
    figures.report("service", with.service);
    figures.report("service_without_group", without.service);
    figures.put("rules_broken", with.rules_broken as f64, zero);
    figures.report("rules_broken_without_group", without.rules_broken as f64);
    Ok(figures)
}
