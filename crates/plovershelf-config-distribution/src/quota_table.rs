//! The configuration in force at a version: each tenant's quota. Validates a change as a whole before it applies any of it.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::broken::{self, Broken};
use crate::change::{max_encoded_bytes, Change, Edit, EditError, InvalidChange, MAX_CHANGE_BYTES};
use crate::entry::{check_name, check_quota, entry_digest, quoted, Entry, InvalidEntry};
use crate::entry::{ENTRY_OVERHEAD_BYTES, MAX_TENANTS};
use crate::version::Version;

/// Bytes of the entries of a chunk, at most.
pub const MAX_CHUNK_BYTES: usize = 32 << 10;

/// Why a change was not applied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// It does not apply to the version that is held.
    #[error("does not follow on what is in force")]
    Gap,
    /// It leads to another table than its digest says.
    #[error("comes to another content than its digest says")]
    DigestMismatch,
    /// Its edits do not fit the table.
    #[error(transparent)]
    Invalid(#[from] InvalidChange),
}

/// Why a list of quotas can't be started from, in one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidTable {
    /// A name or quota is not valid.
    #[error(transparent)]
    Entry(#[from] InvalidEntry),
    /// The list holds more than [`MAX_TENANTS`]; this one is the first too many.
    #[error("tenant {name}: the list is full at {max} tenants", name = quoted(.0), max = MAX_TENANTS)]
    TooManyTenants(String),
    /// This tenant is in the list twice.
    #[error("tenant {name}: named twice; name it once", name = quoted(.0))]
    NamedTwice(String),
}

/// A bounded run of consecutive entries of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// In order of their names.
    pub entries: Vec<Entry>,
    /// No entry of the table comes after these.
    pub is_last: bool,
}

/// All quotas in force at a version.
///
/// It takes 82 bytes a tenant with names of 12 bytes, 88 with names of 23: 2.8 MB for 34,000.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaTable {
    version: Version,
    digest: u128,
    quotas: BTreeMap<Box<str>, f64>,
}

impl QuotaTable {
    /// The table that a process starts from, before any change.
    ///
    /// # Errors
    ///
    /// A name or quota is not valid, a tenant is named twice, or there are too many.
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
                return Err(InvalidTable::NamedTwice(name.into()));
            }
            table.insert(name, quota_per_s);
        }
        Ok(table)
    }

    /// The version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Digest of all entries; the same for the same entries, whatever changes led to them.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// How many tenants there are.
    pub fn len(&self) -> usize {
        self.quotas.len()
    }

    /// Whether there is no tenant.
    pub fn is_empty(&self) -> bool {
        self.quotas.is_empty()
    }

    /// A tenant's quota in requests a second.
    pub fn quota_per_s(&self, tenant: &str) -> Option<f64> {
        self.quotas.get(tenant).copied()
    }

    /// Names and quotas, in order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, f64)> {
        self.quotas.iter().map(|(name, quota)| (&**name, *quota))
    }

    /// The digest after these edits; nothing is changed.
    ///
    /// # Errors
    ///
    /// An edit does not fit the table, or the change is too large.
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
        for (at, edit) in edits.iter().enumerate() {
            self.validate_edit(edit, &mut named).map_err(|source| InvalidChange::Edit {
                position: at + 1,
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

    /// Checks one edit against the table and against those before it, whose tenants are in `named`.
    fn validate_edit<'a>(&self, edit: &'a Edit, named: &mut BTreeSet<&'a str>) -> Result<(), EditError> {
        let tenant = edit.tenant();
        check_name(tenant)?;
        if let Some(quota) = edit.quota_per_s() {
            check_quota(tenant, quota)?;
        }
        if !named.insert(tenant) {
            return Err(EditError::NamedTwice);
        }
        match (edit, self.quota_per_s(tenant)) {
            (Edit::Add { .. }, Some(quota)) => Err(EditError::AlreadyKnown(quota)),
            (Edit::Set { .. }, None) => Err(EditError::UnknownToSet),
            (Edit::Remove { .. }, None) => Err(EditError::UnknownToRemove),
            (Edit::Add { .. }, None) | (Edit::Set { .. } | Edit::Remove { .. }, Some(_)) => Ok(()),
        }
    }

    /// Applies a change as a whole or not at all.
    ///
    /// # Errors
    ///
    /// The change does not apply to the version held, its edits do not fit, or its digest is another.
    pub fn apply(&mut self, change: &Change) -> Result<(), ApplyError> {
        let is_next = change.previous == self.version && change.version > self.version;
        let any_version = broken::is(Broken::VersionNotCompared);
        if !is_next && !any_version {
            return Err(ApplyError::Gap);
        }
        if !any_version && !broken::is(Broken::EditsNotChecked) {
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

    /// The entries after a name, as many as make a chunk; from the first one where there is no name.
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

    /// Adds a tenant that is not in the table; one that is keeps its place in the digest.
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

    /// The same entries, in force at this version.
    pub(crate) fn at_version(self, version: Version) -> Self {
        QuotaTable { version, ..self }
    }
}
