//! Whom a listener hears from. It begins by asking a source where to attach and from then on has a parent and a spare.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | Waiting | the pause is over | Seeking: a source is asked for ways; a relay with children goes to Attaching, at a source |
//! | Seeking | ways: relays | Attaching, at the first of them |
//! | Seeking | ways: be a relay | Attaching, at the source that said so, as a relay |
//! | Seeking | ways: ask that source | Seeking, at that one |
//! | Seeking | no ways, no answer in time, link lost | Waiting, with a pause that doubles up to a bound; then another source |
//! | Attaching | attached | Attached |
//! | Attaching | refused, no answer in time, link lost | Attaching, at the next; Waiting where there is none |
//! | Attached | parent silent, refuses, leaves, link lost; or its spare has newer | a leaf: Attaching, at its spare, then others near; a relay: Attaching, at another source |
//! | Attached | a relay that nobody hears from for long | Seeking, as a leaf again |
//! | Attached | a leaf whose relay feeds more than its fan-out and sends it elsewhere | Seeking |
//! | Attached | a relay whose source sends it to a nearer one, or to one that feeds far fewer | Attaching, at that one |
//! | Attaching, as a relay | refused by each source, twice | no relay any more: its children are told, Waiting |
//!
//! A relay attaches to sources only and a leaf feeds nobody, so no circle of parents can come about. In all states what is
//! in force stays in force.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::message::LIST_MOST;

#[derive(Clone, Debug, PartialEq)]
pub enum State {
    Waiting {
        until: f64,
    },
    Seeking {
        source: SocketAddr,
        until: f64,
        sent_on: bool,
    },
    Attaching {
        to: SocketAddr,
        until: f64,
        next: Vec<SocketAddr>,
        over: bool,
    },
    /// `waited`: longer than it should, once, as this process itself was stopped.
    Attached {
        parent: SocketAddr,
        heard_at: f64,
        waited: bool,
    },
}

/// What a listener is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Seek {
        source: SocketAddr,
        sent_on: bool,
    },
    Attach {
        to: SocketAddr,
        over: bool,
    },
    /// No source takes it as a relay: it is a leaf from now on.
    StepDown,
}

/// A listener's way up.
#[derive(Clone, Debug)]
pub struct Up {
    pub state: State,
    pub relay: bool,
    /// Others that it may go to, its spare first.
    pub near: Vec<SocketAddr>,
    /// The nearest first, as far as it was told.
    sources: Vec<SocketAddr>,
    /// Which of them is asked next.
    turn: usize,
    /// Those that did not answer or took nobody, the last of them.
    pub avoid: Vec<SocketAddr>,
    tries: u32,
    refused: u32,
    /// In a row, of those it would attach to.
    unanswered: u32,
    answer_ms: f64,
    pause_most_ms: f64,
}

const PAUSE_MS: f64 = 100.0;
/// Remembered while it seeks, and from then on.
const AVOID_MOST: usize = LIST_MOST;
const AVOID_KEPT: usize = 4;
/// So many that do not answer, one after the other, and a source is asked anew. Guards against a list of relays that all
/// stand still with their zone, at a wait each.
const UNANSWERED_MOST: u32 = 2;

impl Up {
    pub fn new(mut sources: Vec<SocketAddr>, now: f64, terms: &crate::node::Terms, rng: &mut Pcg32) -> Self {
        sources.truncate(LIST_MOST);
        sources.shuffle(rng);
        Up {
            state: State::Waiting { until: now + rng.random_range(0.0..terms.start_spread_ms.max(1.0)) },
            relay: false,
            near: Vec::new(),
            sources,
            turn: 0,
            avoid: Vec::new(),
            tries: 0,
            refused: 0,
            unanswered: 0,
            answer_ms: terms.answer_ms,
            pause_most_ms: terms.pause_most_ms,
        }
    }
    pub fn parent(&self) -> Option<SocketAddr> {
        match self.state {
            State::Attached { parent, .. } => Some(parent),
            _ => None,
        }
    }
    /// Where it goes when its parent is lost: another relay that is near, for a relay another source.
    pub fn spare(&self) -> Option<SocketAddr> {
        let parent = self.parent();
        let other = |list: &[SocketAddr]| list.iter().copied().find(|at| Some(*at) != parent);
        match self.relay {
            true => other(&self.sources),
            false => other(&self.near).or_else(|| other(&self.sources)),
        }
    }
    /// Whom to ask whether a source's word is fresher there, when the parent's is old: the spare, one more that is near, as the
    /// spare may hear no source either, then sources.
    pub fn other(&self, turn: usize) -> Option<SocketAddr> {
        let near: &[SocketAddr] = if self.relay { &[] } else { &self.near };
        let but_parent = |at: &SocketAddr| Some(*at) != self.parent();
        let near = near.iter().copied().filter(but_parent).take(2);
        let others: Vec<SocketAddr> = near.chain(self.sources.iter().copied().filter(but_parent)).collect();
        others.get(turn % others.len().max(1)).copied()
    }
    /// This one has what the parent has not: a leaf goes there first. Where it is a source, all that are near are as old.
    pub fn prefer(&mut self, at: SocketAddr) {
        if self.relay {
            return;
        }
        if self.is_source(at) {
            let near = std::mem::take(&mut self.near);
            near.into_iter().for_each(|near| self.avoid(near));
        } else {
            self.near.retain(|near| *near != at);
            self.near.insert(0, at);
            self.near.truncate(LIST_MOST);
        }
    }
    pub fn sources(&self) -> &[SocketAddr] {
        &self.sources
    }
    pub fn is_source(&self, address: SocketAddr) -> bool {
        self.sources.contains(&address)
    }
    pub fn next_at(&self, silent_ms: f64) -> f64 {
        match self.state {
            State::Waiting { until } | State::Seeking { until, .. } | State::Attaching { until, .. } => until,
            State::Attached { heard_at, .. } => heard_at + silent_ms,
        }
    }
    pub fn heard_from(&mut self, now: f64, from: SocketAddr) {
        if self.parent() == Some(from) {
            self.heard(now);
        }
    }
    pub fn heard(&mut self, now: f64) {
        if let State::Attached { heard_at, waited, .. } = &mut self.state {
            (*heard_at, *waited) = (now, false);
        }
    }
    /// This process was stopped: what its parent said meanwhile is still to be read. Not twice, so that one that is stopped
    /// over and over leaves a parent that is gone.
    pub fn stopped(&mut self, now: f64, silent_ms: f64) {
        if let State::Attached { heard_at, waited, .. } = &mut self.state {
            if !std::mem::replace(waited, true) {
                *heard_at = heard_at.max(now - silent_ms / 2.0);
            }
        }
    }
    /// Sources in the order that the parent knows to be the nearest first; only such as are in the file.
    pub fn told_near(&mut self, relays: Vec<SocketAddr>, sources: &[SocketAddr], own: SocketAddr) {
        self.near = relays.into_iter().filter(|at| *at != own).take(LIST_MOST).collect();
        let place = |at: &SocketAddr| sources.iter().position(|told| told == at).unwrap_or(LIST_MOST);
        self.sources.sort_by_key(place);
        self.turn = 0;
    }
    pub fn attached(&mut self, now: f64, parent: SocketAddr) {
        self.state = State::Attached { parent, heard_at: now, waited: false };
        self.tries = 0;
        self.refused = 0;
        self.unanswered = 0;
        self.avoid.retain(|at| *at != parent);
        self.avoid.drain(..self.avoid.len().saturating_sub(AVOID_KEPT));
    }
    /// Asks a source, this one or the next in turn.
    pub fn seek(&mut self, now: f64, source: Option<SocketAddr>) -> Option<Step> {
        let sent_on = source.is_some();
        let source = match source {
            Some(source) => source,
            // The next in turn that did not fail to answer of late, where there is one.
            None => {
                let count = self.sources.len().max(1);
                let mut order = self.sources.iter().cycle().skip(self.turn % count).take(count);
                let first = *self.sources.get(self.turn % count)?;
                order.find(|source| !self.avoid.contains(source)).copied().unwrap_or(first)
            }
        };
        self.state = State::Seeking { source, until: now + self.answer_ms, sent_on };
        Some(Step::Seek { source, sent_on })
    }
    /// Tries these one after the other.
    pub fn attach(&mut self, now: f64, mut to: Vec<SocketAddr>, over: bool, rng: &mut Pcg32) -> Option<Step> {
        if to.is_empty() {
            self.wait(now, rng);
            return None;
        }
        to.truncate(LIST_MOST);
        let first = to.remove(0);
        self.state = State::Attaching { to: first, until: now + self.answer_ms, next: to, over };
        Some(Step::Attach { to: first, over })
    }
    /// Nobody to go to now: a pause, longer each time, drawn so that many who lost the same do not come at once.
    pub fn wait(&mut self, now: f64, rng: &mut Pcg32) {
        let most = (PAUSE_MS * f64::from(1 << self.tries.min(10))).min(self.pause_most_ms);
        self.tries += 1;
        self.turn += 1;
        self.state = State::Waiting { until: now + rng.random_range(most / 4.0..=most) };
    }
    /// Its parent does not know it any more: there again, then as if it were lost.
    pub fn again(&mut self, now: f64, parent: SocketAddr, rng: &mut Pcg32) -> Option<Step> {
        let others = if self.relay { &self.sources } else { &self.near };
        let others = others.iter().copied().filter(|at| *at != parent);
        let to = std::iter::once(parent).chain(others).collect();
        self.attach(now, to, true, rng)
    }
    /// Sent to another source, as a relay.
    pub fn elsewhere(&mut self, now: f64, to: SocketAddr, rng: &mut Pcg32) -> Option<Step> {
        let others = self.sources.iter().copied().filter(|at| *at != to);
        let to = std::iter::once(to).chain(others).collect();
        self.attach(now, to, true, rng)
    }
    /// Whom it hears from, or went to, does not answer, refuses or is lost.
    pub fn failed(&mut self, now: f64, at: SocketAddr, refused: bool, rng: &mut Pcg32) -> Option<Step> {
        match self.state.clone() {
            State::Attached { parent, .. } if parent == at => {
                self.avoid(at);
                match self.relay {
                    true => {
                        let mut to = self.sources.clone();
                        to.retain(|source| *source != at);
                        to.push(at);
                        self.attach(now, to, true, rng)
                    }
                    false => {
                        let mut to = self.near.clone();
                        to.retain(|near| *near != at);
                        if to.is_empty() {
                            return self.seek(now, None);
                        }
                        self.attach(now, to, true, rng)
                    }
                }
            }
            State::Attaching { to, mut next, over, .. } if to == at => {
                self.avoid(at);
                self.refused += u32::from(refused);
                self.unanswered = if refused { 0 } else { self.unanswered + 1 };
                if !self.relay && self.unanswered >= UNANSWERED_MOST {
                    self.unanswered = 0;
                    next.clear();
                }
                if self.relay && self.refused as usize >= 2 * self.sources.len() {
                    self.refused = 0;
                    self.wait(now, rng);
                    return Some(Step::StepDown);
                }
                if next.is_empty() && !self.relay && self.tries == 0 {
                    self.tries = 1;
                    return self.seek(now, None);
                }
                self.attach(now, next, over, rng)
            }
            State::Seeking { source, .. } if source == at => {
                // So that no other source sends it there again.
                self.avoid(at);
                self.wait(now, rng);
                None
            }
            _ => None,
        }
    }
    pub fn tick(&mut self, now: f64, silent_ms: f64, rng: &mut Pcg32) -> Option<Step> {
        if now < self.next_at(silent_ms) {
            return None;
        }
        match self.state {
            State::Waiting { .. } if self.relay => {
                let from = self.turn % self.sources.len().max(1);
                let mut to = self.sources.clone();
                to.rotate_left(from);
                // Who did not answer of late is asked last.
                to.sort_by_key(|source| self.avoid.contains(source));
                self.attach(now, to, true, rng)
            }
            State::Waiting { .. } => {
                let step = self.seek(now, None);
                if step.is_none() {
                    self.wait(now, rng);
                }
                step
            }
            State::Seeking { source: at, .. }
            | State::Attaching { to: at, .. }
            | State::Attached { parent: at, .. } => self.failed(now, at, false, rng),
        }
    }
    fn avoid(&mut self, at: SocketAddr) {
        self.avoid.retain(|held| *held != at);
        self.avoid.push(at);
        if self.avoid.len() > AVOID_MOST {
            self.avoid.remove(0);
        }
    }
}
