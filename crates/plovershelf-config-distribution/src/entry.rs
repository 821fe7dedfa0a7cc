//! One tenant's quota, and which names and quotas are valid.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Tenants in a table, at most.
pub const MAX_TENANTS: usize = 100_000;
/// Bytes of a tenant's name, at most.
pub const MAX_NAME_BYTES: usize = 64;
/// A quota, at most, in requests a second.
pub const MAX_QUOTA_PER_S: f64 = 1e9;
/// Bytes of an encoded entry beside the name, at most: the name's length and the quota.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 10;

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The tenant's name.
    pub tenant: String,
    /// Requests a second.
    pub quota_per_s: f64,
}

impl Entry {
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        self.tenant.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// Why a tenant's name or quota is not valid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidEntry {
    /// The name is empty.
    #[error("a tenant with no name; 1 to 64 bytes would be right")]
    EmptyName,
    /// The name has this many bytes.
    #[error("a tenant's name of {0} bytes; {max} at most", max = MAX_NAME_BYTES)]
    LongName(usize),
    /// The name would not stay on one line of a log or a table.
    #[error("the tenant's name {name} holds a control character; leave it out", name = quoted(.0))]
    ControlCharacter(String),
    /// The quota is negative, too high or not a number.
    #[error(
        "a quota of {quota_per_s} for tenant {name}; 0 to {max} requests a second would be right",
        name = quoted(tenant),
        max = MAX_QUOTA_PER_S
    )]
    QuotaOutOfRange {
        /// The tenant's name.
        tenant: String,
        /// Requests a second.
        quota_per_s: f64,
    },
}

/// A name as it stands in messages for people: quoted, and never more than a line, whatever came.
pub(crate) fn quoted(tenant: &str) -> String {
    let cut: String = tenant.chars().take(MAX_NAME_BYTES + 1).collect();
    format!("{cut:?}")
}

pub(crate) fn check_name(name: &str) -> Result<(), InvalidEntry> {
    if name.is_empty() {
        return Err(InvalidEntry::EmptyName);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(InvalidEntry::LongName(name.len()));
    }
    if name.chars().any(char::is_control) {
        return Err(InvalidEntry::ControlCharacter(name.to_string()));
    }
    Ok(())
}

pub(crate) fn check_quota(tenant: &str, quota_per_s: f64) -> Result<(), InvalidEntry> {
    if quota_per_s.is_finite() && (0.0..=MAX_QUOTA_PER_S).contains(&quota_per_s) {
        return Ok(());
    }
    Err(InvalidEntry::QuotaOutOfRange { tenant: tenant.to_string(), quota_per_s })
}

/// Digest of one entry. A table's digest is the sum over its entries, so that an edit changes it by its own entry alone.
pub(crate) fn entry_digest(name: &str, quota_per_s: f64) -> u128 {
    let mut bytes = [0; MAX_NAME_BYTES + 8];
    let length = name.len().min(MAX_NAME_BYTES);
    bytes[..8].copy_from_slice(&quota_per_s.to_bits().to_le_bytes());
    bytes[8..8 + length].copy_from_slice(&name.as_bytes()[..length]);
    xxh3_128(&bytes[..8 + length])
}
