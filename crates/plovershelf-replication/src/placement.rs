//! Who holds a ticket: the members that draw highest for it, each in a zone of its own as far as there are zones.
//!
//! Rendezvous hashing: each member's draw hangs on it and the ticket alone, so one that comes or goes moves no more than its
//! share. A weight (memory for copies) raises the draw by the usual logarithm, so shares follow weights.

use plovershelf_cluster::NodeId as Id;
use serde::{Deserialize, Serialize};

/// A ticket's hash: 128 bits, so that of a thousand million tickets in a window two are alike once in 10^20 windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u128);

impl Ticket {
    /// Of an offering's place and the caller's own text; FNV-1a over both halves with different beginnings, mixed.
    pub fn of(offering: &str, text: &[u8]) -> Self {
        let half = |seed: u64| {
            let bytes = offering.bytes().chain(std::iter::once(0)).chain(text.iter().copied());
            let hash = bytes.fold(seed, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
            mixed(hash)
        };
        Ticket(u128::from(half(0xcbf2_9ce4_8422_2325)) << 64 | u128::from(half(0x6c62_272e_07bb_0142)))
    }
}

fn mixed(mut value: u64) -> u64 {
    value = (value ^ value >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    value = (value ^ value >> 33).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ value >> 33
}

/// One that may hold copies. A weight of 0 holds none: it leaves, and only runs what it has begun.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    pub id: Id,
    pub zone: String,
    /// Names a machine: no two copies go to one.
    pub machine: String,
    pub weight: f64,
}

fn draw(ticket: Ticket, holder: &Holder) -> f64 {
    let folded = (ticket.0 >> 64) as u64 ^ (ticket.0 as u64).rotate_left(17);
    let hash = mixed(folded ^ mixed(holder.id.0));
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -holder.weight / unit.ln()
}

/// Who holds it, the first at the front: the highest draws, first one of each zone, then more.
pub fn place(ticket: Ticket, holders: &[Holder], copies: usize) -> Vec<Id> {
    let able = holders.iter().filter(|holder| holder.weight > 0.0);
    let mut drawn: Vec<(f64, &Holder)> = able.map(|holder| (draw(ticket, holder), holder)).collect();
    drawn.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.id.cmp(&b.1.id)));
    let mut chosen: Vec<&Holder> = Vec::with_capacity(copies);
    for fresh_zone in [true, false] {
        for (_, holder) in &drawn {
            let taken = chosen.iter().any(|one| one.id == holder.id || one.machine == holder.machine);
            let zone_taken = chosen.iter().any(|one| one.zone == holder.zone);
            if chosen.len() < copies && !taken && !(fresh_zone && zone_taken) {
                chosen.push(holder);
            }
        }
    }
    chosen.into_iter().map(|holder| holder.id).collect()
}

#[cfg(test)]
mod tests;
