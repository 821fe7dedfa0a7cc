//! The configuration data of a process: the table in force, and the log of the changes that led to it.

use crate::change::{Change, Edit};
use crate::change_log::ChangeLog;
use crate::quota_table::{ApplyError, QuotaTable, MAX_CHUNK_BYTES};
use crate::version::Version;

/// The table in force and the change log, which always end at the same version.
#[derive(Clone, Debug)]
pub(crate) struct ConfigStore {
    table: QuotaTable,
    log: ChangeLog,
}

impl ConfigStore {
    pub(crate) fn new(table: QuotaTable) -> Self {
        ConfigStore { table, log: ChangeLog::default() }
    }

    pub(crate) fn table(&self) -> &QuotaTable {
        &self.table
    }

    pub(crate) fn version(&self) -> Version {
        self.table.version()
    }

    /// Returns the low 64 bits of the table's digest, as sent in heartbeats.
    pub(crate) fn short_digest(&self) -> u64 {
        self.table.digest() as u64
    }

    pub(crate) fn log(&self) -> &ChangeLog {
        &self.log
    }

    /// Applies a change and returns its edits.
    pub(crate) fn apply(&mut self, change: Change) -> Result<Vec<Edit>, ApplyError> {
        self.table.apply(&change)?;
        let edits = change.edits.clone();
        self.log.push(change);
        Ok(edits)
    }

    /// Replaces the table with one that no logged change leads to, and clears the log.
    pub(crate) fn replace(&mut self, table: QuotaTable) {
        self.table = table;
        self.log.clear();
    }

    /// Returns true if the change's version is known here with another digest.
    pub(crate) fn conflicts_with(&self, change: &Change) -> bool {
        let known_digest = match self.table.version() == change.version {
            true => Some(self.table.digest()),
            false => self.log.get(change.version).map(|known| known.digest),
        };
        known_digest.is_some_and(|digest| digest != change.digest)
    }

    /// Returns the changes after a version if they fit into one message.
    pub(crate) fn single_message_delta(&self, after: Version) -> Option<Vec<Change>> {
        let changes: Vec<Change> = self.log.after(after)?.cloned().collect();
        let bytes = changes.iter().map(Change::max_encoded_bytes).sum::<usize>();
        (changes.len() == 1 || bytes <= MAX_CHUNK_BYTES).then_some(changes)
    }

    /// Returns all changes after a version in batches that fit into one message each, or `None` if the log does not
    /// reach back to that version.
    pub(crate) fn delta_batches(&self, after: Version) -> Option<Vec<Vec<Change>>> {
        let mut batches = Vec::new();
        let mut batch = Vec::new();
        let mut bytes = 0;
        for change in self.log.after(after)? {
            if bytes > 0 && bytes + change.max_encoded_bytes() > MAX_CHUNK_BYTES {
                batches.push(std::mem::take(&mut batch));
                bytes = 0;
            }
            bytes += change.max_encoded_bytes();
            batch.push(change.clone());
        }
        batches.push(batch);
        Some(batches)
    }
}
