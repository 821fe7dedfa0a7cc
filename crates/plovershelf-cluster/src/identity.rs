//! Identifiers of nodes and epochs.

use serde::{Deserialize, Serialize};

/// Identifies a node's state on disk, rather than its name. The id is drawn when the storage is created. A node that
/// lost its storage returns under a new id, and votes and acknowledgements of the old id are not attributed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

/// Number of lower bits of an [`Epoch`] that contain its tag.
const EPOCH_TAG_BITS: u32 = 40;

/// Identifies a consensus group in a sequence of groups. An operator starts a later epoch when a majority of voters is
/// permanently lost. It fences off all messages and state of older epochs.
///
/// The upper bits contain a sequence number. The lower 40 bits contain a tag that distinguishes two epochs started
/// concurrently with the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Epoch of a node that belongs to no consensus group yet.
    pub const NONE: Epoch = Epoch(0);

    /// Returns the epoch with a number and the lower 40 bits of a tag.
    pub fn new(number: u64, tag: u64) -> Self {
        Epoch(number << EPOCH_TAG_BITS | tag & ((1 << EPOCH_TAG_BITS) - 1))
    }

    /// Returns the sequence number, which is what operators see.
    pub fn number(self) -> u64 {
        self.0 >> EPOCH_TAG_BITS
    }
}
