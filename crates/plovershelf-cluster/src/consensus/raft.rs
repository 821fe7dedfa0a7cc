//! Agreement: a few voters keep one numbered log of decisions, which a leader of a term adds to and a majority keeps.
//!
//! The ordinary path: the leader takes a decision into its log ([`Council::decide`]), sends it to the others
//! ([`Message::Append`]), counts who keeps it ([`Message::Took`]) and, once that is a majority, holds it for decided and
//! says so with the next append. What is taken from Raft: terms, the rule for votes, the log that must match, changes of
//! voters by one at a time. What is different, and why:
//!
//! - A voter is a memory, not a name. One that lost its folder has another [`Id`], so no vote or confirmation of it counts.
//! - A voter that comes back with a folder does not trust it: a folder may have been set back. It is [`Role::Returning`]
//!   until so many others have told what they keep that each majority it may have been part of is met. Taken from the
//!   recovery of viewstamped replication. Guards against a vote given twice and a confirmation forgotten.
//! - A leader that hears from no majority for the shortest election span stops leading, and voters that hear a leader
//!   give no vote within that span. So a leader's word is good for a little less than it ([`Council::sure_until`]).
//!
//! | state | left by |
//! | --- | --- |
//! | `Outside`: no voter, keeps the log as far as it is told | a log that names it a voter: `Following` |
//! | `Returning`: a voter that has not yet heard what it may have forgotten | enough answers: `Following` |
//! | `Following` | no leader for an election span: `Asking` |
//! | `Asking`: would a majority vote for it? | a majority would: `Standing`; a leader or newer term: `Following` |
//! | `Standing`: has voted for itself in a new term | a majority: `Leading`; a leader or newer term: `Following` |
//! | `Leading` | newer term, no majority heard, no voter any more: `Following` or `Outside` |
//! | `Mute`: its folder takes nothing | a folder that does: `Returning` |
//!
//! It owns no clock and no socket. Each call takes the present time in milliseconds of any clock that never goes back;
//! what follows stands in [`Effects`] and must be saved before it is sent.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::hash::Hash;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use crate::broken::{self, Broken};

/// A member's memory: drawn when its folder is made, so that one without its folder is someone new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

/// Stands where a vote may have been given that is not remembered.
const UNKNOWN: Id = Id(0);
/// Most voters there may be.
pub const VOTERS_MOST: usize = 7;
/// Entries in one append, and decided ones that the log keeps for those that lag before it hands over the whole state.
const APPEND_MOST: usize = 64;
const KEPT: usize = 128;
/// Decisions that wait for a majority. More are refused.
const UNDECIDED_MOST: usize = 256;

/// Where a log ends: the later term wins, then the longer log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    pub term: u64,
    pub index: u64,
}

/// What decisions are about, and what they come to.
pub trait State: Clone + Debug + PartialEq {
    type Decision: Clone + Debug + Eq + Hash + Serialize;
    fn apply(&mut self, decision: &Self::Decision);
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum What<D> {
    /// Begins a leader's term.
    Begin,
    /// All voters from here on; they differ from those before by one.
    Voters(BTreeSet<Id>),
    Word(D),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry<D> {
    pub term: u64,
    pub what: What<D>,
}

/// All decisions up to a mark, as what they came to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Whole<S> {
    pub at: Mark,
    pub voters: BTreeSet<Id>,
    /// The index of the entry that named the voters.
    pub voters_at: u64,
    pub state: S,
}

/// What a member keeps in its folder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound(serialize = "S: Serialize, S::Decision: Serialize"))]
#[serde(bound(deserialize = "S: serde::de::DeserializeOwned, S::Decision: serde::de::DeserializeOwned"))]
pub struct Kept<S: State> {
    /// The council's number; a later one fences all of an older one off.
    pub era: u64,
    pub term: u64,
    pub voted: Option<Id>,
    /// A later council that this one has promised to wait for; 0 for none.
    pub promised: u64,
    pub base: Whole<S>,
    pub log: Vec<Entry<S::Decision>>,
}

impl<S: State> Kept<S> {
    /// Of one that knows of no council.
    pub fn nothing(state: S) -> Self {
        let base = Whole { at: Mark::default(), voters: BTreeSet::new(), voters_at: 0, state };
        Kept { era: 0, term: 0, voted: None, promised: 0, base, log: Vec::new() }
    }

    pub fn last(&self) -> Mark {
        let index = self.base.at.index + self.log.len() as u64;
        self.log.last().map_or(self.base.at, |entry| Mark { term: entry.term, index })
    }

    /// The term of the entry at an index, where the log still has it.
    fn term_at(&self, index: u64) -> Option<u64> {
        let base = self.base.at;
        match index.checked_sub(base.index)? {
            0 => Some(base.term),
            behind => self.log.get(behind as usize - 1).map(|entry| entry.term),
        }
    }

    fn entry(&self, index: u64) -> Option<&Entry<S::Decision>> {
        self.log.get(index.checked_sub(self.base.at.index + 1)? as usize)
    }

    /// The voters that hold: the newest that the log names, decided or not.
    fn voters(&self) -> (u64, &BTreeSet<Id>) {
        let first = self.base.at.index + 1;
        let named = self.log.iter().enumerate().rev().find_map(|(place, entry)| match &entry.what {
            What::Voters(voters) => Some((first + place as u64, voters)),
            _ => None,
        });
        named.unwrap_or((self.base.voters_at, &self.base.voters))
    }

    /// Carries out one record. Whoever reads a folder does with its records what the council did.
    pub fn take(&mut self, record: Record<S>) {
        match record {
            Record::Term { era, term, voted } => (self.era, self.term, self.voted) = (era, term, voted),
            Record::Promised(era) => self.promised = era,
            Record::Entries { from, entries } => {
                let keep = (from - 1).saturating_sub(self.base.at.index) as usize;
                self.log.truncate(keep);
                self.log.extend(entries);
            }
            Record::Whole(whole) => {
                let behind = (whole.at.index.saturating_sub(self.base.at.index) as usize).min(self.log.len());
                let fits = self.term_at(whole.at.index) == Some(whole.at.term);
                self.log = if fits { self.log.split_off(behind) } else { Vec::new() };
                self.base = whole;
            }
        }
    }
}

/// One change of what is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound(serialize = "S: Serialize, S::Decision: Serialize"))]
#[serde(bound(deserialize = "S: serde::de::DeserializeOwned, S::Decision: serde::de::DeserializeOwned"))]
pub enum Record<S: State> {
    Term {
        era: u64,
        term: u64,
        voted: Option<Id>,
    },
    /// The log ends before `from`, and goes on with these.
    Entries {
        from: u64,
        entries: Vec<Entry<S::Decision>>,
    },
    Whole(Whole<S>),
    Promised(u64),
}

/// What members say to each other. All of it goes with the era; what is of another era never reaches the council.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound(serialize = "S: Serialize, S::Decision: Serialize"))]
#[serde(bound(deserialize = "S: serde::de::DeserializeOwned, S::Decision: serde::de::DeserializeOwned"))]
pub enum Message<S: State> {
    /// Asks for a vote; `dry`: whether there would be one.
    Ask {
        term: u64,
        last: Mark,
        dry: bool,
    },
    Said {
        term: u64,
        granted: bool,
        dry: bool,
    },
    /// `stamp` comes back with the answer, so the leader knows since when it was still believed.
    Append {
        term: u64,
        before: Mark,
        entries: Vec<Entry<S::Decision>>,
        decided: u64,
        stamp: u64,
    },
    /// All decided so far, for one that lags behind the log.
    Catch {
        term: u64,
        whole: Whole<S>,
        stamp: u64,
    },
    /// The log matches the leader's up to here, or does not and ends here.
    Took {
        term: u64,
        matches: bool,
        up_to: u64,
        stamp: u64,
    },
    /// A voter that is back asks what it may have forgotten; who answers takes a term as new as `at_least`.
    Recall {
        nonce: u64,
        at_least: u64,
    },
    Recalled {
        nonce: u64,
        term: u64,
        last: Mark,
        voters_at: u64,
        voters: BTreeSet<Id>,
        settled: bool,
        leads: bool,
    },
}

/// Spans in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub beat_ms: f64,
    /// No leader for a span between these, drawn anew each time: an election.
    pub election_ms: [f64; 2],
    pub recall_ms: f64,
    /// How much faster or slower than another a clock may run, as a part of time.
    pub drift: f64,
    /// Whether one asks if there would be votes before it stands. Without it one that was cut off unseats the leader when it
    /// is back; agreement does not hang on it.
    pub ask_first: bool,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { beat_ms: 100.0, election_ms: [400.0, 800.0], recall_ms: 200.0, drift: 0.02, ask_first: true }
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Progress {
    matched: u64,
    next: u64,
    /// The latest stamp that came back; when anything came.
    stamp: u64,
    sent_up_to: u64,
    sent_at: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    term: u64,
    last: Mark,
    settled: bool,
    leads: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    Outside,
    Returning {
        nonce: u64,
        at_least: u64,
        /// Whom it asks: the newest voters that it was told of, and the index that named them.
        of: (u64, BTreeSet<Id>),
        answers: BTreeMap<Id, Answer>,
        ask_at: f64,
    },
    Following,
    Asking {
        granted: BTreeSet<Id>,
    },
    Standing {
        granted: BTreeSet<Id>,
    },
    Leading,
    Mute,
}

/// What a call asks for. `save` comes first, and must stand in the folder before anything of `send` leaves.
#[derive(Clone, Debug)]
pub struct Effects<S: State> {
    pub save: Vec<Record<S>>,
    pub send: Vec<(Id, Message<S>)>,
    /// Newly decided, in order, with their indices.
    pub decided: Vec<(u64, What<S::Decision>)>,
    /// Decisions were taken over whole: those in between were not seen one by one.
    pub caught_up: bool,
}

impl<S: State> Default for Effects<S> {
    fn default() -> Self {
        Effects { save: Vec::new(), send: Vec::new(), decided: Vec::new(), caught_up: false }
    }
}

#[derive(Clone, Debug)]
pub struct Council<S: State> {
    me: Id,
    terms: Terms,
    kept: Kept<S>,
    role: Role,
    leader: Option<Id>,
    heard_leader_at: f64,
    election_at: f64,
    beat_at: f64,
    led_since: f64,
    /// Index of the last decided, and what all decided come to.
    decided: u64,
    state: S,
    /// Of the leader: each voter's and each newcomer's place.
    progress: BTreeMap<Id, Progress>,
    newcomers: BTreeSet<Id>,
    /// A voter that came back may have confirmed logs up to here: it votes for none that ends before, nor stands.
    floor: Mark,
    nonce: u64,
    /// Memories that are lost for certain, as their names are back with others.
    gone: BTreeSet<Id>,
    chance: Pcg32,
    out: Effects<S>,
    now: f64,
}

fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// So many others must tell one that is back what they keep, that every majority which it may have been part of has
/// another of its members among them.
fn recall_quorum(count: usize) -> usize {
    (count - majority(count) + 1).min(count.saturating_sub(1))
}

impl<S: State> Council<S> {
    /// One that knows of no council, or that has kept some of one. `empty` is what no decisions come to.
    pub fn new(me: Id, terms: Terms, kept: Option<Kept<S>>, empty: S, seed: u64, now: f64) -> Self {
        let kept = kept.unwrap_or_else(|| Kept::nothing(empty));
        let (state, decided) = (kept.base.state.clone(), kept.base.at.index);
        let mut council = Council {
            me,
            terms,
            kept,
            role: Role::Outside,
            leader: None,
            heard_leader_at: f64::NEG_INFINITY,
            election_at: f64::INFINITY,
            beat_at: f64::INFINITY,
            led_since: 0.0,
            decided,
            state,
            progress: BTreeMap::new(),
            newcomers: BTreeSet::new(),
            floor: Mark::default(),
            nonce: 0,
            gone: BTreeSet::new(),
            chance: Pcg32::seed_from_u64(seed),
            out: Effects::default(),
            now,
        };
        if council.is_voter() {
            council.come_back(0);
            if broken::is(Broken::VoteWithoutFence) {
                council.draw_election();
                council.change(Role::Following);
            }
        }
        council
    }

    // ---- what others may know ----------------------------------------------------------------------

    pub fn me(&self) -> Id {
        self.me
    }
    pub fn era(&self) -> u64 {
        self.kept.era
    }
    pub fn term(&self) -> u64 {
        self.kept.term
    }
    pub fn role(&self) -> &Role {
        &self.role
    }
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }
    pub fn leads(&self) -> bool {
        self.role == Role::Leading
    }
    pub fn decided(&self) -> u64 {
        self.decided
    }
    pub fn state(&self) -> &S {
        &self.state
    }
    pub fn kept(&self) -> &Kept<S> {
        &self.kept
    }
    pub fn voters(&self) -> &BTreeSet<Id> {
        self.kept.voters().1
    }
    /// The index at which the voters were named, and whether that is decided.
    pub fn voters_at(&self) -> (u64, bool) {
        let at = self.kept.voters().0;
        (at, at <= self.decided)
    }
    fn is_voter(&self) -> bool {
        self.voters().contains(&self.me)
    }
    /// What is in the log and not decided yet, as far as this one knows.
    pub fn undecided(&self) -> impl Iterator<Item = &What<S::Decision>> {
        let decided = (self.decided - self.kept.base.at.index) as usize;
        self.kept.log.iter().skip(decided).map(|entry| &entry.what)
    }

    /// How far each voter's log is known to match, where this one leads.
    pub fn matched(&self) -> Vec<(Id, u64)> {
        let own = (self.me, self.kept.last().index);
        let others = self.progress.iter().map(|(id, progress)| (*id, progress.matched));
        std::iter::once(own).chain(others).collect()
    }

    /// Decided with its mark, for one that wants all of it.
    pub fn whole(&self) -> Whole<S> {
        let term = self.kept.term_at(self.decided).unwrap_or(self.kept.base.at.term);
        let (mut voters, mut voters_at) = (self.kept.base.voters.clone(), self.kept.base.voters_at);
        for index in self.kept.base.at.index + 1..=self.decided {
            if let Some(Entry { what: What::Voters(named), .. }) = self.kept.entry(index) {
                (voters, voters_at) = (named.clone(), index);
            }
        }
        Whole { at: Mark { term, index: self.decided }, voters, voters_at, state: self.state.clone() }
    }

    /// Until when no other can lead by the others' promises, on this member's clock; the past where it does not lead.
    pub fn sure_until(&self) -> f64 {
        if !self.leads() || !self.knows_all() {
            return f64::NEG_INFINITY;
        }
        self.believed_at() + self.terms.election_ms[0] * (1.0 - 2.0 * self.terms.drift)
    }

    /// A new leader knows all that was decided before it once something of its own term is.
    fn knows_all(&self) -> bool {
        self.kept.term_at(self.decided) == Some(self.kept.term)
    }

    /// When a majority last believed this leader, by the stamps that came back.
    fn believed_at(&self) -> f64 {
        let mut stamps: Vec<f64> = self
            .voters()
            .iter()
            .filter(|id| **id != self.me)
            .map(|id| {
                self.progress.get(id).map_or(f64::NEG_INFINITY, |progress| progress.stamp as f64 / 1000.0)
            })
            .collect();
        stamps.sort_by(|a, b| b.total_cmp(a));
        let others = majority(self.voters().len()) - usize::from(self.is_voter());
        match others {
            0 => self.now,
            _ => stamps.get(others - 1).copied().unwrap_or(f64::NEG_INFINITY),
        }
    }

    /// Since when it leads without a break.
    pub fn led_since(&self) -> Option<f64> {
        self.leads().then_some(self.led_since)
    }

    /// When [`Council::tick`] has something to do.
    pub fn next_at(&self) -> f64 {
        match &self.role {
            Role::Outside | Role::Mute => f64::INFINITY,
            Role::Returning { ask_at, .. } => *ask_at,
            Role::Leading => self.beat_at,
            Role::Following | Role::Asking { .. } | Role::Standing { .. } => self.election_at,
        }
    }

    pub fn take_effects(&mut self) -> Effects<S> {
        std::mem::take(&mut self.out)
    }

    // ---- what happens to it ------------------------------------------------------------------------

    /// The first of a new council: these are its voters, and this is what was decided before.
    pub fn found(&mut self, now: f64, era: u64, voters: BTreeSet<Id>, state: S) {
        self.now = now;
        let at = Mark { term: 1, index: 1 };
        self.adopt(era, Whole { at, voters, voters_at: 1, state });
    }

    /// Takes over a council of a later era as far as it is told of it.
    pub fn adopt(&mut self, era: u64, whole: Whole<S>) {
        if era <= self.kept.era || self.role == Role::Mute {
            return;
        }
        let term = whole.at.term;
        let promised = self.kept.promised;
        self.kept = Kept { era, term, voted: None, promised, base: whole.clone(), log: Vec::new() };
        self.out.save.push(Record::Entries { from: 1, entries: Vec::new() });
        self.out.save.push(Record::Term { era, term, voted: None });
        self.out.save.push(Record::Whole(whole));
        (self.state, self.decided) = (self.kept.base.state.clone(), self.kept.base.at.index);
        (self.leader, self.floor, self.out.caught_up) = (None, Mark::default(), true);
        self.change(Role::Outside);
        self.settle();
    }

    /// The decided state as a member tells it that is no leader: for those that are no voters, which learn so what the
    /// council decided. A voter's log grows by its leader's word alone.
    pub fn told(&mut self, now: f64, era: u64, whole: &Whole<S>) {
        self.now = now;
        if era > self.kept.era {
            self.adopt(era, whole.clone());
        } else if era == self.kept.era && self.learns_from_all() && whole.at.index > self.decided {
            self.install(whole.clone());
        }
    }

    /// What was decided may come from anybody: where no leader will bring it, as to one that is no voter, or that does not
    /// know that it is none any more.
    pub fn learns_from_all(&self) -> bool {
        match self.role {
            Role::Outside => true,
            Role::Following | Role::Asking { .. } | Role::Standing { .. } => {
                self.now > self.heard_leader_at + 2.0 * self.terms.election_ms[1]
            }
            Role::Leading | Role::Returning { .. } | Role::Mute => false,
        }
    }

    /// The decided entries after an index with the mark before them, as far as the log still has them.
    pub fn since(&self, index: u64) -> Option<(Mark, Vec<Entry<S::Decision>>)> {
        let term = self.kept.term_at(index)?;
        let until = self.decided.min(index + APPEND_MOST as u64);
        let entries = (index + 1..=until).filter_map(|at| self.kept.entry(at).cloned()).collect();
        Some((Mark { term, index }, entries))
    }

    /// Decided entries as a member tells them that is no leader; see [`Council::told`].
    pub fn told_more(&mut self, now: f64, era: u64, before: Mark, entries: &[Entry<S::Decision>]) {
        self.now = now;
        let follows = before.index == self.decided && self.kept.term_at(before.index) == Some(before.term);
        if era != self.kept.era || !self.learns_from_all() || !follows || entries.is_empty() {
            return;
        }
        let up_to = before.index + entries.len() as u64;
        let newest = entries.last().map_or(0, |entry| entry.term);
        if newest > self.kept.term {
            self.new_term(newest, None);
        }
        self.take_over(before.index, entries);
        self.decide_up_to(up_to);
        self.settle();
    }

    pub fn tick(&mut self, now: f64) {
        self.now = now;
        match &self.role {
            Role::Returning { ask_at, at_least, .. } if *ask_at <= now => self.come_back(*at_least),
            Role::Following | Role::Asking { .. } | Role::Standing { .. } if self.election_at <= now => {
                self.stand(self.terms.ask_first)
            }
            Role::Leading if self.beat_at <= now => {
                if self.believed_at().max(self.led_since) + 2.0 * self.terms.election_ms[1] < now {
                    self.leader = None;
                    return self.change(Role::Following);
                }
                self.beat_at = now + self.terms.beat_ms;
                self.send_all(true);
            }
            _ => {}
        }
    }

    /// Takes a decision into the log, where this one leads. Tells its index, or nothing where it can't be taken.
    pub fn decide(&mut self, now: f64, what: What<S::Decision>) -> Option<u64> {
        self.now = now;
        let waiting = self.kept.last().index - self.decided;
        if !self.leads() || waiting as usize >= UNDECIDED_MOST || !self.may_follow(&what) {
            return None;
        }
        let term = self.kept.term;
        let index = self.append(vec![Entry { term, what }]);
        self.settle();
        self.count();
        self.send_all(false);
        Some(index)
    }

    pub fn promised(&self) -> u64 {
        self.kept.promised
    }

    /// From now on it waits for that later council; the promise outlives a restart.
    pub fn promise(&mut self, era: u64) {
        if self.kept.promised != era {
            self.kept.promised = era;
            self.out.save.push(Record::Promised(era));
        }
    }

    /// One that the leader should bring up to date though it is no voter yet; where it stands is told by [`Council::matched`].
    pub fn bring_up(&mut self, newcomer: Option<Id>) {
        self.newcomers = newcomer.into_iter().collect();
        let voters = self.voters().clone();
        self.progress.retain(|id, _| voters.contains(id) || self.newcomers.contains(id));
    }

    /// These memories will never speak again. One that is back need not wait for what they could tell: it is the one loss
    /// that is promised to be borne, so the folder here is no second.
    pub fn gone(&mut self, now: f64, gone: BTreeSet<Id>) {
        self.now = now;
        if gone != self.gone {
            self.gone = gone;
            // What a lost one told may be kept by nobody now, and would be waited for for ever.
            if self.voters().iter().any(|id| self.gone.contains(id)) {
                self.floor = Mark::default();
            }
            self.enough_answers();
        }
    }

    /// The folder takes nothing: what was to be saved is not, so nothing of it may be said.
    pub fn cannot_keep(&mut self, now: f64) {
        self.now = now;
        self.out = Effects::default();
        self.leader = None;
        self.change(Role::Mute);
    }

    /// The folder takes again what is kept, and holds all of [`Council::kept`] by now.
    pub fn can_keep(&mut self, now: f64) {
        self.now = now;
        if self.role == Role::Mute {
            self.change(Role::Outside);
            if self.is_voter() {
                self.come_back(0);
            }
        }
    }

    pub fn hear(&mut self, now: f64, from: Id, message: Message<S>) {
        self.now = now;
        if self.role == Role::Mute {
            return;
        }
        match message {
            Message::Ask { term, last, dry } => self.asked(from, term, last, dry),
            Message::Said { term, granted, dry } => self.said(from, term, granted, dry),
            Message::Append { term, before, entries, decided, stamp } => {
                if self.follows(from, term, stamp) {
                    self.appended(from, before, entries, decided, stamp);
                }
            }
            Message::Catch { term, whole, stamp } => {
                if self.follows(from, term, stamp) {
                    if whole.at.index > self.decided {
                        self.install(whole);
                    }
                    let up_to = self.decided;
                    self.say(from, Message::Took { term, matches: true, up_to, stamp });
                }
            }
            Message::Took { term, matches, up_to, stamp } => self.took(from, term, matches, up_to, stamp),
            Message::Recall { nonce, at_least } => self.recall(from, nonce, at_least),
            Message::Recalled { nonce, term, last, voters_at, voters, settled, leads } => {
                self.recalled(from, nonce, Answer { term, last, settled, leads }, voters_at, voters)
            }
        }
    }

    // ---- votes -------------------------------------------------------------------------------------

    /// Asks for votes, first whether there would be any: one that was cut off does not disturb those that are not.
    fn stand(&mut self, dry: bool) {
        self.draw_election();
        if !self.is_voter() || self.kept.last() < self.floor {
            return;
        }
        let granted = BTreeSet::from([self.me]);
        self.leader = None;
        let term = self.kept.term + 1;
        if dry {
            self.change(Role::Asking { granted });
        } else {
            self.new_term(term, Some(self.me));
            self.change(Role::Standing { granted });
        }
        let last = self.kept.last();
        self.say_all(|| Message::Ask { term, last, dry });
        self.won(dry);
    }

    fn asked(&mut self, from: Id, term: u64, last: Mark, dry: bool) {
        // A leader that is heard of keeps its place; its word holds as long as voters keep to this.
        let led = self.leads() || self.now < self.heard_leader_at + self.terms.election_ms[0];
        // One that does not know yet that it is a voter votes too: the change that makes it one may hang on it.
        if led || matches!(self.role, Role::Returning { .. } | Role::Mute) {
            return self.say(from, Message::Said { term: self.kept.term, granted: false, dry });
        }
        if term > self.kept.term && !dry {
            self.step_down(term);
        }
        let newest = last >= self.kept.last() && last >= self.floor;
        let free =
            term > self.kept.term || term == self.kept.term && self.kept.voted.is_none_or(|id| id == from);
        let granted = newest && free && (dry || term == self.kept.term);
        if granted && !dry {
            if self.kept.voted.is_none() {
                self.new_term(term, Some(from));
            }
            self.draw_election();
        }
        let told = if granted { term } else { self.kept.term };
        self.say(from, Message::Said { term: told, granted, dry });
    }

    fn said(&mut self, from: Id, term: u64, granted: bool, dry: bool) {
        if !granted {
            // Also when it only asked whether: else one whose log is longer but whose term is older would ask for a term
            // that is over, again and again.
            if term > self.kept.term && self.is_settled_voter() {
                self.step_down(term);
            }
            return;
        }
        let asked_for = if dry { self.kept.term + 1 } else { self.kept.term };
        let voter = self.voters().contains(&from);
        match (&mut self.role, dry) {
            (Role::Asking { granted }, true) | (Role::Standing { granted }, false)
                if term == asked_for && voter =>
            {
                granted.insert(from);
                self.won(dry);
            }
            _ => {}
        }
    }

    fn won(&mut self, dry: bool) {
        let needed = majority(self.voters().len());
        match &self.role {
            Role::Asking { granted } if dry && granted.len() >= needed => self.stand(false),
            Role::Standing { granted } if !dry && granted.len() >= needed => self.lead(),
            _ => {}
        }
    }

    fn lead(&mut self) {
        self.change(Role::Leading);
        (self.leader, self.led_since, self.beat_at) =
            (Some(self.me), self.now, self.now + self.terms.beat_ms);
        self.progress.clear();
        self.newcomers.clear();
        let term = self.kept.term;
        self.append(vec![Entry { term, what: What::Begin }]);
        self.count();
        self.send_all(true);
    }

    // ---- the log -----------------------------------------------------------------------------------

    /// Voters change by one, and only when the last change and a decision of this term are behind.
    fn may_follow(&self, what: &What<S::Decision>) -> bool {
        let What::Voters(new) = what else { return true };
        let (at, old) = self.kept.voters();
        let own_term = self.knows_all();
        let one_apart = old.symmetric_difference(new).count() == 1;
        // One more than there may be while one takes another's place.
        one_apart && own_term && at <= self.decided && (1..=VOTERS_MOST + 1).contains(&new.len())
    }

    fn append(&mut self, entries: Vec<Entry<S::Decision>>) -> u64 {
        let from = self.kept.last().index + 1;
        let record = Record::Entries { from, entries };
        self.kept.take(record.clone());
        self.out.save.push(record);
        self.kept.last().index
    }

    /// Sends each what it lacks. Without news only a beat goes out, and only when it is time for one.
    fn send_all(&mut self, beat: bool) {
        let others: Vec<Id> =
            self.voters().union(&self.newcomers).copied().filter(|id| *id != self.me).collect();
        let fresh = || Progress {
            matched: 0,
            next: self.kept.last().index,
            stamp: 0,
            sent_up_to: 0,
            sent_at: f64::NEG_INFINITY,
        };
        let missing: Vec<Id> = others.iter().copied().filter(|id| !self.progress.contains_key(id)).collect();
        for id in missing {
            let fresh = fresh();
            self.progress.insert(id, fresh);
        }
        others.into_iter().for_each(|id| self.send_to(id, beat));
    }

    fn send_to(&mut self, to: Id, beat: bool) {
        let (last, term, stamp) =
            (self.kept.last().index, self.kept.term, (self.now.max(0.0) * 1000.0) as u64);
        let resend_ms = 2.0 * self.terms.beat_ms;
        let Some(progress) = self.progress.get_mut(&to) else { return };
        // What is under way goes out again only when it seems lost.
        let lost = self.now > progress.sent_at + resend_ms;
        let from = if lost { progress.next } else { progress.next.max(progress.sent_up_to + 1) };
        if from > last && !beat {
            return;
        }
        let before = from.max(1) - 1;
        let Some(before_term) = self.kept.term_at(before) else {
            if lost || beat {
                progress.sent_at = self.now;
                let whole = self.whole();
                self.say(to, Message::Catch { term, whole, stamp });
            }
            return;
        };
        let until = last.min(before + APPEND_MOST as u64);
        if until > before {
            (progress.sent_up_to, progress.sent_at) = (until, self.now);
        }
        let entries = (from..=until).filter_map(|index| self.kept.entry(index).cloned()).collect();
        let before = Mark { term: before_term, index: before };
        self.say(to, Message::Append { term, before, entries, decided: self.decided, stamp });
    }

    /// A leader's word: true where it is heeded. What is older is answered with the newer term.
    fn follows(&mut self, from: Id, term: u64, stamp: u64) -> bool {
        if term < self.kept.term || self.leads() && term == self.kept.term {
            let up_to = self.kept.last().index;
            self.say(from, Message::Took { term: self.kept.term, matches: false, up_to, stamp });
            return false;
        }
        // One that is back has to hear first what it may have forgotten: its word must count nowhere until then.
        if matches!(self.role, Role::Returning { .. }) {
            return false;
        }
        if term > self.kept.term {
            self.new_term(term, None);
        }
        if !matches!(self.role, Role::Following | Role::Outside) {
            self.change(Role::Following);
        }
        (self.leader, self.heard_leader_at) = (Some(from), self.now);
        self.draw_election();
        true
    }

    fn appended(
        &mut self,
        from: Id,
        before: Mark,
        entries: Vec<Entry<S::Decision>>,
        decided: u64,
        stamp: u64,
    ) {
        let term = self.kept.term;
        // What is decided already needs no look: it is the same everywhere.
        let known = before.index < self.decided || self.kept.term_at(before.index) == Some(before.term);
        if !known {
            let up_to = self.kept.last().index.min(before.index.saturating_sub(1)).max(self.decided);
            return self.say(from, Message::Took { term, matches: false, up_to, stamp });
        }
        let up_to = before.index + entries.len() as u64;
        self.take_over(before.index, &entries);
        self.decide_up_to(decided.min(up_to));
        self.settle();
        self.say(from, Message::Took { term, matches: true, up_to, stamp });
    }

    /// Entries that follow on what there is. What is there already stays with all that follows it: it may have been confirmed.
    fn take_over(&mut self, after: u64, entries: &[Entry<S::Decision>]) {
        let differs = (after + 1..)
            .zip(entries)
            .find(|(index, entry)| *index > self.decided && self.kept.term_at(*index) != Some(entry.term));
        if let Some((index, _)) = differs {
            let new = entries[(index - after - 1) as usize..].to_vec();
            let record = Record::Entries { from: index, entries: new };
            self.kept.take(record.clone());
            self.out.save.push(record);
        }
    }

    fn took(&mut self, from: Id, term: u64, matches: bool, up_to: u64, stamp: u64) {
        if term > self.kept.term {
            return self.step_down(term);
        }
        let last = self.kept.last().index;
        let Some(progress) = self.progress.get_mut(&from).filter(|_| term == self.kept.term) else { return };
        if self.role != Role::Leading {
            return;
        }
        progress.stamp = progress.stamp.max(stamp.min((self.now.max(0.0) * 1000.0) as u64));
        if matches {
            progress.matched = progress.matched.max(up_to.min(last));
            progress.next = progress.next.max(progress.matched + 1);
            progress.sent_up_to = progress.sent_up_to.max(progress.matched);
            self.count();
        } else {
            // Never back before what surely matches, unless it was forgotten there; then forward from the end of it.
            (progress.next, progress.sent_up_to) = (up_to + 1, up_to);
            progress.matched = progress.matched.min(up_to);
        }
        if self.leads() {
            self.send_to(from, false);
        }
    }

    /// Decided is what a majority keeps, once that holds an entry of the leader's own term.
    fn count(&mut self) {
        let mut matched: Vec<u64> = self
            .voters()
            .iter()
            .map(|id| {
                if *id == self.me {
                    self.kept.last().index
                } else {
                    self.progress.get(id).map_or(0, |p| p.matched)
                }
            })
            .collect();
        matched.sort_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(majority(matched.len()) - 1) else { return };
        if self.leads() && index > self.decided && self.kept.term_at(index) == Some(self.kept.term) {
            self.decide_up_to(index);
            // Followers hear of it at once: what waits on it waits on them.
            let last = self.kept.last().index;
            for progress in self.progress.values_mut().filter(|p| p.matched >= last) {
                progress.sent_at = f64::NEG_INFINITY;
            }
            self.send_all(true);
            self.settle();
        }
    }

    fn decide_up_to(&mut self, index: u64) {
        let index = index.min(self.kept.last().index);
        while self.decided < index {
            let Some(entry) = self.kept.entry(self.decided + 1) else { return };
            let what = entry.what.clone();
            if let What::Word(decision) = &what {
                self.state.apply(decision);
            }
            self.decided += 1;
            self.out.decided.push((self.decided, what));
        }
        if (self.decided - self.kept.base.at.index) as usize > KEPT {
            let whole = self.whole();
            self.kept.take(Record::Whole(whole.clone()));
            self.out.save.push(Record::Whole(whole));
        }
    }

    fn install(&mut self, whole: Whole<S>) {
        if whole.at.term > self.kept.term {
            self.new_term(whole.at.term, None);
        }
        self.kept.take(Record::Whole(whole.clone()));
        self.out.save.push(Record::Whole(whole));
        self.out.caught_up = true;
        (self.state, self.decided) = (self.kept.base.state.clone(), self.kept.base.at.index);
        self.settle();
    }

    // ---- coming back -------------------------------------------------------------------------------

    /// Asks the others what they keep.
    fn come_back(&mut self, at_least: u64) {
        // Alone there is nobody to ask: then the folder must do.
        if self.voters().len() == 1 {
            self.draw_election();
            return self.change(Role::Following);
        }
        let (at, voters) = self.kept.voters();
        let (of, answers) = match &self.role {
            Role::Returning { of, answers, at_least: before, .. } if *before == at_least => {
                (of.clone(), answers.clone())
            }
            Role::Returning { of, .. } => (of.clone(), BTreeMap::new()),
            _ => ((at, voters.clone()), BTreeMap::new()),
        };
        self.ask_again(at_least, of, answers);
    }

    fn ask_again(&mut self, at_least: u64, of: (u64, BTreeSet<Id>), answers: BTreeMap<Id, Answer>) {
        if answers.is_empty() {
            self.nonce = self.chance.random();
        }
        let (nonce, ask_at) = (self.nonce, self.now + self.terms.recall_ms);
        let others: Vec<Id> = of.1.iter().copied().filter(|id| *id != self.me).collect();
        self.change(Role::Returning { nonce, at_least, of, answers, ask_at });
        others.into_iter().for_each(|id| self.say(id, Message::Recall { nonce, at_least }));
    }

    fn recall(&mut self, from: Id, nonce: u64, at_least: u64) {
        if at_least > self.kept.term && !matches!(self.role, Role::Outside) {
            self.step_down(at_least);
        }
        // What the leader believed of it is void.
        if let Some(progress) = self.progress.get_mut(&from) {
            (progress.matched, progress.sent_up_to, progress.sent_at) = (0, 0, f64::NEG_INFINITY);
        }
        let (voters_at, voters) = self.kept.voters();
        let told = Message::Recalled {
            nonce,
            term: self.kept.term,
            last: self.kept.last().max(self.floor),
            voters_at,
            voters: voters.clone(),
            settled: self.is_settled_voter(),
            leads: self.leads(),
        };
        self.say(from, told);
    }

    fn recalled(&mut self, from: Id, told: u64, answer: Answer, voters_at: u64, voters: BTreeSet<Id>) {
        let Role::Returning { nonce, at_least, of, answers, .. } = &mut self.role else { return };
        if *nonce != told {
            return;
        }
        if voters_at > of.0 {
            // The voters have changed meanwhile: those who are it now are to be asked.
            self.floor = self.floor.max(answer.last);
            if !voters.contains(&self.me) {
                return self.change(Role::Outside);
            }
            return self.ask_again(0, (voters_at, voters), BTreeMap::new());
        }
        let known = of.1.contains(&from);
        if !known || answer.term < *at_least {
            return;
        }
        answers.insert(from, answer);
        self.enough_answers();
    }

    /// Ends the asking once there is nothing more that may have been forgotten.
    fn enough_answers(&mut self) {
        let Role::Returning { at_least, of, answers, .. } = &self.role else { return };
        let (count, gone) = (of.1.len(), of.1.iter().filter(|id| self.gone.contains(id)).count());
        let settled = answers.values().filter(|a| a.settled).count() + gone >= recall_quorum(count);
        if !settled && answers.len() + gone + 1 < count {
            return;
        }
        let term = answers.values().map(|a| a.term).max().unwrap_or(0);
        let floor = answers.values().map(|a| a.last).max().unwrap_or_default();
        // Either the leader knows that this one is back, or none of an older term can count on what it said before.
        let led = answers.values().any(|a| a.leads && a.term == term);
        let term = term.max(self.kept.term);
        if !led && *at_least == 0 && !answers.is_empty() {
            return self.come_back(term + 1);
        }
        self.floor = self.floor.max(floor);
        self.new_term(term, Some(UNKNOWN));
        self.draw_election();
        self.change(Role::Following);
    }

    // ---- smaller things ----------------------------------------------------------------------------

    fn is_settled_voter(&self) -> bool {
        self.is_voter() && !matches!(self.role, Role::Returning { .. } | Role::Mute | Role::Outside)
    }

    fn step_down(&mut self, term: u64) {
        if term > self.kept.term {
            self.new_term(term, None);
        }
        if matches!(self.role, Role::Asking { .. } | Role::Standing { .. } | Role::Leading) {
            self.leader = None;
            self.draw_election();
            self.change(Role::Following);
        }
    }

    fn new_term(&mut self, term: u64, voted: Option<Id>) {
        (self.kept.term, self.kept.voted) = (term, voted);
        self.out.save.push(Record::Term { era: self.kept.era, term, voted });
    }

    /// The role follows from who the voters are.
    fn settle(&mut self) {
        match (&self.role, self.is_voter()) {
            // One that was told of newer voters without it keeps out until its log tells it otherwise.
            (Role::Outside, true) if self.kept.last() >= self.floor => {
                self.draw_election();
                self.change(Role::Following);
            }
            // A leader that is voted out leads until that is decided.
            (Role::Leading, false) if self.voters_at().1 => self.change(Role::Outside),
            (
                Role::Following | Role::Asking { .. } | Role::Standing { .. } | Role::Returning { .. },
                false,
            ) => self.change(Role::Outside),
            _ => {}
        }
    }

    fn draw_election(&mut self) {
        let [least, most] = self.terms.election_ms;
        self.election_at = self.now + least + (most - least) * self.chance.random::<f64>();
    }

    /// The one place where the role changes.
    fn change(&mut self, to: Role) {
        if self.role == Role::Leading && to != Role::Leading {
            self.progress.clear();
            self.newcomers.clear();
            self.leader = None;
        }
        self.role = to;
    }

    fn say(&mut self, to: Id, message: Message<S>) {
        self.out.send.push((to, message));
    }

    fn say_all(&mut self, message: impl Fn() -> Message<S>) {
        let others: Vec<Id> = self.voters().iter().copied().filter(|id| *id != self.me).collect();
        others.into_iter().for_each(|id| self.say(id, message()));
    }
}
