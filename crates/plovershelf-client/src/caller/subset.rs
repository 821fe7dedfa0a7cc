//! Decides which of the listed endpoints a client talks to (deterministic subsetting).
//!
//! Inputs: the addresses; the client's place on the ring, from 0 to under 1; the wanted size.
//!
//! Rule: endpoints stand on a ring in the order of a hash of their addresses. A client takes consecutive ones from its own place.
//! Places follow the golden ratio, so that those of clients with consecutive indices lie evenly.
//!
//! Why: a large fleet of clients opens tens of connections each, and every endpoint has about as many clients. Random subsets
//! leave some endpoints half and others one and a half times the mean; fixed blocks reshuffle when the list changes, while here one
//! endpoint more or less moves a client's subset by one place at most. Source: "Load Balancing in the Datacenter" in Site Reliability
//! Engineering, deterministic subsetting; `DeterministicAperture` in Finagle, for the ring.

use std::net::SocketAddr;

/// 2^64 times the fraction of the golden ratio.
const GOLDEN_RATIO_TURN: u64 = 0x9e37_79b9_7f4a_7c15;

/// The place on the ring of the client with that index. In whole numbers, so that large indices stay exact.
pub(super) fn ring_place(index: u64) -> f64 {
    let turned = index.wrapping_mul(GOLDEN_RATIO_TURN);
    (turned >> 11) as f64 / (1u64 << 53) as f64
}

/// Spreads bits, the same on every machine.
pub(super) fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits = (bits ^ (bits >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits ^ (bits >> 32)
}

/// The hash by which endpoints stand on the ring.
pub(super) fn address_hash(address: &SocketAddr) -> u64 {
    let hash_of =
        |bytes: &[u8]| bytes.iter().fold(0u64, |sum, byte| mix_bits(sum ^ u64::from(*byte)).wrapping_add(1));
    let host = match address.ip() {
        std::net::IpAddr::V4(ip) => hash_of(&ip.octets()),
        std::net::IpAddr::V6(ip) => hash_of(&ip.octets()),
    };
    mix_bits(host ^ u64::from(address.port()))
}

/// The subset, each address once; all of them where there are no more than wanted.
pub(super) fn select(addresses: &[SocketAddr], place: f64, size: usize) -> Vec<SocketAddr> {
    let mut ring: Vec<(u64, SocketAddr)> =
        addresses.iter().map(|address| (address_hash(address), *address)).collect();
    ring.sort_unstable();
    ring.dedup();
    let first = (place * ring.len() as f64) as usize;
    ring.iter().cycle().skip(first).take(size.min(ring.len())).map(|(_, address)| *address).collect()
}

#[cfg(test)]
mod tests;
