//! One process that hears of changes and may hand them on.

mod sync;

use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use crate::aggregation::{self, Gone, Joined};
use crate::broken::{self, Broken};
pub use crate::config::Terms;
pub use crate::message::Message;
use crate::message::{Newest, Sum, JOINED_MOST, LIST_MOST, MISSING_MOST, PLACES_MOST};
use crate::parent_selection::{State, Step, Up};
use crate::placement::{self, Child, Spread};
use crate::quota_table::{Content, Edit, History, Numbered, Version, NAME_MOST, PART_BYTES};
use sync::Pull;

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    pub name: String,
    pub zone: String,
    pub region: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Drawn at each start, so that a process is told from its predecessor at the same address.
    pub life: u64,
}

impl About {
    fn is_bounded(&self) -> bool {
        let fits = |text: &str| text.len() <= NAME_MOST && !text.chars().any(char::is_control);
        !self.name.is_empty() && fits(&self.name) && fits(&self.zone) && fits(&self.region)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Knows from its council what was agreed.
    Source,
    Listener,
}

#[derive(Clone, Debug)]
pub struct Start {
    pub about: About,
    pub role: Role,
    /// Where sources are reached; a source has the others here.
    pub sources: Vec<SocketAddr>,
    pub terms: Terms,
    /// What is in force as it starts.
    pub held: Content,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// In force from now on: differences, in order.
    InForce {
        version: Version,
        edits: Vec<Edit>,
    },
    /// In force from now on: all of [`Node::content`], as differences do not lead there.
    Whole {
        version: Version,
    },
    Note(String),
}

#[derive(Clone, Debug, Default)]
pub struct Out {
    pub send: Vec<(SocketAddr, Message)>,
    pub events: Vec<Event>,
}

/// What one process can say of the fleet, for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    pub version: Version,
    pub digest: u128,
    pub tenants: u64,
    /// How long ago a source's word last came here, over whichever hands; none where it never did.
    pub age_ms: Option<f64>,
    /// Hands here: whom it hears from, its spare, how many hear from it.
    pub parent: Option<SocketAddr>,
    pub spare: Option<SocketAddr>,
    pub children: u64,
    /// Summed on the way back: processes under this one, how many of them have this version in force, the oldest version
    /// among them, and some of those that are missing, by name. A listener counts itself, a source does not.
    pub under: u64,
    pub in_force: u64,
    pub oldest: Version,
    pub missing: Vec<String>,
}

/// Times that come round.
#[derive(Clone, Debug)]
struct Due {
    beat: f64,
    near: f64,
    check: f64,
    /// The next sum, and the earliest that one may follow on the last.
    sum: f64,
    sum_least: f64,
    /// Children have not been sent the newest; not before this.
    flush: Option<f64>,
    flush_least: f64,
    /// Nothing is fetched before.
    pull: f64,
    rebalance: f64,
}

#[derive(Clone, Debug)]
pub struct Node {
    about: About,
    role: Role,
    terms: Terms,
    rng: Pcg32,
    silent_ms: f64,
    content: Content,
    history: History,
    up: Up,
    spread: Spread,
    gone: Gone,
    joined: Joined,
    pull: Option<Pull>,
    /// Pulls in a row that nothing came of.
    pull_failed: u32,
    /// What the parent was last heard to have.
    parent_newest: Option<Newest>,
    /// When a source's word last left it, as far as known here.
    word_at: Option<f64>,
    /// Whom it asked last for its newest, and how often in a row as the parent's word was old.
    asked: Option<SocketAddr>,
    asked_stale: usize,
    /// What the one asked had that was not here.
    behind: Option<Version>,
    idle_since: f64,
    due: Due,
    called_at: f64,
    out: Out,
}

impl Node {
    pub fn new(start: Start, now: f64) -> Self {
        let mut rng = Pcg32::seed_from_u64(start.seed);
        let terms = start.terms;
        let source = start.role == Role::Source;
        let others: Vec<SocketAddr> =
            start.sources.iter().copied().filter(|at| *at != start.about.address).collect();
        let (least, most) = terms.silent_ms;
        let silent_ms = rng.random_range(least..=most.max(least));
        let up = Up::new(if source { Vec::new() } else { others.clone() }, now, &terms, &mut rng);
        let spread = Spread::new(if source { &others } else { &[] });
        Node {
            about: start.about,
            role: start.role,
            silent_ms,
            content: start.held,
            history: History::default(),
            up,
            spread,
            gone: Gone::default(),
            joined: Joined::default(),
            pull: None,
            pull_failed: 0,
            parent_newest: None,
            word_at: None,
            asked: None,
            asked_stale: 0,
            behind: None,
            idle_since: now,
            due: Due {
                beat: now,
                near: now,
                check: now + rng.random_range(0.5..1.0) * terms.spare_check_ms,
                sum: now,
                sum_least: now,
                flush: None,
                flush_least: now,
                pull: now,
                rebalance: now,
            },
            called_at: now,
            out: Out::default(),
            terms,
            rng,
        }
    }
    pub fn about(&self) -> &About {
        &self.about
    }
    pub fn content(&self) -> &Content {
        &self.content
    }
    /// Whether it feeds others.
    pub fn is_relay(&self) -> bool {
        self.up.relay
    }
    pub fn next_at(&self) -> f64 {
        let mut at = self.due.beat;
        if let Some(flush) = self.due.flush {
            at = at.min(flush);
        }
        if let Some(pull) = &self.pull {
            at = at.min(pull.until);
        } else if self.ahead().is_some() {
            at = at.min(self.due.pull.max(self.called_at));
        }
        at = at.min(self.spread.next_silent_at(&self.terms));
        match self.role {
            Role::Source => at.min(self.due.near),
            Role::Listener => {
                if self.up.parent().is_some() {
                    at = at.min(self.due.sum).min(self.due.check);
                }
                at.min(self.up.next_at(self.silent_ms))
            }
        }
    }
    pub fn take(&mut self) -> Out {
        std::mem::take(&mut self.out)
    }
    pub fn tick(&mut self, now: f64) {
        self.wake(now);
        self.flush(now);
        self.tick_children(now);
        if now >= self.due.beat {
            self.due.beat = now + self.terms.beat_ms;
            let newest = self.newest(now);
            let to = self.spread.children.iter().map(|child| child.address);
            let to: Vec<SocketAddr> = to.chain(self.spread.peers.iter().map(|peer| peer.address)).collect();
            for to in to {
                self.send(to, Message::Beat(newest));
            }
            self.gone.fade(now);
            self.joined.fade(now);
        }
        match self.role {
            Role::Source => self.tick_source(now),
            Role::Listener => self.tick_listener(now),
        }
        self.catch_up(now);
    }
    /// A message from the process that is reached at `from`. One from a stranger is ignored but for what seeks attachment.
    pub fn hear(&mut self, now: f64, from: SocketAddr, message: Message) {
        self.wake(now);
        if from == self.about.address {
            return;
        }
        let parent = self.up.parent() == Some(from);
        let peer = self.spread.peers.iter().any(|peer| peer.address == from);
        match message {
            Message::Seek { about, avoid, sent_on } => self.hear_seek(now, from, &about, &avoid, sent_on),
            Message::Ways { relays, relay, over, ask } => self.hear_ways(now, from, relays, relay, over, ask),
            Message::Attach { about, newest, relay, over } => {
                self.hear_attach(now, from, about, newest, relay, over);
            }
            Message::Attached(newest) => self.hear_attached(now, from, newest),
            Message::Refused if parent => {
                // Not known there any more, as after a restart or a pause of one of the two: attached anew, there or elsewhere.
                let again = self.up.again(now, from, &mut self.rng);
                self.unattached();
                self.step(now, again);
            }
            Message::Refused => {
                let step = self.up.failed(now, from, true, &mut self.rng);
                self.step(now, step);
            }
            Message::Leave => {
                if let Some(child) = self.spread.remove(from) {
                    self.gone.back(&child.about.name);
                    self.sum_soon();
                } else if parent {
                    self.parent_lost(now, from, false);
                }
            }
            Message::Beat(newest) | Message::Checked(newest) if parent || peer => {
                self.word(now, from, newest);
            }
            Message::Checked(newest) => self.hear_checked(now, from, newest),
            Message::Beat(_) | Message::Changes(_) if self.role == Role::Listener && !parent => {
                self.not_mine(from)
            }
            Message::Changes(changes) => self.hear_changes(now, from, changes),
            Message::Near { relays, sources }
                if parent && relays.len() <= LIST_MOST && sources.len() <= LIST_MOST =>
            {
                self.up.told_near(relays, &sources, self.about.address);
                self.tell_near(now);
            }
            Message::Ask(newest) if self.may_ask(from) => self.answer(now, from, newest),
            Message::AskPart { version, after }
                if self.may_ask(from) && after.as_ref().is_none_or(|after| after.len() <= NAME_MOST) =>
            {
                self.answer_part(from, version, after);
            }
            Message::Part { version, digest, after, entries, last } => {
                self.hear_part(now, from, (version, digest), after, entries, last);
            }
            Message::Sum(sum) => self.hear_sum(now, from, sum),
            Message::Elsewhere(to) if parent => {
                let step = match to {
                    Some(to) if self.up.relay && self.up.is_source(to) => {
                        self.up.elsewhere(now, to, &mut self.rng)
                    }
                    None if !self.up.relay => self.up.seek(now, None),
                    _ => return,
                };
                self.send(from, Message::Leave);
                self.unattached();
                self.step(now, step);
            }
            Message::Found(names) if parent && names.len() <= MISSING_MOST => {
                names.iter().for_each(|name| self.gone.back(name));
                self.sum_soon();
            }
            Message::Joined(joined) if peer && joined.len() <= JOINED_MOST => {
                for (name, at) in joined.into_iter().filter(|(name, _)| name.len() <= NAME_MOST) {
                    self.joins(now, &name, at);
                }
            }
            Message::Check if self.feeds() => {
                let newest = self.newest(now);
                self.send(from, Message::Checked(newest));
            }
            Message::Relays { about, relays } if peer => {
                let bounded =
                    relays.iter().all(|relay| relay.zone.len().max(relay.region.len()) <= NAME_MOST);
                if bounded && relays.len() <= PLACES_MOST && about.is_bounded() {
                    self.spread.told_relays(now, from, about, relays);
                }
            }
            _ => {}
        }
        self.flush(now);
        self.catch_up(now);
    }
    /// Nothing can be sent to this address, or its link ended.
    pub fn lost(&mut self, now: f64, address: SocketAddr) {
        self.wake(now);
        if let Some(child) = self.spread.remove(address) {
            self.child_gone(now, child);
        }
        if let Some(peer) = self.spread.peer(address) {
            peer.newest = None;
        }
        if self.pull.as_ref().is_some_and(|pull| pull.from == address) {
            self.pull = None;
        }
        if self.up.parent() == Some(address) {
            self.parent_lost(now, address, false);
        } else {
            let step = self.up.failed(now, address, false, &mut self.rng);
            self.step(now, step);
        }
        self.catch_up(now);
    }
    /// It ends on purpose: parent and children are told, so that nobody waits for its silence.
    pub fn leave(&mut self) {
        let to = self.spread.children.drain(..).map(|child| child.address);
        let to: Vec<SocketAddr> = to.chain(self.up.parent()).collect();
        for to in to {
            self.send(to, Message::Leave);
        }
    }
    /// Of a source: makes of edits the change that would come next, checked whole against what is in force.
    ///
    /// Errors: one line that names the edit, the figure, the number or the size that can't be.
    pub fn prepare(
        &self,
        edits: Vec<Edit>,
        after: Option<u64>,
        era: u64,
        unix_ms: u64,
    ) -> Result<Numbered, String> {
        let before = self.content.version();
        if self.role != Role::Source {
            return Err(format!(
                "{} is no source; propose to one of the machines set aside",
                self.about.name
            ));
        }
        if let Some(after) = after.filter(|after| *after != before.number) {
            let newest = before.number;
            return Err(format!(
                "after {after}: the newest number is {newest}; look at it, then propose after {newest}"
            ));
        }
        if let Some(child) = self.spread.children.iter().find(|child| child.sum.version > before) {
            let (name, newer) = (&child.about.name, child.sum.version);
            return Err(format!(
                "{name} has {newer} in force, {before} is the newest here; propose when that came here"
            ));
        }
        // Guards against a source that began from another list: what it proposes would be in force everywhere.
        let own = self.content.digest() as u64;
        let forked = |newest: &Newest| newest.version == before && newest.digest != own;
        if let Some(peer) = self.spread.peers.iter().find(|peer| peer.newest.as_ref().is_some_and(forked)) {
            let other = peer.address;
            return Err(format!(
                "the source at {other} has another content under {before}; mend the one that is wrong, then propose"
            ));
        }
        let digest = self.content.check(&edits)?;
        let number = before.number.checked_add(1).ok_or("the numbers of this era are used up")?;
        let version = Version { era: era.max(before.era), number };
        Ok(Numbered { version, before, digest, edits, proposed_ms: unix_ms })
    }
    /// Of a source: the council has decided this.
    pub fn agreed(&mut self, now: f64, change: Numbered) {
        self.wake(now);
        let held = self.content.version();
        if change.version <= held {
            self.held_already(&change);
            return;
        }
        if let Err(unfit) = self.apply(now, change.clone()) {
            self.note(format!("change {} was agreed, {held} is in force here: it {unfit}", change.version));
            let others: Vec<SocketAddr> = self.spread.peers.iter().map(|peer| peer.address).collect();
            for other in others {
                self.send(other, Message::Check);
            }
        }
        self.flush(now);
    }
    pub fn status(&self, now: f64) -> Status {
        let sum = self.sum();
        Status {
            name: self.about.name.clone(),
            version: self.content.version(),
            digest: self.content.digest(),
            tenants: self.content.len() as u64,
            age_ms: match self.role {
                Role::Source => Some(0.0),
                Role::Listener => self.word_at.map(|at| (now - at).max(0.0)),
            },
            parent: self.up.parent(),
            spare: self.up.spare(),
            children: self.spread.children.len() as u64,
            under: sum.under.into(),
            in_force: sum.in_force.into(),
            oldest: sum.oldest,
            missing: sum.missing,
        }
    }
    /// The last changes that are kept, oldest first.
    pub fn history(&self) -> Vec<Numbered> {
        self.history.iter().cloned().collect()
    }

    fn feeds(&self) -> bool {
        self.role == Role::Source || self.up.relay
    }
    fn newest(&self, now: f64) -> Newest {
        let age = match (self.role, self.word_at) {
            (Role::Source, _) => 0.0,
            (Role::Listener, Some(at)) => (now - at).max(0.0),
            (Role::Listener, None) => f64::INFINITY,
        };
        let digest = self.content.digest() as u64;
        Newest { version: self.content.version(), digest, age_ms: age as u32 }
    }
    fn sum(&self) -> Sum {
        let own = Some(&*self.about.name).filter(|_| self.role == Role::Listener);
        aggregation::sum(own, self.content.version(), &self.spread.children, &self.gone)
    }
    fn send(&mut self, to: SocketAddr, message: Message) {
        self.out.send.push((to, message));
    }
    fn note(&mut self, note: String) {
        self.out.events.push(Event::Note(note));
    }
    fn sum_soon(&mut self) {
        self.due.sum = self.due.sum.min(self.due.sum_least);
    }
    /// Guards against taking others for silent when it is this process that was stopped.
    fn wake(&mut self, now: f64) {
        let stopped = now - self.called_at;
        if stopped > self.terms.stopped_ms {
            self.spread.stopped(stopped);
            self.up.stopped(now, self.silent_ms);
        }
        self.called_at = self.called_at.max(now);
    }

    fn tick_children(&mut self, now: f64) {
        for child in self.spread.silent(now, &self.terms) {
            self.child_gone(now, child);
        }
    }
    fn child_gone(&mut self, now: f64, child: Child) {
        self.gone.add(now, child.about.name);
        self.sum_soon();
    }
    fn tick_source(&mut self, now: f64) {
        if now < self.due.near {
            return;
        }
        self.due.near = now + self.terms.near_ms;
        if now >= self.due.rebalance {
            self.due.rebalance = now + self.rng.random_range(1.0..2.0) * self.terms.rebalance_ms;
            if let Some((child, to)) = self.spread.better(now, &self.about, &self.terms) {
                self.send(child, Message::Elsewhere(Some(to)));
            }
        }
        for _ in 0..4.min(self.spread.children.len()) {
            let Some(child) = self.spread.in_turn() else { break };
            self.joined.add(now, &child, self.about.address);
            self.joined.tell(&child, self.about.address);
        }
        let joined = self.joined.news(JOINED_MOST);
        let relays = self.spread.places();
        let peers: Vec<SocketAddr> = self.spread.peers.iter().map(|peer| peer.address).collect();
        for peer in peers {
            let about = self.about.clone();
            self.send(peer, Message::Relays { about, relays: relays.clone() });
            if !joined.is_empty() {
                self.send(peer, Message::Joined(joined.clone()));
            }
        }
        self.tell_near(now);
    }
    /// Children that were told of others before are told when that changes.
    fn tell_near(&mut self, now: f64) {
        let mut told = Vec::new();
        for child in &self.spread.children {
            let near = match self.role {
                Role::Source => self.spread.near(now, child, &self.terms),
                Role::Listener => placement::rotated(&self.up.near, child.address),
            };
            if near != child.near {
                told.push((child.address, child.about.region.clone(), near));
            }
        }
        for (address, region, near) in told {
            let sources = self.spread.sources(self.about.address, &self.about, &region);
            let sources = if self.role == Role::Source { sources } else { self.up.sources().to_vec() };
            if let Some(child) = self.spread.child(address) {
                child.near = near.clone();
            }
            self.send(address, Message::Near { relays: near, sources });
        }
    }
    fn tick_listener(&mut self, now: f64) {
        let silent = self.up.parent().filter(|_| now >= self.up.next_at(self.silent_ms));
        if let Some(parent) = silent {
            self.parent_lost(now, parent, true);
        } else {
            let step = self.up.tick(now, self.silent_ms, &mut self.rng);
            self.step(now, step);
        }
        let Some(parent) = self.up.parent() else { return };
        if now >= self.due.sum {
            self.due.sum = now + self.terms.sum_ms;
            self.due.sum_least = now + self.terms.sum_least_ms;
            let mut sum = self.sum();
            sum.joined = self.joined.news(MISSING_MOST).into_iter().map(|(name, _)| name).collect();
            if self.joined.has_news() {
                self.due.sum = self.due.sum_least;
            } else if let Some(child) = self.spread.in_turn() {
                // One after the other again, as what was said once may be lost with a link or a source.
                sum.joined.push(child);
                sum.joined.truncate(MISSING_MOST);
            }
            self.send(parent, Message::Sum(sum));
        }
        let stale = self.word_at.is_none_or(|at| now - at > self.terms.stale_ms);
        if now >= self.due.check {
            self.due.check =
                now + if self.up.relay { self.terms.relay_check_ms } else { self.terms.spare_check_ms };
            self.asked = if stale { self.up.other(self.asked_stale) } else { self.up.spare() };
            self.asked_stale = if stale { self.asked_stale + 1 } else { 0 };
            if let Some(asked) = self.asked {
                self.send(asked, Message::Check);
            }
        }
        if stale {
            self.due.check = self.due.check.min(now + 1000.0);
        }
        let over = self.spread.children.len() > self.terms.fan_out;
        if !over {
            self.due.rebalance = now + self.rng.random_range(1.0..2.0) * self.terms.rebalance_ms;
        } else if now >= self.due.rebalance {
            self.due.rebalance = now + self.terms.rebalance_ms;
            let last = self.spread.children.last().map(|child| child.address);
            last.into_iter().for_each(|last| self.send(last, Message::Elsewhere(None)));
        }
        if !self.up.relay || !self.spread.children.is_empty() {
            self.idle_since = now;
        } else if now - self.idle_since > self.terms.leaf_again_ms {
            self.idle_since = now;
            self.send(parent, Message::Leave);
            self.up.relay = false;
            let step = self.up.seek(now, None);
            self.unattached();
            self.step(now, step);
        }
    }
    fn parent_lost(&mut self, now: f64, parent: SocketAddr, silent: bool) {
        if broken::is(Broken::SpareNeverUsed) {
            self.up.heard(now);
            return;
        }
        if broken::is(Broken::CutOffForgets) {
            self.content = Content::default();
            self.history.clear();
        }
        if silent {
            self.send(parent, Message::Leave);
        }
        let step = self.up.failed(now, parent, false, &mut self.rng);
        self.unattached();
        self.step(now, step);
    }
    fn unattached(&mut self) {
        self.pull = None;
        self.pull_failed = 0;
        self.parent_newest = None;
        self.asked = None;
        self.behind = None;
    }
    fn step(&mut self, now: f64, step: Option<Step>) {
        match step {
            Some(Step::Seek { source, sent_on }) => {
                let avoid = self.up.avoid.clone();
                self.send(source, Message::Seek { about: self.about.clone(), avoid, sent_on });
            }
            Some(Step::Attach { to, over }) => {
                let newest = self.newest(now);
                let about = self.about.clone();
                self.send(to, Message::Attach { about, newest, relay: self.up.relay, over });
            }
            Some(Step::StepDown) => {
                self.up.relay = false;
                let children: Vec<SocketAddr> =
                    self.spread.children.drain(..).map(|child| child.address).collect();
                for child in children {
                    self.send(child, Message::Leave);
                }
            }
            None => {}
        }
    }

    fn hear_seek(&mut self, now: f64, from: SocketAddr, about: &About, avoid: &[SocketAddr], sent_on: bool) {
        if self.role != Role::Source {
            self.send(from, Message::Refused);
            return;
        }
        if about.is_bounded() && avoid.len() <= LIST_MOST {
            let ways = self.spread.ways(now, &self.about, from, about, avoid, sent_on, &self.terms);
            self.send(from, ways);
        }
    }
    fn hear_ways(
        &mut self,
        now: f64,
        from: SocketAddr,
        relays: Vec<SocketAddr>,
        relay: bool,
        over: bool,
        ask: Option<SocketAddr>,
    ) {
        let State::Seeking { source, sent_on, .. } = self.up.state else { return };
        if source != from || relays.len() > LIST_MOST {
            return;
        }
        let own = self.about.address;
        let step = if relay {
            self.up.relay = true;
            self.idle_since = now;
            self.up.attach(now, vec![from], false, &mut self.rng)
        } else if let Some(ask) = ask.filter(|ask| !sent_on && self.up.is_source(*ask)) {
            self.up.seek(now, Some(ask))
        } else {
            let relays = relays.into_iter().filter(|at| *at != own && !self.up.is_source(*at)).collect();
            self.up.attach(now, relays, over, &mut self.rng)
        };
        self.step(now, step);
    }
    fn hear_attach(
        &mut self,
        now: f64,
        from: SocketAddr,
        about: About,
        newest: Newest,
        relay: bool,
        over: bool,
    ) {
        let source = self.role == Role::Source;
        let known = self.spread.children.iter().any(|child| child.address == from);
        let most = match (source, over) {
            (true, false) => self.terms.source_fan_out,
            (true, true) => self.terms.source_failover_fan_out,
            (false, false) => self.terms.fan_out,
            (false, true) => self.terms.failover_fan_out,
        };
        // Sources feed relays and relays feed leaves; anything else could come to a circle.
        let fits = self.feeds() && source == relay && self.up.parent() != Some(from);
        let most = if self.spread.is_promised(from) { self.terms.source_failover_fan_out } else { most };
        let room = known || self.spread.children.len() < most;
        if !fits || !room || !about.is_bounded() {
            self.send(from, Message::Refused);
            return;
        }
        self.gone.back(&about.name);
        if !known {
            let at = self.about.address;
            self.joined.tell(&about.name, at);
            if source {
                self.joined.add(now, &about.name, at);
            }
        }
        self.spread.add(now, from, about, newest, self.content.version());
        let own = self.newest(now);
        self.send(from, Message::Attached(own));
        self.tell_near(now);
        self.sum_soon();
    }
    fn hear_attached(&mut self, now: f64, from: SocketAddr, newest: Newest) {
        match self.up.state {
            State::Attaching { to, .. } if to == from => {
                self.up.attached(now, from);
                self.unattached();
                self.due.sum = now;
                self.due.check = now + self.rng.random_range(0.5..1.0) * self.terms.relay_check_ms;
                self.word(now, from, newest);
            }
            _ => self.not_mine(from),
        }
    }
    /// Feeds this process, which hears from another by now.
    fn not_mine(&mut self, from: SocketAddr) {
        let going = matches!(self.up.state, State::Attaching { to, .. } if to == from);
        if !going && self.up.parent() != Some(from) && self.role == Role::Listener {
            self.send(from, Message::Leave);
        }
    }
    /// What a parent, or another source, has.
    fn word(&mut self, now: f64, from: SocketAddr, newest: Newest) {
        if let Some(peer) = self.spread.peer(from) {
            peer.newest = Some(newest);
            peer.heard_at = now;
            return;
        }
        if self.up.parent() != Some(from) {
            return;
        }
        self.up.heard(now);
        if newest.age_ms < u32::MAX {
            let at = now - f64::from(newest.age_ms);
            self.word_at = Some(self.word_at.map_or(at, |held| held.max(at)));
        }
        self.parent_newest = Some(newest);
    }
    fn hear_checked(&mut self, now: f64, from: SocketAddr, newest: Newest) {
        let Some(parent) = self.up.parent().filter(|_| self.asked == Some(from)) else { return };
        let own = self.newest(now);
        let fresher = f64::from(own.age_ms) > self.terms.stale_ms
            && f64::from(newest.age_ms) + self.terms.beat_ms < f64::from(own.age_ms);
        let left_behind = self.behind.is_some_and(|behind| behind > own.version) && self.pull.is_none();
        if fresher || left_behind {
            self.up.prefer(from);
            self.send(parent, Message::Leave);
            self.parent_lost(now, parent, false);
        } else if newest.version > own.version {
            self.behind = Some(newest.version);
            self.due.check = self.due.check.min(now + 1000.0);
        } else {
            self.behind = None;
        }
    }
    fn hear_sum(&mut self, now: f64, from: SocketAddr, mut sum: Sum) {
        let fit = |names: &[String]| {
            names.len() <= MISSING_MOST && names.iter().all(|name| name.len() <= NAME_MOST)
        };
        let bounded = fit(&sum.missing) && fit(&sum.joined);
        if !bounded || sum.in_force > sum.under {
            return;
        }
        if self.role == Role::Listener {
            // Of a relay: its children feed nobody.
            (sum.under, sum.in_force, sum.feeds) = (1, sum.in_force.min(1), 0);
            sum.joined.clear();
            sum.missing.clear();
        } else if self.spread.child(from).is_some() {
            for name in std::mem::take(&mut sum.joined) {
                self.joins(now, &name, from);
                self.joined.tell(&name, from);
            }
            let joined = &self.joined;
            let found: Vec<String> =
                sum.missing.extract_if(.., |name| joined.elsewhere(name, from)).collect();
            if !found.is_empty() {
                self.send(from, Message::Found(found));
            }
        }
        if self.spread.summed(now, from, sum) {
            self.sum_soon();
        } else if !self.spread.peers.iter().any(|peer| peer.address == from) {
            self.send(from, Message::Refused);
        }
    }

    /// Of a source: attached there, so not gone from here.
    fn joins(&mut self, now: f64, name: &str, at: SocketAddr) {
        self.joined.add(now, name, at);
        self.gone.back(name);
    }

    /// Children that were sent less are sent the differences, or a sign to ask for them.
    fn flush(&mut self, now: f64) {
        if self.due.flush.is_none_or(|at| now < at) {
            return;
        }
        self.due.flush = None;
        self.due.flush_least = now + self.terms.coalesce_ms;
        let newest = self.newest(now);
        let version = newest.version;
        let mut sends = Vec::new();
        for child in self.spread.children.iter_mut().filter(|child| child.sent != version) {
            let after = self.history.after(child.sent);
            let changes: Option<Vec<Numbered>> = after.map(|after| after.cloned().collect());
            let small = |changes: &Vec<Numbered>| {
                changes.len() == 1 || changes.iter().map(Numbered::bytes).sum::<usize>() <= PART_BYTES
            };
            let message = match changes.filter(small) {
                Some(changes) => Message::Changes(changes),
                None => Message::Beat(newest),
            };
            sends.push((child.address, message));
            child.sent = version;
        }
        self.out.send.extend(sends);
    }
}
