//! Replicated deduplication records: each idempotency key is reserved, executed at most once and answered with one outcome,
//! also when machines are lost with all that they store. No input or output; a driver passes time and messages in.
//!
//! [`Replicator`] is one member's part. Its pieces, one module each:
//!
//! | module | what it owns |
//! | --- | --- |
//! | [`placement`] | idempotency keys, and which members a key's records are placed on |
//! | `membership` | the current view and the one before it |
//! | `record` | the types of a record: reservation, order, outcome |
//! | `message` | the messages between members |
//! | `config` | limits and timeouts |
//! | `context` | what all roles read: the time, the settings, the view, who is suspected |
//! | `effects` | what a role asks for: messages and events, in order |
//! | `executor` | the executor's role: requests of the local backend from reservation to answer |
//! | `primary` | the primary's role: the order of reservations of a key, and who waits for its outcome |
//! | `replica` | the replica's role: the records stored here |
//! | `skipping` | suspected members, and which members stand in for them |
//! | `reconciliation` | after a change of view: reports to each new primary, and what it makes of them |
//! | `repair` | records that lack replicas, and sending them again |
//! | `handoff` | a member that leaves, until all others can do without it |
//! | `timers` | a queue of keys by time |
//! | `replicator` | the inputs, in the order in which a driver calls them |
//! | [`broken`] | variants that break a promise, for tests |

pub mod broken;
mod config;
mod context;
mod effects;
mod executor;
mod handoff;
mod membership;
mod message;
pub mod placement;
mod primary;
mod reconciliation;
mod record;
mod repair;
mod replica;
mod replicator;
mod skipping;
#[cfg(test)]
mod test_support;
mod timers;

pub use config::ReplicationConfig;
pub use effects::{Actions, Event};
pub use executor::RequestCounts;
pub use message::Message;
pub use placement::{IdempotencyKey, Member};
pub use record::{
    Outcome, OutcomeOrigin, OutcomeVersion, Record, RequestId, Reservation, ReservationOrder, Round,
    ViewNumber,
};
pub use replicator::Replicator;
