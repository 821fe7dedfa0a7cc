use super::*;
use crate::test_support::{context, messages, reserved, KEY};

/// A replica's confirmation is lost: the record must be sent to it again, and only to it, until it confirms.
#[test]
fn record_is_sent_again_to_those_that_have_not_confirmed() {
    let mut ctx = context(1, 1, &[1, 2, 3]);
    let record = reserved(1, &[1, 2, 3]);
    let mut repair = Repair::default();
    repair.start(KEY, BTreeSet::from([NodeId(2), NodeId(3)]));
    assert_eq!(messages(repair.send(&ctx, KEY, &record)).len(), 2);
    assert_eq!(repair.handle_repaired(NodeId(2), KEY), Progress::Lacking);
    ctx.now_ms = repair.poll_timeout();
    assert_eq!((ctx.now_ms, repair.pop_due()), (200.0, Some(KEY)));
    let sent = messages(repair.send(&ctx, KEY, &record));
    assert!(matches!(sent.as_slice(), [(NodeId(3), Message::Repair { .. })]));
    assert_eq!(repair.handle_repaired(NodeId(3), KEY), Progress::Complete);
    assert_eq!((repair.len(), repair.handle_repaired(NodeId(3), KEY)), (0, Progress::Lacking));
    assert!(messages(repair.send(&ctx, KEY, &record)).is_empty());
}
