//! One node of the cluster: gossip and consensus joined, with leases, views, and voters that are replaced.
//!
//! A driver calls [`ClusterNode::handle_message`], [`ClusterNode::handle_timeout`] and the commands, and after each carries
//! out [`ClusterNode::poll_actions`] and asks for [`ClusterNode::poll_timeout`]. The ordinary path of a change: gossip finds
//! that a member came or went; the leader sees that the view differs from who is there, waits until nobody whom it removes
//! can still act, and has the next view committed; all nodes learn of it from each other.
//!
//! What a member does by the cluster's view it does under a lease ([`ClusterNode::may_act`]).
//!
//! | module | owns |
//! | --- | --- |
//! | `config`, `event` | settings, and what a driver is told |
//! | `cluster_node` | the state machine that joins the parts |
//! | `bootstrap` | how a cluster begins |
//! | `digests` | how far others are, and which leader they know |
//! | `catch_up` | when committed state is asked for, and whose is taken over |
//! | `leader_duties` | the leader's view, leases and voters |
//! | `voters` | voters that are missing, and who replaces them |
//! | `epoch_recovery` | a recovery without a majority |

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
