use super::*;
use std::collections::{BTreeMap, BTreeSet};

fn fleet(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|n| SocketAddr::from(([127, 0, (n / 200) as u8, (n % 200) as u8], 9000))).collect()
}

#[test]
fn a_thousand_callers_on_three_hundred_members_meet_each_about_as_often() {
    let all = fleet(300);
    let mut met: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for place in 0..1000 {
        let own = chosen(&all, begins(place), 20);
        assert_eq!(own.iter().collect::<BTreeSet<_>>().len(), 20);
        own.into_iter().for_each(|address| *met.entry(address).or_default() += 1);
    }
    let (least, most) = (met.values().min().copied(), met.values().max().copied());
    assert_eq!(met.len(), 300);
    assert!(least >= Some(60) && most <= Some(73), "{least:?} to {most:?} of 66.7");
}

#[test]
fn one_member_more_changes_two_of_a_callers_members_at_most() {
    let (before, after) = (fleet(300), fleet(301));
    for place in 0..500 {
        let own: BTreeSet<_> = chosen(&before, begins(place), 20).into_iter().collect();
        let kept = chosen(&after, begins(place), 20).iter().filter(|address| own.contains(address)).count();
        assert!(kept >= 18, "{kept} kept by {place}");
    }
}

#[test]
fn a_short_list_is_taken_whole_and_each_of_it_once() {
    let twice = [fleet(3), fleet(3)].concat();
    assert_eq!(chosen(&twice, 0.9, 20).len(), 3);
    assert!(chosen(&[], 0.5, 20).is_empty());
}
