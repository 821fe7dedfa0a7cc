//! A node of the cluster, which combines gossip, consensus, views, leases and the replacement of voters.
//!
//! After each call of [`ClusterNode::handle_message`], [`ClusterNode::handle_timeout`] or a command the driver executes
//! [`ClusterNode::poll_actions`] and schedules a timer for [`ClusterNode::poll_timeout`]. In normal operation gossip
//! detects that a member joined or left. The leader compares the view with the present members, waits until the leases
//! of the members to remove have expired, and commits the next view. All nodes receive it by replication or from each
//! other.
//!
//! A member acts on the view only while it holds a lease ([`ClusterNode::may_act`]).
//!
//! | module | contents |
//! | --- | --- |
//! | `config`, `event` | configuration, and events for the driver |
//! | `cluster_node` | the state machine that combines the modules |
//! | `bootstrap` | bootstrap of a new cluster |
//! | `digests` | replication progress and known leader of other nodes |
//! | `catch_up` | when to fetch committed state, and from which epochs to accept it |
//! | `leader_duties` | views, leases and voters managed by the leader |
//! | `voters` | detection and replacement of lost voters |
//! | `epoch_recovery` | recovery from the loss of a majority |

mod bootstrap;
mod catch_up;
mod cluster_node;
mod config;
mod digests;
mod epoch_recovery;
mod event;
mod leader_duties;
mod voters;

pub use cluster_node::ClusterNode;
pub use config::{NodeConfig, Startup};
pub use epoch_recovery::RecoverError;
pub use event::{Actions, Event, Notice};
pub use voters::ReplaceError;
