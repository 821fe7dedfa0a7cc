//! Requests of operators' commands to a process of configuration distribution, and their answers. Both are encoded by
//! position.

use plovershelf_config_distribution::{Change, Edit, NodeStatus};
use serde::{Deserialize, Serialize};

/// Identifies questions to configuration distribution, and is the key under which the consensus group commits
/// changes.
pub const KEY: &str = "config";

/// A request of an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdminRequest {
    /// Requests the status of the process.
    Status,
    /// Requests the most recent changes.
    History,
    /// Proposes a change of quotas to an origin.
    Propose {
        /// Edits of the change: at least one, and at most one per tenant.
        edits: Vec<Edit>,
        /// Number of the change that this one must directly follow, if given.
        after: Option<u64>,
    },
}

/// The answer to an [`AdminRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdminResponse {
    /// Answer to [`AdminRequest::Status`].
    Status(Box<StatusReport>),
    /// Answer to [`AdminRequest::History`], oldest change first.
    History(Vec<Change>),
    /// The change is committed; one line of text.
    Committed(String),
    /// The request is rejected; the reason in one line.
    Rejected(String),
}

/// Status of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Status of the distribution node.
    pub node: NodeStatus,
    /// True if the process is an origin.
    pub is_origin: bool,
    /// State of the consensus group, if the process is an origin.
    pub consensus: Option<ConsensusReport>,
}

/// State of the consensus group as an origin last received it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConsensusReport {
    /// Newest committed number.
    pub number: u64,
    /// Name of the leader, if one is known.
    pub leader: Option<String>,
    /// True if the leader is in contact with a majority, so that changes can be committed now.
    pub has_quorum: bool,
}
