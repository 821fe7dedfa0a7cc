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

/// The primary stores an outcome that some replicas may lack. Other attempts must wait while repair has all replicas confirm
/// the outcome, and must receive it afterwards.
#[test]
fn outcome_is_sent_to_other_attempts_only_after_all_replicas_have_it() {
    let ctx = context(1, 1, &[1, 2, 3]);
    let (mut primary, mut replica, mut repair) = (Primary::default(), Replica::default(), Repair::default());
    let mut completed = reserved(2, &[1, 2, 3]);
    completed.outcome = Some(Outcome::Failed);
    completed.outcome_version = OutcomeVersion { view: ViewNumber(1), origin: OutcomeOrigin::Executor };
    assert_eq!(replica.store(&ctx, KEY, completed), StoreResult::Stored);
    let answer = messages(primary.handle_reserve(&ctx, request(3), &mut replica, &mut repair));
    assert!(matches!(answer.as_slice(), [(NodeId(3), Message::HeldByAnother { outcome: None, .. })]));
    assert!(repair.is_repairing_outcome(KEY));
    let sent = messages(primary.handle_outcome_replicated(&ctx, KEY, &mut replica));
    let outcome = Some(Outcome::Failed);
    let (view, reservation) = (ctx.view(), reservation(3));
    assert_eq!(sent, [(NodeId(3), Message::HeldByAnother { view, key: KEY, reservation, outcome })]);
    assert!(primary.take_waiters(KEY).is_empty());
}

/// More attempts wait than `MAX_WAITERS`: the surplus must be answered but not recorded, since they retransmit.
#[test]
fn waiters_are_bounded() {
    let ctx = context(1, 1, &[1, 2, 3]);
    let (mut primary, mut replica, mut repair) = (Primary::default(), Replica::default(), Repair::default());
    assert_eq!(replica.store(&ctx, KEY, reserved(2, &[1, 2, 3])), StoreResult::Stored);
    for executor in 100..200 {
        let answer = primary.handle_reserve(&ctx, request(executor), &mut replica, &mut repair);
        assert_eq!(messages(answer).len(), 1);
    }
    assert_eq!(primary.take_waiters(KEY).len(), MAX_WAITERS);
}

/// A record with a replicated outcome is replaced by the record of a later reservation. The confirmation of the first outcome
/// must not count for the second, so the second must not be sent to other attempts yet.
#[test]
fn replicated_flag_is_not_inherited_by_a_later_reservation() {
    let ctx = context(1, 1, &[1, 2, 3]);
    let (mut primary, mut replica, mut repair) = (Primary::default(), Replica::default(), Repair::default());
    let mut completed = reserved(2, &[1, 2, 3]);
    completed.outcome = Some(Outcome::Failed);
    assert_eq!(replica.store(&ctx, KEY, completed), StoreResult::Stored);
    assert!(primary.handle_outcome_replicated(&ctx, KEY, &mut replica).0.is_empty());
    let mut later = reserved(3, &[1, 2, 3]);
    later.order.view = ViewNumber(2);
    later.outcome = Some(Outcome::Succeeded(vec![1]));
    assert_eq!(replica.store(&ctx, KEY, later), StoreResult::Stored);
    let answer = messages(primary.handle_reserve(&ctx, request(4), &mut replica, &mut repair));
    assert!(matches!(answer.as_slice(), [(NodeId(4), Message::HeldByAnother { outcome: None, .. })]));
    assert!(repair.is_repairing_outcome(KEY));
}

/// Reconciliation stores the same outcome under a later version: it must remain marked as replicated.
#[test]
fn replicated_outcome_stored_under_a_later_version_is_sent_to_other_attempts() {
    let ctx = context(1, 1, &[1, 2, 3]);
    let (mut primary, mut replica, mut repair) = (Primary::default(), Replica::default(), Repair::default());
    let mut completed = reserved(2, &[1, 2, 3]);
    completed.outcome = Some(Outcome::Failed);
    assert_eq!(replica.store(&ctx, KEY, completed.clone()), StoreResult::Stored);
    assert!(primary.handle_outcome_replicated(&ctx, KEY, &mut replica).0.is_empty());
    completed.outcome_version = OutcomeVersion { view: ViewNumber(2), origin: OutcomeOrigin::Reconciliation };
    assert_eq!(replica.store(&ctx, KEY, completed), StoreResult::Stored);
    let answer = messages(primary.handle_reserve(&ctx, request(4), &mut replica, &mut repair));
    let expected = Some(Outcome::Failed);
    assert!(
        matches!(answer.as_slice(), [(_, Message::HeldByAnother { outcome, .. })] if *outcome == expected)
    );
}
