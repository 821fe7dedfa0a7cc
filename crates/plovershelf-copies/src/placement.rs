//! Who holds a ticket: the members that draw highest for it, each in a zone of its own as far as there are zones.
//!
//! Rendezvous hashing: each member's draw hangs on it and the ticket alone, so one that comes or goes moves no more than its
//! share. A weight (memory for copies) raises the draw by the usual logarithm, so shares follow weights.

use plovershelf_group::council::Id;
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
mod tests {
    use super::*;

    fn holders(count: u64) -> Vec<Holder> {
        (1..=count)
            .map(|n| Holder {
                id: Id(n * 7919),
                zone: format!("z{}", n % 3),
                machine: format!("m{n}"),
                weight: 1.0,
            })
            .collect()
    }

    fn ticket(n: u64) -> Ticket {
        Ticket::of("book", &n.to_be_bytes())
    }

    #[test]
    fn copies_stand_in_zones_of_their_own_and_on_machines_of_their_own() {
        let mut all = holders(9);
        all[3].machine = all[0].machine.clone();
        for n in 0..500 {
            let placed = place(ticket(n), &all, 3);
            let zones: std::collections::BTreeSet<&str> = placed
                .iter()
                .filter_map(|id| all.iter().find(|h| h.id == *id))
                .map(|h| h.zone.as_str())
                .collect();
            assert_eq!((placed.len(), zones.len()), (3, 3));
            let more = place(ticket(n), &all, 9);
            assert_eq!(more.len(), 8, "two members of one machine hold one copy");
        }
    }

    #[test]
    fn one_that_goes_moves_its_share_and_no_more_and_weights_are_followed() {
        let (all, mut fewer) = (holders(9), holders(9));
        fewer.remove(4);
        let gone = all[4].id;
        let (mut had, mut moved) = (0, 0);
        for n in 0..3000 {
            let (before, after) = (place(ticket(n), &all, 3), place(ticket(n), &fewer, 3));
            had += usize::from(before.contains(&gone));
            moved += before.iter().filter(|id| **id != gone && !after.contains(id)).count();
        }
        assert!((900..1100).contains(&had), "{had}");
        // Beside those it held, its zone's choice may change nothing else.
        assert!(moved < 60, "{moved}");
        let mut heavy = holders(9);
        heavy[0].weight = 2.0;
        let held = (0..3000).filter(|n| place(ticket(*n), &heavy, 3).contains(&heavy[0].id)).count();
        assert!((1350..1650).contains(&held), "half of its zone's with a weight of two: {held}");
    }
}
