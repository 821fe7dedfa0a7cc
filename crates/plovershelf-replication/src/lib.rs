//! Replicated idempotency records: each idempotency key is reserved, executed at most once and answered with a single
//! outcome, even if machines fail and lose everything they store. The crate performs no I/O: a driver passes in the time
//! and the received messages.
//!
//! [`Replicator`] is the state machine of one member. Modules:
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`placement`] | idempotency keys and the members that replicate each key |
//! | `membership` | the current and the previous view |
//! | `record` | the types of a record: reservation, order, outcome |
//! | `message` | messages between members |
//! | `config` | limits and timeouts |
//! | `context` | inputs shared by all roles: time, settings, view, suspected members |
//! | `effects` | outputs of a role: messages and events, in order |
//! | `executor` | executor role: requests of the local backend from reservation to answer |
//! | `primary` | primary role: orders the reservations of a key and tracks attempts that wait for its outcome |
//! | `replica` | replica role: the locally stored records |
//! | `replica_substitution` | suspected members and the replicas that replace them |
//! | `reconciliation` | after a view change: reports to each primary and their evaluation |
//! | `repair` | retransmission of records to replicas that have not confirmed them |
//! | `handoff` | departure of a leaving member once its records are replicated elsewhere |
//! | `timers` | a timer queue of keys |
//! | `replicator` | the public inputs, and their dispatch to the roles |
//! | [`broken`] | deliberate violations of guarantees, for tests |

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
mod replica_substitution;
mod replicator;
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
