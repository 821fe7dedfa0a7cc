//! One process that hears of changes and may hand them on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::content::{Content, Edit, Numbered, Version};

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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Knows from its council what was agreed.
    Source,
    Listener,
}

/// Spans in milliseconds, counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {}

impl Default for Terms {
    fn default() -> Self {
        Terms {}
    }
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

/// What processes say to each other; each travels with the address of its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {}

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
    /// among them, and some of those that are missing, by name.
    pub under: u64,
    pub in_force: u64,
    pub oldest: Version,
    pub missing: Vec<String>,
}

pub struct Node {}

impl Node {
    pub fn new(_start: Start, _now: f64) -> Self {
        todo!()
    }
    pub fn about(&self) -> &About {
        todo!()
    }
    pub fn content(&self) -> &Content {
        todo!()
    }
    pub fn next_at(&self) -> f64 {
        todo!()
    }
    pub fn take(&mut self) -> Out {
        todo!()
    }
    pub fn tick(&mut self, _now: f64) {
        todo!()
    }
    /// A message from the process that is reached at `from`.
    pub fn hear(&mut self, _now: f64, _from: SocketAddr, _message: Message) {
        todo!()
    }
    /// Nothing can be sent to this address, or its link ended.
    pub fn lost(&mut self, _now: f64, _address: SocketAddr) {
        todo!()
    }
    /// Of a source: makes of edits the change that would come next, checked whole against what is in force.
    ///
    /// Errors: one line that names the edit, the figure, the number or the size that can't be.
    pub fn prepare(
        &self,
        _edits: Vec<Edit>,
        _after: Option<u64>,
        _era: u64,
        _unix_ms: u64,
    ) -> Result<Numbered, String> {
        todo!()
    }
    /// Of a source: the council has decided this.
    pub fn agreed(&mut self, _now: f64, _change: Numbered) {
        todo!()
    }
    pub fn status(&self, _now: f64) -> Status {
        todo!()
    }
    /// The last changes that are kept, oldest first.
    pub fn history(&self) -> Vec<Numbered> {
        todo!()
    }
}
