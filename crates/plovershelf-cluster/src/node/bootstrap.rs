//! Bootstrap of a new cluster by the first of the initial voters, once all of them are present and no node belongs to a
//! cluster.
//!
//! Guards against two clusters of the same name: the other initial voters never bootstrap, and a first voter that
//! returns without its storage learns of the existing cluster from them.

use super::digests::DigestTable;
use crate::gossip::Swim;
use crate::state::ClusterState;
use crate::view::ViewMember;

/// Returns the initial state of a cluster, or `None` unless all initial voters are present and no node knows an epoch.
pub(super) fn initial_state(
    initial_voters: &[String],
    swim: &Swim,
    digests: &DigestTable,
) -> Option<ClusterState> {
    let own = swim.own().node.id;
    let mut state = ClusterState::default();
    for name in initial_voters {
        let update = swim.present().find(|update| {
            let id = update.node.id;
            update.node.name == *name && (digests.reports_no_epoch(id) || id == own)
        })?;
        state.view.members.insert(update.node.id, ViewMember::of(update));
    }
    state.view.number = 1;
    digests.all_report_no_epoch().then_some(state)
}
