use super::*;
use std::collections::{BTreeMap, BTreeSet};

fn fleet(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|n| SocketAddr::from(([127, 0, (n / 200) as u8, (n % 200) as u8], 9000))).collect()
}

#[test]
fn thousand_clients_on_three_hundred_endpoints_load_each_about_evenly() {
    let all = fleet(300);
    let mut clients: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for index in 0..1000 {
        let own = select(&all, ring_place(index), 20);
        assert_eq!(own.iter().collect::<BTreeSet<_>>().len(), 20);
        own.into_iter().for_each(|address| *clients.entry(address).or_default() += 1);
    }
    let (least, most) = (clients.values().min().copied(), clients.values().max().copied());
    assert_eq!(clients.len(), 300);
    assert!(least >= Some(60) && most <= Some(73), "{least:?} to {most:?} of 66.7");
}

#[test]
fn one_endpoint_more_changes_two_of_a_subset_at_most() {
    let (before, after) = (fleet(300), fleet(301));
    for index in 0..500 {
        let own: BTreeSet<_> = select(&before, ring_place(index), 20).into_iter().collect();
        let kept =
            select(&after, ring_place(index), 20).iter().filter(|address| own.contains(address)).count();
        assert!(kept >= 18, "{kept} kept by {index}");
    }
}

#[test]
fn short_list_is_taken_whole_and_each_address_once() {
    let twice = [fleet(3), fleet(3)].concat();
    assert_eq!(select(&twice, 0.9, 20).len(), 3);
    assert!(select(&[], 0.5, 20).is_empty());
}
