//! Edits of tenants' quotas, and the change that carries them under one version.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::entry::{quoted, InvalidEntry, MAX_TENANTS};
use crate::version::Version;

/// Bytes of an encoded change, at most: what the consensus group takes as one entry.
pub const MAX_CHANGE_BYTES: usize = 64 << 10;
/// Bytes of an encoded change beside its edits, at most.
const CHANGE_OVERHEAD_BYTES: usize = 96;
/// Bytes of an encoded edit beside the name, at most: its kind, the name's length and the quota.
const EDIT_OVERHEAD_BYTES: usize = 11;

/// One tenant's quota is set, added or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Another quota for a tenant that is in the table.
    Set {
        /// The tenant's name.
        tenant: String,
        /// Requests a second.
        quota_per_s: f64,
    },
    /// A tenant that is not in the table yet.
    Add {
        /// The tenant's name.
        tenant: String,
        /// Requests a second.
        quota_per_s: f64,
    },
    /// A tenant that leaves the table.
    Remove {
        /// The tenant's name.
        tenant: String,
    },
}

impl Edit {
    /// The tenant's name.
    pub fn tenant(&self) -> &str {
        match self {
            Edit::Set { tenant, .. } | Edit::Add { tenant, .. } | Edit::Remove { tenant } => tenant,
        }
    }

    /// The new quota in requests a second; none for a tenant that is removed.
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

/// A committed change: the delta from one version to the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version that the change leads to.
    pub version: Version,
    /// The version that it applies to.
    pub previous: Version,
    /// Digest of the table that it leads to.
    pub digest: u128,
    /// At least one, each for another tenant.
    pub edits: Vec<Edit>,
    /// When it was proposed, in Unix milliseconds, for people; nothing is decided by it.
    pub proposed_unix_ms: u64,
}

impl Change {
    /// Upper bound of the encoded length.
    pub fn max_encoded_bytes(&self) -> usize {
        max_encoded_bytes(&self.edits)
    }
}

/// Upper bound of the encoded length of a change with these edits.
pub(crate) fn max_encoded_bytes(edits: &[Edit]) -> usize {
    CHANGE_OVERHEAD_BYTES + edits.iter().map(Edit::max_encoded_bytes).sum::<usize>()
}

/// Why one edit does not fit the table.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EditError {
    /// The name or quota is not valid by itself.
    #[error(transparent)]
    InvalidEntry(#[from] InvalidEntry),
    /// An earlier edit of the change names the tenant too.
    #[error("the tenant is named twice in one change; name it once")]
    NamedTwice,
    /// The tenant to add is in the table, with this quota.
    #[error("the tenant is known, with {0}; set it instead")]
    AlreadyKnown(f64),
    /// The tenant to set is not in the table.
    #[error("no such tenant; add it instead")]
    UnknownToSet,
    /// The tenant to remove is not in the table.
    #[error("no such tenant; name one that is known")]
    UnknownToRemove,
}

/// Why the edits of a change can't be applied to the table, in one line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidChange {
    /// There is no edit.
    #[error("a change with no edit; name at least one tenant")]
    Empty,
    /// Encoded it would be longer than [`MAX_CHANGE_BYTES`].
    #[error(
        "{edits} edits of {bytes} bytes; a change holds {max} bytes at most, propose it in several",
        max = MAX_CHANGE_BYTES
    )]
    TooLong {
        /// How many there are.
        edits: usize,
        /// Upper bound of the encoded length.
        bytes: usize,
    },
    /// One of the edits does not fit.
    #[error("edit {position}, {edit}: {source}")]
    Edit {
        /// Counted from 1.
        position: usize,
        /// The edit that does not fit.
        edit: Box<Edit>,
        /// Why it does not.
        source: EditError,
    },
    /// The table would hold more than [`MAX_TENANTS`].
    #[error("{0} tenants after this change; {max} at most, remove some first", max = MAX_TENANTS)]
    TooManyTenants(usize),
}
