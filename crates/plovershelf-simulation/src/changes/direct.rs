//! Direct broadcast: each listener connects to one origin, which sends it each change and a heartbeat once a second. The listener
//! reports its version once a second, requests the changes that it missed, and connects to the next origin after
//! 3 s without a message.

use std::collections::BTreeMap;
use std::rc::Rc;

use plovershelf_config_distribution::{Change, Edit, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;

use super::shapes::ORIGINS;
use super::{bytes_of, model_change, ChangeLog, Missing, Start, Status, Strategy};

/// Interval of heartbeats and reports, in milliseconds.
const HEARTBEAT_MS: f64 = 1000.0;
/// Time without a message after which a listener changes its origin, in milliseconds.
const PARENT_TIMEOUT_MS: f64 = 3000.0;
/// Minimum interval between two requests for missed changes, in milliseconds.
const RETRY_MS: f64 = 500.0;
/// Maximum length of a part of the whole content, in bytes.
const PART_BYTES: usize = 32 << 10;

/// Message of the direct strategy.
#[derive(Clone, Debug, Serialize)]
pub enum Message {
    /// Version of a listener; the first such message makes the listener a child of the origin.
    Have(Version),
    /// Heartbeat of an origin with its newest version.
    Beat(Version),
    /// Request for the changes after a version.
    Ask(Version),
    /// Changes after one version up to another; `bytes` is their encoded length.
    Differences { after: Version, upto: Version, bytes: u32 },
    /// Part of the whole content, with its index, the number of parts and its length in bytes.
    Part { version: Version, part: u32, of: u32, bytes: u32 },
}

/// Process of the direct strategy.
pub struct Direct {
    index: usize,
    snapshot_bytes: usize,
    rng: Pcg32,
    log: ChangeLog,
    send: Vec<(usize, Message)>,
    /// Children of an origin, each with the time of its last report and its version.
    children: BTreeMap<usize, (f64, Version)>,
    /// Origin from which a listener receives changes.
    parent: usize,
    /// Time of the last message from the parent.
    last_message_at: f64,
    /// Time of the next heartbeat or report.
    heartbeat_at: f64,
    /// Newest version that is known to exist.
    newest: Version,
    /// Earliest time of the next request for missed changes.
    next_request_at: f64,
    /// Version and received parts of an incomplete transfer of the whole content.
    parts: Option<(Version, Vec<bool>)>,
}

impl Direct {
    /// Requests missed changes from the parent.
    fn request_missing(&mut self, now: f64) {
        if self.newest > self.log.version && now >= self.next_request_at {
            self.next_request_at = now + RETRY_MS;
            self.send.push((self.parent, Message::Ask(self.log.version)));
        }
    }

    /// Selects the next origin as parent.
    fn next_parent(&mut self, now: f64) {
        self.parent = (self.parent + 1) % ORIGINS;
        if self.parent == self.index {
            self.parent = (self.parent + 1) % ORIGINS;
        }
        self.last_message_at = now;
        self.heartbeat_at = now + self.rng.random_range(0.0..RETRY_MS);
    }
}

/// Returns the lengths of the parts into which the whole content is divided.
pub(crate) fn part_lengths(snapshot_bytes: usize) -> Vec<u32> {
    let count = snapshot_bytes.div_ceil(PART_BYTES).max(1);
    (0..count).map(|n| (snapshot_bytes - n * PART_BYTES).min(PART_BYTES) as u32).collect()
}

/// Marks a part as received and returns the version once all of its parts are.
pub(crate) fn take_part(
    parts: &mut Option<(Version, Vec<bool>)>,
    version: Version,
    part: u32,
    of: u32,
) -> Option<Version> {
    let transfer = parts.get_or_insert_with(|| (version, vec![false; of as usize]));
    if transfer.0 != version || transfer.1.len() != of as usize {
        *transfer = (version, vec![false; of as usize]);
    }
    if let Some(received) = transfer.1.get_mut(part as usize) {
        *received = true;
    }
    let complete = transfer.1.iter().all(|received| *received);
    complete.then(|| {
        *parts = None;
        version
    })
}

impl Strategy for Direct {
    type Message = Message;
    type Stored = StoredLog;
    const CONNECTION_ORIENTED: bool = true;

    fn start(start: Start<'_, StoredLog>, now: f64) -> Self {
        let mut rng = Pcg32::seed_from_u64(start.seed);
        let first = now + rng.random_range(0.0..RETRY_MS);
        let log = start.stored.map_or_else(ChangeLog::default, |stored| stored.0);
        let newest = log.version;
        Direct {
            index: start.index,
            snapshot_bytes: start.fleet.snapshot_bytes,
            rng,
            log,
            send: Vec::new(),
            children: BTreeMap::new(),
            parent: usize::from(start.index == 0),
            last_message_at: now,
            heartbeat_at: first,
            newest,
            next_request_at: 0.0,
            parts: None,
        }
    }

    fn poll_timeout(&self) -> f64 {
        self.heartbeat_at
    }

    fn handle_timeout(&mut self, now: f64) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + HEARTBEAT_MS;
        if self.index < ORIGINS {
            self.children.retain(|_, (reported_at, _)| now - *reported_at < 2.0 * PARENT_TIMEOUT_MS);
            let heartbeat = Message::Beat(self.log.version);
            self.send.extend(self.children.keys().map(|child| (*child, heartbeat.clone())));
        } else {
            if now - self.last_message_at > PARENT_TIMEOUT_MS {
                self.next_parent(now);
                self.heartbeat_at = now + HEARTBEAT_MS;
            }
            self.send.push((self.parent, Message::Have(self.log.version)));
        }
        self.request_missing(now);
    }

    fn handle_message(&mut self, now: f64, from: usize, message: Message) {
        match message {
            Message::Have(version) => {
                let before = self.children.insert(from, (now, version));
                if before.is_none() {
                    self.send.push((from, Message::Beat(self.log.version)));
                }
            }
            Message::Beat(version) => {
                self.last_message_at = now;
                self.newest = self.newest.max(version);
                self.request_missing(now);
            }
            Message::Ask(version) => match self.log.missing_since(version) {
                Missing::Nothing => {}
                Missing::Delta(bytes) => {
                    let upto = self.log.version;
                    self.send.push((from, Message::Differences { after: version, upto, bytes }));
                }
                Missing::Snapshot => {
                    let lengths = part_lengths(self.snapshot_bytes);
                    let of = lengths.len() as u32;
                    let version = self.log.version;
                    let part =
                        |(n, bytes): (usize, u32)| Message::Part { version, part: n as u32, of, bytes };
                    self.send.extend(lengths.into_iter().enumerate().map(part).map(|part| (from, part)));
                }
            },
            Message::Differences { after, upto, bytes } => {
                self.last_message_at = now;
                self.newest = self.newest.max(upto);
                if after <= self.log.version && upto > self.log.version {
                    self.log.append(upto, bytes);
                } else {
                    self.request_missing(now);
                }
            }
            Message::Part { version, part, of, .. } => {
                self.last_message_at = now;
                self.next_request_at = now + RETRY_MS;
                if let Some(whole) = take_part(&mut self.parts, version, part, of) {
                    if whole > self.log.version {
                        self.log.reset(whole);
                    }
                }
            }
        }
    }

    fn handle_connection_lost(&mut self, now: f64, index: usize) {
        self.children.remove(&index);
        if self.index >= ORIGINS && index == self.parent {
            self.next_parent(now);
        }
    }

    fn prepare_change(&mut self, edits: Vec<Edit>, newest: Version, unix_ms: u64) -> Result<Change, String> {
        Ok(model_change(&mut self.rng, edits, newest, unix_ms))
    }

    fn handle_commit(&mut self, now: f64, change: &Rc<Change>) {
        self.newest = self.newest.max(change.version);
        if change.previous == self.log.version {
            let bytes = bytes_of(&**change) as u32;
            self.log.append(change.version, bytes);
            let message = Message::Differences { after: change.previous, upto: change.version, bytes };
            self.send.extend(self.children.keys().map(|child| (*child, message.clone())));
        } else {
            self.request_missing(now);
        }
    }

    fn poll_messages(&mut self, send: &mut Vec<(usize, Message)>) {
        send.append(&mut self.send);
    }

    fn unencoded_bytes(message: &Message) -> usize {
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
    fn differs_from(&self, _expected: &BTreeMap<String, f64>) -> bool {
        false
    }

    fn status(&self, _now: f64) -> Status {
        let in_force = self.children.values().filter(|(_, version)| *version == self.log.version).count();
        Status {
            children: self.children.len() as u64,
            parent: (self.index >= ORIGINS).then_some(self.parent),
            age_ms: None,
            under: self.children.len() as u64,
            in_force: in_force as u64,
        }
    }

    fn into_stored(self) -> Option<StoredLog> {
        Some(StoredLog(self.log))
    }
}

/// State that an origin stores across restarts.
pub struct StoredLog(pub(crate) ChangeLog);
