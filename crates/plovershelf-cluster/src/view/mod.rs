//! Membership views: numbered sets of members that the cluster has agreed on, and how the leader decides on the next one.

mod reconciler;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::gossip::MemberUpdate;
use crate::identity::NodeId;

pub(crate) use reconciler::{NextView, ViewReconciler, ViewTiming};

/// A member as the view has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ViewMember {
    /// Its name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// It still belongs and is about to go: nothing new is given to it.
    pub draining: bool,
    /// Of which start of its process; see [`MemberUpdate::boot_id`].
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

/// Who belongs. Numbers go up by one, without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// Which view it is.
    pub number: u64,
    /// Its members.
    pub members: BTreeMap<NodeId, ViewMember>,
}

/// How one view came out of the one before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ViewChange {
    /// The number of the view that it led to.
    pub number: u64,
    /// Who joined, with their names.
    pub joined: Vec<(NodeId, String)>,
    /// Who left, with their names.
    pub left: Vec<(NodeId, String)>,
}
