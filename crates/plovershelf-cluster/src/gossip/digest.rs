//! Checksums of the membership table for anti-entropy. Two members with equal digests have equal tables.
//!
//! A single level of buckets suffices, because the table has at most a few thousand members.

use super::member::MemberUpdate;
use crate::identity::NodeId;

/// Number of buckets over which members are hashed.
pub(super) const BUCKETS: usize = 64;

/// The checksums of a digest, one per bucket.
pub(super) type Checksums = [u32; BUCKETS];

/// Computes the checksums of the present members. Dead members are excluded: members remove them from their tables at
/// different times, and a new member never learns of them.
pub(super) fn checksums<'a>(present: impl Iterator<Item = &'a MemberUpdate>) -> Checksums {
    let mut checksums = [0u32; BUCKETS];
    for update in present {
        let status =
            u64::from(update.incarnation) << 3 | (update.state as u64) << 1 | u64::from(update.ready);
        let checksum = &mut checksums[bucket(update.node.id)];
        *checksum = checksum.wrapping_add(mix(update.node.id.0 ^ mix(status ^ update.boot_id)) as u32);
    }
    checksums
}

/// Returns the bucket of a member.
pub(super) fn bucket(id: NodeId) -> usize {
    (mix(id.0) >> 32) as usize % BUCKETS
}

/// Mixes the bits of a value, identically on all machines (the finalizer of splitmix64).
pub(super) fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
