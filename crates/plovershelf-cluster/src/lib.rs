//! What backends agree on among themselves: who belongs, in numbered views, and a few values more.
//!
//! Everything here is told the time, messages and timeouts, and returns what to save, to send and to tell; it owns no clock,
//! socket or file.
//!
//! | module | its job |
//! | --- | --- |
//! | [`consensus`] | a replicated log among a few voters (Raft) |
//! | [`gossip`] | failure detection and dissemination among all members (SWIM, Lifeguard) |
//! | `view` | membership views, and how the next one is found |
//! | `lease` | for how long a member may act by a view |
//! | `state` | what the replicated log drives: the view, and values under keys |
//! | `node` | one node of the cluster, which joins all of these |
//! | [`storage`] | a node's file |
//! | [`wire`] | frames and messages on connections |
//! | [`status`] | what people may ask of a member |
//! | [`broken`] | rules that tests break on purpose |

pub mod broken;
pub mod consensus;
pub mod gossip;
mod identity;
mod lease;
mod node;
mod state;
pub mod status;
pub mod storage;
mod view;
pub mod wire;

pub use identity::{Epoch, NodeId};
pub use node::{Actions, ClusterNode, Event, NodeConfig, Notice, RecoverError, ReplaceError, Startup};
pub use state::{ClusterState, Command, VersionedValue, MAX_VALUES, MAX_VALUE_BYTES};
pub use view::{View, ViewChange, ViewMember};
