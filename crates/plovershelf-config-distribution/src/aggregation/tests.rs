use super::*;
use crate::fan_out::FanOut;
use crate::test_support::{address, node_in, version, version_info};

fn relay(children: &mut FanOut, last: u8, number: u64, nodes: u32, up_to_date: u32, missing: &[&str]) {
    children.add(0.0, address(last), node_in(last, "a", "north"), version_info(number, 0), version(number));
    let missing = missing.iter().map(|name| name.to_string()).collect();
    let (version, oldest) = (version(number), version(number.min(4)));
    let aggregate = Aggregate { version, nodes, up_to_date, oldest, missing, ..Aggregate::default() };
    assert!(children.handle_aggregate(0.0, address(last), aggregate));
}

/// Guards against counting a subtree that is behind. One relay is behind, and one process below another relay has
/// timed out. The whole subtree of the first relay must not count as up to date, and both must be named once each.
#[test]
fn subtree_that_is_behind_is_not_counted_as_up_to_date_and_is_named() {
    let mut children = FanOut::new(0.0, 1000.0, 30.0);
    relay(&mut children, 10, 5, 17, 16, &["process-77"]);
    relay(&mut children, 11, 4, 17, 17, &["process-77"]);
    let mut timed_out = TimedOutNodes::default();
    timed_out.add(0.0, "process-88".into());
    let all = aggregate(CountSelf::No, version(5), children.children(), &timed_out);
    assert_eq!((all.nodes, all.up_to_date, all.oldest, all.children), (34, 16, version(4), 2));
    assert_eq!(all.missing, ["process-11", "process-77", "process-88"]);
    let own = aggregate(CountSelf::Yes, version(5), &[], &TimedOutNodes::default());
    assert_eq!((own.nodes, own.up_to_date), (1, 1));
}

/// Guards against unbounded growth when many processes fail. The list of names must be bounded, keep the most recent
/// names, and be empty after the retention time.
#[test]
fn timed_out_nodes_are_bounded_and_expire() {
    let mut timed_out = TimedOutNodes::default();
    (0..100).for_each(|index| timed_out.add(0.0, format!("process-{index}")));
    assert_eq!(
        (timed_out.names().count(), timed_out.names().next().map(String::as_str)),
        (64, Some("process-99"))
    );
    timed_out.remove("process-99");
    timed_out.expire(NAME_RETENTION_MS - 1.0);
    assert_eq!(timed_out.names().count(), 63);
    timed_out.expire(NAME_RETENTION_MS);
    assert_eq!(timed_out.names().count(), 0);
}

/// Guards against reporting a process as missing after it moved to another relay. The origin must know its new parent.
#[test]
fn attachment_elsewhere_is_recorded_and_forwarded_once() {
    let mut attachments = AttachmentLog::default();
    attachments.record(0.0, "process-7", address(2));
    attachments.enqueue("process-7", address(2));
    assert!(attachments.is_attached_elsewhere("process-7", address(1)));
    assert!(!attachments.is_attached_elsewhere("process-7", address(2)));
    assert_eq!(attachments.take_pending(8), [Attachment { name: "process-7".into(), parent: address(2) }]);
    assert!(!attachments.has_pending());
    attachments.expire(NAME_RETENTION_MS);
    assert!(!attachments.is_attached_elsewhere("process-7", address(1)));
}
