//! Selects the subset of the listed endpoints that a client uses (deterministic subsetting).
//!
//! Inputs: the addresses; the client's position on the ring, from 0 to less than 1; the size of the subset.
//!
//! Rule: endpoints are ordered on a ring by a hash of their addresses. A client takes consecutive endpoints
//! from its position. Positions are multiples of the golden ratio, so that clients with consecutive indices
//! are spread evenly.
//!
//! Rationale: with a large fleet of clients, each client opens only tens of connections, and all endpoints
//! have about the same number of clients. With random subsets, the number of clients of an endpoint ranges
//! from half to one and a half times the mean. Fixed blocks reshuffle when the list changes, whereas on the
//! ring an added or removed endpoint shifts a client's subset by at most one position. Source: "Load
//! Balancing in the Datacenter" in Site Reliability Engineering, deterministic subsetting;
//! `DeterministicAperture` in Finagle, for the ring.

use std::net::SocketAddr;

/// Fractional part of the golden ratio, multiplied by 2^64.
const GOLDEN_RATIO_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the ring position of the client with this index. Integer arithmetic keeps large indices exact.
pub(super) fn ring_position(index: u64) -> f64 {
    let position = index.wrapping_mul(GOLDEN_RATIO_STEP);
    (position >> 11) as f64 / (1u64 << 53) as f64
}

/// Mixes the bits of a hash. All clients must compute the same value, so it does not depend on the platform.
pub(super) fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits = (bits ^ (bits >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits ^ (bits >> 32)
}

/// Returns the hash that orders an endpoint on the ring.
pub(super) fn address_hash(address: &SocketAddr) -> u64 {
    let hash_of = |bytes: &[u8]| {
        bytes.iter().fold(0u64, |hash, byte| mix_bits(hash ^ u64::from(*byte)).wrapping_add(1))
    };
    let host = match address.ip() {
        std::net::IpAddr::V4(ip) => hash_of(&ip.octets()),
        std::net::IpAddr::V6(ip) => hash_of(&ip.octets()),
    };
    mix_bits(host ^ u64::from(address.port()))
}

/// Returns the subset without duplicates. If there are at most `size` addresses, it contains all of them.
pub(super) fn select(addresses: &[SocketAddr], position: f64, size: usize) -> Vec<SocketAddr> {
    let mut ring: Vec<(u64, SocketAddr)> =
        addresses.iter().map(|address| (address_hash(address), *address)).collect();
    ring.sort_unstable();
    ring.dedup();
    let first = (position * ring.len() as f64) as usize;
    ring.iter().cycle().skip(first).take(size.min(ring.len())).map(|(_, address)| *address).collect()
}

#[cfg(test)]
mod tests;
