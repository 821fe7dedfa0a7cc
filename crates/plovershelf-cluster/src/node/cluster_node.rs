//! One member of a group: membership and council joined, leases, views, voters that are replaced, and the way out when a
//! majority is gone.
//!
//! The ordinary path of a change: [`members`](crate::members) finds that one came or went; the council's leader sees that
//! the view differs from who is there ([`Group::look_after_view`]), waits until nobody put out can still act
//! ([`Group::may_go`]), and has the next view decided; all take it over from each other.
//!
//! What a member does by the council's word it does under a lease ([`Group::may_act`]): the leader grants one, for a short
//! span, to members of the view that it does not mean to put out, and only while no other can lead. The lease runs from when
//! it was asked for, on the asker's own clock, shortened by what clocks may drift; so one that stood still finds it
//! over when it wakes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use crate::broken::{self, Broken};
use crate::council::{self, Council, Entry, Id, Kept, Mark, Record, What, Whole};
use crate::decided::{Decided, Decision, Seat, View};
use crate::members::{self, About, Condition, Members, Whereto};

/// Major and minor of what members say to each other.
pub const VERSION: (u16, u16) = (3, 0);

/// Spans in milliseconds, counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub members: members::Terms,
    pub council: council::Terms,
    pub lease_ms: f64,
    /// Between two askings for a lease.
    pub renew_ms: f64,
    /// A difference between the view and who is there must last so long before a new view comes.
    pub settle_ms: f64,
    /// One that answers probes but does no work for so long is put out.
    pub unfit_ms: f64,
    /// A voter that is out of the view for so long is replaced.
    pub replace_ms: f64,
    /// Voters that there should be, odd.
    pub voters: usize,
    /// Without a tick for so long the process stood still.
    pub asleep_ms: f64,
    /// Between two askings for what was decided.
    pub want_ms: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            members: members::Terms::default(),
            council: council::Terms::default(),
            lease_ms: 800.0,
            renew_ms: 250.0,
            settle_ms: 200.0,
            unfit_ms: 1500.0,
            replace_ms: 5000.0,
            voters: 3,
            asleep_ms: 700.0,
            want_ms: 200.0,
        }
    }
}

/// What a member starts with.
#[derive(Clone, Debug)]
pub struct Start {
    pub about: About,
    pub terms: Terms,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Names of the first voters; the first of them founds the group once all are there and none knows of one.
    pub founders: Vec<String>,
    pub kept: Option<Kept<Decided>>,
    pub seed: u64,
}

/// How far one is: told along with probes, so that who lags asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heading {
    pub era: u64,
    pub decided: u64,
    pub term: u64,
    pub leader: Option<Id>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Say {
    Probe {
        message: members::Message,
        heading: Heading,
    },
    Council {
        era: u64,
        message: council::Message<Decided>,
    },
    /// Asks for what was decided after this.
    Want {
        era: u64,
        index: u64,
    },
    More {
        era: u64,
        before: Mark,
        entries: Vec<Entry<Decision>>,
    },
    All {
        era: u64,
        whole: Whole<Decided>,
    },
    AskLease {
        stamp: u64,
    },
    Lease {
        stamp: u64,
        era: u64,
        view: u64,
        span_ms: f64,
    },
    /// To the leader: please decide this. Answered by `Proposed`.
    Propose {
        nonce: u64,
        key: String,
        number: u64,
        bytes: Vec<u8>,
    },
    Proposed {
        nonce: u64,
        taken: bool,
    },
    /// For a new council without the lost: promises to follow no older one, and tells what this one keeps.
    Consent {
        era: u64,
    },
    Consented {
        era: u64,
        kept: Option<Box<Kept<Decided>>>,
        refused: Option<String>,
    },
}

impl Say {
    /// Whether it may leave only when what was to be kept before it is.
    pub fn rests_on_folder(&self) -> bool {
        matches!(self, Say::Council { .. } | Say::Consented { .. } | Say::Lease { .. })
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: Id,
    /// Where its sender is reached.
    pub at: SocketAddr,
    /// Whose memory it is for; another one at that address leaves it unread. None where that is not known yet.
    pub to: Option<Id>,
    pub say: Say,
}

/// What this process should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    View(View),
    /// Whether it may act, and by which view.
    Lease(Option<u64>),
    Leader(Option<Id>),
    /// A word was agreed on.
    Word {
        key: String,
        number: u64,
    },
    Proposed {
        nonce: u64,
        taken: bool,
    },
    Recovered(Result<u64, String>),
    Note(String),
}

/// What a call asks for; `save` stands in the folder before anything of `send` leaves.
#[derive(Clone, Debug, Default)]
pub struct Out {
    pub save: Vec<Record<Decided>>,
    pub send: Vec<(Whereto, Envelope)>,
    pub events: Vec<Event>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Lease {
    era: u64,
    view: u64,
    until: f64,
}

/// A recovery under way: who is lost, whose consent came, with what they keep.
#[derive(Clone, Debug)]
struct Recovery {
    era: u64,
    lost: BTreeSet<Id>,
    survivors: BTreeSet<Id>,
    consents: BTreeMap<Id, Kept<Decided>>,
    until: f64,
    ask_at: f64,
}

/// Council numbers: the upper bits count, the lower tell two of one number apart.
const ERA_BITS: u32 = 40;
const RECOVERY_MS: f64 = 5000.0;
/// A leader tells what was decided to so many at once; all others hear of it with probes.
const TELL_MOST: usize = 16;
const PROPOSALS_MOST: usize = 64;

pub fn era_number(era: u64) -> u64 {
    era >> ERA_BITS
}

fn era_of(number: u64, tag: u64) -> u64 {
    number << ERA_BITS | tag & ((1 << ERA_BITS) - 1)
}

#[derive(Clone, Debug)]
pub struct Group {
    about: About,
    terms: Terms,
    founders: Vec<String>,
    members: Members,
    council: Council<Decided>,
    headings: BTreeMap<Id, Heading>,
    /// The newest leader that headings of a council's number tell of, with its term.
    told_leader: (u64, Option<(u64, Id)>),
    lease: Option<Lease>,
    /// The last stamp that a lease was asked for with, and whether what this process may do was told.
    lease_told: Option<u64>,
    renew_at: f64,
    /// Of the leader: until when each may act.
    grants: BTreeMap<Id, f64>,
    /// Since when each differs from the view.
    differs: BTreeMap<Id, f64>,
    unfit_since: BTreeMap<Id, f64>,
    voter_out_since: BTreeMap<Id, f64>,
    newcomer: Option<(Id, f64)>,
    /// Voters that an operator wants replaced without waiting.
    replace_now: BTreeSet<Id>,
    want_at: f64,
    leader_told: Option<Id>,
    led_at: f64,
    recovery: Option<Recovery>,
    strangers: BTreeSet<u64>,
    leaving: bool,
    look_at: f64,
    ticked_at: f64,
    now: f64,
    chance: Pcg32,
    out: Out,
}

impl Group {
    pub fn new(start: Start, now: f64) -> Self {
        let Start { about, terms, seeds, founders, kept, seed } = start;
        let empty = Decided::default();
        let council = Council::new(about.id, terms.council, kept, empty, seed ^ 0x5bd1_e995, now);
        let members = Members::new(about.clone(), terms.members, seeds, seed ^ 0x9e37_79b9, now);
        Group {
            about,
            founders,
            members,
            council,
            headings: BTreeMap::new(),
            told_leader: (0, None),
            lease: None,
            lease_told: None,
            renew_at: now,
            grants: BTreeMap::new(),
            differs: BTreeMap::new(),
            unfit_since: BTreeMap::new(),
            voter_out_since: BTreeMap::new(),
            newcomer: None,
            replace_now: BTreeSet::new(),
            want_at: now,
            leader_told: None,
            led_at: f64::NEG_INFINITY,
            recovery: None,
            strangers: BTreeSet::new(),
            leaving: false,
            look_at: now,
            ticked_at: now,
            now,
            chance: Pcg32::seed_from_u64(seed),
            out: Out::default(),
            terms,
        }
    }

    // ---- what others may know ----------------------------------------------------------------------

    pub fn about(&self) -> &About {
        &self.about
    }
    pub fn members(&self) -> &Members {
        &self.members
    }
    pub fn council(&self) -> &Council<Decided> {
        &self.council
    }
    pub fn view(&self) -> &View {
        &self.council.state().view
    }
    pub fn word(&self, key: &str) -> Option<&crate::decided::Word> {
        self.council.state().words.get(key)
    }
    pub fn terms(&self) -> &Terms {
        &self.terms
    }
    /// Of the leader: members that differ from the view, and since when.
    pub fn differing(&self) -> &BTreeMap<Id, f64> {
        &self.differs
    }

    /// The number of the view by which this member may act now, or none: it belongs to it, and its lease is not over.
    pub fn may_act(&self, now: f64) -> Option<u64> {
        let view = self.view();
        if !view.members.contains_key(&self.about.id) || self.leaving {
            return None;
        }
        if broken::is(Broken::LeaseNotChecked) {
            return Some(view.number);
        }
        if self.waits_for().is_some() {
            return None;
        }
        if self.council.leads() {
            return (now < self.council.sure_until()).then_some(view.number);
        }
        let lease = self.lease.filter(|lease| now < lease.until && lease.era == self.council.era())?;
        // By the newer of the two: a lease given under a view holds for the later ones that this one has seen.
        Some(lease.view.max(view.number))
    }

    /// The leader, as far as it is known here.
    pub fn leader(&self) -> Option<Id> {
        let own = self.council.leader().map(|id| (self.council.term(), id));
        let era = self.council.era();
        let told = if self.told_leader.0 == era { self.told_leader.1 } else { self.leader_by_headings(era) };
        told.into_iter().chain(own).max_by_key(|(term, _)| *term).map(|(_, id)| id)
    }

    fn leader_by_headings(&self, era: u64) -> Option<(u64, Id)> {
        let told = self.headings.values().filter(|heading| heading.era == era);
        told.filter_map(|heading| Some((heading.term, heading.leader?))).max_by_key(|(term, _)| *term)
    }

    /// Headings are walked only where what they say of leaders changed, not with each message.
    fn heard_heading(&mut self, from: Id, heading: Heading) {
        let says = |heading: &Heading| (heading.era, heading.term, heading.leader);
        let before = self.headings.insert(from, heading);
        let full = self.headings.len() > self.terms.members.members;
        if full {
            self.headings.pop_first();
        }
        let era = self.council.era();
        if full || before.as_ref().map(says) != Some(says(&heading)) || self.told_leader.0 != era {
            self.told_leader = (era, self.leader_by_headings(era));
        }
    }

    /// Since when no leader's word has come here, where none has for longer than elections take.
    pub fn undecided_since(&self) -> Option<f64> {
        let late = self.terms.council.election_ms[1] * 3.0;
        (self.now - self.led_at > late).then_some(self.led_at)
    }

    pub fn next_at(&self) -> f64 {
        let own = self.look_at.min(self.members.next_at()).min(self.council.next_at()).min(self.renew_at);
        own.max(self.now + 1.0)
    }

    pub fn take(&mut self) -> Out {
        self.gather();
        std::mem::take(&mut self.out)
    }

    // ---- what happens to it ------------------------------------------------------------------------

    pub fn tick(&mut self, now: f64) {
        let stood_still = now - self.ticked_at > self.terms.asleep_ms;
        (self.now, self.ticked_at) = (now, now);
        if stood_still {
            self.members.awoke(now);
            self.note("stood still for a while; what seemed late meanwhile is asked again");
        }
        self.members.tick(now);
        self.council.tick(now);
        if self.renew_at <= now {
            self.renew_at = now + self.terms.renew_ms;
            self.renew();
        }
        if self.look_at <= now {
            self.look_at = now + 50.0;
            self.found();
            let gone = self.council.voters().iter().copied().filter(|id| self.is_replaced(*id)).collect();
            self.council.gone(now, gone);
            self.look_after_view();
            self.look_after_voters();
            self.go_on_recovering();
        }
        self.gather();
    }

    pub fn hear(&mut self, now: f64, envelope: Envelope) {
        self.now = self.now.max(now);
        let Envelope { from, at, to, say } = envelope;
        if to.is_some_and(|to| to != self.about.id) || from == self.about.id {
            return;
        }
        match say {
            Say::Probe { message, heading } => {
                self.heard_heading(from, heading);
                self.members.hear(now, from, at, message);
                self.compare(from, at, heading);
            }
            Say::Council { era, message } if era == self.council.era() && self.waits_for().is_none() => {
                if matches!(message, council::Message::Append { .. } | council::Message::Catch { .. }) {
                    self.led_at = now;
                }
                self.council.hear(now, from, message);
            }
            // One of an older council is told that there is a newer one.
            Say::Council { era, .. } if era < self.council.era() && era != 0 => self.tell_all(from, at),
            Say::Council { .. } => {}
            Say::Want { era, index } => self.wanted(from, at, era, index),
            Say::More { era, before, entries } => self.council.told_more(now, era, before, &entries),
            Say::All { era, whole } => {
                if self.may_adopt(era) {
                    self.council.told(now, era, &whole);
                }
            }
            Say::AskLease { stamp } => self.asked_for_lease(from, at, stamp),
            Say::Lease { stamp, era, view, span_ms } => self.granted(stamp, era, view, span_ms),
            Say::Propose { nonce, key, number, bytes } => {
                let taken = self.decide_word(&key, number, bytes).is_some();
                self.send(from, at, Say::Proposed { nonce, taken });
            }
            Say::Proposed { nonce, taken } => self.out.events.push(Event::Proposed { nonce, taken }),
            Say::Consent { era } => self.asked_for_consent(from, at, era),
            Say::Consented { era, kept, refused } => self.consented(from, era, kept, refused),
        }
        self.gather();
    }

    /// Whether this process does its work.
    pub fn fit(&mut self, now: f64, fit: bool) {
        self.now = self.now.max(now);
        self.members.fit(now, fit);
    }

    /// This member is about to go: the next view has it as leaving, so that nothing new is given to it while it hands on.
    pub fn drain(&mut self, now: f64) {
        self.now = self.now.max(now);
        self.members.leaving(now);
        self.gather();
    }

    /// Members of the view that may be gone, as far as this one hears.
    pub fn doubted(&self) -> BTreeSet<Id> {
        let gone = |id: &&Id| {
            let found = self.members.find(**id);
            found.is_some_and(|news| news.condition != Condition::Alive)
        };
        self.view().members.keys().filter(gone).copied().collect()
    }

    /// This member goes for good: it says so, and acts no longer.
    pub fn leave(&mut self, now: f64) {
        self.now = self.now.max(now);
        self.leaving = true;
        self.lease = None;
        self.members.leave(now);
        self.gather();
    }

    /// The folder takes nothing, or takes it again.
    pub fn keeps(&mut self, now: f64, well: bool) {
        self.now = self.now.max(now);
        if well {
            self.council.can_keep(now);
            return;
        }
        self.council.cannot_keep(now);
        self.out.save.clear();
        self.out.send.retain(|(_, envelope)| !envelope.say.rests_on_folder());
        self.lease = None;
    }

    /// Asks for a word under a key to be decided; `number` is one more than that of the word there is.
    pub fn propose(&mut self, now: f64, key: &str, number: u64, bytes: Vec<u8>) -> u64 {
        self.now = self.now.max(now);
        let nonce = self.chance.random();
        if self.council.leads() {
            let taken = self.decide_word(key, number, bytes).is_some();
            self.out.events.push(Event::Proposed { nonce, taken });
        } else if let Some((leader, at)) = self.leader().and_then(|id| Some((id, self.address_of(id)?))) {
            self.send(leader, at, Say::Propose { nonce, key: key.to_string(), number, bytes });
        } else {
            self.out.events.push(Event::Proposed { nonce, taken: false });
        }
        self.gather();
        nonce
    }

    fn decide_word(&mut self, key: &str, number: u64, bytes: Vec<u8>) -> Option<u64> {
        let before = self.word(key).map_or(0, |word| word.number);
        let waiting = self.council.kept().last().index - self.council.decided();
        let fits = bytes.len() <= crate::decided::WORD_BYTES_MOST && key.len() <= 64 && number > before;
        if !fits || waiting as usize > PROPOSALS_MOST {
            return None;
        }
        self.council.decide(self.now, What::Word(Decision::Word { key: key.to_string(), number, bytes }))
    }

    // ---- the beginning -----------------------------------------------------------------------------

    /// The first of the founders founds the group when all of them are there and none knows of one. Guards against two
    /// groups: the others never found, and one that comes back without its folder hears of the group from them.
    fn found(&mut self) {
        let first = self.founders.first() == Some(&self.about.name);
        if !first || self.council.era() != 0 || self.council.promised() != 0 {
            return;
        }
        let mut voters = BTreeSet::new();
        let mut seats = BTreeMap::new();
        for name in &self.founders {
            let blank = |id: Id| {
                self.headings.get(&id).is_some_and(|heading| heading.era == 0) || id == self.about.id
            };
            let found = self.members.alive().find(|news| news.about.name == *name && blank(news.about.id));
            let Some(news) = found else { return };
            voters.insert(news.about.id);
            seats.insert(news.about.id, seat(news));
        }
        if self.headings.values().any(|heading| heading.era != 0) {
            return;
        }
        let state = Decided { view: View { number: 1, members: seats }, ..Decided::default() };
        let era = era_of(1, self.chance.random::<u64>() | 1);
        self.note("founds the group");
        self.council.found(self.now, era, voters, state);
    }

    fn may_adopt(&mut self, era: u64) -> bool {
        let own = self.council.era();
        if era_number(era) == era_number(own) && era != own {
            if self.strangers.len() < 64 && self.strangers.insert(era) {
                self.note("met another group of this name with a council of the same number: it is no part of this one");
            }
            return false;
        }
        self.waits_for().is_none_or(|promised| era >= promised)
    }

    /// A later council that this one has promised to wait for.
    fn waits_for(&self) -> Option<u64> {
        Some(self.council.promised()).filter(|era| *era > self.council.era())
    }

    // ---- what was decided, carried along --------------------------------------------------------------

    fn heading(&self) -> Heading {
        Heading {
            era: self.council.era(),
            decided: self.council.decided(),
            term: self.council.term(),
            leader: self.council.leader(),
        }
    }

    /// Another is further: this one asks for what it lacks, unless its council's leader will bring it.
    fn compare(&mut self, from: Id, at: SocketAddr, heading: Heading) {
        let own = self.heading();
        let behind = (heading.era, heading.decided) > (own.era, own.decided);
        let by_leader = heading.era == own.era && !self.council.learns_from_all();
        if behind && !by_leader && self.want_at <= self.now && self.may_adopt(heading.era) {
            self.want_at = self.now + self.terms.want_ms;
            self.send(from, at, Say::Want { era: own.era, index: own.decided });
        }
    }

    fn wanted(&mut self, from: Id, at: SocketAddr, era: u64, index: u64) {
        let more = self.council.since(index).filter(|_| era == self.council.era());
        match more {
            Some((before, entries)) if !entries.is_empty() => {
                self.send(from, at, Say::More { era, before, entries })
            }
            Some(_) => {}
            None => self.tell_all(from, at),
        }
    }

    fn tell_all(&mut self, to: Id, at: SocketAddr) {
        let (era, whole) = (self.council.era(), self.council.whole());
        if era != 0 {
            self.send(to, at, Say::All { era, whole });
        }
    }

    // ---- leases ------------------------------------------------------------------------------------

    fn renew(&mut self) {
        if self.council.leads() || self.leaving || self.council.era() == 0 {
            return;
        }
        if let Some((leader, at)) = self.leader().and_then(|id| Some((id, self.address_of(id)?))) {
            let stamp = (self.now.max(0.0) * 1000.0) as u64;
            self.send(leader, at, Say::AskLease { stamp });
        }
    }

    fn asked_for_lease(&mut self, from: Id, at: SocketAddr, stamp: u64) {
        let belongs = self.view().members.contains_key(&from) && !self.differs.contains_key(&from);
        // A view without it may be on its way, and be agreed at any moment, though it is back meanwhile.
        let goes = self.council.undecided().any(|what| match what {
            What::Word(Decision::View { left, .. }) => left.contains(&from),
            _ => false,
        });
        if !self.council.leads() || !belongs || goes || self.now >= self.council.sure_until() {
            return;
        }
        let until = self.now + self.terms.lease_ms * (1.0 + 2.0 * self.terms.council.drift);
        self.grants.insert(from, until);
        let say = Say::Lease {
            stamp,
            era: self.council.era(),
            view: self.view().number,
            span_ms: self.terms.lease_ms,
        };
        self.send(from, at, say);
    }

    fn granted(&mut self, stamp: u64, era: u64, view: u64, span_ms: f64) {
        let asked_at = stamp as f64 / 1000.0;
        let span = span_ms.min(self.terms.lease_ms) * (1.0 - self.terms.council.drift);
        let until = asked_at + span;
        let longer = self.lease.is_none_or(|lease| until > lease.until || era != lease.era);
        if asked_at <= self.now && era == self.council.era() && longer && !self.leaving {
            self.lease = Some(Lease { era, view, until });
            self.led_at = self.now;
        }
    }

    // ---- views -------------------------------------------------------------------------------------

    /// Whether a member should belong: it lives and does its work, or was put out of mind for too short a time.
    fn wanted_in_view(&mut self, id: Id) -> bool {
        let Some(news) = self.members.find(id) else { return false };
        let (alive, fit) = (news.condition <= Condition::Suspected, news.fit);
        if fit || !alive {
            self.unfit_since.remove(&id);
            // Something of it came just now, whatever others say: it objects in a moment.
            let heard = self
                .members
                .heard_at(id)
                .is_some_and(|at| self.now - at < 2.0 * self.terms.members.period_ms);
            let left = self.members.find(id).is_some_and(|news| news.condition == Condition::Left);
            return alive || heard && !left && self.view().members.contains_key(&id);
        }
        let since = *self.unfit_since.entry(id).or_insert(self.now);
        self.now - since < self.terms.unfit_ms && self.view().members.contains_key(&id)
    }

    /// The leader holds the view against who is there and has the next one decided.
    fn look_after_view(&mut self) {
        if !self.council.leads() {
            self.differs.clear();
            self.grants.clear();
            self.unfit_since.clear();
            return;
        }
        let known: BTreeSet<Id> = self.members.alive().map(|news| news.about.id).collect();
        let in_view: BTreeSet<Id> = self.view().members.keys().copied().collect();
        let (mut joined, mut left) = (Vec::new(), Vec::new());
        let mut differs = BTreeMap::new();
        for id in known.union(&in_view) {
            let wanted = self.wanted_in_view(*id);
            if wanted == in_view.contains(id) {
                // That it is about to go, or was started anew, it says itself and never takes back: that needs no second look.
                let old = self.view().members.get(id).map(|seat| (seat.leaving, seat.life));
                let new = |news: &&members::News| old.is_some_and(|old| old != (news.leaving, news.life));
                if let Some(news) = self.members.find(*id).filter(new) {
                    joined.push((*id, seat(news)));
                }
                continue;
            }
            let since = self.differs.get(id).copied().unwrap_or(self.now);
            differs.insert(*id, since);
            if self.now - since < self.terms.settle_ms {
                continue;
            }
            if !wanted && self.may_go(*id) {
                left.push(*id);
            }
            if let Some(news) = self.members.find(*id).filter(|_| wanted) {
                joined.push((*id, seat(news)));
            }
        }
        self.differs = differs;
        let idle = self.council.kept().last().index == self.council.decided();
        let twice = broken::is(Broken::ViewNumberedTwice) && !joined.is_empty();
        if !(joined.is_empty() && left.is_empty()) && idle {
            let number = self.view().number + u64::from(!twice);
            self.council.decide(self.now, What::Word(Decision::View { number, joined, left }));
        }
    }

    /// Nobody is put out who may still act: neither by this leader's grant nor by one before it.
    fn may_go(&self, id: Id) -> bool {
        if broken::is(Broken::LeaseNotChecked) {
            return true;
        }
        let left = self.members.find(id).is_some_and(|news| news.condition == Condition::Left);
        let by_own = self.grants.get(&id).is_none_or(|until| *until < self.now);
        let longest = self.terms.lease_ms.max(self.terms.council.election_ms[0])
            * (1.0 + 2.0 * self.terms.council.drift);
        let by_older = self.council.led_since().is_some_and(|since| since + longest < self.now);
        left || by_own && by_older
    }

    // ---- voters ------------------------------------------------------------------------------------

    /// One change at a time: first one more is brought up and added, then a lost one leaves.
    fn look_after_voters(&mut self) {
        if !self.council.leads() {
            self.voter_out_since.clear();
            self.newcomer = None;
            return;
        }
        let voters = self.council.voters().clone();
        let view = self.view().clone();
        let mut lost = None;
        self.replace_now.retain(|id| voters.contains(id));
        for id in &voters {
            if view.members.contains_key(id) && !self.replace_now.contains(id) {
                self.voter_out_since.remove(id);
                continue;
            }
            let since = *self.voter_out_since.entry(*id).or_insert(self.now);
            // One whose name is back with another memory never comes again.
            let left = self.members.find(*id).is_some_and(|old| old.condition == Condition::Left);
            let for_good = left || self.is_replaced(*id);
            if for_good || self.replace_now.contains(id) || self.now - since >= self.terms.replace_ms {
                lost = lost.or(Some(*id));
            }
        }
        self.voter_out_since.retain(|id, _| voters.contains(id));
        let there = voters
            .iter()
            .filter(|id| view.members.contains_key(id) && !self.replace_now.contains(id))
            .count();
        let replaceable = voters.len() - usize::from(lost.is_some());
        let wants_more = there < self.terms.voters
            && replaceable < self.terms.voters
            && voters.len() <= council::VOTERS_MOST;
        match (self.newcomer, wants_more.then(|| self.best_newcomer(&view, &voters)).flatten()) {
            (Some((id, _)), Some(_)) if view.members.contains_key(&id) && !voters.contains(&id) => {
                let matched =
                    self.council.matched().into_iter().find(|(other, _)| *other == id).map_or(0, |(_, m)| m);
                if matched >= self.council.decided() {
                    let mut more = voters.clone();
                    more.insert(id);
                    if self.council.decide(self.now, What::Voters(more)).is_some() {
                        self.newcomer = None;
                        self.council.bring_up(None);
                    }
                }
            }
            (_, Some(best)) => {
                self.newcomer = Some((best, self.now));
                self.council.bring_up(Some(best));
            }
            (_, None) => {
                if self.newcomer.take().is_some() {
                    self.council.bring_up(None);
                }
                let fewer =
                    voters.len() > self.terms.voters || lost.is_some_and(|_| there >= self.terms.voters);
                let gone = lost.or_else(|| self.one_too_many(&view, &voters));
                if let Some(id) = gone.filter(|_| fewer && there > 0) {
                    let mut fewer = voters.clone();
                    fewer.remove(&id);
                    self.council.decide(self.now, What::Voters(fewer));
                }
            }
        }
    }

    /// Its name is back at its address with another memory: its own will never speak again.
    fn is_replaced(&self, id: Id) -> bool {
        let of_view = self.view().members.get(&id).map(|seat| (&seat.name, seat.address));
        let known = self.members.find(id).map(|old| (&old.about.name, old.about.address)).or(of_view);
        let replaced = known.is_some_and(|(name, address)| {
            self.members.alive_at(address).any(|n| n.about.name == *name && n.about.id != id)
        });
        // Or so it was agreed: it left a view, and its name came again with another memory.
        let decided = self.council.state();
        let left = decided.steps.iter().flat_map(|step| &step.left).find(|(left, _)| *left == id);
        replaced
            || left.is_some_and(|(_, name)| {
                !self.view().members.contains_key(&id)
                    && self.view().members.values().any(|seat| seat.name == *name)
            })
    }

    /// In the zone with fewest voters, the one that was here longest.
    fn best_newcomer(&self, view: &View, voters: &BTreeSet<Id>) -> Option<Id> {
        let in_zone = |zone: &str| {
            voters.iter().filter(|id| view.members.get(id).is_some_and(|seat| seat.zone == zone)).count()
        };
        let free = view.members.iter().filter(|(id, _)| {
            !voters.contains(id)
                && self
                    .members
                    .find(**id)
                    .is_some_and(|n| n.condition == Condition::Alive && n.fit && !n.leaving)
        });
        free.min_by_key(|(id, seat)| {
            let born = self.members.find(**id).map_or(0, |news| news.about.born);
            (in_zone(&seat.zone), born, **id)
        })
        .map(|(id, _)| *id)
    }

    fn one_too_many(&self, view: &View, voters: &BTreeSet<Id>) -> Option<Id> {
        let in_zone = |id: &Id| {
            let zone = view.members.get(id).map(|seat| &seat.zone);
            voters.iter().filter(|other| view.members.get(other).map(|seat| &seat.zone) == zone).count()
        };
        voters.iter().filter(|id| **id != self.about.id).max_by_key(|id| in_zone(id)).copied()
    }

    /// Has a voter replaced without waiting, where this member leads.
    ///
    /// Errors: why not, in one line.
    pub fn replace(&mut self, now: f64, name: &str) -> Result<(), String> {
        self.now = self.now.max(now);
        if !self.council.leads() {
            let leader = self.leader().and_then(|id| self.name_of(id));
            return Err(leader.map_or("no leader is known".into(), |name| {
                format!("{name} leads, not this member; ask there")
            }));
        }
        let id = self.council.voters().iter().copied().find(|id| self.name_of(*id).as_deref() == Some(name));
        let Some(id) = id else {
            let names: Vec<String> =
                self.council.voters().iter().filter_map(|id| self.name_of(*id)).collect();
            return Err(format!("{name:?} is no voter; {} are", names.join(", ")));
        };
        if id == self.about.id {
            return Err(format!("{name} leads; it can't replace itself"));
        }
        self.replace_now.insert(id);
        Ok(())
    }

    /// The name of a memory, as far as anything here tells it.
    pub fn name_of(&self, id: Id) -> Option<String> {
        let known = self.members.find(id).map(|news| &news.about.name);
        let seat = self.view().members.get(&id).map(|seat| &seat.name);
        let steps =
            || self.council.state().steps.iter().flat_map(|step| step.left.iter().chain(&step.joined));
        known.or(seat).or_else(|| steps().find(|(other, _)| *other == id).map(|(_, name)| name)).cloned()
    }

    // ---- a majority that is gone for good --------------------------------------------------------------

    /// Begins a new council without those that are named lost. All others of the last view must consent, each to one
    /// such council only; so two recoveries can't both come to an end with two outcomes.
    ///
    /// Errors: why it can't be begun, in one line.
    pub fn recover(&mut self, now: f64, lost: &[String]) -> Result<(), String> {
        self.now = self.now.max(now);
        if self.council.era() == 0 {
            return Err("this member knows of no council yet".into());
        }
        let view = self.view().clone();
        let mut ids = BTreeSet::new();
        for name in lost {
            let found: Vec<Id> =
                view.members.iter().filter(|(_, seat)| seat.name == *name).map(|(id, _)| *id).collect();
            if found.is_empty() {
                let names: Vec<&str> = view.members.values().map(|seat| seat.name.as_str()).collect();
                return Err(format!(
                    "{name:?} is not in view {}; in it are {}",
                    view.number,
                    names.join(", ")
                ));
            }
            ids.extend(found);
        }
        // Voters that are in no view any more are lost without being named.
        let voters = self.council.voters();
        ids.extend(voters.iter().filter(|id| !view.members.contains_key(id)));
        let left = voters.iter().filter(|id| !ids.contains(id)).count();
        if left > voters.len() / 2 && self.undecided_since().is_none() {
            return Err(format!(
                "{left} of {} voters are not named lost: they can decide by themselves",
                voters.len()
            ));
        }
        let survivors: BTreeSet<Id> = view.members.keys().copied().filter(|id| !ids.contains(id)).collect();
        if !survivors.contains(&self.about.id) {
            return Err("this member itself is named lost, or is not in the view".into());
        }
        let tag = ids
            .iter()
            .fold(0xcbf2_9ce4_8422_2325u64, |hash, id| (hash ^ id.0).wrapping_mul(0x0100_0000_01b3));
        // Above all that this one has heard of: what was asked for before and came to nothing is fenced off by it.
        let number = era_number(self.council.era().max(self.council.promised())) + 1;
        let era = era_of(number, tag >> 8 | 1);
        self.consent(era)?;
        let consents = BTreeMap::from([(self.about.id, self.council.kept().clone())]);
        self.recovery =
            Some(Recovery { era, lost: ids, survivors, consents, until: now + RECOVERY_MS, ask_at: now });
        self.go_on_recovering();
        self.gather();
        Ok(())
    }

    /// The one place where a promise to wait for a later council is given: never to an older one than promised before, nor
    /// to two of one number. So of two recoveries at once one at most comes to its end, and a later one builds on it.
    fn consent(&mut self, era: u64) -> Result<(), String> {
        let (number, promised) = (era_number(era), self.council.promised());
        let followed = era_number(self.council.era());
        if era != promised && number <= era_number(promised).max(followed) {
            let newest = era_number(promised).max(followed);
            return Err(format!("{} has consented to council {newest} already; ask again", self.about.name));
        }
        self.council.promise(era);
        self.lease = None;
        Ok(())
    }

    fn asked_for_consent(&mut self, from: Id, at: SocketAddr, era: u64) {
        let (kept, refused) = match self.consent(era) {
            Ok(()) => (Some(Box::new(self.council.kept().clone())), None),
            Err(why) => (None, Some(why)),
        };
        self.send(from, at, Say::Consented { era, kept, refused });
    }

    fn consented(&mut self, from: Id, era: u64, kept: Option<Box<Kept<Decided>>>, refused: Option<String>) {
        let Some(recovery) = self.recovery.as_mut().filter(|r| r.era == era && r.survivors.contains(&from))
        else {
            return;
        };
        if let Some(why) = refused {
            self.recovery = None;
            self.out.events.push(Event::Recovered(Err(why)));
            return;
        }
        recovery.consents.extend(kept.map(|kept| (from, *kept)));
        self.go_on_recovering();
    }

    fn go_on_recovering(&mut self) {
        let Some(recovery) = &mut self.recovery else { return };
        if recovery.consents.len() == recovery.survivors.len() {
            return self.recovered();
        }
        let missing: Vec<Id> =
            recovery.survivors.iter().copied().filter(|id| !recovery.consents.contains_key(id)).collect();
        let era = recovery.era;
        if recovery.until <= self.now {
            self.recovery = None;
            let view = self.view();
            let names: Vec<&str> =
                missing.iter().filter_map(|id| Some(view.members.get(id)?.name.as_str())).collect();
            let why =
                format!("no consent came from {}: name them lost too, or bring them back", names.join(", "));
            self.out.events.push(Event::Recovered(Err(why)));
            return;
        }
        if recovery.ask_at <= self.now {
            recovery.ask_at = self.now + self.terms.want_ms;
            for id in missing {
                if let Some(at) = self.address_of(id) {
                    self.send(id, at, Say::Consent { era });
                }
            }
        }
    }

    /// All have consented: what the furthest of them keeps is taken for decided, since it may have been. The outcome follows
    /// from the consents alone, whoever asks for it.
    fn recovered(&mut self) {
        let Some(recovery) = self.recovery.take() else { return };
        let furthest = recovery.consents.iter().max_by_key(|(id, kept)| (kept.era, kept.last(), **id));
        let Some((_, kept)) = furthest else { return };
        let mut state = kept.base.state.clone();
        for entry in &kept.log {
            if let What::Word(decision) = &entry.what {
                council::State::apply(&mut state, decision);
            }
        }
        let mut voters: BTreeSet<Id> = BTreeSet::new();
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        while voters.len() < self.terms.voters.min(recovery.survivors.len()) {
            let free = recovery.survivors.iter().filter(|id| !voters.contains(id));
            let zone = |id: &Id| state.view.members.get(id).map_or("", |seat| seat.zone.as_str());
            let Some(best) = free.min_by_key(|id| (zones.get(zone(id)).copied().unwrap_or(0), **id)) else {
                break;
            };
            *zones.entry(zone(best)).or_default() += 1;
            voters.insert(*best);
        }
        if voters.len().is_multiple_of(2) && voters.len() > 1 {
            voters.pop_last();
        }
        let last = kept.last();
        let at = Mark { term: last.term + 1, index: last.index + 1 };
        let left: Vec<Id> =
            state.view.members.keys().copied().filter(|id| recovery.lost.contains(id)).collect();
        let number = state.view.number + 1;
        council::State::apply(&mut state, &Decision::View { number, joined: Vec::new(), left });
        let whole = Whole { at, voters, voters_at: at.index, state };
        self.council.adopt(recovery.era, whole);
        let own = self.about.id;
        for id in recovery.survivors.iter().filter(|id| **id != own) {
            if let Some(at) = self.address_of(*id) {
                self.tell_all(*id, at);
            }
        }
        self.out.events.push(Event::Recovered(Ok(era_number(recovery.era))));
    }

    // ---- smaller things ----------------------------------------------------------------------------

    fn address_of(&self, id: Id) -> Option<SocketAddr> {
        let known = self.members.find(id).map(|news| news.about.address);
        known.or_else(|| self.view().members.get(&id).map(|seat| seat.address))
    }

    fn send(&mut self, to: Id, at: SocketAddr, say: Say) {
        let address = self.address_of(to).unwrap_or(at);
        let envelope = Envelope { from: self.about.id, at: self.about.address, to: Some(to), say };
        self.out.send.push((Whereto { id: Some(to), address }, envelope));
    }

    fn note(&mut self, what: &str) {
        self.out.events.push(Event::Note(what.to_string()));
    }

    /// Collects what the parts ask for, and tells what changed.
    fn gather(&mut self) {
        let effects = self.council.take_effects();
        self.out.save.extend(effects.save);
        let era = self.council.era();
        for (to, message) in effects.send {
            if let Some(at) = self.address_of(to) {
                self.send(to, at, Say::Council { era, message });
            }
        }
        let mut news = effects.caught_up;
        for (_, what) in effects.decided {
            match what {
                What::Word(Decision::View { .. }) => news = true,
                What::Word(Decision::Word { key, number, .. }) => {
                    self.out.events.push(Event::Word { key, number });
                    self.tell_on();
                }
                // A lost voter leaves as soon as the one in its place is in: with both of them one loss more would be one too many.
                What::Voters(_) => self.look_at = self.now,
                What::Begin => {}
            }
        }
        if news {
            self.out.events.push(Event::View(self.view().clone()));
            self.tell_on();
        }
        let heading = self.heading();
        let (probes, _) = self.members.take();
        for (whereto, message) in probes {
            let say = Say::Probe { message, heading };
            let envelope = Envelope { from: self.about.id, at: self.about.address, to: whereto.id, say };
            self.out.send.push((whereto, envelope));
        }
        let leader = self.leader();
        if leader != self.leader_told {
            self.leader_told = leader;
            self.out.events.push(Event::Leader(leader));
        }
        if self.council.leads() {
            self.led_at = self.now;
        }
        let may = self.may_act(self.now);
        if may != self.lease_told {
            self.lease_told = may;
            self.out.events.push(Event::Lease(may));
        }
    }

    /// The leader tells some others that there is something new, so that few have to wait for a probe.
    fn tell_on(&mut self) {
        if !self.council.leads() {
            return;
        }
        let voters = self.council.voters().clone();
        let others: Vec<Id> =
            self.view().members.keys().copied().filter(|id| !voters.contains(id)).take(TELL_MOST).collect();
        let Some((before, entries)) =
            self.council.decided().checked_sub(1).and_then(|at| self.council.since(at))
        else {
            return;
        };
        let era = self.council.era();
        for id in others {
            if let Some(at) = self.address_of(id) {
                self.send(id, at, Say::More { era, before, entries: entries.clone() });
            }
        }
    }
}

fn seat(news: &members::News) -> Seat {
    let about = &news.about;
    Seat {
        leaving: news.leaving,
        life: news.life,
        name: about.name.clone(),
        zone: about.zone.clone(),
        region: about.region.clone(),
        address: about.address,
    }
}
