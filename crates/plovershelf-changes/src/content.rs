//! What is carried: each tenant's quota, changed by numbered differences.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The council's era first, then the number that goes up by one with each change. Later is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub era: u64,
    pub number: u64,
}

/// A tenant that a new quota is told for, or one that goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// For one that is known.
    Set {
        tenant: String,
        quota_per_s: f64,
    },
    /// For one that is new.
    Add {
        tenant: String,
        quota_per_s: f64,
    },
    Remove {
        tenant: String,
    },
}

/// A change with its number: follows on `before`, and what it comes to has `digest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Numbered {
    pub version: Version,
    pub before: Version,
    pub digest: u128,
    pub edits: Vec<Edit>,
    /// When it was proposed, in Unix milliseconds, for people; nothing is decided by it.
    pub proposed_ms: u64,
}

/// All that is in force at a version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Content {
    version: Version,
    digest: u128,
    quotas: BTreeMap<Box<str>, f64>,
}
