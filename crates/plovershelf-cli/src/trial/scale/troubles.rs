//! Troubles in shortened time: members killed and replaced, a rack that is gone at once, a zone that stands still, changes
//! one by one and in bursts.

use std::time::Duration;

use async_io::Timer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use plovershelf_config_distribution::Edit;

use super::processes::{Fleet, Kind, Mode};
use super::watch::{Death, Watch, Word, KEY};
use crate::hollow::Line;

/// An ordinary day has 790 restarts or replacements and 1,500 changes; here fifty such days pass in one.
const FASTER: f64 = 50.0;
const DAY_MS: f64 = 86_400_000.0;
pub const KILL_EVERY_MS: f64 = DAY_MS / 790.0 / FASTER;
pub const CHANGE_EVERY_MS: f64 = DAY_MS / 1500.0 / FASTER;
pub const BURST: usize = 10;
/// A member that was killed is replaced by a new one after this.
const REPLACE_MS: f64 = 700.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Change,
    Burst,
    Kill,
    /// The one that was killed last but so many is replaced.
    Replace,
    Rack,
    /// All hollow members of a zone stand still: others see them as cut off. They hear nothing meanwhile, other than in a
    /// cut between regions, which this does not play.
    ZoneStops(usize),
    ZoneGoes(usize),
}

/// What happens when, in milliseconds from the beginning of the troubles. Short: changes and two deaths alone.
pub fn schedule(seed: u64, short: bool) -> Vec<(f64, Trouble)> {
    let mut chance = Pcg64::seed_from_u64(seed ^ 0x5ca1e);
    let zone = chance.random_range(0..super::processes::ZONES);
    let (span, mut all) = if short {
        (5_500.0, vec![(5_000.0, Trouble::Burst)])
    } else {
        let all = vec![
            (9_500.0, Trouble::Burst),
            (12_000.0, Trouble::Rack),
            (16_000.0, Trouble::ZoneStops(zone)),
            (20_000.0, Trouble::ZoneGoes(zone)),
            (21_000.0, Trouble::Burst),
        ];
        (20_500.0, all)
    };
    let every = |ms: f64| (1..).map(move |n| f64::from(n) * ms).take_while(move |at| *at < span);
    all.extend(every(CHANGE_EVERY_MS).map(|at| (at, Trouble::Change)));
    // Replacement and death go on side by side.
    let kills = every(KILL_EVERY_MS).map(|at| at * chance.random_range(0.98..1.0));
    for at in kills.collect::<Vec<_>>() {
        all.extend([(at, Trouble::Kill), (at + REPLACE_MS, Trouble::Replace)]);
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// What was done to a run's members, besides what the watch has seen.
#[derive(Default)]
pub struct Done {
    pub kills: usize,
    pub replaced: usize,
    pub racks: usize,
    pub zones: usize,
    /// Relays among those that were killed.
    pub relays: usize,
}

fn died(fleet: &Fleet, watch: &Watch, names: Vec<String>) {
    let at = watch.clock.now();
    let asked = (0..fleet.members.len()).filter(|place| fleet.members[*place].live).collect();
    for name in names {
        let Some(place) = fleet.members.iter().position(|member| member.name == name) else { continue };
        watch.end(place);
        let (address, known) = (fleet.members[place].address, Default::default());
        let death = Death { name, address, at, known, asked: Clone::clone(&asked) };
        watch.seen.borrow_mut().deaths.push(death);
    }
}

fn propose(fleet: &mut Fleet, watch: &Watch) -> Result<(), String> {
    let founders = fleet.running(Kind::Founder);
    let stands = |place: &usize| fleet.members[fleet.processes[*place].members[0]].live;
    let founders: Vec<usize> = founders.into_iter().filter(stands).collect();
    if founders.is_empty() {
        return Err("no founder is left to propose a change".into());
    }
    if fleet.mode == Mode::Changes {
        let number = watch.seen.borrow().proposed;
        let at = fleet.members[fleet.processes[founders[number % founders.len()]].members[0]].address;
        let tenant = tenant_of(number);
        watch.propose(at, vec![Edit::Set { tenant, quota_per_s: 1e6 + number as f64 + 1.0 }]);
        return Ok(());
    }
    let founder = founders[0];
    let member = fleet.members[fleet.processes[founder].members[0]].name.clone();
    let number = watch.seen.borrow().words.last().map_or(0, |word| word.number) + 1;
    let (key, bytes) = (KEY.to_string(), format!("change-{number}").into_bytes());
    watch.seen.borrow_mut().words.push(Word { number, agreed: None, in_force: Default::default() });
    fleet.processes[founder].say(&Line::Word { member, key, number, bytes })
}

/// The tenant that a change is about: there are always two.
fn tenant_of(number: usize) -> String {
    crate::load::TENANTS[number % crate::load::TENANTS.len()].to_string()
}

/// Of these processes the one whose members feed most others, the first where none feeds any; and how many it has that do.
fn feeding(fleet: &Fleet, watch: &Watch, of: &[usize]) -> Option<(usize, usize)> {
    let seen = watch.seen.borrow();
    let relays = |place: usize| {
        fleet.processes[place].members.iter().filter(|member| seen.children(**member) > 0).count()
    };
    of.iter().rev().map(|place| (*place, relays(*place))).max_by_key(|(_, relays)| *relays)
}

/// Plays a schedule; returns when its last trouble has been caused.
///
/// Errors: a process that could not be started or told.
pub async fn play(fleet: &mut Fleet, watch: &Watch, schedule: &[(f64, Trouble)]) -> Result<Done, String> {
    let began = watch.clock.now();
    let mut done = Done::default();
    for (at, trouble) in schedule {
        let wait = began + at - watch.clock.now();
        if wait > 0.0 {
            Timer::after(Duration::from_secs_f64(wait / 1000.0)).await;
        }
        tracing::info!(event = "trouble", at = watch.clock.now(), "{trouble:?}");
        match trouble {
            Trouble::Change => propose(fleet, watch)?,
            Trouble::Burst => (0..BURST).try_for_each(|_| propose(fleet, watch))?,
            Trouble::Kill => {
                let alone = fleet.running(Kind::Alone);
                let stands = |place: &usize| fleet.members[fleet.processes[*place].members[0]].live;
                let alone: Vec<usize> = alone.into_iter().filter(stands).collect();
                let Some((process, relays)) = feeding(fleet, watch, &alone) else { continue };
                done.relays += relays;
                let names = fleet.kill(process);
                died(fleet, watch, names);
                done.kills += 1;
            }
            Trouble::Replace if done.replaced < done.kills => {
                let process = fleet.process(Kind::Alone, done.replaced, 1)?;
                fleet.begin(process)?;
                let place = fleet.processes[process].members[0];
                // It came late, so what it has by when is not judged.
                fleet.members[place].touched = true;
                watch.follow(place, fleet.members[place].address, false);
                done.replaced += 1;
            }
            Trouble::Replace => {}
            Trouble::Rack => {
                let Some((process, relays)) = feeding(fleet, watch, &fleet.running(Kind::Rack)) else {
                    continue;
                };
                done.relays += relays;
                let names = fleet.kill(process);
                died(fleet, watch, names);
                done.racks += 1;
            }
            Trouble::ZoneStops(zone) | Trouble::ZoneGoes(zone) => {
                let stopped = matches!(trouble, Trouble::ZoneStops(_));
                for place in 0..fleet.processes.len() {
                    if fleet.processes[place].zone == *zone && !fleet.processes[place].killed {
                        fleet.stop(place, stopped);
                    }
                }
                done.zones += usize::from(stopped);
            }
        }
    }
    Ok(done)
}
