//! The replicated state: who belongs to the cluster, and a few values under keys that other parts of the product agree on.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::broken::{self, BrokenRule};
use crate::consensus::StateMachine;
use crate::identity::NodeId;
use crate::view::{View, ViewChange, ViewMember};

/// Changes of the view that are remembered.
const RETAINED_VIEW_CHANGES: usize = 64;
/// Most keys that may have a value.
pub const MAX_VALUES: usize = 256;
/// Most bytes that a value may have.
pub const MAX_VALUE_BYTES: usize = 64 << 10;

/// A value under a key. Its version goes up by one with each change, so that what acts by an older one is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedValue {
    /// How many values there were under the key, with this one.
    pub version: u64,
    /// The value.
    pub bytes: Vec<u8>,
}

/// What the consensus group commits.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// The next view. Whoever is named among the joined and was a member has changed what it says of itself.
    ChangeView {
        /// The number of the next view.
        number: u64,
        /// Members that join or have changed.
        joined: Vec<(NodeId, ViewMember)>,
        /// Members that leave.
        left: Vec<NodeId>,
    },
    /// The next value under a key.
    SetValue {
        /// The key.
        key: String,
        /// One more than the version there is.
        version: u64,
        /// The value.
        bytes: Vec<u8>,
    },
}

/// What all committed commands come to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterState {
    /// The view in force.
    pub view: View,
    /// How it came about, oldest change first.
    pub view_changes: VecDeque<ViewChange>,
    /// Values by key.
    pub values: BTreeMap<String, VersionedValue>,
}

impl StateMachine for ClusterState {
    type Command = Command;

    /// A command that does not follow on the state there is changes nothing, and does so on every node alike.
    fn apply(&mut self, command: &Command) {
        match command {
            Command::ChangeView { number, joined, left } => {
                let follows = *number == self.view.number + 1;
                if follows || broken::is(BrokenRule::DuplicateViewNumber) {
                    self.change_view(*number, joined, left);
                }
            }
            Command::SetValue { key, version, bytes } => {
                let before = self.values.get(key).map_or(0, |value| value.version);
                let room = self.values.contains_key(key) || self.values.len() < MAX_VALUES;
                if *version == before + 1 && room && bytes.len() <= MAX_VALUE_BYTES {
                    let value = VersionedValue { version: *version, bytes: bytes.clone() };
                    self.values.insert(key.clone(), value);
                }
            }
        }
    }
}

impl ClusterState {
    fn change_view(&mut self, number: u64, joined: &[(NodeId, ViewMember)], left: &[NodeId]) {
        let members = &mut self.view.members;
        let gone = left.iter().filter_map(|id| Some((*id, members.remove(id)?.name))).collect();
        let new = joined.iter().filter(|(id, _)| !members.contains_key(id));
        let new = new.map(|(id, member)| (*id, member.name.clone())).collect();
        members.extend(joined.iter().cloned());
        self.view.number = number;
        self.view_changes.push_back(ViewChange { number, joined: new, left: gone });
        if self.view_changes.len() > RETAINED_VIEW_CHANGES {
            self.view_changes.pop_front();
        }
    }
}
