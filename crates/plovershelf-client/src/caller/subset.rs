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
mod tests;
