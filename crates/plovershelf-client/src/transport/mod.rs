//! Executes the actions of a [`Caller`](crate::Caller) on sockets. One task drives the state machine, and one
//! task serves each connection.

mod connection;
mod driver;
mod endpoint_file;

use std::hash::{BuildHasher, Hasher};

pub(crate) use self::driver::Driver;
pub(crate) use self::endpoint_file::EndpointFile;
pub use self::endpoint_file::EndpointFileError;

/// Returns random bits that differ between processes, from the random seed of the standard library's hash
/// maps and the process id.
pub(crate) fn entropy() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}
