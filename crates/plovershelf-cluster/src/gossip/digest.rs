//! Checksums of what is known, for anti-entropy: two members whose digests agree know the same.
//!
//! One level of buckets, as all of it is a table of a few thousand members.

use super::member::MemberUpdate;
use crate::identity::NodeId;

/// Buckets that members are spread over.
pub(super) const BUCKETS: usize = 64;

/// A digest's checksums, one a bucket.
pub(super) type Checksums = [u32; BUCKETS];

/// Of present members alone: the dead are forgotten at different times, and one that joins never hears of them.
pub(super) fn checksums<'a>(present: impl Iterator<Item = &'a MemberUpdate>) -> Checksums {
    let mut checksums = [0u32; BUCKETS];
    for update in present {
        let said = u64::from(update.incarnation) << 3 | (update.state as u64) << 1 | u64::from(update.ready);
        let checksum = &mut checksums[bucket(update.node.id)];
        *checksum = checksum.wrapping_add(mix(update.node.id.0 ^ mix(said ^ update.boot_id)) as u32);
    }
    checksums
}

/// The bucket that tells of a member.
pub(super) fn bucket(id: NodeId) -> usize {
    (mix(id.0) >> 32) as usize % BUCKETS
}

/// Spreads bits, alike on every machine (the last steps of splitmix64).
pub(super) fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
