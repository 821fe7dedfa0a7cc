//! Types that describe members and updates on them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;

/// Maximum length of the name, zone or region accepted from another member, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The immutable description of a node. It is constant for the lifetime of the node's id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Id of the node's state on disk.
    pub id: NodeId,
    /// Configured name. A node whose storage is replaced keeps its name under a new id.
    pub name: String,
    /// Zone that the node runs in.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// Address on which the node receives messages.
    pub address: SocketAddr,
    /// Creation time of the id, in Unix milliseconds. Determines which of two ids with the same name is newer.
    pub created_at_ms: u64,
}

/// The state of a member as seen by others. Within an incarnation a later state in this order supersedes an earlier
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member acknowledges probes.
    Alive,
    /// The member failed to acknowledge a probe and may refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it left.
    Left,
}

impl MemberState {
    /// Returns whether the member is considered present: alive or suspect.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// An update on a member: its description, versioned status and state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Description of the member.
    pub node: NodeInfo,
    /// Version of the update. Only the member itself raises it, to refute a report on it or to change its own status
    /// (SWIM, section 4.2).
    pub incarnation: u32,
    /// Whether the member processes requests. A member that is not ready only answers probes.
    pub ready: bool,
    /// Whether the member is about to leave and hands off its data.
    pub draining: bool,
    /// Random id of the process, drawn at each start. A new one means that the state in memory is lost, although the
    /// storage is not.
    pub boot_id: u64,
    /// State of the member.
    pub state: MemberState,
    /// Node that reported the state, which is the member itself for its own updates.
    pub reported_by: NodeId,
}

impl MemberUpdate {
    /// Returns the update of a node on itself at its start.
    pub(super) fn initial(node: NodeInfo) -> Self {
        let reported_by = node.id;
        MemberUpdate {
            node,
            incarnation: 1,
            ready: true,
            draining: false,
            boot_id: 0,
            state: MemberState::Alive,
            reported_by,
        }
    }

    /// Returns this update with another state, reported by the given node.
    pub(super) fn reported(&self, state: MemberState, reported_by: NodeId) -> Self {
        MemberUpdate { state, reported_by, ..self.clone() }
    }

    /// Returns the version of the update. Of two updates on a member the one with the greater version supersedes the
    /// other.
    pub(super) fn precedence(&self) -> (u32, MemberState) {
        (self.incarnation, self.state)
    }

    pub(super) fn has_overlong_name(&self) -> bool {
        [&self.node.name, &self.node.zone, &self.node.region].iter().any(|name| name.len() > MAX_NAME_BYTES)
    }
}
