use super::*;
use crate::record::ViewNumber;
use crate::test_support::{context, KEY};

fn reply(ctx: &Context, replica_set: &[NodeId], round: u32) -> ReservedReply {
    let reservation = Reservation { executor: ctx.local(), request: RequestId(1) };
    ReservedReply { key: KEY, reservation, round: Round(round), replica_set: replica_set.to_vec() }
}

fn is_launch(effects: &Effects) -> bool {
    matches!(effects.0.as_slice(), [crate::effects::Effect::Emit(Event::Launch(RequestId(1)))])
}

/// Two of three replicas confirm, the third is suspected, and a new round starts with a substitute. A late confirmation of
/// the first round must not count: the launch requires confirmations of the same round from all its replicas.
#[test]
fn confirmation_of_an_earlier_round_does_not_count() {
    let mut ctx = context(1, 1, &[1, 2, 3, 4]);
    let placed = ctx.membership.replica_set(KEY);
    let mut executor = Executor::default();
    let (id, _) = executor.reserve(&ctx, KEY, 1000.0, 1000.0);
    for from in &placed[..2] {
        assert!(!is_launch(&executor.handle_reserved(&ctx, *from, reply(&ctx, &placed, 0))));
    }
    ctx.suspected.update(BTreeSet::from([placed[2]]));
    let _ = executor.transmit(&ctx, id);
    assert!(!is_launch(&executor.handle_reserved(&ctx, placed[2], reply(&ctx, &placed, 0))));
    let substitute = (1..=4).map(NodeId).find(|id| !placed.contains(id)).expect("a fourth member exists");
    let replaced = [placed[0], placed[1], substitute];
    assert!(!is_launch(&executor.handle_reserved(&ctx, placed[0], reply(&ctx, &replaced, 1))));
    assert!(!is_launch(&executor.handle_reserved(&ctx, placed[1], reply(&ctx, &replaced, 1))));
    assert!(is_launch(&executor.handle_reserved(&ctx, substitute, reply(&ctx, &replaced, 1))));
}

/// Two replicas have confirmed when the view changes. Their confirmations must not count in the new view, which may assign
/// other replicas.
#[test]
fn confirmations_do_not_count_in_a_new_view() {
    let mut ctx = context(1, 1, &[1, 2, 3]);
    let placed = ctx.membership.replica_set(KEY);
    let mut executor = Executor::default();
    let _ = executor.reserve(&ctx, KEY, 1000.0, 1000.0);
    for from in &placed[..2] {
        assert!(!is_launch(&executor.handle_reserved(&ctx, *from, reply(&ctx, &placed, 0))));
    }
    ctx = context(1, 2, &[1, 2, 3]);
    assert_eq!(ctx.view(), ViewNumber(2));
    executor.handle_view_change(0.0);
    assert!(!is_launch(&executor.handle_reserved(&ctx, placed[2], reply(&ctx, &placed, 0))));
    assert_eq!(executor.counts(), RequestCounts { reserving: 1, ..RequestCounts::default() });
}
