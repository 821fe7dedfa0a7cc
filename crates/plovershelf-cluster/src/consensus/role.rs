//! What a node of a consensus group is configured with, and what it can be.

use std::collections::BTreeSet;

use super::recovery::Recovery;
use crate::identity::NodeId;

/// Times of the consensus group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RaftConfig {
    /// Between two heartbeats of a leader.
    pub heartbeat_interval_ms: f64,
    /// Shortest and longest election timeout; each is drawn between them.
    pub election_timeout_ms: [f64; 2],
    /// Between two requests of a recovering voter.
    pub recovery_retry_ms: f64,
    /// By how much of the time a clock may run faster or slower than another.
    pub clock_drift_fraction: f64,
    /// Whether a pre-vote precedes each vote. Without it a node that was cut off unseats the leader when it is back;
    /// safety does not depend on it.
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

/// What a node is in its consensus group; the [module](super) says what leads from one to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// No voter: it learns what was committed, as far as it is told.
    NonVoter,
    /// A voter that has not heard yet what it may have forgotten.
    Recovering(Recovery),
    /// A voter that follows a leader, or waits for one.
    Follower,
    /// Asks whether a majority would vote for it.
    PreCandidate {
        /// Who would.
        granted: BTreeSet<NodeId>,
    },
    /// Has voted for itself in a new term and asks the others.
    Candidate {
        /// Who has voted for it.
        granted: BTreeSet<NodeId>,
    },
    /// Was elected in its term.
    Leader,
    /// Its storage takes nothing, so it confirms nothing.
    StorageFailed,
}
