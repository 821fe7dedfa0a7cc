//! Scenario of faults and changes in compressed time: members killed and replaced, a whole rack killed at once, a paused
//! zone, and changes, one at a time and in bursts.

use std::time::Duration;

use async_io::Timer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use plovershelf_config_distribution::Edit;

use super::poller::{KilledMember, Poller, ProposedChange, KEY};
use super::processes::{Fleet, Mode, ProcessKind};
use crate::hollow::HollowCommand;

/// Time compression: the rates are fifty times those of an ordinary day, which has 790 restarts or replacements and 1,500
/// changes.
const TIME_COMPRESSION: f64 = 50.0;
const DAY_MS: f64 = 86_400_000.0;
pub const KILL_INTERVAL_MS: f64 = DAY_MS / 790.0 / TIME_COMPRESSION;
pub const CHANGE_INTERVAL_MS: f64 = DAY_MS / 1500.0 / TIME_COMPRESSION;
/// Number of changes in a burst.
pub const BURST_SIZE: usize = 10;
/// Delay after which a killed member is replaced by a new one.
const REPLACEMENT_DELAY_MS: f64 = 700.0;

/// One step of the scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// One change is proposed.
    Change,
    /// Several changes are proposed at once.
    Burst,
    /// One hollow member is killed, a relay if there is one.
    Kill,
    /// A killed member is replaced by a new one.
    Replace,
    /// A rack is killed with all its members.
    KillRack,
    /// All hollow processes of a zone are paused: the others see their members as unreachable. Paused members receive
    /// nothing either, unlike in a partition between regions, which the scenario does not include.
    PauseZone(usize),
    ResumeZone(usize),
}

/// Returns the events with their times in milliseconds from the start of the scenario. A short scenario has only changes
/// and two killed members.
pub fn schedule(seed: u64, short: bool) -> Vec<(f64, Event)> {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x5ca1e);
    let zone = rng.random_range(0..super::processes::ZONES);
    let (span, mut all) = if short {
        (5_500.0, vec![(5_000.0, Event::Burst)])
    } else {
        let all = vec![
            (9_500.0, Event::Burst),
            (12_000.0, Event::KillRack),
            (16_000.0, Event::PauseZone(zone)),
            (20_000.0, Event::ResumeZone(zone)),
            (21_000.0, Event::Burst),
        ];
        (20_500.0, all)
    };
    let every = |ms: f64| (1..).map(move |n| f64::from(n) * ms).take_while(move |at| *at < span);
    all.extend(every(CHANGE_INTERVAL_MS).map(|at| (at, Event::Change)));
    // Members are killed while earlier ones are still being replaced.
    let kills = every(KILL_INTERVAL_MS).map(|at| at * rng.random_range(0.98..1.0));
    for at in kills.collect::<Vec<_>>() {
        all.extend([(at, Event::Kill), (at + REPLACEMENT_DELAY_MS, Event::Replace)]);
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// Number of events played, by kind.
#[derive(Default)]
pub struct EventCounts {
    pub kills: usize,
    pub replaced: usize,
    pub racks: usize,
    /// Paused zones.
    pub zones: usize,
    /// Relays among the killed members.
    pub relays: usize,
}

/// Records killed members, and stops polling them.
fn record_killed(fleet: &Fleet, poller: &Poller, names: Vec<String>) {
    let killed_at_ms = poller.clock.now();
    let observers = (0..fleet.members.len()).filter(|index| fleet.members[*index].running).collect();
    for name in names {
        let Some(index) = fleet.members.iter().position(|member| member.name == name) else { continue };
        poller.stop_polling(index);
        let (address, detected_at_ms) = (fleet.members[index].address, Default::default());
        let observers = Clone::clone(&observers);
        let killed = KilledMember { name, address, killed_at_ms, detected_at_ms, observers };
        poller.observations.borrow_mut().killed.push(killed);
    }
}

/// Has a running voter propose the next change.
fn propose(fleet: &mut Fleet, poller: &Poller) -> Result<(), String> {
    let voters = fleet.running(ProcessKind::Voter);
    let is_running = |index: &usize| fleet.members[fleet.processes[*index].members[0]].running;
    let voters: Vec<usize> = voters.into_iter().filter(is_running).collect();
    if voters.is_empty() {
        return Err("no voter is running to propose a change".into());
    }
    if fleet.mode == Mode::ConfigDistribution {
        let number = poller.observations.borrow().proposed;
        let address = fleet.members[fleet.processes[voters[number % voters.len()]].members[0]].address;
        let tenant = changed_tenant(number);
        poller.propose(address, vec![Edit::Set { tenant, quota_per_s: 1e6 + number as f64 + 1.0 }]);
        return Ok(());
    }
    let voter = voters[0];
    let member = fleet.members[fleet.processes[voter].members[0]].name.clone();
    let number = poller.observations.borrow().changes.last().map_or(0, |change| change.number) + 1;
    let (key, bytes) = (KEY.to_string(), format!("change-{number}").into_bytes());
    let change = ProposedChange { number, agreed_at_ms: None, in_force_at_ms: Default::default() };
    poller.observations.borrow_mut().changes.push(change);
    fleet.processes[voter].send(&HollowCommand::Propose { member, key, number, bytes })
}

/// Returns the tenant whose quota a change sets; changes alternate between two tenants.
fn changed_tenant(number: usize) -> String {
    crate::load::TENANTS[number % crate::load::TENANTS.len()].to_string()
}

/// Returns the process among `candidates` with the most relays, the first one if none has any, and its number of relays.
fn process_with_most_relays(fleet: &Fleet, poller: &Poller, candidates: &[usize]) -> Option<(usize, usize)> {
    let observed = poller.observations.borrow();
    let relays = |index: usize| {
        fleet.processes[index].members.iter().filter(|member| observed.children(**member) > 0).count()
    };
    candidates.iter().rev().map(|index| (*index, relays(*index))).max_by_key(|(_, relays)| *relays)
}

/// Plays a schedule; returns after its last event has been carried out.
///
/// Errors: a process could not be started, or did not accept a command.
pub async fn play(
    fleet: &mut Fleet,
    poller: &Poller,
    schedule: &[(f64, Event)],
) -> Result<EventCounts, String> {
    let started_ms = poller.clock.now();
    let mut counts = EventCounts::default();
    for (at, event) in schedule {
        let wait_ms = started_ms + at - poller.clock.now();
        if wait_ms > 0.0 {
            Timer::after(Duration::from_secs_f64(wait_ms / 1000.0)).await;
        }
        tracing::info!(event = "scenario_event", at = poller.clock.now(), "{event:?}");
        match event {
            Event::Change => propose(fleet, poller)?,
            Event::Burst => (0..BURST_SIZE).try_for_each(|_| propose(fleet, poller))?,
            Event::Kill => {
                let single = fleet.running(ProcessKind::Single);
                let is_running = |index: &usize| fleet.members[fleet.processes[*index].members[0]].running;
                let single: Vec<usize> = single.into_iter().filter(is_running).collect();
                let Some((process, relays)) = process_with_most_relays(fleet, poller, &single) else {
                    continue;
                };
                counts.relays += relays;
                let names = fleet.kill(process);
                record_killed(fleet, poller, names);
                counts.kills += 1;
            }
            Event::Replace if counts.replaced < counts.kills => {
                let process = fleet.start_process(ProcessKind::Single, counts.replaced, 1)?;
                fleet.start_members(process)?;
                let index = fleet.processes[process].members[0];
                // A member that joins late is excluded from the propagation times.
                fleet.members[index].touched = true;
                poller.poll_member(index, fleet.members[index].address, false);
                counts.replaced += 1;
            }
            Event::Replace => {}
            Event::KillRack => {
                let racks = fleet.running(ProcessKind::Rack);
                let Some((process, relays)) = process_with_most_relays(fleet, poller, &racks) else {
                    continue;
                };
                counts.relays += relays;
                let names = fleet.kill(process);
                record_killed(fleet, poller, names);
                counts.racks += 1;
            }
            Event::PauseZone(zone) | Event::ResumeZone(zone) => {
                let paused = matches!(event, Event::PauseZone(_));
                for index in 0..fleet.processes.len() {
                    if fleet.processes[index].zone == *zone && !fleet.processes[index].killed {
                        fleet.set_paused(index, paused);
                    }
                }
                counts.zones += usize::from(paused);
            }
        }
    }
    Ok(counts)
}
