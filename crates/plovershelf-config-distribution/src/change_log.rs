//! Log of the most recent changes, from which deltas are sent.

use std::collections::VecDeque;

use crate::change::Change;
use crate::version::Version;

const MAX_CHANGES: usize = 256;
const MAX_BYTES: usize = 256 << 10;

/// The most recent consecutive changes, bounded by number and encoded size.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<Change>,
    bytes: usize,
}

impl ChangeLog {
    /// Appends a change. If it does not directly follow the last change, drops all earlier ones.
    pub fn push(&mut self, change: Change) {
        if self.changes.back().is_some_and(|last| last.version != change.previous) {
            self.clear();
        }
        self.bytes += change.max_encoded_bytes();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.bytes -= oldest.max_encoded_bytes();
        }
    }

    /// Drops all changes.
    pub fn clear(&mut self) {
        self.changes.clear();
        self.bytes = 0;
    }

    /// Returns all changes after this version, or `None` if the log does not reach back to it.
    pub fn after(&self, version: Version) -> Option<impl Iterator<Item = &Change>> {
        let index = self.changes.partition_point(|change| change.previous < version);
        let first = self.changes.get(index).filter(|change| change.previous == version)?;
        debug_assert!(first.version > version);
        Some(self.changes.range(index..))
    }

    /// Returns the change that led to this version.
    pub fn get(&self, version: Version) -> Option<&Change> {
        let index = self.changes.partition_point(|change| change.version < version);
        self.changes.get(index).filter(|change| change.version == version)
    }

    /// Returns the changes, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter()
    }

    /// Returns an upper bound of the total encoded size in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
