use super::*;

fn holders(count: u64) -> Vec<Holder> {
    (1..=count)
        .map(|n| Holder {
            id: Id(n * 7919),
            zone: format!("z{}", n % 3),
            machine: format!("m{n}"),
            weight: 1.0,
        })
        .collect()
}

fn ticket(n: u64) -> Ticket {
    Ticket::of("book", &n.to_be_bytes())
}

#[test]
fn copies_stand_in_zones_of_their_own_and_on_machines_of_their_own() {
    let mut all = holders(9);
    all[3].machine = all[0].machine.clone();
    for n in 0..500 {
        let placed = place(ticket(n), &all, 3);
        let zones: std::collections::BTreeSet<&str> = placed
            .iter()
            .filter_map(|id| all.iter().find(|h| h.id == *id))
            .map(|h| h.zone.as_str())
            .collect();
        assert_eq!((placed.len(), zones.len()), (3, 3));
        let more = place(ticket(n), &all, 9);
        assert_eq!(more.len(), 8, "two members of one machine hold one copy");
    }
}

#[test]
fn one_that_goes_moves_its_share_and_no_more_and_weights_are_followed() {
    let (all, mut fewer) = (holders(9), holders(9));
    fewer.remove(4);
    let gone = all[4].id;
    let (mut had, mut moved) = (0, 0);
    for n in 0..3000 {
        let (before, after) = (place(ticket(n), &all, 3), place(ticket(n), &fewer, 3));
        had += usize::from(before.contains(&gone));
        moved += before.iter().filter(|id| **id != gone && !after.contains(id)).count();
    }
    assert!((900..1100).contains(&had), "{had}");
    // Beside those it held, its zone's choice may change nothing else.
    assert!(moved < 60, "{moved}");
    let mut heavy = holders(9);
    heavy[0].weight = 2.0;
    let held = (0..3000).filter(|n| place(ticket(*n), &heavy, 3).contains(&heavy[0].id)).count();
    assert!((1350..1650).contains(&held), "half of its zone's with a weight of two: {held}");
}
