//! What backends agree on among themselves: who belongs, in numbered views, and a few words more. Everything here is told
//! the time, messages and ends of links, and returns what to keep, to send and to tell; it owns no clock, socket or file.
//!
//! [`group::Group`] is one member and joins the parts: [`members`] finds out who is there, [`council`] decides, [`decided`] is
//! what its decisions come to; [`frames`] and [`store`] are the forms of both on streams and in a folder.

pub mod broken;
#[path = "consensus/raft.rs"]
pub mod council;
#[path = "state.rs"]
pub mod decided;
#[path = "wire/frame.rs"]
pub mod frames;
#[path = "node/cluster_node.rs"]
pub mod group;
#[path = "gossip/swim.rs"]
pub mod members;
pub mod status;
#[path = "storage/mod.rs"]
pub mod store;
