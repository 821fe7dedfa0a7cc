use super::*;
use crate::test_support::{context, KEY};

/// A suspected replica must be replaced by another member, the others staying in order.
#[test]
fn suspected_replica_is_replaced_by_the_next_member() {
    let ctx = context(1, 1, &[1, 2, 3, 4, 5]);
    let placed = ctx.membership.replica_set(KEY);
    let suspect = *placed.iter().rev().find(|id| **id != NodeId(1)).expect("three replicas");
    let mut suspected = SuspectedMembers::default();
    assert_eq!(suspected.replica_set(&ctx.membership, KEY), placed);
    assert_eq!(suspected.update(BTreeSet::from([suspect])), Update::Changed);
    assert_eq!(suspected.update(BTreeSet::from([suspect])), Update::Unchanged);
    let replaced = suspected.replica_set(&ctx.membership, KEY);
    assert!(replaced.len() == 3 && !replaced.contains(&suspect));
    let stay: Vec<NodeId> = placed.into_iter().filter(|id| *id != suspect).collect();
    assert!(stay.iter().all(|id| replaced.contains(id)));
}

/// Three members and one suspected: with it gone there would be two replicas. It must stay.
#[test]
fn suspected_replica_stays_where_there_would_be_fewer() {
    let ctx = context(1, 1, &[1, 2, 3]);
    let mut suspected = SuspectedMembers::default();
    suspected.update(BTreeSet::from([NodeId(2)]));
    assert_eq!(suspected.replica_set(&ctx.membership, KEY), ctx.membership.replica_set(KEY));
}

/// A suspected replica that confirmed already does not hold up a reservation; one that did not does.
#[test]
fn only_a_suspected_replica_without_confirmation_blocks() {
    let mut suspected = SuspectedMembers::default();
    suspected.update(BTreeSet::from([NodeId(2)]));
    let replica_set = [NodeId(1), NodeId(2), NodeId(3)];
    assert!(suspected.blocks(&replica_set, &BTreeSet::from([NodeId(1)])));
    assert!(!suspected.blocks(&replica_set, &BTreeSet::from([NodeId(2)])));
}
