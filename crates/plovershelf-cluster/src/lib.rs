//! Cluster coordination among backends: agreement on numbered membership views and on a small set of versioned values.
//!
//! The state machines in this crate perform no I/O and read no clock. The driver passes in the time, messages and
//! timeouts, and receives the records to save, the messages to send and the events to report.
//!
//! | module | contents |
//! | --- | --- |
//! | [`consensus`] | replicated log among a few voters (Raft) |
//! | [`gossip`] | failure detection and dissemination among all members (SWIM, Lifeguard) |
//! | `view` | membership views and the computation of the next one |
//! | `lease` | leases under which members act on a view |
//! | `state` | replicated state machine: the view and a key-value store |
//! | `node` | node of the cluster, which combines the modules above |
//! | [`storage`] | format of a node's storage file |
//! | [`wire`] | frames and messages on connections |
//! | [`status`] | operators' queries and commands, and their answers |
//! | [`broken`] | fault injection for tests |

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
