//! Version numbers of changes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a change in the order of commits. A later change has a greater version.
///
/// The epoch is compared first, so a change from a later epoch is greater regardless of its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The epoch of the consensus group that committed the change.
    pub epoch: u64,
    /// Increases by one with each change; 0 is the initial table of a process.
    pub number: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}
