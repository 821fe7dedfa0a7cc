//! Configuration and roles of a node of a consensus group.

use std::collections::BTreeSet;

use super::recovery::Recovery;
use crate::identity::NodeId;

/// Timing parameters of the consensus group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RaftConfig {
    /// Interval between two heartbeats of a leader, in milliseconds.
    pub heartbeat_interval_ms: f64,
    /// Shortest and longest election timeout, in milliseconds. Each timeout is drawn uniformly from this range.
    pub election_timeout_ms: [f64; 2],
    /// Interval between two rounds of requests of a recovering voter, in milliseconds.
    pub recovery_retry_ms: f64,
    /// Largest fraction of elapsed time by which a clock may run faster or slower than another.
    pub clock_drift_fraction: f64,
    /// Whether each vote is preceded by a pre-vote. Without pre-votes a node that returns from a partition deposes the
    /// leader. Safety does not depend on them.
    pub pre_vote: bool,
}

impl Default for RaftConfig {
    fn default() -> Self {
        RaftConfig {
            heartbeat_interval_ms: 100.0,
            election_timeout_ms: [400.0, 800.0],
            recovery_retry_ms: 200.0,
            clock_drift_fraction: 0.02,
            pre_vote: true,
        }
    }
}

/// The role of a node in its consensus group. The [module documentation](super) lists the transitions.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Not a voter. Receives committed entries from other nodes.
    NonVoter,
    /// A restarted voter that waits for the reports of other voters on state that it may have lost.
    Recovering(Recovery),
    /// A voter that follows a leader or waits for one.
    Follower,
    /// A voter that requests pre-votes.
    PreCandidate {
        /// Nodes that granted the pre-vote, including this one.
        granted: BTreeSet<NodeId>,
    },
    /// A voter that has voted for itself in a new term and requests the votes of the others.
    Candidate {
        /// Nodes that granted the vote, including this one.
        granted: BTreeSet<NodeId>,
    },
    /// The elected leader of its term.
    Leader,
    /// A node whose storage fails. Acknowledges nothing and ignores messages.
    StorageFailed,
}
