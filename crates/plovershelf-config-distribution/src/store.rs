//! What a process holds of the configuration, and what it can hand on: the table in force and the log that led to it.

use crate::change::{Change, Edit};
use crate::change_log::ChangeLog;
use crate::quota_table::{ApplyError, QuotaTable, MAX_CHUNK_BYTES};
use crate::version::Version;

/// Table and log, which always end at the same version.
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

    /// The low half of the digest, as heartbeats carry it.
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

    /// Another table, to which no change of the log leads.
    pub(crate) fn replace(&mut self, table: QuotaTable) {
        self.table = table;
        self.log.clear();
    }

    /// Whether the change's version is known here with another digest.
    pub(crate) fn contradicts(&self, change: &Change) -> bool {
        let held = match self.table.version() == change.version {
            true => Some(self.table.digest()),
            false => self.log.get(change.version).map(|held| held.digest),
        };
        held.is_some_and(|held| held != change.digest)
    }

    /// The changes after a version where they make one message of bounded length.
    pub(crate) fn short_delta(&self, after: Version) -> Option<Vec<Change>> {
        let changes: Vec<Change> = self.log.after(after)?.cloned().collect();
        let bytes = changes.iter().map(Change::max_encoded_bytes).sum::<usize>();
        (changes.len() == 1 || bytes <= MAX_CHUNK_BYTES).then_some(changes)
    }

    /// All changes after a version, in batches of bounded length; none where the log does not reach back that far.
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
