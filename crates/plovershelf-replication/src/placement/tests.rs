use std::collections::BTreeSet;

use super::*;

fn members(count: u64) -> Vec<Member> {
    (1..=count)
        .map(|n| Member {
            id: NodeId(n * 7919),
            zone: format!("z{}", n % 3),
            machine: format!("m{n}"),
            weight: 1.0,
        })
        .collect()
}

fn key(n: u64) -> IdempotencyKey {
    IdempotencyKey::new("book", &n.to_be_bytes())
}

#[test]
fn replicas_are_in_different_zones_and_on_different_machines() {
    let mut all_members = members(9);
    all_members[3].machine = all_members[0].machine.clone();
    for n in 0..500 {
        let placed = replica_set(key(n), &all_members, 3);
        let zones: BTreeSet<&str> = placed
            .iter()
            .filter_map(|id| all_members.iter().find(|member| member.id == *id))
            .map(|member| member.zone.as_str())
            .collect();
        assert_eq!((placed.len(), zones.len()), (3, 3));
        let all_replicas = replica_set(key(n), &all_members, 9);
        assert_eq!(all_replicas.len(), 8, "two members on one machine get one replica");
    }
}

#[test]
fn removing_a_member_moves_only_its_share_and_shares_are_proportional_to_weights() {
    let (all_members, mut remaining_members) = (members(9), members(9));
    remaining_members.remove(4);
    let removed = all_members[4].id;
    let (mut placed_on_removed, mut moved) = (0, 0);
    for n in 0..3000 {
        let (before, after) =
            (replica_set(key(n), &all_members, 3), replica_set(key(n), &remaining_members, 3));
        placed_on_removed += usize::from(before.contains(&removed));
        moved += before.iter().filter(|id| **id != removed && !after.contains(id)).count();
    }
    assert!((900..1100).contains(&placed_on_removed), "{placed_on_removed}");
    // Besides the removed member's keys, a few others may move because the selection within its zone changes.
    assert!(moved < 60, "{moved}");
    let mut heavy = members(9);
    heavy[0].weight = 2.0;
    let placed = (0..3000).filter(|n| replica_set(key(*n), &heavy, 3).contains(&heavy[0].id)).count();
    assert!((1350..1650).contains(&placed), "a weight of two gets half of the zone's keys: {placed}");
}
