//! Position of a change in the committed order.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a change in the committed order; a later one is greater.
///
/// The epoch is compared first, so that a change of a later epoch is later whatever its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Epoch of the consensus group that committed the change.
    pub epoch: u64,
    /// Goes up by one with each change; 0 stands for the table that a process starts from.
    pub number: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}
