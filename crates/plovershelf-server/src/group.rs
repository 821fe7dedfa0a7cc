//! This backend's place in a group: a thread of its own with a listener, a link a peer and a folder, around the state
//! machine that decides. Nothing of it is on the owner's time, and where it ends the backend serves on as without a group.
//!
//! The ordinary path: a frame or a due time reaches the keeper, which asks the state machine, keeps what is to be kept, and
//! only then hands out what is to be said.

mod copied;
mod folder;
mod zoned;

pub use crate::links::now_ms;
pub use copied::{Asked, Told};
pub use zoned::Counted;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use plovershelf_cluster::council::Id;
use plovershelf_cluster::frames::{self, Wire};
use plovershelf_cluster::group::{Event, Group, Out, Start};
use plovershelf_cluster::members::About;
use plovershelf_cluster::status::{Answer, Brief, CopiesStatus, HeldStatus, Question, Status, TicketStatus};
use plovershelf_config::group::Group as Setup;
use plovershelf_failover::plan::BANDS;

use crate::config_distribution::{self, ConsensusState, KEY as CONFIG_KEY};
use crate::links::{self, Heard, Links};
use folder::Folder;

/// What the owner tells of itself without being asked: when it last went round, and whether it does its work.
#[derive(Default)]
pub struct Pulse {
    at_ms: AtomicU64,
    fit: AtomicU64,
    /// Bits of f64 figures: cores; work asked by bands; answers, and those in time.
    figures: [AtomicU64; 3 + BANDS],
}

impl Pulse {
    pub fn beat(&self, fit: bool) {
        self.at_ms.store(now_ms() as u64, Ordering::Relaxed);
        self.fit.store(u64::from(fit), Ordering::Relaxed);
    }

    /// What the owner has counted since its start; told by it alone.
    pub fn count(&self, cores: f64, counted: &zoned::Counted) {
        let figures = [cores, counted.answered, counted.in_time].into_iter().chain(counted.asked);
        for (place, figure) in self.figures.iter().zip(figures) {
            place.store(figure.to_bits(), Ordering::Relaxed);
        }
    }

    fn figure(&self, place: usize) -> f64 {
        f64::from_bits(self.figures[place].load(Ordering::Relaxed))
    }

    fn cores(&self) -> f64 {
        self.figure(0)
    }

    fn counted(&self) -> zoned::Counted {
        zoned::Counted {
            asked: std::array::from_fn(|band| self.figure(3 + band)),
            answered: self.figure(1),
            in_time: self.figure(2),
        }
    }

    /// It goes round at least once a second; so one that has not for longer is stuck.
    fn fit(&self) -> bool {
        self.fit.load(Ordering::Relaxed) != 0
            && now_ms() - self.at_ms.load(Ordering::Relaxed) as f64 <= STUCK_MS
    }
}

/// The owner goes round at least once a second.
const STUCK_MS: f64 = 2000.0;
const PULSE_EVERY_MS: f64 = 200.0;
/// What waits for the keeper; more is dropped, as a network drops.
const INBOX: usize = 1024;
/// A folder that took nothing is tried again after this.
const FOLDER_AGAIN_MS: f64 = 500.0;
const NOTES_A_SECOND: u32 = 10;

/// The wall clock; a test may tell the program that it is off.
fn wall_ms() -> u64 {
    let off = std::env::var("PLOVERSHELF_TEST_CLOCK_OFF_MS")
        .ok()
        .and_then(|off| off.parse::<f64>().ok())
        .unwrap_or(0.0);
    let since = std::time::SystemTime::UNIX_EPOCH.elapsed().map_or(0.0, |since| since.as_secs_f64() * 1000.0);
    (since + off).max(0.0) as u64
}

/// All that can happen to the keeper from outside.
pub enum Incoming {
    Heard(Heard),
    /// Please have this decided under the key of changes.
    Propose {
        number: u64,
        bytes: Vec<u8>,
    },
    /// What the owner wants of the copies.
    Asked(Asked),
    /// The notice to leave: what is held for others is to stand elsewhere within so long.
    Leave {
        within_ms: f64,
    },
    /// A word that the council is asked to agree on, for trials.
    Word {
        key: String,
        number: u64,
        bytes: Vec<u8>,
    },
}

impl From<Heard> for Incoming {
    fn from(heard: Heard) -> Self {
        Incoming::Heard(heard)
    }
}

/// Starts the group's thread. What the sender takes reaches it.
///
/// Errors: the listener or the folder can't be had, in one line.
pub fn start(
    setup: Setup,
    name: String,
    pulse: Arc<Pulse>,
    told: Option<Sender<Told>>,
) -> Result<Sender<Incoming>, String> {
    let listener = TcpListener::bind(setup.listen)
        .map_err(|error| format!("the group's listener on {}: {error}", setup.listen))?;
    let (folder, identity, kept) = Folder::open(&setup, &name, wall_ms())?;
    let about = About {
        id: identity.id,
        name: name.clone(),
        zone: setup.zone.clone(),
        region: setup.region.clone(),
        address: setup.listen,
        born: identity.born,
    };
    let start = Start {
        about,
        terms: setup.terms.clone(),
        seeds: setup.seeds.iter().copied().filter(|seed| *seed != setup.listen).collect(),
        founders: setup.council.clone(),
        kept,
        seed: crate::entropy::random_u64(),
    };
    let zoned =
        setup.zones.clone().map(|zones| zoned::Zoned::new(zones, &setup.zone, now_ms()).map(Box::new));
    let zoned = zoned.transpose()?;
    let (inbox, incoming) = async_channel::bounded(INBOX);
    let propose_to = inbox.clone();
    let propose = move |number, bytes| drop(propose_to.try_send(Incoming::Propose { number, bytes }));
    let carrier = |file| config_distribution::start_origin(&setup, file, name.clone(), Box::new(propose));
    let carrier = setup.changes.as_ref().map(carrier).transpose().map_err(|error| error.to_string())?;
    let own = inbox.clone();
    let run = move || {
        let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
        let listening = match Async::new(listener) {
            Ok(listener) => {
                links::accept(executor, listener, Rc::from(setup.name.as_str()), own, links::AMONG_MEMBERS)
            }
            Err(error) => return tracing::error!("the group ends: {error}"),
        };
        executor.spawn(listening).detach();
        let links = Links::new(executor, &setup.name, setup.ways.clone(), links::AMONG_MEMBERS, None);
        let group = Group::new(start, now_ms());
        let (own, life) = (group.about().id, group.members().me().life);
        let copies = setup.copies.clone().zip(told);
        let copies = copies.map(|(terms, told)| copied::Copied::new(own, life, terms, told));
        let zoned = zoned.map(|zones| *zones);
        let keeper = Keeper {
            carrier,
            word: ConsensusState::default(),
            copies,
            zoned,
            group,
            name: setup.name.clone(),
            folder,
            folder_again_at: None,
            links,
            pulse,
            pulse_at: 0.0,
            recovering: Vec::new(),
            notes: (0, 0),
        };
        async_io::block_on(executor.run(keeper.run(incoming)));
    };
    std::thread::Builder::new()
        .name("group".into())
        .spawn(run)
        .map_err(|error| format!("the group's thread: {error}"))?;
    Ok(inbox)
}

struct Keeper {
    group: Group,
    /// Where changes are carried from here: the carrier's queue, and what it was told last.
    carrier: Option<Sender<config_distribution::Input>>,
    word: ConsensusState,
    copies: Option<copied::Copied>,
    zoned: Option<zoned::Zoned>,
    name: String,
    folder: Option<Folder>,
    folder_again_at: Option<f64>,
    links: Links,
    pulse: Arc<Pulse>,
    pulse_at: f64,
    /// Who waits to hear what came of a recovery.
    recovering: Vec<Sender<Answer>>,
    notes: (u64, u32),
}

impl Keeper {
    async fn run(mut self, incoming: Receiver<Incoming>) {
        tracing::info!(event = "group_began", memory = %shown(self.group.about().id), listen = %self.group.about().address, "member of a group");
        loop {
            let wait_ms = (self.next_at() - now_ms()).clamp(0.0, 1000.0);
            let event = future::or(async { incoming.recv().await.ok() }, async {
                Timer::after(Duration::from_secs_f64(wait_ms / 1000.0)).await;
                None
            })
            .await;
            // The time first: one that stood still finds out before it hears or does anything else.
            self.tick();
            for event in event.into_iter().chain(std::iter::from_fn(|| incoming.try_recv().ok()).take(64)) {
                self.take(event);
            }
        }
    }

    fn next_at(&self) -> f64 {
        let copies = self.copies.as_ref().map_or(f64::INFINITY, copied::Copied::next_at);
        let zoned = self.zoned.as_ref().map_or(f64::INFINITY, zoned::Zoned::next_at);
        self.group
            .next_at()
            .min(copies)
            .min(zoned)
            .min(self.pulse_at)
            .min(self.folder_again_at.unwrap_or(f64::INFINITY))
    }

    fn tick(&mut self) {
        let now = now_ms();
        if self.pulse_at <= now {
            self.pulse_at = now + PULSE_EVERY_MS;
            self.group.fit(now, self.pulse.fit());
        }
        if self.folder_again_at.is_some_and(|at| at <= now) {
            self.try_folder(now);
        }
        if self.group.next_at() <= now {
            self.group.tick(now);
        }
        if let Some(copies) = self.copies.as_mut().filter(|copies| copies.next_at() <= now) {
            copies.tick(now);
        }
        self.plan_zones(now);
        self.carry_out();
        self.go_when_handed_on(now);
    }

    fn plan_zones(&mut self, now: f64) {
        let Some(zoned) = self.zoned.as_mut() else { return };
        let zoned::Due { say, propose } = zoned.tick(now, &self.pulse, &self.group);
        if let Some((leader, bytes)) = say {
            let seat = self.group.view().members.get(&leader).map(|seat| (seat.address, seat.name.clone()));
            if let Some((address, name)) = seat {
                let from = self.group.about().id;
                self.links.send(address, Some(&name), &Wire::Part { from, to: leader, bytes });
            }
        }
        if let Some((number, bytes)) = propose {
            self.group.propose(now, zoned::KEY, number, bytes);
        }
    }

    fn go_when_handed_on(&mut self, now: f64) {
        let Some(left) = self.copies.as_mut().and_then(|copies| copies.may_go(now)) else { return };
        if left == 0 {
            tracing::info!(event = "handed_on", "all that was held for others stands elsewhere");
        } else {
            tracing::warn!(
                event = "not_handed_on",
                tickets = left,
                "time is over before others had all that was held for them"
            );
        }
        self.group.leave(now);
        self.carry_out();
    }

    fn take(&mut self, event: Incoming) {
        let now = now_ms();
        match event {
            Incoming::Heard(Heard::Wire { wire, from_here, answer }) => match *wire {
                Wire::Say(envelope) => self.group.hear(now, envelope),
                Wire::Ask(question) => self.asked(question, from_here, answer),
                Wire::Answer(_) | Wire::Carried { .. } => {}
                Wire::Part { from, to, bytes } => {
                    let own = self.group.about().id;
                    if let Some(zoned) = self.zoned.as_mut().filter(|_| to == own) {
                        zoned.hear(now, from, &bytes);
                    } else if let Some(copies) = self.copies.as_mut() {
                        copies.hear(now, from, to, &bytes);
                    }
                }
            },
            Incoming::Heard(Heard::Odd(what)) => self.note(&what),
            Incoming::Propose { number, bytes } => drop(self.group.propose(now, CONFIG_KEY, number, bytes)),
            Incoming::Asked(asked) => {
                if let Some(copies) = self.copies.as_mut() {
                    copies.asked(now, asked);
                }
            }
            Incoming::Word { key, number, bytes } => drop(self.group.propose(now, &key, number, bytes)),
            // With copies it stays a member until what it holds stands elsewhere; without any it goes at once.
            Incoming::Leave { within_ms } => {
                if let Some(carrier) = self.carrier.take() {
                    let _ = carrier.try_send(config_distribution::Input::Shutdown);
                }
                match self.copies.as_mut() {
                    Some(copies) => {
                        copies.leave(now, now + within_ms);
                        self.group.drain(now);
                    }
                    None => self.group.leave(now),
                }
            }
        }
        self.carry_out();
    }

    /// Commands that change something are taken from this machine alone.
    fn asked(&mut self, question: Question, from_here: bool, answer: Sender<Answer>) {
        let now = now_ms();
        let told = match question {
            Question::Copies | Question::Ticket { .. } => self.told_of_copies(question),
            Question::Part { part, bytes } => match (self.zoned.as_mut(), frames::decode(&bytes)) {
                (Some(zoned), Ok(ask)) if part == zoned::KEY => {
                    Answer::Part(frames::plain(&zoned.asked(now, ask, from_here, &self.group)))
                }
                _ => Answer::Refused(format!("nothing here is asked of {part:?}")),
            },
            Question::Brief { names } => Answer::Brief(Box::new(Brief::of(&self.group, &names, now))),
            Question::Status => Answer::Status(Box::new(Status::of(&self.group, &self.name, now))),
            _ if !from_here => {
                Answer::Refused("such a command is taken on the member's own machine alone".into())
            }
            Question::Replace { voter } => match self.group.replace(now, &voter) {
                Ok(()) => Answer::Done(format!("{voter} is being replaced as a voter")),
                Err(why) => Answer::Refused(why),
            },
            Question::Recover { lost } => match self.group.recover(now, &lost) {
                Ok(()) => {
                    tracing::warn!(event = "recovery_began", lost = %lost.join(","), "a new council is asked for");
                    self.recovering.push(answer);
                    return;
                }
                Err(why) => Answer::Refused(why),
            },
        };
        let _ = answer.try_send(told);
    }

    fn told_of_copies(&self, question: Question) -> Answer {
        let Some(copied) = &self.copies else {
            return Answer::Refused("there are no copies here: group.ini has no section [copies]".into());
        };
        let (copies, view) = (copied.copies(), self.group.view());
        let name = |id: &Id| self.group.name_of(*id).unwrap_or_else(|| shown(*id));
        let holder = |id: &Id| copied.member(*id).map_or_else(|| shown(*id), |member| name(&member));
        let own = self.group.about().name.clone();
        if let Question::Ticket { offering, ticket } = question {
            let ticket = plovershelf_replication::placement::Ticket::of(&offering, ticket.as_bytes());
            let held = copies.look_up(ticket).map(|record| HeldStatus {
                runner: holder(&record.claim.runner),
                holders: record.holders.iter().map(holder).collect(),
                state: match &record.ending {
                    None => "open".into(),
                    Some(copied::Ending::Succeeded(result)) => format!("succeeded, {} bytes", result.len()),
                    Some(copied::Ending::Failed) => "failed".into(),
                    Some(copied::Ending::InDoubt) => "in doubt".into(),
                },
                claimed_under_view: record.order.0,
                keep_ms: record.keep_ms,
            });
            let placed = copies.placed(ticket).iter().map(holder).collect();
            let hash = format!("{:032x}", ticket.0);
            return Answer::Ticket(Box::new(TicketStatus {
                name: own,
                view: copies.view(),
                hash,
                placed,
                held,
            }));
        }
        let [asking, waiting, running, ending] = copies.own_counts();
        let terms = copies.terms();
        let leaving = view.members.values().filter(|seat| seat.leaving).map(|seat| seat.name.clone());
        Answer::Copies(Box::new(CopiesStatus {
            name: own,
            view: copies.view(),
            settled: copies.settled(),
            copies: terms.copies as u64,
            least: terms.least as u64,
            held: copies.held_count() as u64,
            held_most: terms.tickets as u64,
            held_bytes: copies.held_bytes() as u64,
            held_bytes_most: terms.bytes as u64,
            low: copies.low() as u64,
            asking,
            waiting,
            running,
            ending,
            doubted: self.group.doubted().iter().map(name).collect(),
            leaving: leaving.collect(),
        }))
    }

    /// Keeps first, then says.
    fn carry_out(&mut self) {
        let Out { save, mut send, events } = self.group.take();
        if !save.is_empty() {
            if let Some(folder) = self.folder.as_mut() {
                let kept = folder.append(&save, self.group.council().kept());
                if let Err(error) = kept {
                    if self.folder_again_at.is_none() {
                        tracing::error!(event = "folder_full", "the group's folder takes nothing: {error}; this member votes and confirms nothing until it does");
                    }
                    let now = now_ms();
                    self.group.keeps(now, false);
                    send.retain(|(_, envelope)| !envelope.say.rests_on_folder());
                    self.folder_again_at = Some(now + FOLDER_AGAIN_MS);
                }
            }
        }
        for (whereto, envelope) in send {
            let name = whereto.id.and_then(|id| self.group.name_of(id));
            self.links.send(whereto.address, name.as_deref(), &Wire::Say(envelope));
        }
        events.into_iter().for_each(|event| self.tell(event));
        if let Some(copies) = self.copies.as_mut() {
            copies.doubts(now_ms(), &self.group.doubted());
        }
        self.hand_out_copies();
        self.tell_carrier();
    }

    /// The council's word on changes, whichever way it came here. What its queue has no room for is told the next time.
    fn tell_carrier(&mut self) {
        let Some(carrier) = &self.carrier else { return };
        let leader = self.group.leader().and_then(|id| self.group.name_of(id));
        let word = self.group.word(CONFIG_KEY);
        let (epoch, number) = (self.group.council().era(), word.map_or(0, |word| word.number));
        let has_quorum = leader.is_some() && self.group.undecided_since().is_none();
        let told = &self.word;
        if (epoch, number, has_quorum) == (told.epoch, told.number, told.has_quorum) && leader == told.leader
        {
            return;
        }
        let entry = word.map_or_else(Vec::new, |word| word.bytes.clone());
        let word = ConsensusState { epoch, number, entry, leader, has_quorum };
        if carrier.try_send(config_distribution::Input::Consensus(word.clone())).is_ok() {
            self.word = ConsensusState { entry: Vec::new(), ..word };
        }
    }

    /// What the copies say goes by the links of the group, to whom the agreed view says.
    fn hand_out_copies(&mut self) {
        let Some(copies) = self.copies.as_mut() else { return };
        let (from, send) = copies.take();
        for (to, bytes) in send {
            let seat = copies.member(to).and_then(|member| self.group.view().members.get(&member));
            let seat = seat.map(|seat| (seat.address, seat.name.clone()));
            if let Some((address, name)) = seat {
                self.links.send(address, Some(&name), &Wire::Part { from, to, bytes });
            }
        }
    }

    fn heed_plan(&mut self) {
        if let (Some(zoned), Some(word)) = (self.zoned.as_mut(), self.group.word(zoned::KEY)) {
            zoned.agreed(now_ms(), word.number, &word.bytes);
        }
    }

    fn try_folder(&mut self, now: f64) {
        let Some(folder) = self.folder.as_mut() else { return };
        match folder.rewrite(self.group.council().kept()) {
            Ok(()) => {
                self.folder_again_at = None;
                tracing::info!(event = "folder_well", "the group's folder takes again what is kept");
                self.group.keeps(now, true);
            }
            Err(_) => self.folder_again_at = Some(now + FOLDER_AGAIN_MS),
        }
    }

    fn tell(&mut self, event: Event) {
        match event {
            Event::View(view) => {
                // What was decided may have come whole, with a plan in it.
                self.heed_plan();
                if let Some(copies) = self.copies.as_mut() {
                    copies.view_is(now_ms(), &view);
                }
                tracing::info!(
                    event = "view",
                    number = view.number,
                    members = view.members.len(),
                    "view {}",
                    view.number
                )
            }
            Event::Lease(Some(_)) => tracing::debug!(event = "lease", "may act"),
            Event::Lease(None) => tracing::info!(event = "no_lease", "may not act by the council's word"),
            Event::Leader(leader) => {
                let name = leader.and_then(|id| self.group.name_of(id)).unwrap_or_default();
                tracing::info!(event = "leader", name, "leader {name:?}")
            }
            Event::Word { key, number } => {
                tracing::debug!(event = "word", key, number, "agreed");
                self.heed_plan();
            }
            Event::Proposed { .. } => {}
            Event::Recovered(outcome) => {
                let answer = match &outcome {
                    Ok(number) => Answer::Done(format!("council {number} has begun")),
                    Err(why) => Answer::Refused(why.clone()),
                };
                tracing::warn!(event = "recovery_ended", "{answer:?}");
                self.recovering.drain(..).for_each(|waits| drop(waits.try_send(answer.clone())));
            }
            Event::Note(what) => self.note(&what),
        }
    }

    /// Bounded, as others' doing is behind it.
    fn note(&mut self, what: &str) {
        let second = (now_ms() / 1000.0) as u64;
        if self.notes.0 != second {
            self.notes = (second, 0);
        }
        self.notes.1 += 1;
        if self.notes.1 <= NOTES_A_SECOND {
            tracing::warn!(event = "group_note", "{what}");
        }
    }
}

fn shown(id: Id) -> String {
    format!("{:016x}", id.0)
}
