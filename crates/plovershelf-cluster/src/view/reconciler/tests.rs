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

fn hear(swim: &mut Swim, now_ms: f64, update: MemberUpdate) {
    let message = Message::Broadcast { updates: vec![update] };
    swim.handle_message(now_ms, NodeId(9), node(9).address, message);
}

/// Gossip of node 1 that knows node 2, and the view of both.
fn two() -> (Swim, View) {
    let mut swim = Swim::new(node(1), GossipConfig::default(), Vec::new(), 1, 0.0);
    hear(&mut swim, 0.0, update(2, 1, true, MemberState::Alive));
    let members = swim.present().map(|update| (update.node.id, ViewMember::of(update))).collect();
    (swim, View { number: 1, members })
}

/// Who leaves at that time, where every lease has expired.
fn left_at(views: &mut ViewReconciler, now_ms: f64, swim: &Swim, view: &View) -> Vec<NodeId> {
    views.next_view(now_ms, &TIMING, view, swim, |_| true).left
}

/// A member dies. It leaves the view once that has lasted for the settle time, and once no lease of it may be valid.
#[test]
fn a_dead_member_leaves_after_the_settle_time_and_the_last_lease() {
    let (mut swim, view) = two();
    let mut views = ViewReconciler::default();
    hear(&mut swim, 5000.0, update(2, 1, true, MemberState::Dead));
    assert!(left_at(&mut views, 5000.0, &swim, &view).is_empty());
    assert!(views.next_view(5200.0, &TIMING, &view, &swim, |_| false).is_unchanged());
    assert_eq!(left_at(&mut views, 5200.0, &swim, &view), [NodeId(2)]);
}

/// Others say that a member is dead, but something came from it just now: it refutes that in a moment, and stays.
#[test]
fn a_member_that_was_heard_just_now_stays() {
    let (mut swim, view) = two();
    let mut views = ViewReconciler::default();
    swim.handle_message(5000.0, NodeId(2), node(2).address, Message::Ping { nonce: 1, updates: vec![] });
    hear(&mut swim, 5000.0, update(2, 1, true, MemberState::Dead));
    assert!(left_at(&mut views, 5500.0, &swim, &view).is_empty());
    assert!(left_at(&mut views, 5600.0, &swim, &view).is_empty(), "settles first");
    assert_eq!(left_at(&mut views, 5800.0, &swim, &view), [NodeId(2)]);
}

/// A member answers probes and does no work. It has a grace before it leaves, which a word that it is ready ends.
#[test]
fn a_member_that_is_not_ready_leaves_after_its_grace() {
    let (mut swim, view) = two();
    let mut views = ViewReconciler::default();
    hear(&mut swim, 5000.0, update(2, 2, false, MemberState::Alive));
    assert!(left_at(&mut views, 5000.0, &swim, &view).is_empty());
    assert!(left_at(&mut views, 6499.0, &swim, &view).is_empty());
    assert!(left_at(&mut views, 6500.0, &swim, &view).is_empty(), "settles first");
    assert_eq!(left_at(&mut views, 6700.0, &swim, &view), [NodeId(2)]);
    hear(&mut swim, 6701.0, update(2, 3, true, MemberState::Alive));
    assert!(left_at(&mut views, 6701.0, &swim, &view).is_empty());
}

/// A member is about to go. The view has it as draining at once, so that nothing new is given to it.
#[test]
fn a_draining_member_is_changed_in_the_view_at_once() {
    let (mut swim, view) = two();
    let draining = MemberUpdate { draining: true, ..update(2, 2, true, MemberState::Alive) };
    hear(&mut swim, 5000.0, draining);
    let next = ViewReconciler::default().next_view(5000.0, &TIMING, &view, &swim, |_| true);
    let joined: Vec<(NodeId, bool)> = next.joined.iter().map(|(id, member)| (*id, member.draining)).collect();
    assert_eq!((joined, next.left), (vec![(NodeId(2), true)], vec![]));
}
