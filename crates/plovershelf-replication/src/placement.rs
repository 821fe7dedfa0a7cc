//! Placement of idempotency keys: a key's replicas are the members with the highest scores for it, in distinct zones as far
//! as there are enough zones, and never two on the same machine.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar, 1998): a member's score depends only on the member and the key, so
//! a member that joins or leaves moves no more keys than its own share. The score is `-weight / ln(u)`, with the hash mapped to
//! `u` between 0 and 1, which makes each member's share of the keys proportional to its weight.

use plovershelf_cluster::NodeId;
use serde::{Deserialize, Serialize};

/// The hash of a request's idempotency key. With 128 bits, two of 10^9 keys in one retention window collide about once in
/// 10^20 windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey(pub u128);

/// Parameters of 64-bit FNV-1a. The upper half of a key uses the standard offset basis, the lower half a different one.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
const UPPER_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const LOWER_OFFSET_BASIS: u64 = 0x6c62_272e_07bb_0142;

impl IdempotencyKey {
    /// Hashes a request class together with the idempotency key supplied by the client.
    pub fn new(class: &str, client_key: &[u8]) -> Self {
        let half = |basis: u64| {
            let bytes = class.bytes().chain(std::iter::once(0)).chain(client_key.iter().copied());
            mix(bytes.fold(basis, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)))
        };
        IdempotencyKey(u128::from(half(UPPER_OFFSET_BASIS)) << 64 | u128::from(half(LOWER_OFFSET_BASIS)))
    }

    fn fold(self) -> u64 {
        (self.0 >> 64) as u64 ^ (self.0 as u64).rotate_left(17)
    }
}

/// Applies the 64-bit finalizer of MurmurHash3.
fn mix(mut value: u64) -> u64 {
    value = (value ^ value >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    value = (value ^ value >> 33).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ value >> 33
}

/// A member of a view that keys may be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Unique id of the member.
    pub id: NodeId,
    /// Zone of the member. Replicas of a key are placed in distinct zones where possible.
    pub zone: String,
    /// Machine of the member. No two replicas of a key are placed on the same machine.
    pub machine: String,
    /// Relative share of keys placed on the member. A weight of 0 marks a leaving member: no key is placed on it, and it
    /// only completes the requests that it already executes.
    pub weight: f64,
}

/// Returns the rendezvous score of a member for a key.
fn score(key: IdempotencyKey, member: &Member) -> f64 {
    let hash = mix(key.fold() ^ mix(member.id.0));
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -member.weight / unit.ln()
}

/// Returns a key's replicas, the primary first: the members with the highest scores, first at most one per zone, then
/// further members if there are fewer zones than replicas.
pub fn replica_set(key: IdempotencyKey, members: &[Member], replication_factor: usize) -> Vec<NodeId> {
    let eligible = members.iter().filter(|member| member.weight > 0.0);
    let mut ranked: Vec<(f64, &Member)> = eligible.map(|member| (score(key, member), member)).collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.id.cmp(&b.1.id)));
    let mut chosen: Vec<&Member> = Vec::with_capacity(replication_factor);
    for require_new_zone in [true, false] {
        for (_, member) in &ranked {
            let machine_used =
                chosen.iter().any(|other| other.id == member.id || other.machine == member.machine);
            let zone_used = chosen.iter().any(|other| other.zone == member.zone);
            if chosen.len() < replication_factor && !machine_used && !(require_new_zone && zone_used) {
                chosen.push(member);
            }
        }
    }
    chosen.into_iter().map(|member| member.id).collect()
}

#[cfg(test)]
mod tests;
