//! Which of many members a caller talks to, so that a large fleet of callers opens tens of connections each and all
//! members are met by about as many callers.
//!
//! Members stand on a ring in the order of a hash of their address. A caller takes as many in a row as it wants, from
//! a place of its own. Places follow the golden ratio, so those of callers that are numbered in a row lie evenly, each
//! member is met by about the same number, and no list of callers is needed. One member more or less moves a caller's
//! row by one place at most, so a change of the list closes few connections.

use std::net::SocketAddr;

/// Where on the ring a caller begins, from 0 to under 1.
pub fn begins(place: u64) -> f64 {
    // The fraction of place times the golden ratio, in whole numbers, so that large places stay exact.
    let turned = place.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (turned >> 11) as f64 / (1u64 << 53) as f64
}

/// Spreads bits; a few steps of multiplying and folding, the same on every machine.
pub fn mixed(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits = (bits ^ (bits >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits ^ (bits >> 32)
}

/// The place of a member in the order of the ring.
pub fn order(address: &SocketAddr) -> u64 {
    let of =
        |bytes: &[u8]| bytes.iter().fold(0u64, |sum, byte| mixed(sum ^ u64::from(*byte)).wrapping_add(1));
    let host = match address.ip() {
        std::net::IpAddr::V4(ip) => of(&ip.octets()),
        std::net::IpAddr::V6(ip) => of(&ip.octets()),
    };
    mixed(host ^ u64::from(address.port()))
}

/// The members to talk to out of all, each named once; all of them where there are no more than wanted.
pub fn chosen(all: &[SocketAddr], begins: f64, wanted: usize) -> Vec<SocketAddr> {
    let mut ring: Vec<(u64, SocketAddr)> = all.iter().map(|address| (order(address), *address)).collect();
    ring.sort_unstable();
    ring.dedup();
    let first = (begins * ring.len() as f64) as usize;
    ring.iter().cycle().skip(first).take(wanted.min(ring.len())).map(|(_, address)| *address).collect()
}

#[cfg(test)]
mod tests {
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
            let kept =
                chosen(&after, begins(place), 20).iter().filter(|address| own.contains(address)).count();
            assert!(kept >= 18, "{kept} kept by {place}");
        }
    }

    #[test]
    fn a_short_list_is_taken_whole_and_each_of_it_once() {
        let twice = [fleet(3), fleet(3)].concat();
        assert_eq!(chosen(&twice, 0.9, 20).len(), 3);
        assert!(chosen(&[], 0.5, 20).is_empty());
    }
}
