//! How what is missing is fetched: differences where the other's history reaches back, else the whole, part for part.

use std::net::SocketAddr;

use rand::RngExt;

use super::{Event, Message, Newest, Node, Role};
use crate::broken::{self, Broken};
use crate::quota_table::{Building, Content, Numbered, Unfit, Version, PART_BYTES};

/// An answer that is waited for.
#[derive(Clone, Debug)]
pub struct Pull {
    pub from: SocketAddr,
    pub until: f64,
    pub building: Option<Building>,
    /// How often the whole was begun, anew where the other's history no longer joins its parts.
    pub begun: u32,
}

/// Then it is left, to be asked for again a little later.
const BEGUN_MOST: u32 = 8;

impl Pull {
    fn new(from: SocketAddr, until: f64) -> Self {
        Pull { from, until, building: None, begun: 0 }
    }
}

impl Node {
    /// Who may be answered with changes: those that are fed from here, other sources, and a source that begins from nothing.
    pub(super) fn may_ask(&self, from: SocketAddr) -> bool {
        let child = self.spread.children.iter().any(|child| child.address == from);
        child || self.spread.peers.iter().any(|peer| peer.address == from) || self.up.parent() == Some(from)
    }
    pub(super) fn answer(&mut self, now: f64, from: SocketAddr, asked: Newest) {
        let newest = self.newest(now);
        if asked.version > newest.version || (asked.version, asked.digest) == (newest.version, newest.digest)
        {
            self.send(from, Message::Checked(newest));
            return;
        }
        if !self.send_after(from, asked.version) {
            self.send_part(from, None);
        }
    }
    /// All changes after a version, in messages of bounded length; false where the history does not reach back that far.
    fn send_after(&mut self, to: SocketAddr, version: Version) -> bool {
        let Some(after) = self.history.after(version) else { return false };
        let mut together = Vec::new();
        let mut changes = Vec::new();
        let mut bytes = 0;
        for change in after {
            if bytes > 0 && bytes + change.bytes() > PART_BYTES {
                together.push(std::mem::take(&mut changes));
                bytes = 0;
            }
            bytes += change.bytes();
            changes.push(change.clone());
        }
        together.push(changes);
        for changes in together {
            self.send(to, Message::Changes(changes));
        }
        true
    }
    /// The next part, after what changed since the last one; or the first of what is in force by now.
    pub(super) fn answer_part(&mut self, to: SocketAddr, version: Version, after: Option<String>) {
        let same = version == self.content.version();
        let goes_on = after.is_some() && (same || self.send_after(to, version));
        self.send_part(to, after.filter(|_| goes_on));
    }
    fn send_part(&mut self, to: SocketAddr, after: Option<String>) {
        let (entries, last) = self.content.part(after.as_deref());
        let (version, digest) = (self.content.version(), self.content.digest());
        self.send(to, Message::Part { version, digest, after, entries, last });
    }
    /// Who has what is missing here.
    pub(super) fn ahead(&self) -> Option<SocketAddr> {
        let own = self.content.version();
        let other = |newest: &Newest| {
            let forked = own == Version::default() && newest.digest != self.content.digest() as u64;
            newest.version > own || (newest.version == own && forked)
        };
        if self.role == Role::Listener {
            return self.up.parent().filter(|_| self.parent_newest.as_ref().is_some_and(other));
        }
        let newer = |newest: &Newest| newest.version > own;
        let peers = self.spread.peers.iter().filter(|peer| peer.newest.as_ref().is_some_and(newer));
        let peer = peers.max_by_key(|peer| peer.newest.map(|newest| newest.version));
        if let Some(peer) = peer {
            return Some(peer.address);
        }
        // A source that begins from nothing, as all others do: a relay may still have what was agreed. Not later, as what a
        // relay says is no source's word.
        let nothing = own == Version::default();
        let children = self.spread.children.iter().filter(|child| nothing && child.sum.version > own);
        children.max_by_key(|child| child.sum.version).map(|child| child.address)
    }
    pub(super) fn catch_up(&mut self, now: f64) {
        if let Some(pull) = self.pull.take_if(|pull| now >= pull.until) {
            self.pull_failed += 1;
            if let Some(peer) = self.spread.peer(pull.from) {
                peer.newest = None;
            }
            if self.pull_failed >= 3 && self.up.parent() == Some(pull.from) {
                self.send(pull.from, Message::Leave);
                self.parent_lost(now, pull.from, false);
            }
        }
        if self.pull.is_some() || now < self.due.pull {
            return;
        }
        if let Some(from) = self.ahead() {
            let newest = self.newest(now);
            self.send(from, Message::Ask(newest));
            self.pull = Some(Pull::new(from, now + self.terms.pull_ms));
        }
    }
    pub(super) fn hear_changes(&mut self, now: f64, from: SocketAddr, changes: Vec<Numbered>) {
        let asked = self.pull.as_ref().is_some_and(|pull| pull.from == from);
        let heard = self.up.parent() == Some(from) || asked || self.spread.peer(from).is_some();
        if !heard {
            return;
        }
        self.up.heard_from(now, from);
        for change in changes {
            let version = change.version;
            let pull = self.pull.as_mut().filter(|pull| pull.from == from);
            if let Some(building) = pull.and_then(|pull| pull.building.as_mut()) {
                building.change(&change);
            }
            if version <= self.content.version() && !broken::is(Broken::VersionNotCompared) {
                self.held_already(&change);
                continue;
            }
            let newest = Newest { version, digest: change.digest as u64, age_ms: u32::MAX };
            if self.up.parent() == Some(from) {
                self.parent_newest = Some(newest);
            }
            match self.apply(now, change) {
                Ok(()) => {}
                Err(Unfit::Gap) => {}
                Err(unfit) => {
                    self.note(format!("change {version} from {from}: {unfit}; nothing of it is in force"));
                    self.ask_whole(now, from);
                    return;
                }
            }
        }
        let building = self.pull.as_ref().is_some_and(|pull| pull.building.is_some());
        if asked && !building {
            self.pull = None;
            self.pull_failed = 0;
        }
    }
    /// A version that is in force, or from before: nothing changes, and another content under its number is said.
    pub(super) fn held_already(&mut self, change: &Numbered) {
        let held = match self.content.version() == change.version {
            true => Some(self.content.digest()),
            false => self.history.at(change.version).map(|held| held.digest),
        };
        if held.is_some_and(|held| held != change.digest) {
            self.note(format!(
                "change {} came with another content than is held; it is left out",
                change.version
            ));
        }
    }
    pub(super) fn apply(&mut self, now: f64, change: Numbered) -> Result<(), Unfit> {
        self.content.apply(&change)?;
        let (version, edits) = (change.version, change.edits.clone());
        self.history.push(change);
        self.out.events.push(Event::InForce { version, edits });
        self.changed(now);
        Ok(())
    }
    fn changed(&mut self, now: f64) {
        self.due.flush = Some(self.due.flush_least.max(now));
        self.sum_soon();
    }
    fn ask_whole(&mut self, now: f64, from: SocketAddr) {
        let own = self.newest(now);
        self.send(from, Message::AskPart { version: own.version, after: None });
        self.pull = Some(Pull::new(from, now + self.terms.pull_ms));
    }
    pub(super) fn hear_part(
        &mut self,
        now: f64,
        from: SocketAddr,
        (version, digest): (Version, u128),
        after: Option<String>,
        entries: Vec<(String, f64)>,
        last: bool,
    ) {
        let Some(pull) = self.pull.as_mut().filter(|pull| pull.from == from) else { return };
        let bytes: usize = entries.iter().map(|(name, _)| name.len() + 10).sum();
        if bytes > PART_BYTES || (entries.is_empty() && !last) {
            return;
        }
        if after.is_none() {
            pull.begun += 1;
            if pull.begun > BEGUN_MOST {
                self.pull = None;
                self.due.pull = now + self.rng.random_range(0.5..1.0) * self.terms.pull_ms;
                return;
            }
            pull.building = Some(Building::new(version, digest));
        }
        let Some(building) = pull.building.as_mut() else { return };
        if building.version != version || building.digest != digest || building.after() != after.as_deref() {
            return;
        }
        pull.until = now + self.terms.pull_ms;
        let added = building.add(entries);
        let next = building.after().map(str::to_string);
        if let Err(why) = added {
            self.pull = None;
            self.due.pull = now + self.terms.pull_ms;
            self.note(format!("the whole of {version} from {from}: {why}; nothing of it is in force"));
        } else if !last {
            self.send(from, Message::AskPart { version, after: next });
        } else if let Some(building) = self.pull.take().and_then(|pull| pull.building) {
            match building.finish() {
                Ok(content) => self.take_whole(now, content),
                Err(why) => {
                    self.due.pull = now + self.terms.pull_ms;
                    self.note(format!("{why}, from {from}; nothing of it is in force"));
                }
            }
        }
        self.up.heard_from(now, from);
    }
    fn take_whole(&mut self, now: f64, content: Content) {
        let own = self.content.version();
        let first = own == Version::default() && content.version() == own;
        if content.version() <= own && !first {
            return;
        }
        self.pull_failed = 0;
        self.content = content;
        self.history.clear();
        self.out.events.push(Event::Whole { version: self.content.version() });
        self.changed(now);
    }
}
