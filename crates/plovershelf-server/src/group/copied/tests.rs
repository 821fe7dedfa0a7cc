use super::*;
use plovershelf_cluster::ViewMember;

/// A process that is back with its memory's name holds nothing of what the one before it confirmed: to the copies it is another.
#[test]
fn another_life_of_a_member_is_another_holder() {
    let (told, _heard) = async_channel::unbounded();
    let mut copied = Copied::new(Id(1), 7, Terms::default(), told);
    let view = |number: u64, boot_id: u64| {
        let seat = |boot_id: u64| ViewMember {
            name: "n".into(),
            zone: "z".into(),
            region: "r".into(),
            address: ([127, 0, 0, 1], 7400).into(),
            draining: false,
            boot_id,
        };
        View { number, members: BTreeMap::from([(Id(1), seat(7)), (Id(2), seat(boot_id))]) }
    };
    copied.view_is(0.0, &view(1, 20));
    let before = holder_of(Id(2), 20);
    assert_eq!((copied.member(copied.me), copied.member(before)), (Some(Id(1)), Some(Id(2))));
    copied.view_is(1.0, &view(2, 21));
    assert_eq!((copied.member(before), copied.member(holder_of(Id(2), 21))), (None, Some(Id(2))));
}
