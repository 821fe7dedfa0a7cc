//! Random numbers that differ between processes.

use std::fs::File;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::Read;

/// Returns a random number that no other process start is expected to draw; never 0.
pub(crate) fn random_id() -> u64 {
    let mut bytes = [0; 8];
    let read = File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    if read.is_err() {
        return RandomState::new().build_hasher().finish() | 1;
    }
    u64::from_ne_bytes(bytes) | 1
}
