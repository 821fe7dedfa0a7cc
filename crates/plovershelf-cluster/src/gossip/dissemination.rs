//! Updates under way: which members' updates go along with the next message (SWIM, section 4.1).

use std::collections::BTreeMap;

use super::digest::mix;
use crate::identity::NodeId;

/// An update of a member that is not alive is carried along so many times as often: comparisons of digests bring what is
/// known of the living, of the dead they do not.
const NOT_ALIVE_TRANSMISSIONS: u32 = 3;

/// Members whose updates are under way, with how often each was transmitted.
#[derive(Clone, Debug)]
pub(super) struct BroadcastQueue {
    transmissions: BTreeMap<NodeId, u32>,
    /// Orders what was transmitted as often, differently at each member: else all transmit the same few first.
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

    /// Takes the members whose updates go along with the next message, and counts that transmission. What is no mere join
    /// goes first, so that a death does not wait for hundreds that join; then what was transmitted least.
    ///
    /// An update is dropped after a number of transmissions that grows with the logarithm of the members.
    pub(super) fn select(
        &mut self,
        limit: usize,
        members: usize,
        is_alive: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let rank = |(id, times): (&NodeId, &u32)| (is_alive(*id), *times, mix(id.0 ^ self.salt), *id);
        let mut ranked: Vec<(bool, u32, u64, NodeId)> = self.transmissions.iter().map(rank).collect();
        if ranked.len() > limit {
            ranked.select_nth_unstable(limit);
            ranked.truncate(limit);
        }
        ranked.sort_unstable();
        let once = (members as f64 + 2.0).log2().ceil() as u32;
        for (alive, times, _, id) in &ranked {
            let max_transmissions = if *alive { once } else { NOT_ALIVE_TRANSMISSIONS * once };
            if times + 1 >= max_transmissions {
                self.transmissions.remove(id);
            } else {
                self.transmissions.insert(*id, times + 1);
            }
        }
        ranked.into_iter().map(|(.., id)| id).collect()
    }
}
