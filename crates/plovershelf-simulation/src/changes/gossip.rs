//! Gossip with anti-entropy: every process periodically sends its version to a random peer, and a process that is behind requests
//! the missing changes. The model assumes that every process knows all addresses and does not count the cost of maintaining
//! that list.

use std::collections::BTreeMap;
use std::rc::Rc;

use plovershelf_config_distribution::{Change, Edit, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;

use super::direct::{part_lengths, take_part, StoredLog};
use super::{bytes_of, model_change, ChangeLog, Missing, Start, Status, Strategy};

/// Minimum interval between two requests for missed changes, in milliseconds.
const RETRY_MS: f64 = 500.0;

/// Message of the gossip strategy.
#[derive(Clone, Debug, Serialize)]
pub enum Message {
    /// Version of the sender.
    Have(Version),
    /// Request for the changes after a version.
    Ask(Version),
    /// Changes after one version up to another; `bytes` is their encoded length.
    Differences { after: Version, upto: Version, bytes: u32 },
    /// Part of the whole content, with its index, the number of parts and its length in bytes.
    Part { version: Version, part: u32, of: u32, bytes: u32 },
}

/// Process of the gossip strategy, which sends its version to a random peer every `INTERVAL_MS` milliseconds.
pub struct Gossip<const INTERVAL_MS: u64> {
    index: usize,
    process_count: usize,
    snapshot_bytes: usize,
    rng: Pcg32,
    log: ChangeLog,
    send: Vec<(usize, Message)>,
    /// Time at which the version is sent to the next peer.
    send_at: f64,
    /// Earliest time of the next request for missed changes.
    next_request_at: f64,
    /// Version and received parts of an incomplete transfer of the whole content.
    parts: Option<(Version, Vec<bool>)>,
}

impl<const INTERVAL_MS: u64> Gossip<INTERVAL_MS> {
    /// Returns a random process other than this one.
    fn random_peer(&mut self) -> usize {
        let peer = self.rng.random_range(0..self.process_count - 1);
        peer + usize::from(peer >= self.index)
    }
}

impl<const INTERVAL_MS: u64> Strategy for Gossip<INTERVAL_MS> {
    type Message = Message;
    type Stored = StoredLog;
    const CONNECTION_ORIENTED: bool = false;

    fn start(start: Start<'_, StoredLog>, now: f64) -> Self {
        let mut rng = Pcg32::seed_from_u64(start.seed);
        let send_at = now + rng.random_range(0.0..INTERVAL_MS as f64);
        Gossip {
            index: start.index,
            process_count: start.fleet.process_count(),
            snapshot_bytes: start.fleet.snapshot_bytes,
            rng,
            log: start.stored.map_or_else(ChangeLog::default, |stored| stored.0),
            send: Vec::new(),
            send_at,
            next_request_at: 0.0,
            parts: None,
        }
    }

    fn poll_timeout(&self) -> f64 {
        self.send_at
    }

    fn handle_timeout(&mut self, now: f64) {
        if now >= self.send_at {
            self.send_at = now + INTERVAL_MS as f64;
            let peer = self.random_peer();
            self.send.push((peer, Message::Have(self.log.version)));
        }
    }

    fn handle_message(&mut self, now: f64, from: usize, message: Message) {
        match message {
            Message::Have(version) if version > self.log.version && now >= self.next_request_at => {
                self.next_request_at = now + RETRY_MS;
                self.send.push((from, Message::Ask(self.log.version)));
            }
            Message::Have(version) if version < self.log.version => {
                self.send.push((from, Message::Have(self.log.version)));
            }
            Message::Have(_) => {}
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
                if after <= self.log.version && upto > self.log.version {
                    self.log.append(upto, bytes);
                    self.next_request_at = now;
                }
            }
            Message::Part { version, part, of, .. } => {
                self.next_request_at = now + RETRY_MS;
                if let Some(whole) = take_part(&mut self.parts, version, part, of) {
                    if whole > self.log.version {
                        self.log.reset(whole);
                    }
                    self.next_request_at = now;
                }
            }
        }
    }

    fn handle_connection_lost(&mut self, _now: f64, _index: usize) {}

    fn prepare_change(&mut self, edits: Vec<Edit>, newest: Version, unix_ms: u64) -> Result<Change, String> {
        Ok(model_change(&mut self.rng, edits, newest, unix_ms))
    }

    fn handle_commit(&mut self, _now: f64, change: &Rc<Change>) {
        if change.previous == self.log.version {
            self.log.append(change.version, bytes_of(&**change) as u32);
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
        Status::default()
    }
    fn into_stored(self) -> Option<StoredLog> {
        Some(StoredLog(self.log))
    }
}
