//! Quorum sizes and the rule for safe changes of the voters.

use std::collections::BTreeSet;

use crate::identity::NodeId;

/// Largest number of voters that a group can be configured with.
pub const MAX_VOTERS: usize = 7;

/// Returns the smallest number of voters that is more than half of `count`.
pub(super) fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Returns the number of other voters that must report to a recovering one. Every majority that the recovering voter
/// may have belonged to has another member among that many voters (as in the recovery of viewstamped replication).
pub(super) fn recovery_quorum(count: usize) -> usize {
    (count - majority(count) + 1).min(count.saturating_sub(1))
}

/// Returns whether the voters may change from `old` to `new`. Exactly one voter may be added or removed, so that any
/// majority of the old voters intersects any majority of the new ones (Raft, section 6, and Ongaro's dissertation,
/// section 4.1). The replacement of a voter temporarily needs one more than [`MAX_VOTERS`].
pub(super) fn is_safe_change(old: &BTreeSet<NodeId>, new: &BTreeSet<NodeId>) -> bool {
    old.symmetric_difference(new).count() == 1 && (1..=MAX_VOTERS + 1).contains(&new.len())
}
