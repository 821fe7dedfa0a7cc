//! A group at the size that is coming: many hollow members, each with the true state machine on true links, beside four
//! real backends under light load. Costs come from the system's own accounts, as the difference to the same processes
//! before any of them belongs to a group; what is known by when, from questions to the members.

mod accounts;
mod calls;
mod judging;
mod processes;
mod troubles;
mod watch;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use async_io::Timer;
use plovershelf_testkit::Clock;

use super::{Figures, Ground};
use accounts::{Process, Tally};
use calls::Real;
use judging::Came;
use processes::{Fleet, Kind, Mode, Shape, CHANGES_PORT, PORT};
use watch::{Look, Seen, Watch, OWN};

/// What is asked for on the command line.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    pub members: usize,
    pub callers: usize,
    pub tenants: usize,
}

const SIZES: [usize; 3] = [30, 100, 300];
const MEMBERS: usize = 920;
const CALLERS: usize = 400;
const TENANTS: usize = 1000;
const OFF_MS: f64 = 2500.0;
const CALM_MS: f64 = 7000.0;
const SETTLE_MS: f64 = 12_000.0;
/// After the last trouble, until what is not known counts as never known.
const PATIENCE_MS: f64 = 8000.0;
/// Of the machine's memory.
const MEMORY_MOST: f64 = 0.5;
pub const PROCESSES_MOST: usize = 200;
const LOOK: Duration = Duration::from_millis(1000);

/// Processor time and memory of processes at one moment, by their ids.
fn processes_now(ids: &[u32]) -> BTreeMap<u32, Process> {
    ids.iter().filter_map(|id| Some((*id, accounts::process(*id)?))).collect()
}

/// What some processes cost over a span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    pub core_percent: f64,
    pub memory_mb: f64,
}

/// Of all of them together; none where one of them can't be told at either end.
fn cost(
    ids: &[u32],
    before: &BTreeMap<u32, Process>,
    after: &BTreeMap<u32, Process>,
    span_ms: f64,
) -> Option<Cost> {
    let mut sum = Cost::default();
    for id in ids {
        let (before, after) = (before.get(id)?, after.get(id)?);
        sum.core_percent += (after.processor_ms - before.processor_ms) / span_ms * 100.0;
        sum.memory_mb += after.resident_kb / 1024.0;
    }
    (!ids.is_empty() && span_ms > 0.0).then_some(sum)
}

/// The resident memory of all of a run's processes and of the trial itself, of the machine's.
fn memory_share(fleet: &Fleet, real: &Real) -> Option<f64> {
    let ids = fleet.processes.iter().filter(|p| !p.killed).map(|p| p.id()).chain(real.ids());
    let ids: Vec<u32> = ids.chain([std::process::id()]).collect();
    let kb: f64 = processes_now(&ids).values().map(|process| process.resident_kb).sum();
    (kb > 0.0).then_some(kb / accounts::memory_kb()?)
}

/// The larger of two; none where one of them is missing.
fn larger(one: Option<f64>, other: Option<f64>) -> Option<f64> {
    Some(one?.max(other?))
}

/// Looks at all links of members once a second from now on, for so long, on a thread of its own.
fn tally(alone: BTreeMap<u32, IpAddr>, span: Duration) -> std::thread::JoinHandle<Result<Tally, String>> {
    std::thread::spawn(move || {
        let mut tally = Tally::new(&[PORT, CHANGES_PORT], OWN.into(), alone);
        tally.look()?;
        let began = std::time::Instant::now();
        // Where a look takes long, the last one ends later; what counts is the time between the first and the last.
        loop {
            let left = span.saturating_sub(began.elapsed());
            if left.is_zero() {
                return Ok(tally);
            }
            std::thread::sleep(left.min(LOOK));
            tally.look()?;
            tally.span_ms = began.elapsed().as_secs_f64() * 1000.0;
        }
    })
}

/// One size: started, measured without a group, settled, measured, and troubled.
fn play(ground: &Ground, wanted: Wanted, mode: Mode, number: u8, short: bool) -> Result<Came, String> {
    let (executor, clock) = (&ground.executor, Clock::start());
    let shape = Shape::of(wanted.members)?;
    let mut came = Came { members: wanted.members, mode: Some(mode), shape: Some(shape), ..Came::default() };
    let run = async {
        let mut fleet = Fleet::start(shape, mode, wanted.tenants, number, ground.logs.clone())?;
        let mut real = Real::start(ground, clock, wanted.callers, wanted.tenants).await?;
        let (racks, alone) = (fleet.running(Kind::Rack), fleet.running(Kind::Alone));
        let ids = |places: &[usize], fleet: &Fleet| places.iter().map(|p| fleet.processes[*p].id()).collect();
        let (racks, alone): (Vec<u32>, Vec<u32>) = (ids(&racks, &fleet), ids(&alone, &fleet));
        let kinds = |real: &Real| [alone.clone(), racks.clone(), real.ids()];
        let everyone = |real: &Real| kinds(real).concat();

        // Without a group.
        let (before, at) = (processes_now(&everyone(&real)), clock.now());
        let off = real.light(executor, clock, ground.seed, OFF_MS).await;
        let (after, span) = (processes_now(&everyone(&real)), clock.now() - at);
        came.off = kinds(&real).map(|ids| cost(&ids, &before, &after, span));
        came.added_off_ms = off.at_99();

        // The founders first, then all others, racks one after the other.
        for place in 0..fleet.processes.len() {
            fleet.begin(place)?;
            Timer::after(Duration::from_millis(40)).await;
        }
        let files = (0..processes::REAL).map(|place| fleet.real_file(place)).collect::<Result<_, _>>()?;
        real.join(executor, clock, mode, files).await?;
        (0..processes::REAL).for_each(|place| fleet.members[place].live = true);
        let watch = Watch::new(executor, clock, mode);
        let founder =
            |fleet: &Fleet, place: usize| fleet.founders().any(|f| f.name == fleet.members[place].name);
        for place in 0..fleet.members.len() {
            watch.follow(place, fleet.members[place].address, founder(&fleet, place));
        }
        let all = wanted.members;
        came.settled_ms = watch.until(SETTLE_MS, |seen| judging::settled(seen, &fleet, all)).await;
        let whole = |seen: &Seen| seen.latest.values().filter(|(_, look)| judging::whole(look, all)).count();
        came.settled_share = whole(&watch.seen.borrow()) as f64 / all as f64;
        if came.settled_ms.is_none() {
            let (seen, share) = (watch.seen.borrow(), came.settled_share);
            tracing::warn!(
                event = "not_settled",
                members = all,
                answered = seen.latest.len(),
                share,
                summed = seen.summed()
            );
        }
        watch.seen.borrow_mut().oldest.clear();
        came.memory_share = memory_share(&fleet, &real);

        // Calm: the trial asks nothing.
        watch.rest(true);
        Timer::after(Duration::from_millis(500)).await;
        let (before, at) = (processes_now(&everyone(&real)), clock.now());
        let busy = accounts::busy();
        let counting = tally(fleet.alone(), Duration::from_secs_f64(CALM_MS / 1000.0));
        let on = real.light(executor, clock, ground.seed + 1, CALM_MS).await;
        let (after, span) = (processes_now(&everyone(&real)), clock.now() - at);
        came.on = kinds(&real).map(|ids| cost(&ids, &before, &after, span));
        came.busy_share = accounts::busy_since(busy);
        came.added_ms = on.at_99();
        let tally = counting.join().map_err(|_| "the thread that counts bytes ended".to_string())??;
        let leads = |(place, (_, look)): (&usize, &(f64, Look))| match look {
            Look::Group(brief) => brief.leads.then_some(*place),
            Look::Changes(report) => {
                let named = report.consensus.as_ref()?.leader.as_deref()?;
                fleet.members.iter().position(|member| member.name == named)
            }
        };
        let leads = watch.seen.borrow().latest.iter().find_map(leads);
        let leader = leads.map(|place| fleet.members[place].address.ip());
        let leader = leader.filter(|address| fleet.alone().values().any(|one| one == address));
        came.count_bytes(&tally, leader, &fleet);
        came.memory_share = larger(came.memory_share, memory_share(&fleet, &real));

        watch.rest(false);
        let schedule = troubles::schedule(ground.seed, short);
        came.done = troubles::play(&mut fleet, &watch, &schedule).await?;
        let over = |seen: &Seen| judging::all_known(seen, &fleet);
        watch.until(PATIENCE_MS, over).await;
        came.judge(&watch.seen.borrow(), &fleet);
        came.memory_share = larger(came.memory_share, memory_share(&fleet, &real));
        let fell = fleet.processes.iter_mut().filter_map(|process| process.fell().then_some(())).count();
        came.rules_broken = off.rules_broken + on.rules_broken + real.rules_broken() + fell as u64;
        Ok(came)
    };
    async_io::block_on(executor.run(run))
}

/// The largest size that memory and the number of processes allow, and what it ends by.
fn largest(wanted: usize, at: &[Came]) -> (usize, &'static str) {
    let mut most = (wanted, "requested");
    while Shape::of(most.0).is_ok_and(|shape| shape.processes() > PROCESSES_MOST) {
        most = (most.0 - 1, "processes");
    }
    // A member's share of memory at the largest size so far, and half as much again.
    let told = at.last().and_then(|came| Some((came.memory_share?, came.members)));
    if let Some((share, members)) = told {
        let fits = (MEMORY_MOST / (1.5 * share / members as f64)) as usize;
        if fits < most.0 {
            most = (fits, "memory");
        }
    }
    most
}

/// Sizes that lead up to one: at least two, so that slopes have three points.
fn below(members: usize) -> Vec<usize> {
    let least = Shape::LEAST;
    let usual: Vec<usize> = SIZES.into_iter().filter(|size| *size < members).collect();
    match usual.len() {
        0 | 1 => vec![(members / 2).max(least), (members * 3 / 4).max(least)],
        _ => usual,
    }
}

fn sizes(
    ground: &Ground,
    wanted: Wanted,
    mode: Mode,
    first: u8,
) -> Result<(Vec<Came>, &'static str), String> {
    let mut all: Vec<Came> = Vec::new();
    for members in below(wanted.members) {
        all.push(play(ground, Wanted { members, ..wanted }, mode, first + all.len() as u8, true)?);
    }
    let (members, ended_by) = largest(wanted.members, &all);
    all.push(play(ground, Wanted { members, ..wanted }, mode, first + all.len() as u8, false)?);
    Ok((all, ended_by))
}

pub fn run(ground: &Ground) -> Result<Figures, String> {
    let wanted = Wanted {
        members: ground.members.unwrap_or(MEMBERS),
        callers: ground.callers.unwrap_or(CALLERS),
        tenants: ground.tenants.unwrap_or(TENANTS),
    };
    Shape::of(wanted.members)?;
    let (with, ended_by) = sizes(ground, wanted, Mode::Changes, 0)?;
    let (without, without_ended_by) = sizes(ground, wanted, Mode::Group, with.len() as u8)?;
    if let Some(folder) = &ground.logs {
        judging::plot(&with, &folder.join("scale.svg"))?;
        judging::plot(&without, &folder.join("scale-without-mechanism.svg"))?;
    }
    let mut figures = judging::figures(&with, wanted, ended_by, true);
    figures.phase("without_mechanism", judging::figures(&without, wanted, without_ended_by, false));
    Ok(figures)
}
