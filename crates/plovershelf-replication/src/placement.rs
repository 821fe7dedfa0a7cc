//! Placement of idempotency keys: a key's replicas are the members that draw highest for it, each in a zone of its own as far
//! as there are zones, and no two on one machine.
//!
//! Rendezvous hashing (Thaler and Ravishankar, 1998): a member's draw depends on it and the key alone, so one that comes or
//! goes moves no more than its share. A weight raises the draw by the usual logarithm, so shares follow weights.

use plovershelf_cluster::NodeId;
use serde::{Deserialize, Serialize};

/// The hash of a request's idempotency key: 128 bits, so that of a thousand million keys in a window two are alike once in 10^20
/// windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey(pub u128);

/// FNV-1a, 64 bits: its prime, and the offset basis of the upper half; the lower half begins with another.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
const UPPER_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const LOWER_OFFSET_BASIS: u64 = 0x6c62_272e_07bb_0142;

impl IdempotencyKey {
    /// Of a request class and the client's own key.
    pub fn new(class: &str, client_key: &[u8]) -> Self {
        let half = |basis: u64| {
            let bytes = class.bytes().chain(std::iter::once(0)).chain(client_key.iter().copied());
            mix(bytes.fold(basis, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)))
        };
        IdempotencyKey(u128::from(half(UPPER_OFFSET_BASIS)) << 64 | u128::from(half(LOWER_OFFSET_BASIS)))
    }

    fn folded(self) -> u64 {
        (self.0 >> 64) as u64 ^ (self.0 as u64).rotate_left(17)
    }
}

/// The finalizer of MurmurHash3.
fn mix(mut value: u64) -> u64 {
    value = (value ^ value >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    value = (value ^ value >> 33).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ value >> 33
}

/// A member of a view that keys may be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Names the member.
    pub id: NodeId,
    /// Replicas of a key are spread over zones.
    pub zone: String,
    /// Names a machine: no two replicas of a key are placed on one.
    pub machine: String,
    /// Its share of the keys in relation to others'. With 0 no key is placed on it: it leaves, and only executes what it has begun.
    pub weight: f64,
}

fn draw(key: IdempotencyKey, member: &Member) -> f64 {
    let hash = mix(key.folded() ^ mix(member.id.0));
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -member.weight / unit.ln()
}

/// A key's replicas, the primary in front: the highest draws, first one of each zone, then more.
pub fn replica_set(key: IdempotencyKey, members: &[Member], replication_factor: usize) -> Vec<NodeId> {
    let able = members.iter().filter(|member| member.weight > 0.0);
    let mut drawn: Vec<(f64, &Member)> = able.map(|member| (draw(key, member), member)).collect();
    drawn.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.id.cmp(&b.1.id)));
    let mut chosen: Vec<&Member> = Vec::with_capacity(replication_factor);
    for only_fresh_zones in [true, false] {
        for (_, member) in &drawn {
            let taken = chosen.iter().any(|one| one.id == member.id || one.machine == member.machine);
            let zone_taken = chosen.iter().any(|one| one.zone == member.zone);
            if chosen.len() < replication_factor && !taken && !(only_fresh_zones && zone_taken) {
                chosen.push(member);
            }
        }
    }
    chosen.into_iter().map(|member| member.id).collect()
}

#[cfg(test)]
mod tests;
