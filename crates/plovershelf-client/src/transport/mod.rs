//! Carries out the actions of a [`Caller`](crate::Caller) on sockets. It decides nothing: one task owns the caller, and one more
//! serves each connection.

mod connection;
mod driver;
mod endpoint_file;

use std::hash::{BuildHasher, Hasher};

pub(crate) use self::driver::Driver;
pub(crate) use self::endpoint_file::EndpointFile;
pub use self::endpoint_file::EndpointFileError;

/// Bits that no other process has, from the source that seeds the standard library's tables.
pub(crate) fn entropy() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}
