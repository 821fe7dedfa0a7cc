//! Consensus: a few voters keep one replicated log, to which the leader of a term appends and of which a majority decides
//! what is committed (Raft).
//!
//! A driver calls [`Raft`]'s inputs ([`Raft::handle_message`], [`Raft::handle_timeout`], [`Raft::propose`]), and after each
//! carries out [`Raft::poll_actions`] and asks for [`Raft::poll_timeout`]. The ordinary path: the leader appends a command
//! to its log, sends it to the followers ([`Message::AppendEntries`]), counts who has it ([`Message::AppendResponse`]), and
//! commits it once that is a majority, which the next message tells the followers.
//!
//! What differs from Raft, and why:
//!
//! - A voter is its state on disk ([`NodeId`](crate::NodeId)), not its name: one that lost its disk is another node, whose
//!   votes and acknowledgements do not count for the old one.
//! - A voter that restarts does not trust its disk, which may be an older copy; it recovers as in viewstamped replication
//!   (module `recovery`).
//! - Committed entries reach nodes that are no voters from any node ([`Raft::handle_relayed_entries`]), the leader among them,
//!   and not by `AppendEntries`, unless they are learners.
//!
//! | role | event | next role |
//! | --- | --- | --- |
//! | `NonVoter` | an entry that names it a voter | `Follower` |
//! | `Recovering` | reports of enough others | `Follower` |
//! | `Follower` | election timeout | `PreCandidate` |
//! | `PreCandidate` | a majority would vote for it | `Candidate` |
//! | `Candidate` | votes of a majority | `Leader` |
//! | `PreCandidate`, `Candidate` | a leader, or a newer term | `Follower` |
//! | `PreCandidate`, `Candidate` | election timeout | `PreCandidate`, anew |
//! | `Leader` | a newer term; no majority answers | `Follower` |
//! | `Leader` | a committed entry that names it no voter | `NonVoter` |
//! | `Follower`, `PreCandidate`, `Candidate`, `Recovering` | an entry that names it no voter | `NonVoter` |
//! | any | its storage fails | `StorageFailed` |
//! | `StorageFailed` | its storage works again | `Recovering`, or `NonVoter` |
//!
//! | module | owns |
//! | --- | --- |
//! | `entry`, `message` | types of the log and of the protocol |
//! | `persistent` | state on disk and its records |
//! | `log` | log, commit index, state machine |
//! | `election` | election timeout, and whom a voter votes for |
//! | `follower` | whom a node follows, what it may vote for, how it takes over the leader's log |
//! | `leader` | a leader's term: heartbeats, lease, what it sends and commits |
//! | `replication` | progress of each follower |
//! | `membership` | which changes of voters are safe; majorities |
//! | `recovery` | what a restarted voter waits for |
//! | `role`, `raft` | roles, and the state machine that joins the modules |

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
