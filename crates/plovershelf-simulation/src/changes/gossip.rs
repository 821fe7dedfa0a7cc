//! Gossip with exchange: every process tells a random other now and then which version it has; whoever finds itself behind asks
//! for what is missing. All are taken to know all addresses, and what keeping that list costs is not counted.

use std::collections::BTreeMap;
use std::rc::Rc;

use plovershelf_config_distribution::{Change, Edit, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;

use super::direct::{part_lengths, take_part, Folder};
use super::{bytes_of, numbered, Hands, Log, Since, Start, Way};

const AGAIN_MS: f64 = 500.0;

#[derive(Clone, Debug, Serialize)]
pub enum Message {
    Have(Version),
    Ask(Version),
    Differences { after: Version, upto: Version, bytes: u32 },
    Part { version: Version, part: u32, of: u32, bytes: u32 },
}

pub struct Gossip<const EVERY_MS: u64> {
    place: usize,
    places: usize,
    whole_bytes: usize,
    chance: Pcg32,
    log: Log,
    send: Vec<(usize, Message)>,
    tell_at: f64,
    ask_at: f64,
    parts: Option<(Version, Vec<bool>)>,
}

impl<const EVERY_MS: u64> Gossip<EVERY_MS> {
    fn other(&mut self) -> usize {
        let other = self.chance.random_range(0..self.places - 1);
        other + usize::from(other >= self.place)
    }
}

impl<const EVERY_MS: u64> Way for Gossip<EVERY_MS> {
    type Message = Message;
    type Kept = Folder;
    const LINKS: bool = false;

    fn start(start: Start<'_, Folder>, now: f64) -> Self {
        let mut chance = Pcg32::seed_from_u64(start.seed);
        let tell_at = now + chance.random_range(0.0..EVERY_MS as f64);
        Gossip {
            place: start.place,
            places: start.ground.places(),
            whole_bytes: start.ground.whole_bytes,
            chance,
            log: start.kept.map_or_else(Log::default, |kept| kept.0),
            send: Vec::new(),
            tell_at,
            ask_at: 0.0,
            parts: None,
        }
    }

    fn next_at(&self) -> f64 {
        self.tell_at
    }

    fn tick(&mut self, now: f64) {
        if now >= self.tell_at {
            self.tell_at = now + EVERY_MS as f64;
            let other = self.other();
            self.send.push((other, Message::Have(self.log.version)));
        }
    }

    fn hear(&mut self, now: f64, from: usize, message: Message) {
        match message {
            Message::Have(version) if version > self.log.version && now >= self.ask_at => {
                self.ask_at = now + AGAIN_MS;
                self.send.push((from, Message::Ask(self.log.version)));
            }
            Message::Have(version) if version < self.log.version => {
                self.send.push((from, Message::Have(self.log.version)));
            }
            Message::Have(_) => {}
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
                if after <= self.log.version && upto > self.log.version {
                    self.log.put(upto, bytes);
                    self.ask_at = now;
                }
            }
            Message::Part { version, part, of, .. } => {
                self.ask_at = now + AGAIN_MS;
                if let Some(whole) = take_part(&mut self.parts, version, part, of) {
                    if whole > self.log.version {
                        self.log.set(whole);
                    }
                    self.ask_at = now;
                }
            }
        }
    }

    fn lost(&mut self, _now: f64, _place: usize) {}

    fn prepare(&mut self, edits: Vec<Edit>, newest: Version, unix_ms: u64) -> Result<Change, String> {
        Ok(numbered(&mut self.chance, edits, newest, unix_ms))
    }

    fn agreed(&mut self, _now: f64, change: &Rc<Change>) {
        if change.previous == self.log.version {
            self.log.put(change.version, bytes_of(&**change) as u32);
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
        Hands::default()
    }
    fn keep(self) -> Option<Folder> {
        Some(Folder(self.log))
    }
}
