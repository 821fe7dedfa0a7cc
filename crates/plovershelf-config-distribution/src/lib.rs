//! Distribution of a versioned configuration to a whole fleet over a tree of relays.
//!
//! Origin servers learn from a consensus group what was committed. A bounded number of relays hear from them, and each
//! relay feeds a bounded number of leaves of its zone. Every process has a backup parent, and an aggregate of what is in
//! force where travels back up the same tree. Nothing here owns a clock, a socket or a file: a driver passes in the time,
//! messages and ends of connections, and carries out what [`Node::poll_actions`] returns.
//!
//! | guarantee | meaning |
//! | --- | --- |
//! | ONE_CONTENT_A_NUMBER | two processes that have the same version in force have the same quotas in force |
//! | NEVER_BACKWARDS | a process's version in force only ever grows |
//! | AGREED_IS_IN_FORCE | a committed change is in force within 4 s on all processes that an origin can reach |
//! | CUT_OFF_SERVES_ON | a process without a parent keeps its quotas and reports how old they are |
//! | BAD_CHANGES_NOTHING | an invalid change is in force nowhere, not even in part |
//!
//! Each module uses only those above it in this table.
//!
//! | module | its job |
//! | --- | --- |
//! | [`broken`] | faults that tests switch on to show that breaking a promise is caught |
//! | `version` | position of a change in the committed order |
//! | `entry` | one tenant's quota, and which names and quotas are valid |
//! | `change` | edits and the change that carries them |
//! | `quota_table` | the configuration in force: validates and applies changes |
//! | `snapshot` | assembles a whole table from chunks beside the one in force |
//! | `change_log` | the last changes, from which deltas are answered |
//! | `store` | table and log together: what a process holds and can hand on |
//! | `message` | the wire protocol |
//! | `config` | intervals, timeouts and fan-outs |
//! | `known_parents` | which parents a listener knows, and which of them failed it of late |
//! | `parent_selection` | a listener's state machine for finding, keeping and replacing its parent |
//! | `freshness` | how long ago an origin was heard from, and whether another process is fresher |
//! | `fan_out` | the children that are fed from here, and the deltas they still need |
//! | `origin_peers` | what an origin knows of the other origins |
//! | `placement` | to which parent an origin sends a listener that looks for one |
//! | `aggregation` | how many processes are up to date, and which are missing |
//! | `fetch` | one request at a time for a delta or a snapshot that is missing here |
//! | `node` | joins the parts: the driver's interface |

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
