use super::*;
use std::collections::{BTreeMap, BTreeSet};

fn fleet(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|n| SocketAddr::from(([127, 0, (n / 200) as u8, (n % 200) as u8], 9000))).collect()
}

#[test]
fn subsets_of_1000_clients_spread_evenly_over_300_endpoints() {
    let addresses = fleet(300);
    let mut clients: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for index in 0..1000 {
        let subset = select(&addresses, ring_position(index), 20);
        assert_eq!(subset.iter().collect::<BTreeSet<_>>().len(), 20);
        subset.into_iter().for_each(|address| *clients.entry(address).or_default() += 1);
    }
    let (min, max) = (clients.values().min().copied(), clients.values().max().copied());
    assert_eq!(clients.len(), 300);
    assert!(min >= Some(60) && max <= Some(73), "{min:?} to {max:?} clients, mean 66.7");
}

#[test]
fn additional_endpoint_changes_at_most_two_of_a_subset() {
    let (before, after) = (fleet(300), fleet(301));
    for index in 0..500 {
        let subset: BTreeSet<_> = select(&before, ring_position(index), 20).into_iter().collect();
        let new_subset = select(&after, ring_position(index), 20);
        let unchanged = new_subset.iter().filter(|address| subset.contains(address)).count();
        assert!(unchanged >= 18, "{unchanged} unchanged for index {index}");
    }
}

#[test]
fn subset_of_a_short_list_has_every_address_once() {
    let duplicated = [fleet(3), fleet(3)].concat();
    assert_eq!(select(&duplicated, 0.9, 20).len(), 3);
    assert!(select(&[], 0.5, 20).is_empty());
}
