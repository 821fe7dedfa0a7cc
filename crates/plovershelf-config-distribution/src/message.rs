//! What processes say to each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::node::About;
use crate::quota_table::{Numbered, Version};

/// Addresses in a list, at most.
pub const LIST_MOST: usize = 16;
/// Names of those missing that a sum carries.
pub const MISSING_MOST: usize = 8;
/// Names of those that attached lately, in a message between sources.
pub const JOINED_MOST: usize = 80;
/// Relays that a source tells another source of.
pub const PLACES_MOST: usize = 64;

/// A relay, as sources tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    pub address: SocketAddr,
    pub zone: String,
    pub region: String,
    /// How many it feeds.
    pub feeds: u32,
}

/// What is in force under a process, itself counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// Its own; `in_force` counts those that have just this one.
    pub version: Version,
    pub under: u32,
    pub in_force: u32,
    pub oldest: Version,
    /// How many hear from it directly.
    pub feeds: u32,
    pub missing: Vec<String>,
    /// Names of those that attached here since the last sum, some of them.
    pub joined: Vec<String>,
}

/// The newest that a process has, and how long ago a source's word last came to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Newest {
    pub version: Version,
    /// The low half of the digest.
    pub digest: u64,
    pub age_ms: u32,
}

/// Each travels with the address of its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a source: whom may I hear from? Not from these, which did not answer or are gone.
    Seek {
        about: About,
        avoid: Vec<SocketAddr>,
        /// Sent here by another source, so not to be sent on.
        sent_on: bool,
    },
    /// A source's answer: relays to try in this order; or be one yourself, fed by me; or ask that source.
    Ways {
        relays: Vec<SocketAddr>,
        relay: bool,
        /// The relays have no room but what is kept for those that lost theirs.
        over: bool,
        ask: Option<SocketAddr>,
    },
    /// Feed me, from this version on. `relay`: a source is asked, by one that feeds others. `over`: my parent is lost.
    Attach {
        about: About,
        newest: Newest,
        relay: bool,
        over: bool,
    },
    Attached(Newest),
    /// No room, or not one that feeds others; also to one that is not known as fed from here (any more).
    Refused,
    /// I do not hear from you, or do not feed you, any more.
    Leave,
    /// A sign of life from a parent, and between sources.
    Beat(Newest),
    /// Others that a child may go to, its spare first; and sources, the nearest first.
    Near {
        relays: Vec<SocketAddr>,
        sources: Vec<SocketAddr>,
    },
    Changes(Vec<Numbered>),
    /// What comes after this? Answered with changes, or with the first part of the whole.
    Ask(Newest),
    /// The part of the whole of this version that follows on a name. Of one that moved on, what changed comes before it, or
    /// it begins anew.
    AskPart {
        version: Version,
        after: Option<String>,
    },
    Part {
        version: Version,
        digest: u128,
        after: Option<String>,
        entries: Vec<(String, f64)>,
        last: bool,
    },
    Sum(Sum),
    /// From a relay that feeds more than its fan-out, as another died: ask a source again. From a source to a relay that is
    /// nearer to another source, or when that feeds far fewer: attach there.
    Elsewhere(Option<SocketAddr>),
    /// From a source: these, named as missing, attached elsewhere since.
    Found(Vec<String>),
    /// Between sources: who attached lately, and where.
    Joined(Vec<(String, SocketAddr)>),
    /// What is your newest? To a spare, from time to time.
    Check,
    Checked(Newest),
    /// Between sources: who I am, and the relays that I feed.
    Relays {
        about: About,
        relays: Vec<Place>,
    },
}
