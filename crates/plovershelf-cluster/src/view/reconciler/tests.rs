use super::*;
use crate::gossip::{GossipConfig, Message, NodeInfo};

const TIMING: ViewTiming =
    ViewTiming { settle_ms: 200.0, unready_grace_ms: 1500.0, recent_contact_ms: 600.0 };

fn node(id: u64) -> NodeInfo {
    NodeInfo {
        id: NodeId(id),
        name: format!("n{id}"),
        zone: "z".into(),
        region: "r".into(),
        address: ([127, 0, 0, id as u8], 7400).into(),
        created_at_ms: 1,
    }
}

fn update(id: u64, incarnation: u32, ready: bool, state: MemberState) -> MemberUpdate {
    let (node, reported_by) = (node(id), NodeId(id));
    MemberUpdate { node, incarnation, ready, draining: false, boot_id: id, state, reported_by }
}

fn receive_update(swim: &mut Swim, now_ms: f64, update: MemberUpdate) {
    let message = Message::Broadcast { updates: vec![update] };
    swim.handle_message(now_ms, NodeId(9), node(9).address, message);
}

/// Returns the gossip state of node 1, which knows node 2, and the view of both.
fn gossip_and_view() -> (Swim, View) {
    let mut swim = Swim::new(node(1), GossipConfig::default(), Vec::new(), 1, 0.0);
    receive_update(&mut swim, 0.0, update(2, 1, true, MemberState::Alive));
    let members = swim.present().map(|update| (update.node.id, ViewMember::of(update))).collect();
    (swim, View { number: 1, members })
}

/// Returns the members that leave at a time when all leases have expired.
fn left_at(views: &mut ViewReconciler, now_ms: f64, swim: &Swim, view: &View) -> Vec<NodeId> {
    views.next_view(now_ms, &TIMING, view, swim, |_| true).left
}

/// A member dies. It leaves the view once it has been dead for the settle time and none of its leases can be valid.
#[test]
fn a_dead_member_leaves_after_the_settle_time_and_the_last_lease() {
    let (mut swim, view) = gossip_and_view();
    let mut views = ViewReconciler::default();
    receive_update(&mut swim, 5000.0, update(2, 1, true, MemberState::Dead));
    assert!(left_at(&mut views, 5000.0, &swim, &view).is_empty());
    assert!(views.next_view(5200.0, &TIMING, &view, &swim, |_| false).is_unchanged());
    assert_eq!(left_at(&mut views, 5200.0, &swim, &view), [NodeId(2)]);
}

/// Another node reports a member dead that sent a message recently. The member is expected to refute the report, so it
/// stays in the view.
#[test]
fn a_member_with_recent_contact_stays_although_reported_dead() {
    let (mut swim, view) = gossip_and_view();
    let mut views = ViewReconciler::default();
    swim.handle_message(5000.0, NodeId(2), node(2).address, Message::Ping { nonce: 1, updates: vec![] });
    receive_update(&mut swim, 5000.0, update(2, 1, true, MemberState::Dead));
    assert!(left_at(&mut views, 5500.0, &swim, &view).is_empty());
    assert!(left_at(&mut views, 5600.0, &swim, &view).is_empty(), "removed before the settle time");
    assert_eq!(left_at(&mut views, 5800.0, &swim, &view), [NodeId(2)]);
}

/// A member answers probes but is not ready. It leaves the view after its grace period, unless it becomes ready again.
#[test]
fn a_member_that_is_not_ready_leaves_after_its_grace_period() {
    let (mut swim, view) = gossip_and_view();
    let mut views = ViewReconciler::default();
    receive_update(&mut swim, 5000.0, update(2, 2, false, MemberState::Alive));
    assert!(left_at(&mut views, 5000.0, &swim, &view).is_empty());
    assert!(left_at(&mut views, 6499.0, &swim, &view).is_empty());
    assert!(left_at(&mut views, 6500.0, &swim, &view).is_empty(), "removed before the settle time");
    assert_eq!(left_at(&mut views, 6700.0, &swim, &view), [NodeId(2)]);
    receive_update(&mut swim, 6701.0, update(2, 3, true, MemberState::Alive));
    assert!(left_at(&mut views, 6701.0, &swim, &view).is_empty());
}

/// A member starts to drain. The next view marks it as draining without a settle time, so that it gets no new work.
#[test]
fn a_draining_member_is_marked_in_the_view_at_once() {
    let (mut swim, view) = gossip_and_view();
    let draining = MemberUpdate { draining: true, ..update(2, 2, true, MemberState::Alive) };
    receive_update(&mut swim, 5000.0, draining);
    let next = ViewReconciler::default().next_view(5000.0, &TIMING, &view, &swim, |_| true);
    let joined: Vec<(NodeId, bool)> = next.joined.iter().map(|(id, member)| (*id, member.draining)).collect();
    assert_eq!((joined, next.left), (vec![(NodeId(2), true)], vec![]));
}
