//! Consensus by Raft: a small group of voters replicates one log. The leader of a term appends entries to it, and an
//! entry is committed once a majority of the voters has stored it.
//!
//! After each input to [`Raft`] ([`Raft::handle_message`], [`Raft::handle_timeout`], [`Raft::propose`]) the driver
//! executes [`Raft::poll_actions`] and schedules a timer for [`Raft::poll_timeout`]. In normal operation the leader
//! appends a command to its log, sends it to the followers ([`Message::AppendEntries`]), counts the acknowledgements
//! ([`Message::AppendResponse`]) and commits the command once a majority has acknowledged it. The next message carries
//! the new commit index to the followers.
//!
//! Differences from Raft:
//!
//! - A voter is identified by its state on disk ([`NodeId`](crate::NodeId)), not by its name. A node that lost its disk
//!   gets a new id, so votes and acknowledgements given under the old id are not attributed to it.
//! - A restarted voter does not rely on its disk alone, which may have been restored from an older copy. It recovers
//!   from the other voters as in viewstamped replication (module `recovery`).
//! - Non-voters receive committed entries from any node ([`Raft::handle_relayed_entries`]), including the leader. Only
//!   voters and learners receive `AppendEntries`.
//!
//! | role | event | next role |
//! | --- | --- | --- |
//! | `NonVoter` | an entry makes this node a voter | `Follower` |
//! | `Recovering` | enough other voters have reported | `Follower` |
//! | `Follower` | election timeout | `PreCandidate` |
//! | `PreCandidate` | a majority grants its pre-vote | `Candidate` |
//! | `Candidate` | a majority grants its vote | `Leader` |
//! | `PreCandidate`, `Candidate` | message from a leader, or a newer term | `Follower` |
//! | `PreCandidate`, `Candidate` | election timeout | `PreCandidate` again |
//! | `Leader` | a newer term, or contact with a majority lost | `Follower` |
//! | `Leader` | a committed entry removes it from the voters | `NonVoter` |
//! | `Follower`, `PreCandidate`, `Candidate`, `Recovering` | an entry removes it from the voters | `NonVoter` |
//! | any | storage fails | `StorageFailed` |
//! | `StorageFailed` | storage works again | `Recovering` if a voter, else `NonVoter` |
//!
//! | module | contents |
//! | --- | --- |
//! | `entry`, `message` | types of the log and of the protocol |
//! | `persistent` | state on disk and its records |
//! | `log` | log, commit index and state machine |
//! | `election` | election timeout and the rule for granting votes |
//! | `follower` | current leader, voting restriction and appending of the leader's entries |
//! | `leader` | heartbeats, lease, messages to followers and the commit rule |
//! | `replication` | replication progress of each follower |
//! | `membership` | quorum sizes and safe changes of the voters |
//! | `recovery` | recovery of a restarted voter |
//! | `role`, `raft` | roles and the state machine that combines the modules |

mod election;
mod entry;
mod follower;
mod leader;
mod log;
mod membership;
mod message;
mod persistent;
mod raft;
mod recovery;
mod replication;
mod role;

pub use entry::{Entry, LogPosition, Payload, Snapshot, StateMachine, Term, VoterConfig};
pub use membership::MAX_VOTERS;
pub use message::{Actions, Ballot, Message};
pub use persistent::{PersistentState, Record};
pub use raft::Raft;
pub use recovery::{Recovery, VoterReport};
pub use role::{RaftConfig, Role};
