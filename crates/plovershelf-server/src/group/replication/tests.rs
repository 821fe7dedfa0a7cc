use super::*;

/// A process is back under its member's name and has lost all that the one before it confirmed. To replication it must be another
/// member, or its missing records would prove that nothing was launched.
#[test]
fn another_incarnation_of_a_member_is_another_replica() {
    let (events, _received) = async_channel::unbounded();
    let mut driver = ReplicationDriver::new(Id(1), 7, ReplicationConfig::default(), events);
    let view = |number: u64, incarnation: u64| {
        let seat = |life: u64| Seat {
            name: "n".into(),
            zone: "z".into(),
            region: "r".into(),
            address: ([127, 0, 0, 1], 7400).into(),
            leaving: false,
            life,
        };
        View { number, members: BTreeMap::from([(Id(1), seat(7)), (Id(2), seat(incarnation))]) }
    };
    driver.update_view(0.0, &view(1, 20));
    let before = replica_id(Id(2), 20);
    assert_eq!((driver.member(driver.local), driver.member(before)), (Some(Id(1)), Some(Id(2))));
    driver.update_view(1.0, &view(2, 21));
    assert_eq!((driver.member(before), driver.member(replica_id(Id(2), 21))), (None, Some(Id(2))));
}
