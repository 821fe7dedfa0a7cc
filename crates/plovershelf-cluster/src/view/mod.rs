//! Membership views, which are numbered sets of members agreed on by consensus, and the leader's computation of the
//! next one.

mod reconciler;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::gossip::MemberUpdate;
use crate::identity::NodeId;

pub(crate) use reconciler::{NextView, ViewReconciler, ViewTiming};

/// A member's description in a view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ViewMember {
    /// Configured name of the member.
    pub name: String,
    /// Zone that the member runs in.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// Address on which the member receives messages.
    pub address: SocketAddr,
    /// Whether the member is about to leave. A draining member still belongs to the view but gets no new work.
    pub draining: bool,
    /// Random id of the member's process, drawn at each start; see [`MemberUpdate::boot_id`].
    pub boot_id: u64,
}

impl ViewMember {
    pub(crate) fn of(update: &MemberUpdate) -> Self {
        let node = &update.node;
        ViewMember {
            name: node.name.clone(),
            zone: node.zone.clone(),
            region: node.region.clone(),
            address: node.address,
            draining: update.draining,
            boot_id: update.boot_id,
        }
    }
}

/// A membership view. Consecutive views have consecutive numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// Number of the view.
    pub number: u64,
    /// Members of the view.
    pub members: BTreeMap<NodeId, ViewMember>,
}

/// The difference between a view and the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ViewChange {
    /// Number of the new view.
    pub number: u64,
    /// Ids and names of the nodes that joined.
    pub joined: Vec<(NodeId, String)>,
    /// Ids and names of the nodes that left.
    pub left: Vec<(NodeId, String)>,
}
