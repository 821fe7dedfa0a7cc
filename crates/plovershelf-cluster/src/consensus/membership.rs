//! Which changes of voters are safe, and how many voters must agree.

use std::collections::BTreeSet;

use crate::identity::NodeId;

/// Most voters that a group may be configured with.
pub const MAX_VOTERS: usize = 7;

/// More than half of so many voters.
pub(super) fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// How many others must tell a recovering voter what they keep: so many that each majority which it may have been part of
/// has another member among them (as in the recovery of viewstamped replication).
pub(super) fn recovery_quorum(count: usize) -> usize {
    (count - majority(count) + 1).min(count.saturating_sub(1))
}

/// Voters change one at a time, so that any majority of the old ones meets any of the new ones (Raft, section 6, and
/// Ongaro's dissertation, section 4.1). One more than may be configured stands while one takes another's place.
pub(super) fn is_safe_change(old: &BTreeSet<NodeId>, new: &BTreeSet<NodeId>) -> bool {
    old.symmetric_difference(new).count() == 1 && (1..=MAX_VOTERS + 1).contains(&new.len())
}
