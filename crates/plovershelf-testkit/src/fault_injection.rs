//! Many real backends in one group, with a way between each two and before each one's agent, under a schedule of faults.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use async_io::Timer;
use plovershelf_simulation::schedule::{third, Fault, Folder, Schedule};
use rustix::process::Signal;

use crate::backend::Fleet;
use crate::way::Way;
use crate::{free_address, Clock, Executor};

/// What the group is like.
#[derive(Clone, Debug)]
pub struct Plan {
    pub zones: usize,
    /// The first voters.
    pub founders: usize,
    pub folders: bool,
    /// Further lines of `[group]`, and further sections.
    pub more: String,
}

/// One member's side of it.
pub struct Member {
    pub address: SocketAddr,
    pub file: PathBuf,
    pub folder: Option<PathBuf>,
    /// While this file is there, the folder takes nothing.
    pub full: PathBuf,
    pub clock_off_ms: f64,
    /// What the folder held, a second between two.
    old: VecDeque<Option<Vec<u8>>>,
}

pub struct Rig {
    pub members: Vec<Member>,
    /// `ways[a][b]` leads from a to b.
    ways: Vec<Vec<Option<Way>>>,
}

pub fn zone(member: usize, zones: usize) -> String {
    format!("z{}", member % zones.max(1) + 1)
}

impl Rig {
    /// Ways and files for so many members, none of which runs yet.
    ///
    /// Errors: as of binding listeners and writing files.
    pub fn start(executor: &Executor, folder: &Path, count: usize, plan: &Plan) -> std::io::Result<Self> {
        let addresses = (0..count).map(|_| free_address()).collect::<std::io::Result<Vec<_>>>()?;
        let mut ways = Vec::new();
        for from in 0..count {
            let way = |to: usize| {
                (to != from)
                    .then(|| Way::start(executor, addresses[to], (from * count + to) as u64))
                    .transpose()
            };
            ways.push((0..count).map(way).collect::<std::io::Result<Vec<_>>>()?);
        }
        let mut members = Vec::new();
        for (place, address) in addresses.iter().enumerate() {
            let own = plan.folders.then(|| folder.join(format!("group-n{}", place + 1)));
            let file = folder.join(format!("group-n{}.ini", place + 1));
            let through = |to: usize| ways[place][to].as_ref().map(|way: &Way| way.address);
            let seeds: Vec<String> =
                (0..plan.founders).filter_map(through).map(|at| at.to_string()).collect();
            let council: Vec<String> = (0..plan.founders).map(|n| format!("n{}", n + 1)).collect();
            let mut text = format!(
                "[group]\nname = trial\nlisten = {address}\nzone = {}\nregion = r{}\nseeds = {}\ncouncil = {}\n",
                zone(place, plan.zones),
                1,
                seeds.join(", "),
                council.join(", ")
            );
            if let Some(own) = &own {
                text += &format!("folder = {}\n", own.display());
            }
            text += &plan.more;
            text += "\n[ways]\n";
            for to in 0..count {
                if let Some(at) = through(to) {
                    text += &format!("n{} = {at}\n", to + 1);
                }
            }
            std::fs::write(&file, text)?;
            let full = folder.join(format!("full-n{}", place + 1));
            let (old, clock_off_ms) = (VecDeque::new(), 0.0);
            members.push(Member { address: *address, file, folder: own, full, clock_off_ms, old });
        }
        Ok(Rig { members, ways })
    }

    /// Remembers what each folder holds, as the set-back ones need; called each second.
    fn remember(&mut self) {
        for member in &mut self.members {
            let held = member.folder.as_ref().and_then(|folder| std::fs::read(folder.join("group.log")).ok());
            member.old.push_back(held);
            if member.old.len() > 8 {
                member.old.pop_front();
            }
        }
    }

    fn cut(&self, from: usize, to: usize, cut: bool) {
        if let Some(way) = &self.ways[from][to] {
            way.cut(cut);
        }
    }

    fn all_ways(&self) -> impl Iterator<Item = (usize, usize, &Way)> {
        let row = |(from, row): (usize, &'_ Vec<Option<Way>>)| -> Vec<(usize, usize)> {
            row.iter().enumerate().filter(|(_, way)| way.is_some()).map(|(to, _)| (from, to)).collect()
        };
        let pairs: Vec<(usize, usize)> = self.ways.iter().enumerate().flat_map(row).collect();
        pairs.into_iter().filter_map(|(from, to)| Some((from, to, self.ways[from][to].as_ref()?)))
    }
}

/// What a schedule did, as it was done: for the history and for who counts as healthy.
#[derive(Clone, Debug)]
pub struct Done {
    pub at: f64,
    pub begins: bool,
    pub step: usize,
}

/// Plays a schedule on a fleet; returns when the last fault is over.
pub async fn play(fleet: &RefCell<Fleet>, clock: Clock, schedule: &Schedule, done: &RefCell<Vec<Done>>) {
    let began = clock.now();
    let mut moments: Vec<(f64, bool, usize)> = Vec::new();
    for (place, step) in schedule.steps.iter().enumerate() {
        moments.push((began + step.at_ms, true, place));
        moments.push((began + step.at_ms + step.for_ms, false, place));
    }
    moments.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut remember_at = began;
    for (at, begins, step) in moments {
        while clock.now() < at {
            if clock.now() >= remember_at {
                remember_at += 1000.0;
                if let Some(rig) = fleet.borrow_mut().rig.as_mut() {
                    rig.remember();
                }
            }
            Timer::at(clock.at(at.min(remember_at))).await;
        }
        done.borrow_mut().push(Done { at: clock.now(), begins, step });
        let fault = schedule.steps[step].fault.clone();
        fleet.borrow_mut().fault(&fault, begins, schedule.members);
    }
}

/// The executor's reference that faults are played with.
pub type Shared = Rc<RefCell<Fleet>>;

impl Fleet {
    /// One fault begins or is over. Where there is no group, what concerns only that does nothing.
    pub fn fault(&mut self, fault: &Fault, begins: bool, count: usize) {
        match fault {
            Fault::Cut { these, those, one_way } => {
                let Some(rig) = &self.rig else { return };
                for one in these {
                    for other in those {
                        rig.cut(*one, *other, begins);
                        if !one_way {
                            rig.cut(*other, *one, begins);
                        }
                    }
                }
            }
            Fault::Loss { share } => {
                let Some(rig) = &self.rig else { return };
                for (_, _, way) in rig.all_ways() {
                    let mut trouble = way.trouble.borrow_mut();
                    trouble.loss = (trouble.loss + if begins { *share } else { -share }).max(0.0);
                    trouble.breaks += u64::from(begins);
                }
            }
            Fault::Slow { member, by_ms } => {
                let Some(rig) = &self.rig else { return };
                for (from, to, way) in rig.all_ways() {
                    if from == *member || to == *member {
                        way.trouble.borrow_mut().delay_ms = if begins { *by_ms } else { 0.0 };
                    }
                }
            }
            Fault::Kill { member, folder } => self.down(*member, begins, *folder),
            Fault::Leave { member } => self.leave(*member, begins),
            Fault::KillThird { first } => {
                third(*first, count).for_each(|m| self.down(m, begins, Folder::Kept))
            }
            Fault::Stop { member } => {
                let backend = &mut self.backends[*member];
                if backend.down == 0 {
                    backend.signal(if begins { Signal::STOP } else { Signal::CONT });
                    backend.stopped = begins;
                }
            }
            Fault::Unfit { member } => {
                if let Some(way) = &self.backends[*member].agent_way {
                    way.trouble.borrow_mut().refused = begins;
                }
            }
            Fault::Full { member } => {
                let Some(rig) = &self.rig else { return };
                let full = &rig.members[*member].full;
                let _ = if begins { std::fs::write(full, "") } else { std::fs::remove_file(full) };
            }
            Fault::Clock { member, by_ms } => {
                if let Some(rig) = self.rig.as_mut() {
                    rig.members[*member].clock_off_ms = if begins { *by_ms } else { 0.0 };
                }
            }
        }
    }

    /// One that has not ended by the fault's end is killed, and counts as a crash.
    fn leave(&mut self, place: usize, begins: bool) {
        let stop_ms = self.stop_ms;
        let backend = &mut self.backends[place];
        if begins {
            return backend.leave(stop_ms);
        }
        if backend.ended().is_none() {
            backend.crashes += 1;
            let _ = backend.kill();
        }
        let _ = backend.start();
    }

    fn down(&mut self, place: usize, begins: bool, folder: Folder) {
        let backend = &mut self.backends[place];
        let mut member = self.rig.as_mut().map(|rig| &mut rig.members[place]);
        if !begins {
            backend.down = backend.down.saturating_sub(1);
            if backend.down == 0 {
                backend.clock_off_ms = member.map_or(0.0, |member| member.clock_off_ms);
                let _ = backend.start();
            }
            return;
        }
        backend.down += 1;
        if std::mem::take(&mut backend.stopped) {
            backend.signal(Signal::CONT);
        }
        let _ = backend.kill();
        let Some((own, member)) = member.as_mut().and_then(|member| Some((member.folder.clone()?, member)))
        else {
            return;
        };
        match folder {
            Folder::Kept => {}
            Folder::Wiped => drop(std::fs::remove_dir_all(own)),
            Folder::Old => {
                let old = member.old.front().cloned().flatten();
                let _ = match old {
                    Some(bytes) => std::fs::write(own.join("group.log"), bytes),
                    None => std::fs::remove_dir_all(own),
                };
            }
        }
    }
}
