//! The replicated state machine: the membership view, and versioned values by which other subsystems reach agreement.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::broken::{self, BrokenRule};
use crate::consensus::StateMachine;
use crate::identity::NodeId;
use crate::view::{View, ViewChange, ViewMember};

/// Number of view changes that the state retains.
const RETAINED_VIEW_CHANGES: usize = 64;
/// Maximum number of keys that can have a value.
pub const MAX_VALUES: usize = 256;
/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 << 10;

/// The current value of a key. The version increases by one with each change, which identifies readers of an older
/// value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedValue {
    /// Version of the value, starting at 1 for the first value of the key.
    pub version: u64,
    /// Encoded value.
    pub bytes: Vec<u8>,
}

/// A command of the replicated state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Changes the view.
    ChangeView {
        /// Number of the next view.
        number: u64,
        /// Members that join, and existing members whose description has changed.
        joined: Vec<(NodeId, ViewMember)>,
        /// Members that leave.
        left: Vec<NodeId>,
    },
    /// Sets the value of a key.
    SetValue {
        /// Key of the value.
        key: String,
        /// Version of the value, one more than that of the current value.
        version: u64,
        /// Encoded value.
        bytes: Vec<u8>,
    },
}

/// The replicated state after all committed commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterState {
    /// View in force.
    pub view: View,
    /// Last changes of the view, oldest first.
    pub view_changes: VecDeque<ViewChange>,
    /// Values by key.
    pub values: BTreeMap<String, VersionedValue>,
}

impl StateMachine for ClusterState {
    type Command = Command;

    /// Applies a command. A command whose number or version does not follow the current one has no effect, on all nodes
    /// alike.
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
                let has_capacity = self.values.contains_key(key) || self.values.len() < MAX_VALUES;
                if *version == before + 1 && has_capacity && bytes.len() <= MAX_VALUE_BYTES {
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
        let removed = left.iter().filter_map(|id| Some((*id, members.remove(id)?.name))).collect();
        let new = joined.iter().filter(|(id, _)| !members.contains_key(id));
        let new = new.map(|(id, member)| (*id, member.name.clone())).collect();
        members.extend(joined.iter().cloned());
        self.view.number = number;
        self.view_changes.push_back(ViewChange { number, joined: new, left: removed });
        if self.view_changes.len() > RETAINED_VIEW_CHANGES {
            self.view_changes.pop_front();
        }
    }
}
