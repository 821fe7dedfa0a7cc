use super::*;
use crate::record::ViewNumber;
use crate::test_support::{context, KEY};

fn reply(ctx: &Context, replica_set: &[NodeId], round: u32) -> ReservedReply {
    let reservation = Reservation { executor: ctx.local(), request: RequestId(1) };
    ReservedReply { key: KEY, reservation, round: Round(round), replica_set: replica_set.to_vec() }
}

fn launches(effects: &Effects) -> bool {
    matches!(effects.0.as_slice(), [crate::effects::Effect::Emit(Event::Launch(RequestId(1)))])
}

/// Two of three replicas confirm, the third is suspected, and a new round begins with another. A late confirmation of the first
/// round must not count: only all replicas of one round launch.
#[test]
fn confirmation_of_an_earlier_round_does_not_count() {
    let mut ctx = context(1, 1, &[1, 2, 3, 4]);
    let placed = ctx.membership.replica_set(KEY);
    let mut executor = Executor::default();
    let (id, _) = executor.reserve(&ctx, KEY, 1000.0, 1000.0);
    for from in &placed[..2] {
        assert!(!launches(&executor.handle_reserved(&ctx, *from, reply(&ctx, &placed, 0))));
    }
    ctx.suspected.update(BTreeSet::from([placed[2]]));
    let _ = executor.transmit(&ctx, id);
    assert!(!launches(&executor.handle_reserved(&ctx, placed[2], reply(&ctx, &placed, 0))));
    let stand_in = (1..=4).map(NodeId).find(|id| !placed.contains(id)).expect("a fourth");
    let replaced = [placed[0], placed[1], stand_in];
    assert!(!launches(&executor.handle_reserved(&ctx, placed[0], reply(&ctx, &replaced, 1))));
    assert!(!launches(&executor.handle_reserved(&ctx, placed[1], reply(&ctx, &replaced, 1))));
    assert!(launches(&executor.handle_reserved(&ctx, stand_in, reply(&ctx, &replaced, 1))));
}

/// Two replicas have confirmed when the view changes. Their confirmations must not count in the new view, whose replicas may be
/// others.
#[test]
fn confirmations_do_not_count_in_a_new_view() {
    let mut ctx = context(1, 1, &[1, 2, 3]);
    let placed = ctx.membership.replica_set(KEY);
    let mut executor = Executor::default();
    let _ = executor.reserve(&ctx, KEY, 1000.0, 1000.0);
    for from in &placed[..2] {
        assert!(!launches(&executor.handle_reserved(&ctx, *from, reply(&ctx, &placed, 0))));
    }
    ctx = context(1, 2, &[1, 2, 3]);
    assert_eq!(ctx.view(), ViewNumber(2));
    executor.handle_view_change(0.0);
    assert!(!launches(&executor.handle_reserved(&ctx, placed[2], reply(&ctx, &placed, 0))));
    assert_eq!(executor.counts(), RequestCounts { reserving: 1, ..RequestCounts::default() });
}
