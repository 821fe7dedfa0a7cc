use super::*;

/// A process is back under its member's name and has lost all that the one before it confirmed. To replication it must be another
/// member, or its missing records would prove that nothing was launched.
#[test]
fn restarted_member_is_another_replica() {
    let (events, _received) = async_channel::unbounded();
    let mut driver = ReplicationDriver::new(NodeId(1), 7, ReplicationConfig::default(), events);
    let view = |number: u64, boot_id: u64| {
        let seat = |boot_id: u64| ViewMember {
            name: "n".into(),
            zone: "z".into(),
            region: "r".into(),
            address: ([127, 0, 0, 1], 7400).into(),
            draining: false,
            boot_id,
        };
        View { number, members: BTreeMap::from([(NodeId(1), seat(7)), (NodeId(2), seat(boot_id))]) }
    };
    driver.update_view(0.0, &view(1, 20));
    let before = replica_id(NodeId(2), 20);
    assert_eq!((driver.member(driver.local), driver.member(before)), (Some(NodeId(1)), Some(NodeId(2))));
    driver.update_view(1.0, &view(2, 21));
    assert_eq!((driver.member(before), driver.member(replica_id(NodeId(2), 21))), (None, Some(NodeId(2))));
}
