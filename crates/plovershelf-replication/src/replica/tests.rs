use super::*;
use crate::record::ViewNumber;
use crate::test_support::{context, messages, reserved, KEY};

/// A replica has 2 records and room for no more: a further one must be refused, one that it has be replaced.
#[test]
fn full_replica_refuses_new_records_only() {
    let mut ctx = context(1, 1, &[1, 2, 3]);
    ctx.config.max_records = 2;
    let mut replica = Replica::default();
    for (key, stored) in [(1, Stored::Yes), (2, Stored::Yes), (3, Stored::Full), (1, Stored::Yes)] {
        assert_eq!(replica.store(&ctx, IdempotencyKey(key), reserved(1, &[1, 2, 3])), stored, "key {key}");
    }
}

/// A record of an older reservation comes late: it must not replace the newer one.
#[test]
fn older_record_does_not_replace_a_newer_one() {
    let ctx = context(1, 2, &[1, 2, 3]);
    let mut replica = Replica::default();
    let mut newer = reserved(3, &[1, 2, 3]);
    newer.order.view = ViewNumber(2);
    assert_eq!(replica.store(&ctx, KEY, newer), Stored::Yes);
    assert_eq!(replica.store(&ctx, KEY, reserved(2, &[1, 2, 3])), Stored::Yes);
    assert_eq!(replica.get(KEY).map(|stored| stored.reservation.executor), Some(NodeId(3)));
}

/// An executor does not complete its reservation in time: it must be probed, again and again, and the record kept.
#[test]
fn executor_of_an_overdue_reservation_is_probed() {
    let mut ctx = context(1, 1, &[1, 2, 3]);
    let mut replica = Replica::default();
    assert_eq!(replica.store(&ctx, KEY, reserved(2, &[1, 2, 3])), Stored::Yes);
    for at_ms in [1000.0, 2000.0] {
        assert_eq!(replica.next_expiry(), at_ms);
        ctx.now_ms = at_ms;
        assert_eq!(replica.pop_expiry(), Some(KEY));
        let Expiry::Kept(effects) = replica.handle_expiry(&ctx, KEY) else { panic!("it is kept") };
        assert!(matches!(messages(effects).as_slice(), [(NodeId(2), Message::ProbeReservation { .. })]));
    }
}
