use super::*;
use crate::test_support::{context, KEY};

/// A suspected replica must be replaced by another member while the other replicas remain.
#[test]
fn suspected_replica_is_replaced_by_the_next_member() {
    let ctx = context(1, 1, &[1, 2, 3, 4, 5]);
    let placed = ctx.membership.replica_set(KEY);
    let suspected_replica = *placed.iter().rev().find(|id| **id != NodeId(1)).expect("a remote replica");
    let mut suspected = SuspectedMembers::default();
    assert_eq!(suspected.replica_set(&ctx.membership, KEY), placed);
    assert_eq!(suspected.update(BTreeSet::from([suspected_replica])), Update::Changed);
    assert_eq!(suspected.update(BTreeSet::from([suspected_replica])), Update::Unchanged);
    let substituted = suspected.replica_set(&ctx.membership, KEY);
    assert!(substituted.len() == 3 && !substituted.contains(&suspected_replica));
    let remaining: Vec<NodeId> = placed.into_iter().filter(|id| *id != suspected_replica).collect();
    assert!(remaining.iter().all(|id| substituted.contains(id)));
}

/// One of three members is suspected. Without it there would be only two replicas, so it must not be replaced.
#[test]
fn suspected_replica_remains_if_no_substitute_exists() {
    let ctx = context(1, 1, &[1, 2, 3]);
    let mut suspected = SuspectedMembers::default();
    suspected.update(BTreeSet::from([NodeId(2)]));
    assert_eq!(suspected.replica_set(&ctx.membership, KEY), ctx.membership.replica_set(KEY));
}

/// A suspected replica blocks a reservation only if it has not confirmed it.
#[test]
fn only_a_suspected_replica_without_confirmation_blocks() {
    let mut suspected = SuspectedMembers::default();
    suspected.update(BTreeSet::from([NodeId(2)]));
    let replica_set = [NodeId(1), NodeId(2), NodeId(3)];
    assert!(suspected.blocks(&replica_set, &BTreeSet::from([NodeId(1)])));
    assert!(!suspected.blocks(&replica_set, &BTreeSet::from([NodeId(2)])));
}
