//! Edits of tenant quotas, and changes, which group edits under one version.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::entry::{quoted, InvalidEntry, MAX_TENANTS};
use crate::version::Version;

/// Maximum size of an encoded change in bytes, equal to the size limit of an entry of the consensus group.
pub const MAX_CHANGE_BYTES: usize = 64 << 10;
/// Maximum size of an encoded change without its edits, in bytes.
const CHANGE_OVERHEAD_BYTES: usize = 96;
/// Maximum size of an encoded edit without the name, in bytes: the variant, the length of the name, and the quota.
const EDIT_OVERHEAD_BYTES: usize = 11;

/// An edit of one tenant's quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Sets a new quota for a tenant that is in the table.
    Set {
        /// The tenant's name.
        tenant: String,
        /// The new quota in requests per second.
        quota_per_s: f64,
    },
    /// Adds a tenant that is not in the table.
    Add {
        /// The tenant's name.
        tenant: String,
        /// The quota in requests per second.
        quota_per_s: f64,
    },
    /// Removes a tenant from the table.
    Remove {
        /// The tenant's name.
        tenant: String,
    },
}

impl Edit {
    /// Returns the tenant's name.
    pub fn tenant(&self) -> &str {
        match self {
            Edit::Set { tenant, .. } | Edit::Add { tenant, .. } | Edit::Remove { tenant } => tenant,
        }
    }

    /// Returns the new quota in requests per second, or `None` if the tenant is removed.
    pub fn quota_per_s(&self) -> Option<f64> {
        match self {
            Edit::Set { quota_per_s, .. } | Edit::Add { quota_per_s, .. } => Some(*quota_per_s),
            Edit::Remove { .. } => None,
        }
    }

    fn max_encoded_bytes(&self) -> usize {
        self.tenant().len() + EDIT_OVERHEAD_BYTES
    }
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Edit::Set { tenant, quota_per_s } => write!(f, "set {} to {quota_per_s}", quoted(tenant)),
            Edit::Add { tenant, quota_per_s } => write!(f, "add {} with {quota_per_s}", quoted(tenant)),
            Edit::Remove { tenant } => write!(f, "remove {}", quoted(tenant)),
        }
    }
}

/// A committed change, which leads from one version to the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version after the change.
    pub version: Version,
    /// The version to which the change applies.
    pub previous: Version,
    /// The digest of the table after the change.
    pub digest: u128,
    /// The edits; at least one, and at most one per tenant.
    pub edits: Vec<Edit>,
    /// The time of the proposal in Unix milliseconds. For display only; no decision depends on it.
    pub proposed_unix_ms: u64,
}

impl Change {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        max_encoded_bytes(&self.edits)
    }
}

/// Returns an upper bound of the encoded size of a change with these edits, in bytes.
pub(crate) fn max_encoded_bytes(edits: &[Edit]) -> usize {
    CHANGE_OVERHEAD_BYTES + edits.iter().map(Edit::max_encoded_bytes).sum::<usize>()
}

/// Reason why an edit can't be applied to the table.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EditError {
    /// The tenant's name or the quota is invalid.
    #[error(transparent)]
    InvalidEntry(#[from] InvalidEntry),
    /// An earlier edit of the same change has the same tenant.
    #[error("the tenant is named twice in one change; name it once")]
    DuplicateTenant,
    /// The tenant to add is already in the table, with this quota.
    #[error("the tenant is known, with {0}; set it instead")]
    TenantExists(f64),
    /// The tenant to set is not in the table.
    #[error("no such tenant; add it instead")]
    SetUnknownTenant,
    /// The tenant to remove is not in the table.
    #[error("no such tenant; name one that is known")]
    RemoveUnknownTenant,
}

/// Reason why a change can't be applied to the table. The `Display` text is one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidChange {
    /// The change has no edits.
    #[error("a change with no edit; name at least one tenant")]
    Empty,
    /// The encoded change would exceed [`MAX_CHANGE_BYTES`].
    #[error(
        "{edits} edits of {bytes} bytes; a change holds {max} bytes at most, propose it in several",
        max = MAX_CHANGE_BYTES
    )]
    TooLong {
        /// Number of edits.
        edits: usize,
        /// Upper bound of the encoded size in bytes.
        bytes: usize,
    },
    /// An edit of the change can't be applied.
    #[error("edit {position}, {edit}: {source}")]
    Edit {
        /// Position of the edit in the change, counted from 1.
        position: usize,
        /// The edit that can't be applied.
        edit: Box<Edit>,
        /// The reason why the edit can't be applied.
        source: EditError,
    },
    /// The table would have this many tenants, more than [`MAX_TENANTS`].
    #[error("{0} tenants after this change; {max} at most, remove some first", max = MAX_TENANTS)]
    TooManyTenants(usize),
}
