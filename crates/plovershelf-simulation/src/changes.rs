//! Simulation of configuration distribution: numbered changes are distributed by three strategies under the same seeds, changes
//! and faults: direct broadcast by the leader, gossip with anti-entropy, and the state machines of the server. All are checked
//! against the same promises, and the traffic of every process is counted.
//!
//! Bytes are those of the encoded messages plus [`MESSAGE_OVERHEAD_BYTES`] for each message. Messages between two processes
//! arrive in order. Messages in flight to a process that stops, or on a cut or lossy path, are lost, which is harsher than a
//! TCP stream.

pub mod direct;
pub mod gossip;
pub mod results;
pub mod shapes;
pub mod tree;
mod world;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use plovershelf_config_distribution::{Change, Edit, QuotaTable, Version};
use rand::RngExt;
use rand_pcg::Pcg32;
use serde::Serialize;

pub use results::{Broken, Rates, RunReport, TrafficSummary};
use shapes::{Scenario, ORIGINS};

/// Headers of the packet and of the frame, in bytes per message.
pub const MESSAGE_OVERHEAD_BYTES: usize = 40 + 8;
/// Time within which a committed change must be in force on every reachable listener, in milliseconds.
pub const IN_FORCE_MS: f64 = 4000.0;
/// Epoch of all versions.
pub const EPOCH: u64 = 1;

/// Promise: a version has the same content on every process.
pub const ONE_CONTENT_A_NUMBER: &str = "one-content-a-number";
/// Promise: the version of a process never decreases.
pub const NEVER_BACKWARDS: &str = "never-backwards";
/// Promise: every reachable listener has the newest committed change at the end.
pub const AGREED_IS_IN_FORCE: &str = "agreed-is-in-force";
/// Promise: a listener that is cut off keeps its version and reports the true age of its information.
pub const CUT_OFF_SERVES_ON: &str = "cut-off-serves-on";
/// Promise: an invalid edit is rejected and changes nothing.
pub const BAD_CHANGES_NOTHING: &str = "bad-changes-nothing";

/// Properties of the fleet that all processes know.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub listeners: usize,
    /// Initial content of all processes.
    pub content: QuotaTable,
    /// Encoded length of the whole content in bytes.
    pub snapshot_bytes: usize,
    pub seed: u64,
}

impl Fleet {
    /// Returns the number of origins and listeners.
    pub fn process_count(&self) -> usize {
        ORIGINS + self.listeners
    }
}

/// Parameters with which a process starts.
pub struct Start<'a, P> {
    /// Index of the process: origins first, then listeners.
    pub index: usize,
    pub fleet: &'a Fleet,
    pub seed: u64,
    /// State that an origin stored before it stopped, if any.
    pub stored: Option<P>,
}

/// State that a process reports about itself.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Number of processes that receive changes from this one.
    pub children: u64,
    /// Process from which this one receives changes.
    pub parent: Option<usize>,
    /// Age of the newest information from an origin in milliseconds, if the strategy reports it.
    pub age_ms: Option<f64>,
    /// Number of processes counted below this one.
    pub under: u64,
    /// Number of processes counted below this one that have its version in force.
    pub in_force: u64,
}

/// Process that takes part in a strategy for distributing changes.
pub trait Strategy: Sized {
    type Message: Clone + Serialize;
    /// State that an origin stores across restarts.
    type Stored;
    /// Whether peers hold connections to a process and so notice when it stops.
    const CONNECTION_ORIENTED: bool;

    /// Starts a process.
    fn start(start: Start<'_, Self::Stored>, now: f64) -> Self;
    /// Returns the time of the next call of `handle_timeout`, in milliseconds.
    fn poll_timeout(&self) -> f64;
    /// Handles a timeout; has no effect before it is due.
    fn handle_timeout(&mut self, now: f64);
    /// Handles a message from another process.
    fn handle_message(&mut self, now: f64, from: usize, message: Self::Message);
    /// Handles the loss of the connection to another process.
    fn handle_connection_lost(&mut self, now: f64, index: usize);
    /// Returns the change that would follow `newest`; called at origins only. Fails if an edit is invalid.
    fn prepare_change(&mut self, edits: Vec<Edit>, newest: Version, unix_ms: u64) -> Result<Change, String>;
    /// Handles a change that the consensus group committed; called at origins only.
    fn handle_commit(&mut self, now: f64, change: &Rc<Change>);
    /// Moves the messages that are to be sent into `send`.
    fn poll_messages(&mut self, send: &mut Vec<(usize, Self::Message)>);
    /// Returns the bytes that a message has beyond its encoding, for content that the model does not carry.
    fn unencoded_bytes(message: &Self::Message) -> usize;
    /// Corrupts a message with changes so that the receiver must reject it; leaves other messages unchanged.
    fn corrupt(_message: &mut Self::Message, _rng: &mut Pcg32) {}
    /// Returns whether the content has a quota for a tenant.
    fn has_tenant(&self, _tenant: &str) -> bool {
        false
    }
    /// Returns the version in force.
    fn version(&self) -> Version;
    /// Returns the digest of the content, or `None` if the strategy models no content.
    fn digest(&self) -> Option<u128>;
    /// Returns whether the content differs from the expected quotas.
    fn differs_from(&self, expected: &BTreeMap<String, f64>) -> bool;
    /// Returns the state that the process reports about itself.
    fn status(&self, now: f64) -> Status;
    /// Stops the process and returns the state that it has stored, if any.
    fn into_stored(self) -> Option<Self::Stored>;
}

/// Returns the encoded length of a value in bytes.
pub(crate) fn bytes_of<T: Serialize>(value: &T) -> usize {
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default()).unwrap_or(0)
}

/// Returns a change for a strategy that models no content. Its encoded length equals that of a real change.
pub(crate) fn model_change(rng: &mut Pcg32, edits: Vec<Edit>, newest: Version, unix_ms: u64) -> Change {
    let version = Version { epoch: EPOCH, number: newest.number + 1 };
    Change { version, previous: newest, digest: rng.random(), edits, proposed_unix_ms: unix_ms }
}

/// Simulates a scenario. `fault_targets`, the targets of each fault in the run of another strategy, replaces the targets that would be
/// chosen here, so that strategies are compared under the same faults.
pub fn run<S: Strategy>(scenario: &Scenario, fault_targets: Option<&[Vec<usize>]>) -> RunReport {
    world::World::<S>::new(scenario.clone()).run(fault_targets)
}

/// Change history of a process without content: the version and the encoded length of each change.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    /// Newest version.
    pub version: Version,
    /// Oldest version from which deltas are available.
    base: Version,
    lengths: VecDeque<(Version, u32)>,
}

/// Data that brings a process from a version to the newest one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Missing {
    /// The version is the newest one.
    Nothing,
    /// Changes of this total encoded length in bytes.
    Delta(u32),
    /// The whole content, because the history does not reach back to the version.
    Snapshot,
}

impl ChangeLog {
    const MAX_CHANGES: usize = 256;

    /// Appends the changes from the newest version to this one, with their encoded length.
    pub fn append(&mut self, version: Version, bytes: u32) {
        self.version = version;
        self.lengths.push_back((version, bytes));
        if self.lengths.len() > Self::MAX_CHANGES {
            self.base = self.lengths.pop_front().map_or(self.base, |(first, _)| first);
        }
    }
    /// Replaces the history after the whole content of a version was received; no earlier changes are available.
    pub fn reset(&mut self, version: Version) {
        (self.version, self.base) = (version, version);
        self.lengths.clear();
    }
    /// Returns the data that brings a process from `version` to the newest one.
    pub fn missing_since(&self, version: Version) -> Missing {
        if version >= self.version {
            return Missing::Nothing;
        }
        if version < self.base {
            return Missing::Snapshot;
        }
        let later = self.lengths.iter().filter(|(change, _)| *change > version);
        Missing::Delta(later.map(|(_, bytes)| bytes).sum())
    }
}
