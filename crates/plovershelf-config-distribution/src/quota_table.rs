//! The table of tenant quotas at one version. A change is validated as a whole before any part of it is applied.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::broken::{self, Broken};
use crate::change::{max_encoded_bytes, Change, Edit, EditError, InvalidChange, MAX_CHANGE_BYTES};
use crate::entry::{check_name, check_quota, entry_digest, quoted, Entry, InvalidEntry};
use crate::entry::{ENTRY_OVERHEAD_BYTES, MAX_TENANTS};
use crate::version::Version;

/// Maximum size of a chunk's entries in bytes.
pub const MAX_CHUNK_BYTES: usize = 32 << 10;

/// Reason why a change was not applied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// The change applies to another version than the one in force.
    #[error("the change applies to another version than the one in force")]
    Gap,
    /// The change leads to a table with another digest than the change states.
    #[error("the resulting table has another digest than the change states")]
    DigestMismatch,
    /// The edits can't be applied to the table.
    #[error(transparent)]
    Invalid(#[from] InvalidChange),
}

/// Reason why an initial list of quotas is rejected. The `Display` text is one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidTable {
    /// A tenant's name or quota is invalid.
    #[error(transparent)]
    Entry(#[from] InvalidEntry),
    /// The list has more than [`MAX_TENANTS`] tenants; this is the first one above the limit.
    #[error("tenant {name}: the list is full at {max} tenants", name = quoted(.0), max = MAX_TENANTS)]
    TooManyTenants(String),
    /// The list contains this tenant twice.
    #[error("tenant {name}: named twice; name it once", name = quoted(.0))]
    DuplicateTenant(String),
}

/// A bounded range of consecutive entries of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// The entries, sorted by name.
    pub entries: Vec<Entry>,
    /// True if no entries of the table follow.
    pub is_last: bool,
}

/// All quotas in force at a version.
///
/// Memory use is 82 bytes per tenant with names of 12 bytes and 88 bytes with names of 23 bytes, or 2.8 MB for 34,000
/// tenants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaTable {
    version: Version,
    digest: u128,
    quotas: BTreeMap<Box<str>, f64>,
}

impl QuotaTable {
    /// Returns the initial table of a process, before any change.
    ///
    /// # Errors
    ///
    /// Returns an error if a name or quota is invalid, a tenant occurs twice, or there are too many tenants.
    pub fn initial<N: Into<Box<str>>>(
        list: impl IntoIterator<Item = (N, f64)>,
    ) -> Result<QuotaTable, InvalidTable> {
        let mut table = QuotaTable::default();
        for (name, quota_per_s) in list {
            let name = name.into();
            check_name(&name)?;
            check_quota(&name, quota_per_s)?;
            if table.quotas.len() == MAX_TENANTS {
                return Err(InvalidTable::TooManyTenants(name.into()));
            }
            if table.quotas.contains_key(&name) {
                return Err(InvalidTable::DuplicateTenant(name.into()));
            }
            table.insert(name, quota_per_s);
        }
        Ok(table)
    }

    /// Returns the version of the table.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of all entries. It depends only on the entries, not on the changes that led to them.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.quotas.len()
    }

    /// Returns true if the table has no tenants.
    pub fn is_empty(&self) -> bool {
        self.quotas.is_empty()
    }

    /// Returns a tenant's quota in requests per second.
    pub fn quota_per_s(&self, tenant: &str) -> Option<f64> {
        self.quotas.get(tenant).copied()
    }

    /// Returns the names and quotas, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, f64)> {
        self.quotas.iter().map(|(name, quota)| (&**name, *quota))
    }

    /// Validates the edits and returns the digest of the table that would result. Does not change the table.
    ///
    /// # Errors
    ///
    /// Returns an error if an edit can't be applied to the table or the change is too large.
    pub fn validate(&self, edits: &[Edit]) -> Result<u128, InvalidChange> {
        if edits.is_empty() {
            return Err(InvalidChange::Empty);
        }
        let bytes = max_encoded_bytes(edits);
        if bytes > MAX_CHANGE_BYTES {
            return Err(InvalidChange::TooLong { edits: edits.len(), bytes });
        }
        let mut named = BTreeSet::new();
        let (mut digest, mut tenants) = (self.digest, self.quotas.len());
        for (index, edit) in edits.iter().enumerate() {
            self.validate_edit(edit, &mut named).map_err(|source| InvalidChange::Edit {
                position: index + 1,
                edit: Box::new(edit.clone()),
                source,
            })?;
            let tenant = edit.tenant();
            if let Some(quota) = self.quota_per_s(tenant) {
                digest = digest.wrapping_sub(entry_digest(tenant, quota));
            }
            if let Some(quota) = edit.quota_per_s() {
                digest = digest.wrapping_add(entry_digest(tenant, quota));
            }
            match edit {
                Edit::Add { .. } => tenants += 1,
                Edit::Remove { .. } => tenants -= 1,
                Edit::Set { .. } => {}
            }
        }
        if tenants > MAX_TENANTS {
            return Err(InvalidChange::TooManyTenants(tenants));
        }
        Ok(digest)
    }

    /// Validates one edit against the table and against the preceding edits, whose tenants are in `named`.
    fn validate_edit<'a>(&self, edit: &'a Edit, named: &mut BTreeSet<&'a str>) -> Result<(), EditError> {
        let tenant = edit.tenant();
        check_name(tenant)?;
        if let Some(quota) = edit.quota_per_s() {
            check_quota(tenant, quota)?;
        }
        if !named.insert(tenant) {
            return Err(EditError::DuplicateTenant);
        }
        match (edit, self.quota_per_s(tenant)) {
            (Edit::Add { .. }, Some(quota)) => Err(EditError::TenantExists(quota)),
            (Edit::Set { .. }, None) => Err(EditError::SetUnknownTenant),
            (Edit::Remove { .. }, None) => Err(EditError::RemoveUnknownTenant),
            (Edit::Add { .. }, None) | (Edit::Set { .. } | Edit::Remove { .. }, Some(_)) => Ok(()),
        }
    }

    /// Applies a change completely, or not at all.
    ///
    /// # Errors
    ///
    /// Returns an error if the change applies to another version, an edit is invalid, or the digest does not match.
    pub fn apply(&mut self, change: &Change) -> Result<(), ApplyError> {
        let is_next = change.previous == self.version && change.version > self.version;
        let skips_version_check = broken::is(Broken::VersionNotCompared);
        if !is_next && !skips_version_check {
            return Err(ApplyError::Gap);
        }
        if !skips_version_check && !broken::is(Broken::EditsNotChecked) {
            let digest = self.validate(&change.edits)?;
            if digest != change.digest && !broken::is(Broken::DigestNotChecked) {
                return Err(ApplyError::DigestMismatch);
            }
        }
        for edit in &change.edits {
            self.remove(edit.tenant());
            if let Some(quota_per_s) = edit.quota_per_s() {
                self.insert(edit.tenant().into(), quota_per_s);
            }
        }
        self.version = change.version;
        Ok(())
    }

    /// Returns the entries after a name, up to the size limit of a chunk. `None` starts at the first entry.
    pub fn chunk(&self, after: Option<&str>) -> Chunk {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut bytes = 0;
        let mut entries = Vec::new();
        for (name, quota_per_s) in self.quotas.range::<str, _>((from, Bound::Unbounded)) {
            bytes += name.len() + ENTRY_OVERHEAD_BYTES;
            if bytes > MAX_CHUNK_BYTES {
                return Chunk { entries, is_last: false };
            }
            entries.push(Entry { tenant: name.to_string(), quota_per_s: *quota_per_s });
        }
        Chunk { entries, is_last: true }
    }

    /// Adds a tenant that is not in the table. For a tenant that is in the table, the digest does not reflect the new
    /// quota; the caller must remove the tenant first.
    pub(crate) fn insert(&mut self, name: Box<str>, quota_per_s: f64) {
        let digest = entry_digest(&name, quota_per_s);
        if self.quotas.insert(name, quota_per_s).is_none() {
            self.digest = self.digest.wrapping_add(digest);
        }
    }

    pub(crate) fn remove(&mut self, name: &str) {
        if let Some(quota_per_s) = self.quotas.remove(name) {
            self.digest = self.digest.wrapping_sub(entry_digest(name, quota_per_s));
        }
    }

    /// Returns the same entries under another version.
    pub(crate) fn at_version(self, version: Version) -> Self {
        QuotaTable { version, ..self }
    }
}
