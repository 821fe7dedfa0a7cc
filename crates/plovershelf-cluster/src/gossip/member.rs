//! What members know of each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;

/// Longest name, zone or region that is believed of another member, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// What a node says of itself; it never changes while its id lasts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Its id.
    pub id: NodeId,
    /// Its name, which another id may have had before.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// When its id was drawn, in Unix milliseconds: tells the newer of two ids of one name.
    pub created_at_ms: u64,
}

/// Whether a member is there, as others see it. Later states supersede earlier ones of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It acknowledges probes.
    Alive,
    /// It did not, and may refute that.
    Suspect,
    /// It did not refute it in time.
    Dead,
    /// It said that it goes.
    Left,
}

impl MemberState {
    /// Whether it is taken to be there: alive, or merely suspected.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Whom it is about.
    pub node: NodeInfo,
    /// Raised by the member itself, to refute what is said of it or to change what it says (SWIM, section 4.2).
    pub incarnation: u32,
    /// It does its work, not only answers probes.
    pub ready: bool,
    /// It is about to go, and hands off what it holds.
    pub draining: bool,
    /// Drawn at each start: what the process alone held is gone with the boot before, though its storage is kept.
    pub boot_id: u64,
    /// Whether it is there.
    pub state: MemberState,
    /// Who says so, where it does not say so itself.
    pub reported_by: NodeId,
}

impl MemberUpdate {
    /// What a node says of itself at its start.
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

    /// The same member in another state, as this node reports it.
    pub(super) fn reported(&self, state: MemberState, reported_by: NodeId) -> Self {
        MemberUpdate { state, reported_by, ..self.clone() }
    }

    /// What of two updates of one member is newer.
    pub(super) fn precedence(&self) -> (u32, MemberState) {
        (self.incarnation, self.state)
    }

    pub(super) fn has_overlong_name(&self) -> bool {
        [&self.node.name, &self.node.zone, &self.node.region].iter().any(|name| name.len() > MAX_NAME_BYTES)
    }
}
