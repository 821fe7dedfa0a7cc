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
    let told = messages(primary.handle_outcome_replicated(&ctx, KEY, &replica));
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
