use super::*;
use crate::test_support::{context, messages, reserved, KEY};

/// One of two replicas does not confirm: the record must be sent again to that replica only, until it confirms.
#[test]
fn record_is_sent_again_to_unconfirmed_replicas_only() {
    let mut ctx = context(1, 1, &[1, 2, 3]);
    let record = reserved(1, &[1, 2, 3]);
    let mut repair = Repair::default();
    repair.start(KEY, RepairContent::Reservation, BTreeSet::from([NodeId(2), NodeId(3)]));
    assert_eq!(messages(repair.send(&ctx, KEY, &record)).len(), 2);
    assert_eq!(repair.handle_repaired(NodeId(2), KEY), Progress::Incomplete);
    ctx.now_ms = repair.poll_timeout();
    assert_eq!((ctx.now_ms, repair.pop_due()), (200.0, Some(KEY)));
    let sent = messages(repair.send(&ctx, KEY, &record));
    assert!(matches!(sent.as_slice(), [(NodeId(3), Message::Repair { .. })]));
    assert_eq!(repair.handle_repaired(NodeId(3), KEY), Progress::Complete(RepairContent::Reservation));
    assert_eq!((repair.len(), repair.handle_repaired(NodeId(3), KEY)), (0, Progress::Incomplete));
    assert!(messages(repair.send(&ctx, KEY, &record)).is_empty());
}

/// The outcome arrives during a repair of the reservation. A `Repaired` sent for the reservation must not count for the
/// outcome, which must be confirmed by `OutcomeRecorded`.
#[test]
fn outcome_after_a_repair_without_one_is_confirmed_only_by_outcome_recorded() {
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
    assert_eq!(repair.handle_repaired(NodeId(2), KEY), Progress::Incomplete);
    let progress = repair.handle_outcome_recorded(NodeId(2), KEY);
    assert_eq!(progress, Progress::Complete(RepairContent::Outcome));
}
