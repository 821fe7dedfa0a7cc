//! Identifiers that all modules share: nodes and epochs.

use serde::{Deserialize, Serialize};

/// Identifies a node's state on disk, not its name: drawn when the storage is created, so that a node that lost its
/// storage comes back under another id and no vote or acknowledgement of the old id counts for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

/// Bits of an [`Epoch`] that tell two epochs of one number apart.
const EPOCH_TAG_BITS: u32 = 40;

/// Identifies one consensus group in a chain of them. A later epoch is begun by hand when a majority of voters is lost
/// for good; it fences everything of an older epoch off.
///
/// The upper bits count, the lower 40 are a tag, so that two epochs begun at once under one number differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Of a node that knows of no consensus group.
    pub const NONE: Epoch = Epoch(0);

    /// The epoch of a number and a tag; of the tag only the lower 40 bits count.
    pub fn new(number: u64, tag: u64) -> Self {
        Epoch(number << EPOCH_TAG_BITS | tag & ((1 << EPOCH_TAG_BITS) - 1))
    }

    /// How many epochs there were up to this one, as people see it.
    pub fn number(self) -> u64 {
        self.0 >> EPOCH_TAG_BITS
    }
}
