use super::*;
use crate::fan_out::FanOut;
use crate::test_support::{address, held, node_in, version};

fn relay(children: &mut FanOut, last: u8, number: u64, nodes: u32, up_to_date: u32, missing: &[&str]) {
    children.add(0.0, address(last), node_in(last, "a", "north"), held(number, 0), version(number));
    let missing = missing.iter().map(|name| name.to_string()).collect();
    let (version, oldest) = (version(number), version(number.min(4)));
    let aggregate = Aggregate { version, nodes, up_to_date, oldest, missing, ..Aggregate::default() };
    assert!(children.handle_aggregate(0.0, address(last), aggregate));
}

/// One relay is behind, and one process below another fell silent. The count must leave out the whole subtree that is
/// behind, and both must be named, each once.
#[test]
fn subtree_that_is_behind_does_not_count_as_up_to_date_and_is_named() {
    let mut children = FanOut::new(0.0, 1000.0, 30.0);
    relay(&mut children, 10, 5, 17, 16, &["process-77"]);
    relay(&mut children, 11, 4, 17, 17, &["process-77"]);
    let mut silent = SilentNodes::default();
    silent.add(0.0, "process-88".into());
    let all = aggregate(CountSelf::No, version(5), children.children(), &silent);
    assert_eq!((all.nodes, all.up_to_date, all.oldest, all.children), (34, 16, version(4), 2));
    assert_eq!(all.missing, ["process-11", "process-77", "process-88"]);
    let own = aggregate(CountSelf::Yes, version(5), &[], &SilentNodes::default());
    assert_eq!((own.nodes, own.up_to_date), (1, 1));
}

/// Many processes end without a word. The list of names must stay bounded, the latest be kept, and all be forgotten after
/// the retention.
#[test]
fn silent_nodes_are_bounded_and_expire() {
    let mut silent = SilentNodes::default();
    (0..100).for_each(|at| silent.add(0.0, format!("process-{at}")));
    assert_eq!((silent.names().count(), silent.names().next().map(String::as_str)), (64, Some("process-99")));
    silent.remove("process-99");
    silent.expire(NAME_RETENTION_MS - 1.0);
    assert_eq!(silent.names().count(), 63);
    silent.expire(NAME_RETENTION_MS);
    assert_eq!(silent.names().count(), 0);
}

/// A process moves to another relay while the old one still names it as missing. The origin must know that it is elsewhere.
#[test]
fn attachment_elsewhere_is_remembered_and_passed_on_once() {
    let mut attachments = AttachmentLog::default();
    attachments.locate(0.0, "process-7", address(2));
    attachments.pass_on("process-7", address(2));
    assert!(attachments.is_elsewhere("process-7", address(1)));
    assert!(!attachments.is_elsewhere("process-7", address(2)));
    assert_eq!(attachments.take_pending(8), [Attachment { name: "process-7".into(), parent: address(2) }]);
    assert!(!attachments.has_pending());
    attachments.expire(NAME_RETENTION_MS);
    assert!(!attachments.is_elsewhere("process-7", address(1)));
}
