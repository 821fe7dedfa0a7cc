use plovershelf_cluster::NodeId;

use super::*;
use crate::record::{Outcome, OutcomeOrigin, ViewNumber};
use crate::test_support::{context, messages, reservation, reserved, KEY};

fn request(executor: u64) -> ReserveRequest {
    ReserveRequest {
        key: KEY,
        reservation: reservation(executor),
        round: Round::default(),
        retention_ms: 1000,
    }
}

/// The primary has an outcome of which it does not know whether all replicas have it: other attempts must wait, and repair must
/// find out. Once all have it, they must be answered with it.
#[test]
fn outcome_is_not_told_to_others_before_all_replicas_have_it() {
    let ctx = context(1, 1, &[1, 2, 3]);
    let (mut primary, mut replica, mut repair) = (Primary::default(), Replica::default(), Repair::default());
    let mut completed = reserved(2, &[1, 2, 3]);
    completed.outcome = Some(Outcome::Failed);
    completed.outcome_version = OutcomeVersion { view: ViewNumber(1), origin: OutcomeOrigin::Executor };
    assert_eq!(replica.store(&ctx, KEY, completed), Stored::Yes);
    let answer = messages(primary.handle_reserve(&ctx, request(3), &mut replica, &mut repair));
    assert!(matches!(answer.as_slice(), [(NodeId(3), Message::HeldByAnother { outcome: None, .. })]));
    assert!(repair.is_repairing_outcome(KEY));
    let told = messages(primary.handle_outcome_replicated(&ctx, KEY, &mut replica));
    let outcome = Some(Outcome::Failed);
    let (view, reservation) = (ctx.view(), reservation(3));
    assert_eq!(told, [(NodeId(3), Message::HeldByAnother { view, key: KEY, reservation, outcome })]);
    assert!(primary.forget(KEY).is_empty());
}

/// More attempts wait than are remembered: the rest must be answered too, and ask again by themselves.
#[test]
fn waiters_are_bounded() {
    let ctx = context(1, 1, &[1, 2, 3]);
    let (mut primary, mut replica, mut repair) = (Primary::default(), Replica::default(), Repair::default());
    assert_eq!(replica.store(&ctx, KEY, reserved(2, &[1, 2, 3])), Stored::Yes);
    for executor in 100..200 {
        let answer = primary.handle_reserve(&ctx, request(executor), &mut replica, &mut repair);
        assert_eq!(messages(answer).len(), 1);
    }
    assert_eq!(primary.forget(KEY).len(), MAX_WAITERS);
}

/// A record whose outcome all replicas had is replaced by a later reservation's: that one's outcome must not be told to others on the
/// word that was given for the first.
#[test]
fn outcome_of_a_record_that_replaced_a_replicated_one_is_not_told() {
    let ctx = context(1, 1, &[1, 2, 3]);
    let (mut primary, mut replica, mut repair) = (Primary::default(), Replica::default(), Repair::default());
    let mut completed = reserved(2, &[1, 2, 3]);
    completed.outcome = Some(Outcome::Failed);
    assert_eq!(replica.store(&ctx, KEY, completed), Stored::Yes);
    assert!(primary.handle_outcome_replicated(&ctx, KEY, &mut replica).0.is_empty());
    let mut later = reserved(3, &[1, 2, 3]);
    later.order.view = ViewNumber(2);
    later.outcome = Some(Outcome::Succeeded(vec![1]));
    assert_eq!(replica.store(&ctx, KEY, later), Stored::Yes);
    let answer = messages(primary.handle_reserve(&ctx, request(4), &mut replica, &mut repair));
    assert!(matches!(answer.as_slice(), [(NodeId(4), Message::HeldByAnother { outcome: None, .. })]));
    assert!(repair.is_repairing_outcome(KEY));
}

/// Reconciliation stores the same outcome under a later version: what all replicas had, they still have.
#[test]
fn replicated_outcome_stored_under_a_later_version_is_told() {
    let ctx = context(1, 1, &[1, 2, 3]);
    let (mut primary, mut replica, mut repair) = (Primary::default(), Replica::default(), Repair::default());
    let mut completed = reserved(2, &[1, 2, 3]);
    completed.outcome = Some(Outcome::Failed);
    assert_eq!(replica.store(&ctx, KEY, completed.clone()), Stored::Yes);
    assert!(primary.handle_outcome_replicated(&ctx, KEY, &mut replica).0.is_empty());
    completed.outcome_version = OutcomeVersion { view: ViewNumber(2), origin: OutcomeOrigin::Reconciliation };
    assert_eq!(replica.store(&ctx, KEY, completed), Stored::Yes);
    let answer = messages(primary.handle_reserve(&ctx, request(4), &mut replica, &mut repair));
    let told = Some(Outcome::Failed);
    assert!(matches!(answer.as_slice(), [(_, Message::HeldByAnother { outcome, .. })] if *outcome == told));
}
