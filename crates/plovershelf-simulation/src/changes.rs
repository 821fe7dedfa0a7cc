//! Numbered changes on simulated time, carried in three ways on the same seeds, changes and troubles: the leader sends to all,
//! gossip with exchange, and the very state machines that serve. Each is held to the same promises, and what each costs is counted
//! at every process.
//!
//! Bytes are those of the encoded messages, with [`OVERHEAD`] for each. Messages between two processes keep their order; what
//! is under way to a process that ends, or on a way that is cut or lossy, is lost, which is harsher than a stream is.

pub mod direct;
pub mod gossip;
pub mod shapes;
pub mod told;
pub mod tree;
mod world;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use plovershelf_config_distribution::{Change, Edit, QuotaTable, Version};
use rand::RngExt;
use rand_pcg::Pcg32;
use serde::Serialize;

use shapes::{Shape, SOURCES};
pub use told::{Broken, Came, Rates, Spent};

/// Headers of packets and of the frame, for each message.
pub const OVERHEAD: usize = 40 + 8;
/// Agreed means in force within that on all that are reachable.
pub const IN_FORCE_MS: f64 = 4000.0;
pub const ERA: u64 = 1;

pub const ONE_CONTENT_A_NUMBER: &str = "one-content-a-number";
pub const NEVER_BACKWARDS: &str = "never-backwards";
pub const AGREED_IS_IN_FORCE: &str = "agreed-is-in-force";
pub const CUT_OFF_SERVES_ON: &str = "cut-off-serves-on";
pub const BAD_CHANGES_NOTHING: &str = "bad-changes-nothing";

/// What all processes know of the fleet.
#[derive(Clone, Debug)]
pub struct Ground {
    pub listeners: usize,
    /// What all begin from.
    pub content: QuotaTable,
    /// That, as it is sent.
    pub whole_bytes: usize,
    pub seed: u64,
}

impl Ground {
    pub fn places(&self) -> usize {
        SOURCES + self.listeners
    }
}

/// One process as it starts.
pub struct Start<'a, H> {
    pub place: usize,
    pub ground: &'a Ground,
    pub seed: u64,
    /// What a source kept in its folder, where it had any.
    pub kept: Option<H>,
}

/// What a process says of itself once a second.
#[derive(Clone, Debug, Default)]
pub struct Hands {
    /// Those that hear from it.
    pub children: u64,
    pub parent: Option<usize>,
    /// How long ago a source's word came here, where it says so.
    pub age_ms: Option<f64>,
    /// Processes that it counts under it, and those of them that have its version in force.
    pub under: u64,
    pub in_force: u64,
}

/// One process of a way to carry changes.
pub trait Way: Sized {
    type Message: Clone + Serialize;
    type Kept;
    /// Whether peers hold a link that ends with the process, so that they hear of its end.
    const LINKS: bool;

    fn start(start: Start<'_, Self::Kept>, now: f64) -> Self;
    fn next_at(&self) -> f64;
    fn tick(&mut self, now: f64);
    fn hear(&mut self, now: f64, from: usize, message: Self::Message);
    fn lost(&mut self, now: f64, place: usize);
    /// Of a source: the change that would come next.
    fn prepare(&mut self, edits: Vec<Edit>, newest: Version, unix_ms: u64) -> Result<Change, String>;
    fn agreed(&mut self, now: f64, change: &Rc<Change>);
    /// What is to be sent since the last call, and notes.
    fn take(&mut self, send: &mut Vec<(usize, Self::Message)>);
    /// Beside what was encoded: bytes that stand for content which is not carried in the model.
    fn beside(message: &Self::Message) -> usize;
    /// Makes of a message with changes another that must not be taken; of others nothing.
    fn mangle(_message: &mut Self::Message, _chance: &mut Pcg32) {}
    fn holds(&self, _tenant: &str) -> bool {
        false
    }
    fn version(&self) -> Version;
    /// Where the process has content at all.
    fn digest(&self) -> Option<u128>;
    fn differs(&self, from: &BTreeMap<String, f64>) -> bool;
    fn hands(&self, now: f64) -> Hands;
    fn keep(self) -> Option<Self::Kept>;
}

pub(crate) fn bytes_of<T: Serialize>(value: &T) -> usize {
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default()).unwrap_or(0)
}

/// A change as the ways without content make it: encoded it is as long as the real one.
pub(crate) fn numbered(chance: &mut Pcg32, edits: Vec<Edit>, newest: Version, unix_ms: u64) -> Change {
    let version = Version { epoch: ERA, number: newest.number + 1 };
    Change { version, previous: newest, digest: chance.random(), edits, proposed_unix_ms: unix_ms }
}

/// Plays a shape. Where `struck` tells whom each step struck in another way's run, the same are struck here.
pub fn run<W: Way>(shape: &Shape, struck: Option<&[Vec<usize>]>) -> Came {
    world::World::<W>::new(shape.clone()).run(struck)
}

/// Changes that a process without content keeps: their numbers and encoded lengths.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub version: Version,
    /// How far back it goes.
    base: Version,
    lengths: VecDeque<(Version, u32)>,
}

/// What leads from one version to the newest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Since {
    Nothing,
    Differences(u32),
    Whole,
}

impl Log {
    const MOST: usize = 256;

    /// Differences from what it has to this version.
    pub fn put(&mut self, version: Version, bytes: u32) {
        self.version = version;
        self.lengths.push_back((version, bytes));
        if self.lengths.len() > Self::MOST {
            self.base = self.lengths.pop_front().map_or(self.base, |(first, _)| first);
        }
    }
    /// All of it came at once, differences are not known.
    pub fn set(&mut self, version: Version) {
        (self.version, self.base) = (version, version);
        self.lengths.clear();
    }
    pub fn since(&self, version: Version) -> Since {
        if version >= self.version {
            return Since::Nothing;
        }
        if version < self.base {
            return Since::Whole;
        }
        let later = self.lengths.iter().filter(|(of, _)| *of > version);
        Since::Differences(later.map(|(_, bytes)| bytes).sum())
    }
}
