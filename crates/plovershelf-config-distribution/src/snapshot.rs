//! Assembles a whole table from chunks, beside the one in force, until its digest shows that it is complete.

use crate::broken::{self, Broken};
use crate::change::Change;
use crate::entry::{check_name, check_quota, quoted, Entry, InvalidEntry, MAX_TENANTS};
use crate::quota_table::QuotaTable;
use crate::version::Version;

/// Why a snapshot was dropped, in one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SnapshotError {
    /// A name or quota is not valid.
    #[error(transparent)]
    Entry(#[from] InvalidEntry),
    /// This tenant does not come after the one before it.
    #[error("tenant {name} out of its order", name = quoted(.0))]
    OutOfOrder(String),
    /// There are more than [`MAX_TENANTS`].
    #[error("more than {max} tenants", max = MAX_TENANTS)]
    TooManyTenants,
    /// All chunks of this version came, and their digest is not that of the sender's table.
    #[error("the whole of {0} has another digest than was said")]
    DigestMismatch(Version),
}

/// A table that comes in chunks.
///
/// At any time it holds the version's entries up to the last name that came. A change that comes in between is applied to
/// that much, so that a transfer need not start again when the sender's version moves on.
#[derive(Clone, Debug)]
pub struct SnapshotBuilder {
    version: Version,
    digest: u128,
    last_name: Option<String>,
    table: QuotaTable,
}

impl SnapshotBuilder {
    /// Begins with the sender's version and digest.
    pub fn new(version: Version, digest: u128) -> Self {
        SnapshotBuilder { version, digest, last_name: None, table: QuotaTable::default() }
    }

    /// The name that the next chunk follows on.
    pub fn last_name(&self) -> Option<&str> {
        self.last_name.as_deref()
    }

    /// Whether the sender's table is still the one that is assembled here.
    pub(crate) fn is_of(&self, version: Version, digest: u128) -> bool {
        (self.version, self.digest) == (version, digest)
    }

    /// Takes in the entries of the next chunk.
    ///
    /// # Errors
    ///
    /// An entry is not valid, not in order of its name, or one too many.
    pub fn add_entries(&mut self, entries: Vec<Entry>) -> Result<(), SnapshotError> {
        for Entry { tenant, quota_per_s } in entries {
            check_name(&tenant)?;
            check_quota(&tenant, quota_per_s)?;
            if self.last_name().is_some_and(|last| *tenant <= *last) {
                return Err(SnapshotError::OutOfOrder(tenant));
            }
            if self.table.len() == MAX_TENANTS {
                return Err(SnapshotError::TooManyTenants);
            }
            self.table.insert(tenant.as_str().into(), quota_per_s);
            self.last_name = Some(tenant);
        }
        Ok(())
    }

    /// The sender's version moved on. A change that does not follow is left out; the digest shows it at the end.
    pub fn apply_change(&mut self, change: &Change) {
        if change.previous != self.version || change.version <= self.version {
            return;
        }
        for edit in &change.edits {
            let tenant = edit.tenant();
            if self.last_name().is_none_or(|last| tenant > last) {
                continue;
            }
            self.table.remove(tenant);
            if let Some(quota) = edit.quota_per_s().filter(|quota| check_quota(tenant, *quota).is_ok()) {
                self.table.insert(tenant.into(), quota);
            }
        }
        self.version = change.version;
        self.digest = change.digest;
    }

    /// The complete table.
    ///
    /// # Errors
    ///
    /// Its digest is another than the sender's.
    pub fn finish(self) -> Result<QuotaTable, SnapshotError> {
        if self.table.digest() != self.digest && !broken::is(Broken::DigestNotChecked) {
            return Err(SnapshotError::DigestMismatch(self.version));
        }
        Ok(self.table.at_version(self.version))
    }
}
