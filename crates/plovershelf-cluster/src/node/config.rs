//! Settings of a node, and what it starts with.

use std::net::SocketAddr;

use crate::consensus::{PersistentState, RaftConfig};
use crate::gossip::{GossipConfig, NodeInfo};
use crate::lease::LeaseTiming;
use crate::state::ClusterState;
use crate::view::ViewTiming;

/// Times and counts of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// Of gossip.
    pub gossip: GossipConfig,
    /// Of consensus.
    pub raft: RaftConfig,
    /// How long a lease lasts.
    pub lease_duration_ms: f64,
    /// Between two requests for a lease.
    pub lease_renew_interval_ms: f64,
    /// A difference between the view and who is there must last so long before the next view.
    pub view_settle_ms: f64,
    /// A member that acknowledges probes but is not ready for so long is removed from the view.
    pub unready_grace_ms: f64,
    /// A voter that is out of the view for so long is replaced.
    pub replace_voter_after_ms: f64,
    /// How many voters there should be, an odd number.
    pub voters: usize,
    /// Without a timeout handled for so long the process was paused.
    pub pause_threshold_ms: f64,
    /// Between two requests for what was committed.
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

/// What a node starts with.
#[derive(Clone, Debug)]
pub struct Startup {
    /// The node.
    pub node: NodeInfo,
    /// Its settings.
    pub config: NodeConfig,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Names of the first voters. The first of them bootstraps the cluster once all are there and none knows of one.
    pub initial_voters: Vec<String>,
    /// What its storage holds.
    pub persistent: Option<PersistentState<ClusterState>>,
    /// Seeds its random draws.
    pub seed: u64,
}
