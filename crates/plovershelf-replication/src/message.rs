//! Messages between members.
//!
//! | sender | message | receiver | reply |
//! | --- | --- | --- | --- |
//! | executor | `Reserve` | primary | `Replicate` to the other replicas; `HeldByAnother` |
//! | primary | `Replicate` | replicas | `Reserved` to the executor |
//! | replica | `Reserved` | executor | |
//! | primary | `HeldByAnother`, followed by `Released` or another `HeldByAnother` | waiting executor | |
//! | executor, or primary during a repair | `RecordOutcome` | replicas | `OutcomeRecorded` |
//! | executor | `OutcomeReplicated` | primary | |
//! | executor | `Release` | replicas | |
//! | replica | `ProbeReservation` | executor | `Release`, if it no longer tracks the request |
//! | member | `Report`, `ReportComplete` | new primary | `ReportAcknowledged` |
//! | primary | `Repair` | replicas | `Repaired` |
//! | leaving member | `RequestLeave` | all other members | `PermitLeave` |
//!
//! Guarantees that each confirmation gives, valid only in the view under which it is sent:
//!
//! | message | guarantees | for which attempt | does not guarantee |
//! | --- | --- | --- | --- |
//! | `Reserved` | the sender stores the reservation with this round and replica set | `reservation` | any outcome |
//! | `OutcomeRecorded` | the sender stores this outcome | `reservation`. If the sender stores another attempt's record, it sends `Outcome::InDoubt` to an executor | |
//! | `OutcomeReplicated` | all replicas have confirmed the sender's outcome | `reservation` | that all replicas of a later view have it |
//! | `Repaired` | the sender stores a record at least as new as one received in a `Repair` of this view | not named | an outcome, if one of these `Repair` messages had none |
//! | `ReportAcknowledged` | the sender has received the entire report | | that any reported record is stored elsewhere |
//! | `PermitLeave` | all keys whose primary is the sender have all their replicas | | the same for other primaries' keys |
//!
//! postcard encodes the positions of variants and fields, not their names: neither may be reordered.

use plovershelf_cluster::NodeId;
use serde::{Deserialize, Serialize};

use crate::placement::IdempotencyKey;
use crate::record::{Outcome, Record, Reservation, Round, ViewNumber};

/// A message between members. Each includes the sender's view, and a receiver in a different view drops it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Executor to primary: requests a reservation of a key.
    Reserve {
        /// The sender's view.
        view: ViewNumber,
        /// The key to reserve.
        key: IdempotencyKey,
        /// The attempt that reserves the key.
        reservation: Reservation,
        /// The current round of the reservation.
        round: Round,
        /// How long to retain the record while it has no outcome, in milliseconds.
        retention_ms: u64,
    },
    /// Primary to the other replicas: requests that a reservation be stored.
    Replicate {
        /// The sender's view.
        view: ViewNumber,
        /// The reserved key.
        key: IdempotencyKey,
        /// The record to store.
        record: Record,
    },
    /// Replica to executor: confirms that the sender stores the reservation.
    Reserved {
        /// The sender's view.
        view: ViewNumber,
        /// The reserved key.
        key: IdempotencyKey,
        /// The attempt that holds the key.
        reservation: Reservation,
        /// The stored round.
        round: Round,
        /// The replicas that must all confirm the reservation before the launch.
        replica_set: Vec<NodeId>,
    },
    /// Primary to executor: another attempt holds the key or has completed.
    HeldByAnother {
        /// The sender's view.
        view: ViewNumber,
        /// The requested key.
        key: IdempotencyKey,
        /// The attempt that requested the key.
        reservation: Reservation,
        /// The other attempt's outcome, present once all replicas have it.
        outcome: Option<Outcome>,
    },
    /// Primary to a waiting executor: the key is free and may be reserved again.
    Released {
        /// The sender's view.
        view: ViewNumber,
        /// The free key.
        key: IdempotencyKey,
    },
    /// Executor to all replicas, or primary to replicas under repair: requests that an outcome be stored.
    RecordOutcome {
        /// The sender's view.
        view: ViewNumber,
        /// The reserved key.
        key: IdempotencyKey,
        /// The attempt that completed.
        reservation: Reservation,
        /// The outcome of that attempt.
        outcome: Outcome,
        /// How long to retain the outcome, in milliseconds.
        retention_ms: u64,
    },
    /// Replica to the sender of a `RecordOutcome`: reports the stored outcome, which may differ from the one received.
    OutcomeRecorded {
        /// The sender's view.
        view: ViewNumber,
        /// The key of the recorded outcome.
        key: IdempotencyKey,
        /// The attempt named in the `RecordOutcome`.
        reservation: Reservation,
        /// The outcome that the sender stores.
        outcome: Outcome,
    },
    /// Executor to primary: all replicas have the outcome, so other attempts may be answered with it.
    OutcomeReplicated {
        /// The sender's view.
        view: ViewNumber,
        /// The key of the replicated outcome.
        key: IdempotencyKey,
        /// The attempt that completed.
        reservation: Reservation,
    },
    /// Executor to all replicas: the request was never launched and its reservation must be dropped.
    Release {
        /// The sender's view.
        view: ViewNumber,
        /// The reserved key.
        key: IdempotencyKey,
        /// The attempt that releases the key.
        reservation: Reservation,
    },
    /// Member to a primary after a view change: the sender's records and active requests for that primary's keys.
    Report {
        /// The sender's view.
        view: ViewNumber,
        /// Records stored by the sender.
        records: Vec<(IdempotencyKey, Record)>,
        /// Reservations of the sender's active requests.
        active: Vec<(IdempotencyKey, Reservation)>,
    },
    /// Member to a primary: marks the end of a report.
    ReportComplete {
        /// The sender's view.
        view: ViewNumber,
        /// Number of distinct keys in the report.
        count: u64,
    },
    /// Primary to replicas, after a view change or for an unconfirmed outcome: requests that records be stored.
    Repair {
        /// The sender's view.
        view: ViewNumber,
        /// The records to store.
        records: Vec<(IdempotencyKey, Record)>,
    },
    /// Replica to primary: confirms that records of these keys are stored, with or without an outcome.
    Repaired {
        /// The sender's view.
        view: ViewNumber,
        /// The keys of the stored records.
        keys: Vec<IdempotencyKey>,
    },
    /// Primary to member: confirms that the entire report was received.
    ReportAcknowledged {
        /// The sender's view.
        view: ViewNumber,
    },
    /// Replica to executor: queries whether a request still exists.
    ProbeReservation {
        /// The sender's view.
        view: ViewNumber,
        /// The reserved key.
        key: IdempotencyKey,
        /// The attempt that holds the key.
        reservation: Reservation,
    },
    /// Leaving member to all other members: requests permission to leave.
    RequestLeave {
        /// The sender's view.
        view: ViewNumber,
    },
    /// Member to leaving member: all keys whose primary is the sender have all replicas without the receiver.
    PermitLeave {
        /// The sender's view.
        view: ViewNumber,
    },
}

impl Message {
    /// Returns the view under which the message was sent.
    pub fn view(&self) -> ViewNumber {
        match self {
            Message::Reserve { view, .. }
            | Message::Replicate { view, .. }
            | Message::Reserved { view, .. }
            | Message::HeldByAnother { view, .. }
            | Message::Released { view, .. }
            | Message::RecordOutcome { view, .. }
            | Message::OutcomeRecorded { view, .. }
            | Message::OutcomeReplicated { view, .. }
            | Message::Release { view, .. }
            | Message::Report { view, .. }
            | Message::ReportComplete { view, .. }
            | Message::Repair { view, .. }
            | Message::Repaired { view, .. }
            | Message::ReportAcknowledged { view }
            | Message::ProbeReservation { view, .. }
            | Message::RequestLeave { view }
            | Message::PermitLeave { view } => *view,
        }
    }
}
