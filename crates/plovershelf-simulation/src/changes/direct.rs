//! The leader to all: each listener holds a link to one source, the first that answers, which sends it each change and a beat a
//! second; it says once a second what it has, and asks for what it missed.

use std::collections::BTreeMap;
use std::rc::Rc;

use plovershelf_config_distribution::{Change, Edit, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;

use super::shapes::SOURCES;
use super::{bytes_of, numbered, Hands, Log, Since, Start, Way};

const BEAT_MS: f64 = 1000.0;
const SILENT_MS: f64 = 3000.0;
const AGAIN_MS: f64 = 500.0;
const PART_BYTES: usize = 32 << 10;

#[derive(Clone, Debug, Serialize)]
pub enum Message {
    /// What the sender has; the first one makes it a child.
    Have(Version),
    Beat(Version),
    Ask(Version),
    Differences {
        after: Version,
        upto: Version,
        bytes: u32,
    },
    Part {
        version: Version,
        part: u32,
        of: u32,
        bytes: u32,
    },
}

pub struct Direct {
    place: usize,
    whole_bytes: usize,
    chance: Pcg32,
    log: Log,
    send: Vec<(usize, Message)>,
    /// Of a source: those that hear from it, with when it last heard from them and what they have.
    children: BTreeMap<usize, (f64, Version)>,
    /// Where it hears from: a source's place.
    parent: usize,
    heard: f64,
    beat_at: f64,
    newest: Version,
    ask_at: f64,
    parts: Option<(Version, Vec<bool>)>,
}

impl Direct {
    fn ask(&mut self, now: f64) {
        if self.newest > self.log.version && now >= self.ask_at {
            self.ask_at = now + AGAIN_MS;
            self.send.push((self.parent, Message::Ask(self.log.version)));
        }
    }

    fn next_parent(&mut self, now: f64) {
        self.parent = (self.parent + 1) % SOURCES;
        if self.parent == self.place {
            self.parent = (self.parent + 1) % SOURCES;
        }
        self.heard = now;
        self.beat_at = now + self.chance.random_range(0.0..AGAIN_MS);
    }
}

pub(crate) fn part_lengths(whole_bytes: usize) -> Vec<u32> {
    let count = whole_bytes.div_ceil(PART_BYTES).max(1);
    (0..count).map(|n| (whole_bytes - n * PART_BYTES).min(PART_BYTES) as u32).collect()
}

/// Marks a part as here; the version once all are.
pub(crate) fn take_part(
    parts: &mut Option<(Version, Vec<bool>)>,
    version: Version,
    part: u32,
    of: u32,
) -> Option<Version> {
    let begun = parts.get_or_insert_with(|| (version, vec![false; of as usize]));
    if begun.0 != version || begun.1.len() != of as usize {
        *begun = (version, vec![false; of as usize]);
    }
    if let Some(here) = begun.1.get_mut(part as usize) {
        *here = true;
    }
    let whole = begun.1.iter().all(|here| *here);
    whole.then(|| {
        *parts = None;
        version
    })
}

impl Way for Direct {
    type Message = Message;
    type Kept = Folder;
    const LINKS: bool = true;

    fn start(start: Start<'_, Folder>, now: f64) -> Self {
        let mut chance = Pcg32::seed_from_u64(start.seed);
        let first = now + chance.random_range(0.0..AGAIN_MS);
        let log = start.kept.map_or_else(Log::default, |kept| kept.0);
        let newest = log.version;
        Direct {
            place: start.place,
            whole_bytes: start.ground.whole_bytes,
            chance,
            log,
            send: Vec::new(),
            children: BTreeMap::new(),
            parent: usize::from(start.place == 0),
            heard: now,
            beat_at: first,
            newest,
            ask_at: 0.0,
            parts: None,
        }
    }

    fn next_at(&self) -> f64 {
        self.beat_at
    }

    fn tick(&mut self, now: f64) {
        if now < self.beat_at {
            return;
        }
        self.beat_at = now + BEAT_MS;
        if self.place < SOURCES {
            self.children.retain(|_, (heard, _)| now - *heard < 2.0 * SILENT_MS);
            let beat = Message::Beat(self.log.version);
            self.send.extend(self.children.keys().map(|child| (*child, beat.clone())));
        } else {
            if now - self.heard > SILENT_MS {
                self.next_parent(now);
                self.beat_at = now + BEAT_MS;
            }
            self.send.push((self.parent, Message::Have(self.log.version)));
        }
        self.ask(now);
    }

    fn hear(&mut self, now: f64, from: usize, message: Message) {
        match message {
            Message::Have(version) => {
                let before = self.children.insert(from, (now, version));
                if before.is_none() {
                    self.send.push((from, Message::Beat(self.log.version)));
                }
            }
            Message::Beat(version) => {
                self.heard = now;
                self.newest = self.newest.max(version);
                self.ask(now);
            }
            Message::Ask(version) => match self.log.since(version) {
                Since::Nothing => {}
                Since::Differences(bytes) => {
                    let upto = self.log.version;
                    self.send.push((from, Message::Differences { after: version, upto, bytes }));
                }
                Since::Whole => {
                    let lengths = part_lengths(self.whole_bytes);
                    let of = lengths.len() as u32;
                    let version = self.log.version;
                    let part =
                        |(n, bytes): (usize, u32)| Message::Part { version, part: n as u32, of, bytes };
                    self.send.extend(lengths.into_iter().enumerate().map(part).map(|part| (from, part)));
                }
            },
            Message::Differences { after, upto, bytes } => {
                self.heard = now;
                self.newest = self.newest.max(upto);
                if after <= self.log.version && upto > self.log.version {
                    self.log.put(upto, bytes);
                } else {
                    self.ask(now);
                }
            }
            Message::Part { version, part, of, .. } => {
                self.heard = now;
                self.ask_at = now + AGAIN_MS;
                if let Some(whole) = take_part(&mut self.parts, version, part, of) {
                    if whole > self.log.version {
                        self.log.set(whole);
                    }
                }
            }
        }
    }

    fn lost(&mut self, now: f64, place: usize) {
        self.children.remove(&place);
        if self.place >= SOURCES && place == self.parent {
            self.next_parent(now);
        }
    }

    fn prepare(&mut self, edits: Vec<Edit>, newest: Version, unix_ms: u64) -> Result<Change, String> {
        Ok(numbered(&mut self.chance, edits, newest, unix_ms))
    }

    fn agreed(&mut self, now: f64, change: &Rc<Change>) {
        self.newest = self.newest.max(change.version);
        if change.previous == self.log.version {
            let bytes = bytes_of(&**change) as u32;
            self.log.put(change.version, bytes);
            let message = Message::Differences { after: change.previous, upto: change.version, bytes };
            self.send.extend(self.children.keys().map(|child| (*child, message.clone())));
        } else {
            self.ask(now);
        }
    }

    fn take(&mut self, send: &mut Vec<(usize, Message)>) {
        send.append(&mut self.send);
    }

    fn beside(message: &Message) -> usize {
        match message {
            Message::Differences { bytes, .. } | Message::Part { bytes, .. } => *bytes as usize,
            _ => 0,
        }
    }

    fn version(&self) -> Version {
        self.log.version
    }
    fn digest(&self) -> Option<u128> {
        None
    }
    fn differs(&self, _from: &BTreeMap<String, f64>) -> bool {
        false
    }

    fn hands(&self, _now: f64) -> Hands {
        let in_force = self.children.values().filter(|(_, version)| *version == self.log.version).count();
        Hands {
            children: self.children.len() as u64,
            parent: (self.place >= SOURCES).then_some(self.parent),
            age_ms: None,
            under: self.children.len() as u64,
            in_force: in_force as u64,
        }
    }

    fn keep(self) -> Option<Folder> {
        Some(Folder(self.log))
    }
}

/// What a source keeps in its folder.
pub struct Folder(pub(crate) Log);
