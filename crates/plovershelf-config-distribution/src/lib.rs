//! Distribution of a versioned configuration to a whole fleet over a tree of relays.
//!
//! Origin servers receive committed changes from a consensus group. Each origin sends them to a bounded number of
//! relays, and each relay to a bounded number of leaves in its zone. Every listener has a backup parent, and
//! aggregates of the versions in force are reported up the same tree. The crate uses no clock, sockets or files: a
//! driver supplies the time, messages and lost connections, and executes the actions that [`Node::poll_actions`]
//! returns.
//!
//! | guarantee | meaning |
//! | --- | --- |
//! | ONE_CONTENT_A_NUMBER | two processes with the same version in force have the same quotas in force |
//! | NEVER_BACKWARDS | the version in force on a process only increases |
//! | AGREED_IS_IN_FORCE | a committed change is in force within 4 s on every process that an origin can reach |
//! | CUT_OFF_SERVES_ON | a process without a parent keeps its quotas and reports their age |
//! | BAD_CHANGES_NOTHING | no part of an invalid change is in force on any process |
//!
//! Each module uses only modules listed above it in this table.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`broken`] | fault injection for tests of the checks |
//! | `version` | position of a change in the order of commits |
//! | `entry` | a tenant's quota, and validation of names and quotas |
//! | `change` | edits, and changes that group them under a version |
//! | `quota_table` | the table in force: validates and applies changes |
//! | `snapshot` | assembly of a table from chunks |
//! | `change_log` | the most recent changes, from which deltas are sent |
//! | `store` | the table in force together with its change log |
//! | `message` | the wire protocol |
//! | `config` | intervals, timeouts and fan-outs |
//! | `known_parents` | the parents that a listener knows, and their recent failures |
//! | `parent_selection` | state machine with which a listener finds, monitors and replaces its parent |
//! | `freshness` | time since the last origin contact, and detection of processes that are more up to date |
//! | `fan_out` | the children of a node, and the deltas that they still need |
//! | `origin_peers` | the state of the other origins, as known to an origin |
//! | `placement` | selection of the parent that an origin assigns to a listener |
//! | `aggregation` | counts of processes that are up to date, and names of missing ones |
//! | `fetch` | requests for missing deltas and snapshots, one at a time |
//! | `node` | combines the other modules behind the driver interface |

mod aggregation;
pub mod broken;
mod change;
mod change_log;
mod config;
mod entry;
mod fan_out;
mod fetch;
mod freshness;
mod known_parents;
mod message;
mod node;
mod origin_peers;
mod parent_selection;
mod placement;
mod quota_table;
mod snapshot;
mod store;
#[cfg(test)]
mod test_support;
mod version;

pub use change::{Change, Edit, EditError, InvalidChange, MAX_CHANGE_BYTES};
pub use change_log::ChangeLog;
pub use config::DistributionConfig;
pub use entry::{Entry, InvalidEntry, MAX_NAME_BYTES, MAX_QUOTA_PER_S, MAX_TENANTS};
pub use message::{
    Aggregate, Attachment, FanOutLimit, HeldVersion, ListenerKind, Message, NodeInfo, RelayInfo,
};
pub use node::{Actions, Event, Node, NodeStatus, ProposalError, Role, Startup, Warning};
pub use quota_table::{ApplyError, Chunk, InvalidTable, QuotaTable, MAX_CHUNK_BYTES};
pub use snapshot::{SnapshotBuilder, SnapshotError};
pub use version::Version;
