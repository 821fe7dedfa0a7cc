use super::*;
use crate::replica::StoreResult;
use crate::test_support::{context, messages, reserved};

/// Returns a member that stores 300 records whose primary is the other member, and sends at most 10 batches per second.
fn sender_with_300_records() -> (ReportSender, Context, Replica) {
    let mut ctx = context(1, 1, &[1, 2]);
    ctx.config.max_batches_per_second = 10.0;
    let mut replica = Replica::default();
    let keys = (0..).map(IdempotencyKey).filter(|key| ctx.membership.primary(*key) == Some(NodeId(2)));
    for key in keys.take(300) {
        assert_eq!(replica.store(&ctx, key, reserved(2, &[1, 2])), StoreResult::Stored);
    }
    (ReportSender::new(0.0), ctx, replica)
}

/// 300 records must be sent in batches of 64 at no more than 10 batches per second, followed by their count. Unbounded
/// reports would displace request traffic.
#[test]
fn report_is_sent_in_batches_at_the_configured_rate() {
    let (mut sender, mut ctx, replica) = sender_with_300_records();
    let executor = Executor::default();
    let mut sent = messages(sender.handle_view_change(&ctx, &replica, &executor));
    assert_eq!(sent.len(), 1);
    while sender.pending.contains_key(&NodeId(2)) {
        ctx.now_ms = sender.next_batch_at_ms;
        sent.extend(messages(sender.handle_timeout(&ctx, &replica, &executor)));
        // At this rate, the retransmission of the unacknowledged report would start before the report is complete.
        sender.resend_at_ms = f64::INFINITY;
    }
    let sizes: Vec<usize> = sent
        .iter()
        .filter_map(|(_, message)| match message {
            Message::Report { records, .. } => Some(records.len()),
            _ => None,
        })
        .collect();
    assert_eq!((sizes, ctx.now_ms), (vec![64, 64, 64, 64, 44], 400.0));
    assert!(matches!(sent.last(), Some((NodeId(2), Message::ReportComplete { count: 300, .. }))));
}

/// A report is not acknowledged: it must be sent again in full until it is acknowledged, and not afterwards.
#[test]
fn report_is_sent_again_until_it_is_acknowledged() {
    let (mut sender, mut ctx, replica) = sender_with_300_records();
    ctx.config.max_batches_per_second = f64::INFINITY;
    let executor = Executor::default();
    assert_eq!(messages(sender.handle_view_change(&ctx, &replica, &executor)).len(), 6);
    ctx.now_ms = sender.poll_timeout();
    assert_eq!(messages(sender.handle_timeout(&ctx, &replica, &executor)).len(), 6);
    sender.handle_acknowledged(NodeId(2));
    assert!(sender.is_acknowledged() && sender.poll_timeout() == f64::INFINITY);
}
