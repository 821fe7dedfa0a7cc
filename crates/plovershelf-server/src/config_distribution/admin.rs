//! What people ask of a process that distributes configuration, and what it answers. Encoded by position.

use plovershelf_config_distribution::{Change, Edit, NodeStatus};
use serde::{Deserialize, Serialize};

/// The part of the product that a question is for, and the key under which the consensus group commits changes.
pub const KEY: &str = "config";

/// A question of an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdminRequest {
    /// What is in force, and where.
    Status,
    /// The last changes.
    History,
    /// A change of quotas, to an origin.
    Propose {
        /// At least one, each for another tenant.
        edits: Vec<Edit>,
        /// The number that the change is to follow on, where that matters.
        after: Option<u64>,
    },
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdminResponse {
    /// To [`AdminRequest::Status`].
    Status(Box<StatusReport>),
    /// To [`AdminRequest::History`], oldest first.
    History(Vec<Change>),
    /// The change is committed; one line that says so.
    Committed(String),
    /// Why not, in one line.
    Rejected(String),
}

/// What is in force in one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Of its node.
    pub node: NodeStatus,
    /// Whether it is an origin.
    pub is_origin: bool,
    /// Of an origin.
    pub consensus: Option<ConsensusReport>,
}

/// What an origin heard last of its consensus group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConsensusReport {
    /// The newest number that was committed.
    pub number: u64,
    /// Its name, where one is known.
    pub leader: Option<String>,
    /// Whether a majority is heard of, so that changes can be committed now.
    pub has_quorum: bool,
}
