//! The copies' part of the group's thread: between the owner's wishes, the links, and the state machine that decides.

use std::collections::BTreeMap;

use async_channel::Sender;
use plovershelf_copies::copies::{self, Copies, Ending, Message, Terms};
use plovershelf_copies::placement::{Holder, Ticket};
use plovershelf_group::council::Id;
use plovershelf_group::decided::View;

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
    Refuse(u32),
}

pub struct Copied {
    copies: Copies,
    /// The owner's numbers by the copies' own, and the other way round.
    ids: BTreeMap<u64, u32>,
    numbers: BTreeMap<u32, u64>,
    told: Sender<Told>,
}

impl Copied {
    pub fn new(me: Id, terms: Terms, told: Sender<Told>) -> Self {
        let copies = Copies::new(me, terms, super::now_ms());
        Copied { copies, ids: BTreeMap::new(), numbers: BTreeMap::new(), told }
    }

    pub fn next_at(&self) -> f64 {
        self.copies.next_at()
    }

    pub fn tick(&mut self, now: f64) {
        self.copies.tick(now);
    }

    /// A member's machine is told by its address, its weight is one.
    pub fn view_is(&mut self, now: f64, view: &View) {
        let holder = |(id, seat): (&Id, &plovershelf_group::decided::Seat)| Holder {
            id: *id,
            zone: seat.zone.clone(),
            machine: seat.address.to_string(),
            weight: 1.0,
        };
        self.copies.view_is(now, view.number, view.members.iter().map(holder).collect());
    }

    pub fn hear(&mut self, now: f64, from: Id, bytes: &[u8]) {
        if let Ok(message) = plovershelf_group::frames::decode::<Message>(bytes) {
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
    pub fn take(&mut self) -> Vec<(Id, Vec<u8>)> {
        let (send, out) = self.copies.take();
        for told in out {
            let (number, over) = match &told {
                copies::Told::Launch(number) => (*number, false),
                copies::Told::Ended(number, _)
                | copies::Told::Answer(number, _)
                | copies::Told::Refuse(number) => (*number, true),
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
                copies::Told::Refuse(_) => Told::Refuse(id),
            };
            // As many are under way at most as the owner has open.
            let _ = self.told.try_send(told);
        }
        send.into_iter().map(|(to, message)| (to, plovershelf_group::frames::plain(&message))).collect()
    }
}
