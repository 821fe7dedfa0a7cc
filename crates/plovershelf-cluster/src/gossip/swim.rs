//! Membership: who is there, found out by probes and carried along with them.
//!
//! The ordinary path: every period one other is asked ([`Message::Ping`]) in a shuffled round; it answers, and both carry
//! a few pieces of news along. One that does not answer is asked through others; one that none of them reaches either is
//! suspected, and dead when it has not objected in time. From SWIM: the round, the way through others, news carried along,
//! suspicion that can be refuted by a higher stand. From Lifeguard: who fails to reach many doubts itself and waits longer,
//! and a suspicion that several share ends sooner.
//!
//! | condition | left by |
//! | --- | --- |
//! | `Alive` | no answer by any way: `Suspected`; its own word: `Left` |
//! | `Suspected` | its own word of a higher stand: `Alive`; the span of suspicion: `Dead` |
//! | `Dead` | its own word of a higher stand: `Alive`; forgotten after a while |
//! | `Left` | forgotten after a while |
//!
//! Three ways carry news, each for what the others are bad at. What changed is told at once to a few ([`Message::Tell`]), who
//! tell a few others: so a death is known within moments. It goes along with probes, least told first and what is no mere
//! life before all else: so it comes to those that the first way missed, also while hundreds join. And a member compares
//! sums with another one now and then ([`Message::Sums`]) and hands over the parts that differ: so one that joins has all
//! within moments, and what both other ways lost is put right. What came by the last way is not told on: guards against
//! hundreds of joins that all tell each other of for minutes, before which a death has to wait.
//!
//! News of one member are ordered by its stand, which it alone raises, then by condition, so that all come to hold the same.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use crate::council::Id;

/// What a member says of itself; it never changes while its memory lasts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    pub id: Id,
    pub name: String,
    pub zone: String,
    pub region: String,
    pub address: SocketAddr,
    /// When its memory was made, in Unix milliseconds: tells a namesake's newer memory from the older one.
    pub born: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Condition {
    Alive,
    Suspected,
    Dead,
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    pub about: About,
    /// Raised by the member itself, to refute what is said of it or to change what it says.
    pub stand: u32,
    /// It does its work, not only answers probes.
    pub fit: bool,
    /// It is about to go, and hands on what it holds.
    pub leaving: bool,
    /// Drawn at each start: what was held in the process alone is gone with the life before, though the folder is kept.
    pub life: u64,
    pub condition: Condition,
    /// Who suspects it first.
    pub by: Id,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    Ping {
        nonce: u64,
        news: Vec<News>,
    },
    Pong {
        nonce: u64,
        news: Vec<News>,
    },
    /// Please ask this one for me.
    Through {
        nonce: u64,
        target: Id,
        address: SocketAddr,
        news: Vec<News>,
    },
    /// It answered.
    Reached {
        nonce: u64,
        news: Vec<News>,
    },
    /// Something changed just now.
    Tell {
        news: Vec<News>,
    },
    /// Sums of what is known of the living, by parts: where they differ this asks for what the other knows, and, with
    /// `answer`, for its sums.
    Sums {
        sums: Vec<u32>,
        answer: bool,
    },
    /// What is known in parts whose sums differ.
    Part {
        news: Vec<News>,
    },
}

/// Spans in milliseconds, counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Between two probes.
    pub period_ms: f64,
    /// An answer is late after this; then others are asked to try.
    pub answer_ms: f64,
    pub through: usize,
    /// A suspicion that nobody shares lasts so long among ten members; one that three share this part of it.
    pub suspicion_ms: f64,
    pub shared_part: f64,
    /// How many times longer all of it may get while this member doubts itself.
    pub doubt_most: f64,
    /// Pieces of news in one message, members that are known at once.
    pub news: usize,
    pub members: usize,
    /// Between two comparisons with one of all members, and where much differed; members in one message.
    pub exchange_ms: f64,
    pub exchange_soon_ms: f64,
    pub exchange: usize,
    /// How many are told at once of what changed; between two such tellings.
    pub tell: usize,
    pub tell_ms: f64,
    /// Between two tries to reach one that is held for dead, or a seed.
    pub knock_ms: f64,
    pub forget_ms: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            period_ms: 300.0,
            answer_ms: 100.0,
            through: 3,
            suspicion_ms: 1000.0,
            shared_part: 0.5,
            doubt_most: 4.0,
            news: 6,
            members: 2000,
            exchange_ms: 5000.0,
            exchange_soon_ms: 500.0,
            exchange: 40,
            tell: 3,
            tell_ms: 200.0,
            knock_ms: 500.0,
            forget_ms: 600_000.0,
        }
    }
}

#[derive(Clone, Debug)]
struct Known {
    news: News,
    since: f64,
    /// Who else suspects it, as far as that matters.
    shared_by: BTreeSet<Id>,
    /// Until it was first heard from here, its liveness is hearsay.
    heard_at: f64,
}

#[derive(Clone, Debug)]
struct Probe {
    target: Id,
    began: f64,
    /// Others have been asked; it is only asked for another, who waits for this nonce.
    through: bool,
    on_behalf: Option<(Id, u64)>,
}

/// A change that others in this process want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub id: Id,
    pub condition: Condition,
}

/// To whom: the memory that is meant, where it is known, at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Whereto {
    pub id: Option<Id>,
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
pub struct Members {
    me: News,
    terms: Terms,
    table: BTreeMap<Id, Known>,
    /// The same by address, and those of it that are not simply alive: what is done often walks few of the table.
    places: BTreeSet<(SocketAddr, Id)>,
    ailing: BTreeSet<Id>,
    round: Vec<Id>,
    probes: BTreeMap<u64, Probe>,
    /// News under way, with how often each was told.
    rumours: BTreeMap<Id, u32>,
    seeds: Vec<SocketAddr>,
    probe_at: f64,
    exchange_at: f64,
    knock_at: f64,
    /// When others are told of what changed, where something did; and when they were last.
    tell_at: f64,
    told_at: f64,
    /// Orders news that was told as often, differently at each member: else all tell the same few first.
    salt: u64,
    /// 0 while probes are answered; each that is not adds one.
    doubt: f64,
    chance: Pcg32,
    send: Vec<(Whereto, Message)>,
    changes: Vec<Change>,
    now: f64,
}

/// Suspicions that are shared by so many more are as sure as they get.
const SHARED_MOST: usize = 3;
/// Probes out at once, own and others'.
const PROBES_MOST: usize = 256;
/// Parts that sums are formed of, and messages that answer one comparison: with some left the next one brings them.
const PARTS: usize = 64;
const PART_MESSAGES_MOST: usize = 8;
/// Where more parts differ the next comparison follows soon, as it does while they bring members that were not known.
const DIFFER_MUCH: usize = PARTS / 4;

impl Members {
    pub fn new(about: About, terms: Terms, seeds: Vec<SocketAddr>, seed: u64, now: f64) -> Self {
        let by = about.id;
        let mut chance = Pcg32::seed_from_u64(seed);
        let mut me =
            News { about, stand: 1, fit: true, leaving: false, life: 0, condition: Condition::Alive, by };
        let first = chance.random::<f64>();
        me.life = chance.random();
        let salt = me.life | 1;
        Members {
            me,
            terms,
            table: BTreeMap::new(),
            places: BTreeSet::new(),
            ailing: BTreeSet::new(),
            round: Vec::new(),
            probes: BTreeMap::new(),
            rumours: BTreeMap::new(),
            seeds,
            probe_at: now + terms.period_ms * first,
            exchange_at: now + terms.exchange_ms * first,
            knock_at: now,
            tell_at: f64::INFINITY,
            told_at: f64::NEG_INFINITY,
            salt,
            doubt: 0.0,
            chance,
            send: Vec::new(),
            changes: Vec::new(),
            now,
        }
    }

    pub fn me(&self) -> &News {
        &self.me
    }

    /// All others that are known, the dead among them.
    pub fn others(&self) -> impl Iterator<Item = (&News, f64)> {
        self.table.values().map(|known| (&known.news, known.since))
    }

    pub fn find(&self, id: Id) -> Option<&News> {
        if id == self.me.about.id {
            return Some(&self.me);
        }
        self.table.get(&id).map(|known| &known.news)
    }

    /// When it last changed its condition here.
    pub fn since(&self, id: Id) -> Option<f64> {
        self.table.get(&id).map(|known| known.since)
    }

    /// When something of it last came here by itself.
    pub fn heard_at(&self, id: Id) -> Option<f64> {
        self.table.get(&id).map(|known| known.heard_at)
    }

    pub fn alive(&self) -> impl Iterator<Item = &News> {
        let others = self.table.values().map(|known| &known.news);
        std::iter::once(&self.me).chain(others).filter(|news| news.condition <= Condition::Suspected)
    }

    /// Those alive at an address.
    pub fn alive_at(&self, address: SocketAddr) -> impl Iterator<Item = &News> {
        let there = self.places.range((address, Id(0))..=(address, Id(u64::MAX)));
        let others = there.filter_map(|(_, id)| self.table.get(id).map(|known| &known.news));
        let own = Some(&self.me).filter(|me| me.about.address == address);
        own.into_iter().chain(others).filter(|news| news.condition <= Condition::Suspected)
    }

    fn ailing(&self) -> impl Iterator<Item = &Known> {
        self.ailing.iter().filter_map(|id| self.table.get(id))
    }

    pub fn doubt(&self) -> f64 {
        self.doubt
    }

    /// Pieces of news that this one still tells on.
    pub fn rumours(&self) -> usize {
        self.rumours.len()
    }

    pub fn next_at(&self) -> f64 {
        let answers = self
            .probes
            .values()
            .map(|probe| probe.began + self.terms.answer_ms)
            .fold(f64::INFINITY, f64::min);
        let own = self.probe_at.min(self.exchange_at).min(self.knock_at).min(self.tell_at);
        own.min(answers.max(self.now + 1.0))
    }

    pub fn take(&mut self) -> (Vec<(Whereto, Message)>, Vec<Change>) {
        (std::mem::take(&mut self.send), std::mem::take(&mut self.changes))
    }

    // ---- what happens to it ------------------------------------------------------------------------

    pub fn tick(&mut self, now: f64) {
        self.now = now;
        self.late_answers();
        self.suspicions();
        if self.probe_at <= now {
            self.probe_at = (self.probe_at + self.terms.period_ms * (1.0 + self.doubt / 2.0)).max(now + 1.0);
            self.probe_next();
        }
        if self.knock_at <= now {
            self.knock_at = now + self.terms.knock_ms;
            self.knock();
        }
        if self.exchange_at <= now {
            self.exchange_at = now + self.terms.exchange_ms * (0.5 + self.chance.random::<f64>());
            self.exchange();
        }
        if self.tell_at <= now {
            (self.tell_at, self.told_at) = (f64::INFINITY, now);
            self.tell();
        }
    }

    /// The process stood still: what seemed late was not, and those whose time ran out meanwhile get it anew.
    pub fn awoke(&mut self, now: f64) {
        self.now = now;
        self.probes.clear();
        for known in self.table.values_mut().filter(|known| known.news.condition == Condition::Suspected) {
            known.since = now;
        }
        self.doubt = self.terms.doubt_most - 1.0;
        self.probe_at = now;
    }

    /// Whether this member does its work.
    pub fn fit(&mut self, now: f64, fit: bool) {
        self.now = now;
        if self.me.fit != fit {
            self.me.fit = fit;
            self.speak_up(self.me.stand);
        }
    }

    /// This member is about to go; it stays until [`Members::leave`].
    pub fn leaving(&mut self, now: f64) {
        self.now = now;
        if !self.me.leaving {
            self.me.leaving = true;
            self.speak_up(self.me.stand);
            self.tell_some();
        }
    }

    /// This member goes, and says so to some.
    pub fn leave(&mut self, now: f64) {
        self.now = now;
        self.me.condition = Condition::Left;
        self.me.stand += 1;
        self.rumours.insert(self.me.about.id, 0);
        self.tell_some();
    }

    /// Some hear of this one at once, not only with its next probes.
    fn tell_some(&mut self) {
        let mut others: Vec<Whereto> = self.alive_others();
        others.shuffle(&mut self.chance);
        for whereto in others.into_iter().take(8) {
            let news = vec![self.me.clone()];
            self.send.push((whereto, Message::Tell { news }));
        }
    }

    /// What changed goes to a few others; they do the same, so it is everywhere after a few such steps.
    fn tell(&mut self) {
        let mut others = self.alive_others();
        let (few, _) = others.partial_shuffle(&mut self.chance, self.terms.tell);
        for whereto in few.iter().copied() {
            let news = self.news_for(whereto.id);
            self.send.push((whereto, Message::Tell { news }));
        }
    }

    /// Others hear of a change soon; of many in a row together, so that a zone that dies is no flood.
    fn tell_soon(&mut self) {
        self.tell_at = self.tell_at.min((self.told_at + self.terms.tell_ms).max(self.now));
    }

    /// A sender that is not known says nothing by itself; it is asked for what it is.
    pub fn hear(&mut self, now: f64, from: Id, at: SocketAddr, message: Message) {
        self.now = now;
        if from == self.me.about.id || self.me.condition == Condition::Left {
            return;
        }
        if let Some(known) = self.table.get_mut(&from) {
            known.heard_at = now;
        }
        let back = Whereto { id: Some(from), address: self.address_of(from).unwrap_or(at) };
        match message {
            Message::Ping { nonce, news } => {
                self.learn_all(news);
                // One that is held for dead, or is unknown, hears so and can object.
                let told = self.news_for(Some(from));
                self.send.push((back, Message::Pong { nonce, news: told }));
            }
            Message::Pong { nonce, news } => {
                self.learn_all(news);
                self.answered(nonce, from);
            }
            Message::Through { nonce, target, address, news } => {
                self.learn_all(news);
                if self.probes.len() < PROBES_MOST {
                    self.ping(Whereto { id: Some(target), address }, Some(target), Some((from, nonce)));
                }
            }
            Message::Reached { nonce, news } => {
                self.learn_all(news);
                self.answered_through(nonce);
            }
            Message::Tell { news } => self.learn_all(news),
            Message::Sums { sums, answer } => self.compare(back, &sums, answer),
            Message::Part { news } => {
                let before = self.table.len();
                news.into_iter().take(self.terms.exchange).for_each(|news| self.learn(news, false));
                if self.table.len() > before {
                    self.exchange_soon();
                }
            }
        }
    }

    // ---- probes ------------------------------------------------------------------------------------

    fn probe_next(&mut self) {
        for _ in 0..2 {
            while let Some(id) = self.round.pop() {
                let Some(known) = self.table.get(&id) else { continue };
                if known.news.condition <= Condition::Suspected {
                    let address = known.news.about.address;
                    return self.ping(Whereto { id: Some(id), address }, Some(id), None);
                }
            }
            self.round = self.table.keys().copied().collect();
            self.round.shuffle(&mut self.chance);
        }
    }

    fn ping(&mut self, whereto: Whereto, target: Option<Id>, on_behalf: Option<(Id, u64)>) {
        let nonce = self.chance.random();
        if let Some(target) = target {
            let probe = Probe { target, began: self.now, through: false, on_behalf };
            self.probes.insert(nonce, probe);
        }
        let news = self.news_for(target);
        self.send.push((whereto, Message::Ping { nonce, news }));
    }

    fn answered(&mut self, nonce: u64, from: Id) {
        let Some(probe) = self.probes.remove(&nonce).filter(|probe| probe.target == from) else { return };
        match probe.on_behalf {
            Some((asker, nonce)) => {
                let Some(address) = self.address_of(asker) else { return };
                let news = self.news_for(Some(asker));
                self.send.push((Whereto { id: Some(asker), address }, Message::Reached { nonce, news }));
            }
            None => self.doubt = (self.doubt - 1.0).max(0.0),
        }
    }

    fn answered_through(&mut self, nonce: u64) {
        // The others reach it: then it is the way from here that is bad, or this member that is slow.
        if self.probes.remove(&nonce).is_some() {
            self.doubt = (self.doubt - 0.5).max(0.0);
        }
    }

    fn late_answers(&mut self) {
        let stretch = 1.0 + self.doubt / 2.0;
        let (answer, whole) = (self.terms.answer_ms * stretch, self.terms.period_ms * stretch);
        let mut late: Vec<u64> = Vec::new();
        let mut ask: Vec<(u64, Id)> = Vec::new();
        for (nonce, probe) in &mut self.probes {
            if self.now >= probe.began + whole {
                late.push(*nonce);
            } else if self.now >= probe.began + answer && !probe.through && probe.on_behalf.is_none() {
                probe.through = true;
                ask.push((*nonce, probe.target));
            }
        }
        for (nonce, target) in ask {
            let Some(address) = self.address_of(target) else { continue };
            let mut others: Vec<Whereto> = self.alive_others();
            others.retain(|other| other.id != Some(target));
            others.shuffle(&mut self.chance);
            for other in others.into_iter().take(self.terms.through) {
                let news = self.news_for(other.id);
                self.send.push((other, Message::Through { nonce, target, address, news }));
            }
        }
        for nonce in late {
            let Some(probe) = self.probes.remove(&nonce).filter(|probe| probe.on_behalf.is_none()) else {
                continue;
            };
            self.doubt = (self.doubt + 1.0).min(self.terms.doubt_most - 1.0);
            if let Some(known) =
                self.table.get(&probe.target).filter(|k| k.news.condition <= Condition::Suspected)
            {
                let by = self.me.about.id;
                let news = News { condition: Condition::Suspected, by, ..known.news.clone() };
                self.learn(news, true);
            }
        }
    }

    /// Suspicions whose span is over become deaths. The span grows with the members, as news takes longer to reach all,
    /// and shrinks with those that share it.
    fn suspicions(&mut self) {
        let members = self.table.len() as f64 + 1.0;
        let longest = self.terms.suspicion_ms * members.log10().max(1.0) * (1.0 + self.doubt / 2.0);
        let shortest = longest * self.terms.shared_part;
        let over: Vec<News> = self
            .ailing()
            .filter(|known| {
                let shared = known.shared_by.len().saturating_sub(1).min(SHARED_MOST) as f64;
                let part = (shared + 1.0).ln() / (SHARED_MOST as f64 + 1.0).ln();
                known.news.condition == Condition::Suspected
                    && self.now >= known.since + longest - (longest - shortest) * part
            })
            .map(|known| known.news.clone())
            .collect();
        for news in over {
            self.learn(News { condition: Condition::Dead, by: self.me.about.id, ..news }, true);
        }
        let forget = self.now - self.terms.forget_ms;
        let old = |known: &&Known| known.news.condition > Condition::Suspected && known.since <= forget;
        let forgotten: Vec<(SocketAddr, Id)> =
            self.ailing().filter(old).map(|known| (known.news.about.address, known.news.about.id)).collect();
        for (address, id) in forgotten {
            self.table.remove(&id);
            self.places.remove(&(address, id));
            self.ailing.remove(&id);
        }
    }

    /// Tries one that is held for dead, or a seed that is not known: so halves that were cut apart find each other.
    fn knock(&mut self) {
        let known = |address: SocketAddr| self.alive_at(address).next().is_some();
        let dead = self.ailing().filter(|known| known.news.condition == Condition::Dead);
        let mut places: Vec<Whereto> = dead
            .map(|known| Whereto { id: Some(known.news.about.id), address: known.news.about.address })
            .filter(|place| !known(place.address))
            .collect();
        let seeds = self.seeds.iter().filter(|seed| !known(**seed));
        places.extend(seeds.map(|seed| Whereto { id: None, address: *seed }));
        let Some(place) = places.get(self.chance.random_range(0..places.len().max(1))) else { return };
        self.ping(*place, None, None);
        if self.alive().nth(1).is_none() {
            // Alone, every seed is tried.
            places.clone().into_iter().for_each(|place| self.ping(Whereto { id: None, ..place }, None, None));
        }
    }

    fn exchange(&mut self) {
        let others = self.alive_others();
        let Some(other) = others.get(self.chance.random_range(0..others.len().max(1))) else { return };
        let sums = self.sums().to_vec();
        self.send.push((*other, Message::Sums { sums, answer: true }));
    }

    fn exchange_soon(&mut self) {
        let soon = self.terms.exchange_soon_ms * (0.5 + self.chance.random::<f64>());
        self.exchange_at = self.exchange_at.min(self.now + soon);
    }

    /// Of the living alone: the dead are forgotten at different times, and one that joins never hears of them.
    fn sums(&self) -> [u32; PARTS] {
        let mut sums = [0u32; PARTS];
        for news in self.alive() {
            let said = u64::from(news.stand) << 3 | (news.condition as u64) << 1 | u64::from(news.fit);
            let sum = &mut sums[part_of(news.about.id)];
            *sum = sum.wrapping_add(mixed(news.about.id.0 ^ mixed(said ^ news.life)) as u32);
        }
        sums
    }

    /// Hands over what differs, as far as a few messages hold it, beginning anywhere: of several that are asked each tells
    /// something else.
    fn compare(&mut self, back: Whereto, sums: &[u32], answer: bool) {
        let own = self.sums();
        if sums.len() != PARTS || sums == own {
            return;
        }
        let differ: Vec<bool> = own.iter().zip(sums).map(|(own, other)| own != other).collect();
        if differ.iter().filter(|differs| **differs).count() > DIFFER_MUCH {
            self.exchange_soon();
        }
        let known = self.table.values().map(|known| &known.news).chain([&self.me]);
        let mut told: Vec<&News> = known.filter(|news| differ[part_of(news.about.id)]).collect();
        let most = self.terms.exchange * PART_MESSAGES_MOST;
        let (some, _) = told.partial_shuffle(&mut self.chance, most);
        let parts = some.chunks(self.terms.exchange.max(1));
        let parts: Vec<Vec<News>> = parts.map(|part| part.iter().copied().cloned().collect()).collect();
        self.send.extend(parts.into_iter().map(|news| (back, Message::Part { news })));
        if answer {
            self.send.push((back, Message::Sums { sums: own.to_vec(), answer: false }));
        }
    }

    // ---- news --------------------------------------------------------------------------------------

    fn alive_others(&self) -> Vec<Whereto> {
        let alive = self.table.values().filter(|known| known.news.condition <= Condition::Suspected);
        alive
            .map(|known| Whereto { id: Some(known.news.about.id), address: known.news.about.address })
            .collect()
    }

    fn address_of(&self, id: Id) -> Option<SocketAddr> {
        self.table.get(&id).map(|known| known.news.about.address)
    }

    /// How often a piece of news is told; that one lives a third as often, as comparisons bring that too.
    fn times(&self, alive: bool) -> u32 {
        let once = (self.table.len() as f64 + 2.0).log2().ceil() as u32;
        if alive {
            once
        } else {
            3 * once
        }
    }

    /// What goes along: who this is, what is said of the one that it goes to, then what was told least.
    fn news_for(&mut self, whom: Option<Id>) -> Vec<News> {
        let mut told = Vec::with_capacity(self.terms.news + 2);
        told.push(self.me.clone());
        let of_it =
            whom.and_then(|id| self.table.get(&id)).filter(|known| known.news.condition != Condition::Alive);
        told.extend(of_it.map(|known| known.news.clone()));
        // What is no mere life goes first: a death does not wait for hundreds that join.
        let order = |(id, times): (&Id, &u32)| {
            let alive = self.table.get(id).is_none_or(|known| known.news.condition == Condition::Alive);
            (alive, *times, mixed(id.0 ^ self.salt), *id)
        };
        let mut least: Vec<(bool, u32, u64, Id)> = self.rumours.iter().map(order).collect();
        if least.len() > self.terms.news {
            least.select_nth_unstable(self.terms.news);
            least.truncate(self.terms.news);
        }
        least.sort_unstable();
        for (alive, times, _, id) in least {
            if id != self.me.about.id && Some(id) != whom {
                told.extend(self.table.get(&id).map(|known| known.news.clone()));
            }
            if times + 1 >= self.times(alive) {
                self.rumours.remove(&id);
            } else {
                self.rumours.insert(id, times + 1);
            }
        }
        told
    }

    fn learn_all(&mut self, news: Vec<News>) {
        let most = self.terms.exchange + self.terms.news + 2;
        news.into_iter().take(most).for_each(|news| self.learn(news, true));
    }

    /// Takes in one piece of news, and tells it on where that is asked for or its condition is news. The one place where a
    /// condition changes.
    fn learn(&mut self, news: News, mut tell_on: bool) {
        let id = news.about.id;
        let alive = news.condition == Condition::Alive;
        if id == self.me.about.id {
            // What is said of this one and does not fit is refuted.
            let fits = news.condition == Condition::Alive && news.life == self.me.life;
            if !fits && news.stand >= self.me.stand && self.me.condition != Condition::Left {
                self.speak_up(news.stand);
            }
            return;
        }
        match self.table.get_mut(&id) {
            Some(known) => {
                let (old, new) = ((known.news.stand, known.news.condition), (news.stand, news.condition));
                if new == old && news.condition == Condition::Suspected && known.shared_by.insert(news.by) {
                    // One more that suspects it: worth telling on, as it ends the suspicion sooner.
                    if known.shared_by.len() <= SHARED_MOST {
                        known.news.by = news.by;
                        self.rumours.insert(id, 0);
                    }
                }
                if new <= old {
                    return;
                }
                let condition_changes = known.news.condition != news.condition;
                known.shared_by = sharing(&news);
                known.since = if condition_changes { self.now } else { known.since };
                let condition = news.condition;
                if known.news.about.address != news.about.address {
                    self.places.remove(&(known.news.about.address, id));
                    self.places.insert((news.about.address, id));
                }
                if condition == Condition::Alive {
                    self.ailing.remove(&id);
                } else {
                    self.ailing.insert(id);
                }
                known.news = news;
                if condition_changes {
                    tell_on = true;
                    self.changes.push(Change { id, condition });
                    self.tell_soon();
                }
            }
            None => {
                // The dead of old are of no use to one that never knew them.
                let refused = news.condition > Condition::Suspected || self.table.len() >= self.terms.members;
                let long = [&news.about.name, &news.about.zone, &news.about.region]
                    .iter()
                    .any(|word| word.len() > 64);
                if refused || long || self.is_older_namesake(&news) {
                    return;
                }
                self.replace_namesake(&news);
                let (shared_by, condition) = (sharing(&news), news.condition);
                self.places.insert((news.about.address, id));
                if condition != Condition::Alive {
                    self.ailing.insert(id);
                }
                let known = Known { news, since: self.now, shared_by, heard_at: self.now };
                self.table.insert(id, known);
                self.changes.push(Change { id, condition });
                let place = self.chance.random_range(0..=self.round.len());
                self.round.insert(place, id);
                if self.table.len() == 1 {
                    // The first one that it knows tells it of all others.
                    self.exchange_soon();
                }
            }
        }
        if tell_on || !alive {
            self.rumours.insert(id, 0);
        }
    }

    /// A name that comes back with another memory at the same address has lost its folder, or never had one: the old
    /// memory is gone.
    fn replace_namesake(&mut self, new: &News) {
        let same = |news: &&News| news.about.name == new.about.name && news.about.id != self.me.about.id;
        let old: Vec<News> = self.alive_at(new.about.address).filter(same).cloned().collect();
        for news in old {
            self.learn(News { condition: Condition::Dead, by: new.about.id, ..news }, true);
        }
    }

    /// News of a memory whose place has been taken by a newer one that lives. Guards against old news that would put the
    /// newer one out; where a clock went back, the newer one waits until the older is found dead.
    fn is_older_namesake(&self, news: &News) -> bool {
        self.alive_at(news.about.address).any(|other| {
            let (about, old) = (&other.about, &news.about);
            about.name == old.name && about.born > old.born
        })
    }

    fn speak_up(&mut self, over: u32) {
        self.me.stand = self.me.stand.max(over) + 1;
        self.rumours.insert(self.me.about.id, 0);
        self.tell_soon();
    }
}

/// Who shares a suspicion at first.
fn sharing(news: &News) -> BTreeSet<Id> {
    let suspected = news.condition == Condition::Suspected;
    suspected.then_some(news.by).into_iter().collect()
}

/// Which part of the sums tells of it.
fn part_of(id: Id) -> usize {
    (mixed(id.0) >> 32) as usize % PARTS
}

/// Spreads bits, alike on every machine (the last steps of splitmix64).
fn mixed(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

#[cfg(test)]
#[path = "swim/tests.rs"]
mod tests;
