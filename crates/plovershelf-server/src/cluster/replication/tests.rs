use super::*;

/// A process restarts under its member's name and has lost the records that its predecessor confirmed. It must be a
/// new replica, or its missing records would count as proof that nothing was launched.
#[test]
fn restarted_member_is_another_replica() {
    let (events, _received) = async_channel::unbounded();
    let mut driver = ReplicationDriver::new(NodeId(1), 7, ReplicationConfig::default(), events);
    let view = |number: u64, boot_id: u64| {
        let view_member = |boot_id: u64| ViewMember {
            name: "n".into(),
            zone: "z".into(),
            region: "r".into(),
            address: ([127, 0, 0, 1], 7400).into(),
            draining: false,
            boot_id,
        };
        View {
            number,
            members: BTreeMap::from([(NodeId(1), view_member(7)), (NodeId(2), view_member(boot_id))]),
        }
    };
    driver.update_view(0.0, &view(1, 20));
    let before = replica_id(NodeId(2), 20);
    assert_eq!((driver.member(driver.local), driver.member(before)), (Some(NodeId(1)), Some(NodeId(2))));
    driver.update_view(1.0, &view(2, 21));
    assert_eq!((driver.member(before), driver.member(replica_id(NodeId(2), 21))), (None, Some(NodeId(2))));
}
