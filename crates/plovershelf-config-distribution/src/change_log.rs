//! The last changes, from which deltas are answered.

use std::collections::VecDeque;

use crate::change::Change;
use crate::version::Version;

const MAX_CHANGES: usize = 256;
const MAX_BYTES: usize = 256 << 10;

/// The last changes, bounded by count and bytes, each following on the one before.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<Change>,
    bytes: usize,
}

impl ChangeLog {
    /// Appends a change. Where it does not follow on the last one, those before it are dropped.
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

    /// All changes after this version; none where the log does not reach back that far.
    pub fn after(&self, version: Version) -> Option<impl Iterator<Item = &Change>> {
        let at = self.changes.partition_point(|change| change.previous < version);
        let first = self.changes.get(at).filter(|change| change.previous == version)?;
        debug_assert!(first.version > version);
        Some(self.changes.range(at..))
    }

    /// The change that led to this version.
    pub fn get(&self, version: Version) -> Option<&Change> {
        let at = self.changes.partition_point(|change| change.version < version);
        self.changes.get(at).filter(|change| change.version == version)
    }

    /// Oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter()
    }

    /// Upper bound of the encoded length of all.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
