//! Configuration and startup parameters of a node.

use std::net::SocketAddr;

use crate::consensus::{PersistentState, RaftConfig};
use crate::gossip::{GossipConfig, NodeInfo};
use crate::lease::LeaseTiming;
use crate::state::ClusterState;
use crate::view::ViewTiming;

/// Timing parameters and limits of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// Configuration of gossip.
    pub gossip: GossipConfig,
    /// Configuration of consensus.
    pub raft: RaftConfig,
    /// Duration of a lease, in milliseconds.
    pub lease_duration_ms: f64,
    /// Interval between two requests for a lease, in milliseconds.
    pub lease_renew_interval_ms: f64,
    /// Time for which a difference between the view and the present members must last before the view changes, in
    /// milliseconds.
    pub view_settle_ms: f64,
    /// Time after which a member that acknowledges probes but is not ready is removed from the view, in milliseconds.
    pub unready_grace_ms: f64,
    /// Time after which a voter that is not in the view is replaced, in milliseconds.
    pub replace_voter_after_ms: f64,
    /// Target number of voters, which is odd.
    pub voters: usize,
    /// Time without a handled timeout after which the process is assumed to have been paused, in milliseconds.
    pub pause_threshold_ms: f64,
    /// Interval between two requests for committed state, in milliseconds.
    pub fetch_interval_ms: f64,
}

impl Default for NodeConfig {
    fn default() -> Self {
        NodeConfig {
            gossip: GossipConfig::default(),
            raft: RaftConfig::default(),
            lease_duration_ms: 800.0,
            lease_renew_interval_ms: 250.0,
            view_settle_ms: 200.0,
            unready_grace_ms: 1500.0,
            replace_voter_after_ms: 5000.0,
            voters: 3,
            pause_threshold_ms: 700.0,
            fetch_interval_ms: 200.0,
        }
    }
}

impl NodeConfig {
    pub(super) fn lease_timing(&self) -> LeaseTiming {
        LeaseTiming {
            duration_ms: self.lease_duration_ms,
            clock_drift_fraction: self.raft.clock_drift_fraction,
        }
    }

    pub(super) fn view_timing(&self) -> ViewTiming {
        ViewTiming {
            settle_ms: self.view_settle_ms,
            unready_grace_ms: self.unready_grace_ms,
            recent_contact_ms: 2.0 * self.gossip.probe_interval_ms,
        }
    }
}

/// Startup parameters of a node.
#[derive(Clone, Debug)]
pub struct Startup {
    /// Description of the node.
    pub node: NodeInfo,
    /// Configuration of the node.
    pub config: NodeConfig,
    /// Addresses of other nodes to contact.
    pub seeds: Vec<SocketAddr>,
    /// Names of the initial voters. The first of them bootstraps the cluster once all are present and no node belongs
    /// to one.
    pub initial_voters: Vec<String>,
    /// State read from the storage, if any.
    pub persistent: Option<PersistentState<ClusterState>>,
    /// Seed of the random number generators.
    pub seed: u64,
}
