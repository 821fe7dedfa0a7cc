//! Selection of the updates to piggyback on the next message (SWIM, section 4.1).

use std::collections::BTreeMap;

use super::digest::mix;
use crate::identity::NodeId;

/// Factor by which updates on members that are not alive are transmitted more often. Anti-entropy repairs lost updates
/// on present members, but not lost updates on dead ones.
const NOT_ALIVE_TRANSMISSIONS: u32 = 3;

/// The members whose updates are being disseminated, and how often each update was transmitted.
#[derive(Clone, Debug)]
pub(super) struct BroadcastQueue {
    transmissions: BTreeMap<NodeId, u32>,
    /// Randomizes the order of equally often transmitted updates per member. Without it all members would transmit the
    /// same few updates first.
    salt: u64,
}

impl BroadcastQueue {
    pub(super) fn new(salt: u64) -> Self {
        BroadcastQueue { transmissions: BTreeMap::new(), salt }
    }

    pub(super) fn enqueue(&mut self, id: NodeId) {
        self.transmissions.insert(id, 0);
    }

    pub(super) fn len(&self) -> usize {
        self.transmissions.len()
    }

    /// Selects at most `limit` members whose updates the next message carries, and counts the transmission. Members
    /// that are not alive come first, so that the update on a death does not wait behind hundreds of joins, then the
    /// least transmitted updates.
    ///
    /// An update leaves the queue after a number of transmissions that grows with the logarithm of the number of
    /// members.
    pub(super) fn select(
        &mut self,
        limit: usize,
        members: usize,
        is_alive: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let rank = |(id, count): (&NodeId, &u32)| (is_alive(*id), *count, mix(id.0 ^ self.salt), *id);
        let mut ranked: Vec<(bool, u32, u64, NodeId)> = self.transmissions.iter().map(rank).collect();
        if ranked.len() > limit {
            ranked.select_nth_unstable(limit);
            ranked.truncate(limit);
        }
        ranked.sort_unstable();
        let base_transmissions = (members as f64 + 2.0).log2().ceil() as u32;
        for (alive, count, _, id) in &ranked {
            let factor = if *alive { 1 } else { NOT_ALIVE_TRANSMISSIONS };
            if count + 1 >= factor * base_transmissions {
                self.transmissions.remove(id);
            } else {
                self.transmissions.insert(*id, count + 1);
            }
        }
        ranked.into_iter().map(|(.., id)| id).collect()
    }
}
