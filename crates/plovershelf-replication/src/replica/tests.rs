use super::*;
use crate::record::ViewNumber;
use crate::test_support::{context, messages, reserved, KEY};

/// A replica with a limit of 2 records stores 2: a third key must be rejected, but an update of a stored key accepted.
#[test]
fn full_replica_rejects_only_new_records() {
    let mut ctx = context(1, 1, &[1, 2, 3]);
    ctx.config.max_records = 2;
    let mut replica = Replica::default();
    for (key, expected) in
        [(1, StoreResult::Stored), (2, StoreResult::Stored), (3, StoreResult::Full), (1, StoreResult::Stored)]
    {
        assert_eq!(replica.store(&ctx, IdempotencyKey(key), reserved(1, &[1, 2, 3])), expected, "key {key}");
    }
}

/// A delayed record of an older reservation must not replace the newer one.
#[test]
fn older_record_does_not_replace_a_newer_one() {
    let ctx = context(1, 2, &[1, 2, 3]);
    let mut replica = Replica::default();
    let mut newer = reserved(3, &[1, 2, 3]);
    newer.order.view = ViewNumber(2);
    assert_eq!(replica.store(&ctx, KEY, newer), StoreResult::Stored);
    assert_eq!(replica.store(&ctx, KEY, reserved(2, &[1, 2, 3])), StoreResult::Stored);
    assert_eq!(replica.get(KEY).map(|stored| stored.reservation.executor), Some(NodeId(3)));
}

/// An executor does not complete its reservation in time: it must be probed repeatedly and the record retained.
#[test]
fn executor_of_an_overdue_reservation_is_probed() {
    let mut ctx = context(1, 1, &[1, 2, 3]);
    let mut replica = Replica::default();
    assert_eq!(replica.store(&ctx, KEY, reserved(2, &[1, 2, 3])), StoreResult::Stored);
    for at_ms in [1000.0, 2000.0] {
        assert_eq!(replica.next_expiry(), at_ms);
        ctx.now_ms = at_ms;
        assert_eq!(replica.pop_expiry(), Some(KEY));
        let Expiry::Retained(effects) = replica.handle_expiry(&ctx, KEY) else {
            panic!("the record must be retained")
        };
        assert!(matches!(messages(effects).as_slice(), [(NodeId(2), Message::ProbeReservation { .. })]));
    }
}
