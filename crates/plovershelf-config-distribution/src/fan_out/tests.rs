use super::*;
use crate::change::{Change, Edit};
use crate::quota_table::QuotaTable;
use crate::test_support::{address, node_in, version, version_info};

fn store_with(numbers: u64) -> ConfigStore {
    let mut store =
        ConfigStore::new(QuotaTable::initial([("acme", 1.0)]).expect("the initial table is valid"));
    for number in 1..=numbers {
        let edits = vec![Edit::Set { tenant: "acme".into(), quota_per_s: number as f64 }];
        let digest = store.table().validate(&edits).expect("the edit is valid");
        let previous = store.version();
        let change = Change { version: version(number), previous, digest, edits, proposed_unix_ms: 0 };
        store.apply(change).expect("the change follows the version in force");
    }
    store
}

/// Several changes arrive within the coalescing interval. Each child must get one message with exactly the changes
/// that it lacks.
#[test]
fn deltas_are_coalesced_and_sent_only_to_children_that_lack_them() {
    let store = store_with(3);
    let mut children = FanOut::new(0.0, 2500.0, 30.0);
    for (last, sent) in [(10, 1), (11, 3), (12, 2)] {
        children.add(0.0, address(last), node_in(last, "a", "north"), version_info(sent, 0), version(sent));
    }
    assert!(children.flush(0.0, version_info(3, 0), &store).is_empty(), "no flush is scheduled");
    children.schedule_flush(0.0);
    let sent = children.flush(0.0, version_info(3, 0), &store);
    let delta = |message: &Message| match message {
        Message::Delta(changes) => changes.iter().map(|change| change.version.number).collect(),
        _ => vec![],
    };
    let sent: Vec<_> = sent.iter().map(|(to, message)| (*to, delta(message))).collect();
    assert_eq!(sent, [(address(10), vec![2, 3]), (address(12), vec![3])]);
    children.schedule_flush(5.0);
    assert_eq!(children.poll_timeout(), 30.0);
    assert!(children.flush(29.0, version_info(3, 0), &store).is_empty());
}

/// The change log does not reach back to a child's version. The child must get a heartbeat, so that it requests the
/// data.
#[test]
fn child_whose_version_is_not_in_the_log_is_sent_a_heartbeat() {
    let store = store_with(2);
    let mut children = FanOut::new(0.0, 2500.0, 30.0);
    children.add(0.0, address(10), node_in(10, "a", "north"), version_info(9, 0), version(9));
    children.schedule_flush(0.0);
    let sent = children.flush(0.0, version_info(2, 0), &store);
    assert_eq!(sent, [(address(10), Message::Heartbeat(version_info(2, 0)))]);
}

/// After a pause, a process does not know whether its children were active. It must extend their timeouts by the
/// duration of the pause, once only.
#[test]
fn child_timeouts_are_extended_after_one_pause_only() {
    let mut children = FanOut::new(0.0, 2500.0, 30.0);
    children.add(0.0, address(10), node_in(10, "a", "north"), version_info(1, 0), version(1));
    children.handle_pause(10_000.0);
    assert!(children.remove_timed_out(12_499.0).is_empty());
    children.handle_pause(10_000.0);
    assert_eq!(children.remove_timed_out(12_500.0).len(), 1);
    assert!(children.is_empty());
}
