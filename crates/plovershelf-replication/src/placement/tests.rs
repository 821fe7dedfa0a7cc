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
    let mut all = members(9);
    all[3].machine = all[0].machine.clone();
    for n in 0..500 {
        let placed = replica_set(key(n), &all, 3);
        let zones: BTreeSet<&str> = placed
            .iter()
            .filter_map(|id| all.iter().find(|member| member.id == *id))
            .map(|member| member.zone.as_str())
            .collect();
        assert_eq!((placed.len(), zones.len()), (3, 3));
        let most = replica_set(key(n), &all, 9);
        assert_eq!(most.len(), 8, "two members of one machine hold one replica");
    }
}

#[test]
fn lost_member_moves_its_share_and_no_more_and_shares_follow_weights() {
    let (all, mut fewer) = (members(9), members(9));
    fewer.remove(4);
    let gone = all[4].id;
    let (mut had, mut moved) = (0, 0);
    for n in 0..3000 {
        let (before, after) = (replica_set(key(n), &all, 3), replica_set(key(n), &fewer, 3));
        had += usize::from(before.contains(&gone));
        moved += before.iter().filter(|id| **id != gone && !after.contains(id)).count();
    }
    assert!((900..1100).contains(&had), "{had}");
    // Beside its own keys, its zone's choice may change few others.
    assert!(moved < 60, "{moved}");
    let mut heavy = members(9);
    heavy[0].weight = 2.0;
    let placed = (0..3000).filter(|n| replica_set(key(*n), &heavy, 3).contains(&heavy[0].id)).count();
    assert!((1350..1650).contains(&placed), "half of its zone's with a weight of two: {placed}");
}
