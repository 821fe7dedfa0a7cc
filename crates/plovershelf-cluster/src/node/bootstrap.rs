//! How a cluster begins: the first of the initial voters bootstraps it when all of them are there and none knows of one.
//!
//! Guards against two clusters of one name: the other initial voters never bootstrap, and a node that comes back without its
//! storage hears of the cluster from them.

use super::digests::DigestTable;
use crate::gossip::Swim;
use crate::state::ClusterState;
use crate::view::ViewMember;

/// What the cluster begins with, once all initial voters are there and nobody knows of an epoch.
pub(super) fn initial_state(
    initial_voters: &[String],
    swim: &Swim,
    digests: &DigestTable,
) -> Option<ClusterState> {
    let own = swim.own().node.id;
    let mut state = ClusterState::default();
    for name in initial_voters {
        let found = swim.present().find(|update| {
            let id = update.node.id;
            update.node.name == *name && (digests.is_blank(id) || id == own)
        });
        let update = found?;
        state.view.members.insert(update.node.id, ViewMember::of(update));
    }
    state.view.number = 1;
    digests.are_all_blank().then_some(state)
}
