//! The messages between members.
//!
//! | sender | message | receiver | answered by |
//! | --- | --- | --- | --- |
//! | executor | `Reserve` | primary | `Replicate` to the other replicas; `HeldByAnother` |
//! | primary | `Replicate` | replicas | `Reserved` to the executor |
//! | replica | `Reserved` | executor | |
//! | primary | `HeldByAnother`, then `Released` or again `HeldByAnother` | executor that waits | |
//! | executor, or primary that repairs | `RecordOutcome` | replicas | `OutcomeRecorded` |
//! | executor | `OutcomeReplicated` | primary | |
//! | executor | `Release` | replicas | |
//! | replica | `ProbeReservation` | executor | `Release`, if it no longer has the request |
//! | member | `Report`, `ReportComplete` | new primary | `ReportAcknowledged` |
//! | primary | `Repair` | replicas | `Repaired` |
//! | leaving member | `RequestLeave` | all others | `PermitLeave` |
//!
//! What a confirmation is word of, each under its own view only:
//!
//! | message | stored at the sender | of which attempt | not |
//! | --- | --- | --- | --- |
//! | `Reserved` | the reservation, in this round and with this replica set | `reservation` | an outcome |
//! | `OutcomeRecorded` | this outcome | `reservation`; to an executor, in doubt where another attempt's record is stored | |
//! | `OutcomeReplicated` | nothing: all replicas have confirmed the sender's outcome | `reservation` | that all of a later view have it |
//! | `Repaired` | a record at least as new as one that a `Repair` of this view brought | not named | an outcome, where one of those had none |
//! | `ReportAcknowledged` | nothing: all that was reported has come | | that any of it is stored elsewhere |
//! | `PermitLeave` | nothing: the sender's own keys have all their replicas | | other primaries' keys |
//!
//! postcard writes the positions of variants and fields, not their names: neither may be reordered.

use plovershelf_cluster::NodeId;
use serde::{Deserialize, Serialize};

use crate::placement::IdempotencyKey;
use crate::record::{Outcome, Record, Reservation, Round, ViewNumber};

/// A message; each carries the view under which it is sent, and a member in another view drops it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Executor to primary: reserve this key.
    Reserve {
        /// The sender's view.
        view: ViewNumber,
        /// The key to reserve.
        key: IdempotencyKey,
        /// The attempt that reserves it.
        reservation: Reservation,
        /// How often it has begun anew.
        round: Round,
        /// How long to keep the record without an outcome, in milliseconds.
        retention_ms: u64,
    },
    /// Primary to the other replicas: store this reservation.
    Replicate {
        /// The sender's view.
        view: ViewNumber,
        /// The reserved key.
        key: IdempotencyKey,
        /// What to store.
        record: Record,
    },
    /// Replica to executor: the reservation is stored here, and must be stored at all of these.
    Reserved {
        /// The sender's view.
        view: ViewNumber,
        /// The reserved key.
        key: IdempotencyKey,
        /// The attempt that holds it.
        reservation: Reservation,
        /// The round that is stored.
        round: Round,
        /// Who must confirm it before the launch.
        replica_set: Vec<NodeId>,
    },
    /// Primary to executor: another attempt holds the key, or has completed.
    HeldByAnother {
        /// The sender's view.
        view: ViewNumber,
        /// The key asked for.
        key: IdempotencyKey,
        /// The attempt that asked.
        reservation: Reservation,
        /// The other attempt's outcome, once all replicas have it.
        outcome: Option<Outcome>,
    },
    /// Primary to an executor that waited: the key is free, reserve it again.
    Released {
        /// The sender's view.
        view: ViewNumber,
        /// The free key.
        key: IdempotencyKey,
    },
    /// Executor to all replicas, or primary to those that it repairs: this is the outcome.
    RecordOutcome {
        /// The sender's view.
        view: ViewNumber,
        /// The reserved key.
        key: IdempotencyKey,
        /// The attempt that completed.
        reservation: Reservation,
        /// How it ended.
        outcome: Outcome,
        /// How long to keep the outcome, in milliseconds.
        retention_ms: u64,
    },
    /// Replica to the sender of an outcome: this outcome is stored here, which may be another than the one sent.
    OutcomeRecorded {
        /// The sender's view.
        view: ViewNumber,
        /// The key.
        key: IdempotencyKey,
        /// The attempt that sent its outcome.
        reservation: Reservation,
        /// The outcome stored here.
        outcome: Outcome,
    },
    /// Executor to primary: all replicas have the outcome, so other attempts may be answered with it.
    OutcomeReplicated {
        /// The sender's view.
        view: ViewNumber,
        /// The key.
        key: IdempotencyKey,
        /// The attempt that completed.
        reservation: Reservation,
    },
    /// Executor to all replicas: nothing was launched, drop the reservation.
    Release {
        /// The sender's view.
        view: ViewNumber,
        /// The reserved key.
        key: IdempotencyKey,
        /// The attempt that gives it up.
        reservation: Reservation,
    },
    /// Member to a primary after a change of view: what the sender stores of the primary's keys, and what it executes of them.
    Report {
        /// The sender's view.
        view: ViewNumber,
        /// Records that the sender stores.
        records: Vec<(IdempotencyKey, Record)>,
        /// Reservations of the sender's own requests.
        active: Vec<(IdempotencyKey, Reservation)>,
    },
    /// Member to a primary: the report is complete.
    ReportComplete {
        /// The sender's view.
        view: ViewNumber,
        /// Keys that were reported.
        count: u64,
    },
    /// Primary to replicas after a change of view: store these from now on.
    Repair {
        /// The sender's view.
        view: ViewNumber,
        /// What to store.
        records: Vec<(IdempotencyKey, Record)>,
    },
    /// Replica to primary: records of these keys are stored, with an outcome or without.
    Repaired {
        /// The sender's view.
        view: ViewNumber,
        /// The keys that are stored.
        keys: Vec<IdempotencyKey>,
    },
    /// Primary to member: its whole report has come.
    ReportAcknowledged {
        /// The sender's view.
        view: ViewNumber,
    },
    /// Replica to executor: is this request still there?
    ProbeReservation {
        /// The sender's view.
        view: ViewNumber,
        /// The reserved key.
        key: IdempotencyKey,
        /// The attempt that holds it.
        reservation: Reservation,
    },
    /// Leaving member to all others: may it go?
    RequestLeave {
        /// The sender's view.
        view: ViewNumber,
    },
    /// All keys whose primary the sender is have their replicas without the receiver.
    PermitLeave {
        /// The sender's view.
        view: ViewNumber,
    },
}

impl Message {
    /// The view under which it is sent.
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
