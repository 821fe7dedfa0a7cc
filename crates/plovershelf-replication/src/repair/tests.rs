use super::*;
use crate::test_support::{context, messages, reserved, KEY};

/// A replica's confirmation is lost: the record must be sent to it again, and only to it, until it confirms.
#[test]
fn record_is_sent_again_to_those_that_have_not_confirmed() {
    let mut ctx = context(1, 1, &[1, 2, 3]);
    let record = reserved(1, &[1, 2, 3]);
    let mut repair = Repair::default();
    repair.start(KEY, RepairContent::Reservation, BTreeSet::from([NodeId(2), NodeId(3)]));
    assert_eq!(messages(repair.send(&ctx, KEY, &record)).len(), 2);
    assert_eq!(repair.handle_repaired(NodeId(2), KEY), Progress::Lacking);
    ctx.now_ms = repair.poll_timeout();
    assert_eq!((ctx.now_ms, repair.pop_due()), (200.0, Some(KEY)));
    let sent = messages(repair.send(&ctx, KEY, &record));
    assert!(matches!(sent.as_slice(), [(NodeId(3), Message::Repair { .. })]));
    assert_eq!(repair.handle_repaired(NodeId(3), KEY), Progress::Complete(RepairContent::Reservation));
    assert_eq!((repair.len(), repair.handle_repaired(NodeId(3), KEY)), (0, Progress::Lacking));
    assert!(messages(repair.send(&ctx, KEY, &record)).is_empty());
}

/// The outcome came while replicas were asked to store the reservation: their word for the reservation must not count for the
/// outcome, which must be asked for by its content until all have confirmed that.
#[test]
fn outcome_after_a_repair_without_one_is_confirmed_by_content_only() {
    let ctx = context(1, 1, &[1, 2]);
    let others = BTreeSet::from([NodeId(2)]);
    let open = reserved(1, &[1, 2]);
    let completed = Record { outcome: Some(Outcome::Failed), ..open.clone() };
    let mut repair = Repair::default();
    repair.start(KEY, RepairContent::Reservation, others.clone());
    assert_eq!(messages(repair.send(&ctx, KEY, &open)).len(), 1);
    repair.start(KEY, RepairContent::Outcome, others);
    let sent = messages(repair.send(&ctx, KEY, &completed));
    let [(_, Message::Repair { .. }), (NodeId(2), Message::RecordOutcome { outcome, .. })] = sent.as_slice()
    else {
        panic!("{sent:?}");
    };
    assert_eq!(*outcome, Outcome::Failed);
    assert_eq!(repair.handle_repaired(NodeId(2), KEY), Progress::Lacking);
    let progress = repair.handle_outcome_recorded(NodeId(2), KEY);
    assert_eq!(progress, Progress::Complete(RepairContent::Outcome));
}
