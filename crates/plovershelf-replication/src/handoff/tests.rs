use super::*;
use crate::test_support::{context, messages};

/// A member leaves and one of two others permits it: only the other one must be asked again. After a view change the
/// permissions must be discarded and all members asked again.
#[test]
fn leaving_member_asks_until_all_permit_and_asks_all_again_after_a_view_change() {
    let mut ctx = context(1, 1, &[1, 2, 3]);
    let mut handoff = Handoff::default();
    assert!(!handoff.is_permitted(&ctx) && handoff.poll_timeout() == f64::INFINITY);
    handoff.start(0.0);
    assert_eq!(messages(handoff.handle_timeout(&ctx)).len(), 2);
    assert!(
        messages(handoff.handle_timeout(&ctx)).is_empty(),
        "no request is due before the interval has passed"
    );
    handoff.handle_permit(NodeId(2));
    ctx.now_ms = handoff.poll_timeout();
    let sent = messages(handoff.handle_timeout(&ctx));
    assert!(matches!(sent.as_slice(), [(NodeId(3), Message::RequestLeave { .. })]));
    handoff.handle_permit(NodeId(3));
    assert!(handoff.is_permitted(&ctx));
    handoff.handle_view_change(ctx.now_ms);
    assert!(!handoff.is_permitted(&ctx));
    assert_eq!(messages(handoff.handle_timeout(&ctx)).len(), 2);
}
