//! The copies' part of the group's thread: between the owner's wishes, the links, and the state machine that decides.

use std::collections::{BTreeMap, BTreeSet};

use async_channel::Sender;
use plovershelf_cluster::wire::{decode, encode_payload};
use plovershelf_cluster::{NodeId as Id, View, ViewMember};
pub use plovershelf_replication::copies::Ending;
use plovershelf_replication::copies::{self, Copies, Message, Terms};
use plovershelf_replication::placement::{Holder, Ticket};

/// What the owner wants for one of its open invocations, by its number there.
pub enum Asked {
    /// It would be launched, for so long; and is remembered for so long after its end.
    Claim {
        id: u32,
        ticket: Ticket,
        within_ms: f64,
        window_ms: f64,
    },
    Ended {
        id: u32,
        ending: Ending,
    },
    /// It was given up; what was not launched is given back.
    GivenUp {
        id: u32,
    },
    /// It was to be launched and never was.
    NeverLaunched {
        id: u32,
    },
}

/// What the owner hears.
pub enum Told {
    Launch(u32),
    Ended(u32, Ending),
    Answer(u32, Ending),
    /// What there is to answer with if the due time comes before all copies have it.
    Enough(u32, Ending),
    Refuse(u32),
    /// All that this member held stands elsewhere, or its time for that is over.
    HandedOn,
}

/// Who holds copies is one start of one member's process: what was held is gone with it, though its folder may be kept.
fn holder_of(id: Id, life: u64) -> Id {
    let hash = (id.0 ^ life.rotate_left(29)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Id(hash ^ hash >> 31)
}

pub struct Copied {
    me: Id,
    /// Members of the view by the holders that they are.
    seats: BTreeMap<Id, Id>,
    copies: Copies,
    /// The owner's numbers by the copies' own, and the other way round.
    ids: BTreeMap<u64, u32>,
    numbers: BTreeMap<u32, u64>,
    told: Sender<Told>,
    /// Until when this member hands on what it holds, once it leaves.
    leaves_by: Option<f64>,
}

impl Copied {
    pub fn new(me: Id, life: u64, terms: Terms, told: Sender<Told>) -> Self {
        let me = holder_of(me, life);
        let copies = Copies::new(me, terms, super::now_ms());
        Copied {
            me,
            seats: BTreeMap::new(),
            copies,
            ids: BTreeMap::new(),
            numbers: BTreeMap::new(),
            told,
            leaves_by: None,
        }
    }

    pub fn next_at(&self) -> f64 {
        self.copies.next_at().min(self.leaves_by.unwrap_or(f64::INFINITY))
    }

    /// The member behind a holder of the view.
    pub fn member(&self, holder: Id) -> Option<Id> {
        self.seats.get(&holder).copied()
    }

    pub fn doubts(&mut self, now: f64, doubted: &BTreeSet<Id>) {
        let holders =
            self.seats.iter().filter(|(_, member)| doubted.contains(member)).map(|(holder, _)| *holder);
        self.copies.doubts(now, holders.collect());
    }

    /// This member leaves: what it holds is to stand elsewhere by then.
    pub fn leave(&mut self, now: f64, by: f64) {
        self.leaves_by.get_or_insert(by);
        self.copies.leave(now);
    }

    /// Once, when all was handed on or the time for it is over: what then stands nowhere else for certain.
    pub fn may_go(&mut self, now: f64) -> Option<usize> {
        let by = self.leaves_by?;
        let handed_on = self.copies.handed_on();
        if !handed_on && now < by {
            return None;
        }
        self.leaves_by = None;
        let _ = self.told.try_send(Told::HandedOn);
        Some(if handed_on { 0 } else { self.copies.held_count() + self.numbers.len() })
    }

    pub fn copies(&self) -> &Copies {
        &self.copies
    }

    pub fn tick(&mut self, now: f64) {
        self.copies.tick(now);
    }

    /// A member's machine is told by the host of its address where there are several hosts, else by its address. One that leaves
    /// has no weight: nothing new is given to it.
    pub fn view_is(&mut self, now: f64, view: &View) {
        let hosts: BTreeSet<_> = view.members.values().map(|seat| seat.address.ip()).collect();
        let holder = |(id, seat): (&Id, &ViewMember)| Holder {
            id: holder_of(*id, seat.boot_id),
            zone: seat.zone.clone(),
            machine: if hosts.len() > 1 { seat.address.ip().to_string() } else { seat.address.to_string() },
            weight: if seat.draining { 0.0 } else { 1.0 },
        };
        self.seats = view.members.iter().map(|(id, seat)| (holder_of(*id, seat.boot_id), *id)).collect();
        self.copies.view_is(now, view.number, view.members.iter().map(holder).collect());
    }

    pub fn hear(&mut self, now: f64, from: Id, to: Id, bytes: &[u8]) {
        if to != self.me {
            return;
        }
        if let Ok(message) = decode::<Message>(bytes) {
            self.copies.hear(now, from, message);
        }
    }

    pub fn asked(&mut self, now: f64, asked: Asked) {
        match asked {
            Asked::Claim { id, ticket, within_ms, window_ms } => {
                let number = self.copies.begin(now, ticket, now + within_ms, window_ms);
                self.ids.insert(number, id);
                self.numbers.insert(id, number);
            }
            Asked::Ended { id, ending } => {
                if let Some(number) = self.numbers.get(&id) {
                    self.copies.ended(now, *number, ending);
                }
            }
            Asked::GivenUp { id } => {
                if let Some(number) = self.numbers.get(&id) {
                    self.copies.given_up(now, *number);
                }
            }
            Asked::NeverLaunched { id } => {
                if let Some(number) = self.numbers.get(&id) {
                    self.copies.never_launched(now, *number);
                }
            }
        }
    }

    /// Tells the owner what it hears, and hands back what goes to others.
    pub fn take(&mut self) -> (Id, Vec<(Id, Vec<u8>)>) {
        let (send, out) = self.copies.take();
        for told in out {
            let (number, over) = match &told {
                copies::Told::Launch(number) => (*number, false),
                copies::Told::Ended(number, _)
                | copies::Told::Answer(number, _)
                | copies::Told::Refuse(number) => (*number, true),
                copies::Told::Enough(number, _) => (*number, false),
            };
            let Some(id) = self.ids.get(&number).copied() else { continue };
            if over {
                self.ids.remove(&number);
                self.numbers.remove(&id);
            }
            let told = match told {
                copies::Told::Launch(_) => Told::Launch(id),
                copies::Told::Ended(_, ending) => Told::Ended(id, ending),
                copies::Told::Answer(_, ending) => Told::Answer(id, ending),
                copies::Told::Enough(_, ending) => Told::Enough(id, ending),
                copies::Told::Refuse(_) => Told::Refuse(id),
            };
            // As many are under way at most as the owner has open.
            let _ = self.told.try_send(told);
        }
        let plain = |(to, message): (Id, Message)| (to, encode_payload(&message));
        (self.me, send.into_iter().map(plain).collect())
    }
}

#[cfg(test)]
mod tests;
