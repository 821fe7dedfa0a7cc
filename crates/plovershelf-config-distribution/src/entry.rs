//! A tenant's quota, and the validation of names and quotas.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Maximum number of tenants in a table.
pub const MAX_TENANTS: usize = 100_000;
/// Maximum length of a tenant's name in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum quota in requests per second.
pub const MAX_QUOTA_PER_S: f64 = 1e9;
/// Maximum size of an encoded entry without the name, in bytes: the length of the name, and the quota.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 10;

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The tenant's name.
    pub tenant: String,
    /// The quota in requests per second.
    pub quota_per_s: f64,
}

impl Entry {
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        self.tenant.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// Reason why a tenant's name or quota is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidEntry {
    /// The name is empty.
    #[error("a tenant with no name; 1 to 64 bytes would be right")]
    EmptyName,
    /// The name has this length in bytes, above [`MAX_NAME_BYTES`].
    #[error("a tenant's name of {0} bytes; {max} at most", max = MAX_NAME_BYTES)]
    NameTooLong(usize),
    /// The name contains a control character, which could break the line in a log or a printed table.
    #[error("the tenant's name {name} holds a control character; leave it out", name = quoted(.0))]
    ControlCharacter(String),
    /// The quota is negative, above [`MAX_QUOTA_PER_S`], or not a number.
    #[error(
        "a quota of {quota_per_s} for tenant {name}; 0 to {max} requests a second would be right",
        name = quoted(tenant),
        max = MAX_QUOTA_PER_S
    )]
    QuotaOutOfRange {
        /// The tenant's name.
        tenant: String,
        /// The rejected quota in requests per second.
        quota_per_s: f64,
    },
}

/// Returns a name for use in a message: quoted, escaped to one line, and truncated.
pub(crate) fn quoted(tenant: &str) -> String {
    let truncated: String = tenant.chars().take(MAX_NAME_BYTES + 1).collect();
    format!("{truncated:?}")
}

pub(crate) fn check_name(name: &str) -> Result<(), InvalidEntry> {
    if name.is_empty() {
        return Err(InvalidEntry::EmptyName);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(InvalidEntry::NameTooLong(name.len()));
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

/// Returns the digest of one entry. The digest of a table is the sum over its entries, so an edit changes it only by
/// the edited entry.
pub(crate) fn entry_digest(name: &str, quota_per_s: f64) -> u128 {
    let mut bytes = [0; MAX_NAME_BYTES + 8];
    let length = name.len().min(MAX_NAME_BYTES);
    bytes[..8].copy_from_slice(&quota_per_s.to_bits().to_le_bytes());
    bytes[8..8 + length].copy_from_slice(&name.as_bytes()[..length]);
    xxh3_128(&bytes[..8 + length])
}
