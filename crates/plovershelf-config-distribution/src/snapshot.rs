//! Assembly of a table from snapshot chunks. The table in force stays in use until the digest confirms that the new
//! one is complete.

use crate::broken::{self, Broken};
use crate::change::Change;
use crate::entry::{check_name, check_quota, quoted, Entry, InvalidEntry, MAX_TENANTS};
use crate::quota_table::QuotaTable;
use crate::version::Version;

/// Reason why a snapshot was rejected. The `Display` text is one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SnapshotError {
    /// A tenant's name or quota is invalid.
    #[error(transparent)]
    Entry(#[from] InvalidEntry),
    /// The name of this tenant does not sort after the preceding name.
    #[error("tenant {name} is out of order", name = quoted(.0))]
    OutOfOrder(String),
    /// The snapshot has more than [`MAX_TENANTS`] tenants.
    #[error("more than {max} tenants", max = MAX_TENANTS)]
    TooManyTenants,
    /// All chunks of this version arrived, but the table's digest differs from the sender's digest.
    #[error("the table of version {0} has another digest than the sender stated")]
    DigestMismatch(Version),
}

/// A table under assembly from chunks.
///
/// It always contains the entries of its version up to the last received name. A change that arrives between two
/// chunks is applied to those entries, so the transfer need not restart when the sender's version advances.
#[derive(Clone, Debug)]
pub struct SnapshotBuilder {
    version: Version,
    digest: u128,
    last_name: Option<String>,
    table: QuotaTable,
}

impl SnapshotBuilder {
    /// Starts the assembly of a table with the sender's version and digest.
    pub fn new(version: Version, digest: u128) -> Self {
        SnapshotBuilder { version, digest, last_name: None, table: QuotaTable::default() }
    }

    /// Returns the last received name, which the next chunk must follow.
    pub fn last_name(&self) -> Option<&str> {
        self.last_name.as_deref()
    }

    /// Returns true if the version and digest under assembly are those of the sender's table.
    pub(crate) fn matches_source(&self, version: Version, digest: u128) -> bool {
        (self.version, self.digest) == (version, digest)
    }

    /// Adds the entries of the next chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry is invalid or out of order, or if there are too many tenants.
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

    /// Applies a change with which the sender's version advanced. Ignores a change that does not directly follow; the
    /// final digest check reveals the gap.
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

    /// Returns the complete table.
    ///
    /// # Errors
    ///
    /// Returns an error if the table's digest differs from the sender's digest.
    pub fn finish(self) -> Result<QuotaTable, SnapshotError> {
        if self.table.digest() != self.digest && !broken::is(Broken::DigestNotChecked) {
            return Err(SnapshotError::DigestMismatch(self.version));
        }
        Ok(self.table.at_version(self.version))
    }
}
