use super::*;
use crate::change::{Change, Edit};
use crate::quota_table::QuotaTable;
use crate::test_support::{address, held, node_in, version};

fn store_with(numbers: u64) -> ConfigStore {
    let mut store = ConfigStore::new(QuotaTable::initial([("acme", 1.0)]).expect("a table"));
    for number in 1..=numbers {
        let edits = vec![Edit::Set { tenant: "acme".into(), quota_per_s: number as f64 }];
        let digest = store.table().validate(&edits).expect("an edit that fits");
        let previous = store.version();
        let change = Change { version: version(number), previous, digest, edits, proposed_unix_ms: 0 };
        store.apply(change).expect("it follows");
    }
    store
}

/// Changes come close together. Each child must get one message with all that it lacks, and none what it has.
#[test]
fn deltas_are_coalesced_and_sent_only_to_children_that_lack_them() {
    let store = store_with(3);
    let mut children = FanOut::new(0.0, 2500.0, 30.0);
    for (last, sent) in [(10, 1), (11, 3), (12, 2)] {
        children.add(0.0, address(last), node_in(last, "a", "north"), held(sent, 0), version(sent));
    }
    assert!(children.flush(0.0, held(3, 0), &store).is_empty(), "nothing is due");
    children.schedule_flush(0.0);
    let sent = children.flush(0.0, held(3, 0), &store);
    let delta = |message: &Message| match message {
        Message::Delta(changes) => changes.iter().map(|change| change.version.number).collect(),
        _ => vec![],
    };
    let sent: Vec<_> = sent.iter().map(|(to, message)| (*to, delta(message))).collect();
    assert_eq!(sent, [(address(10), vec![2, 3]), (address(12), vec![3])]);
    children.schedule_flush(5.0);
    assert_eq!(children.poll_timeout(), 30.0);
    assert!(children.flush(29.0, held(3, 0), &store).is_empty());
}

/// A child holds a version that the log does not reach back to. It must get a heartbeat, as a sign to ask.
#[test]
fn child_beyond_the_log_is_sent_a_heartbeat() {
    let store = store_with(2);
    let mut children = FanOut::new(0.0, 2500.0, 30.0);
    children.add(0.0, address(10), node_in(10, "a", "north"), held(9, 0), version(9));
    children.schedule_flush(0.0);
    let sent = children.flush(0.0, held(2, 0), &store);
    assert_eq!(sent, [(address(10), Message::Heartbeat(held(2, 0)))]);
}

/// This process stands still, and its children with it as far as it can tell. They must get that much more time, once.
#[test]
fn children_get_more_time_after_a_pause_and_fall_silent_after_another() {
    let mut children = FanOut::new(0.0, 2500.0, 30.0);
    children.add(0.0, address(10), node_in(10, "a", "north"), held(1, 0), version(1));
    children.handle_pause(10_000.0);
    assert!(children.remove_silent(12_499.0).is_empty());
    children.handle_pause(10_000.0);
    assert_eq!(children.remove_silent(12_500.0).len(), 1);
    assert!(children.is_empty());
}
