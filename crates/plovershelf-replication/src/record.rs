//! The replicated record of an idempotency key: the reservation, its order among the key's reservations, and the outcome.

use plovershelf_cluster::NodeId;
use serde::{Deserialize, Serialize};

/// Number of a view, the cluster's agreed list of members. Later views have higher numbers; 0 means no view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewNumber(pub u64);

impl ViewNumber {
    /// Returns whether `next` is the immediate successor of this view; always false for number 0.
    pub(crate) fn is_followed_by(self, next: ViewNumber) -> bool {
        self.0 > 0 && next.0 == self.0 + 1
    }
}

/// Number that an executor assigns to a request of its backend, used in calls and in [`Event`](crate::Event)s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Number of times an executor has restarted its reservation with other replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Round(pub u32);

impl Round {
    pub(crate) fn next(self) -> Self {
        Round(self.0 + 1)
    }
}

/// Final result of a request, the same for all of its attempts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The request succeeded with this result.
    Succeeded(Vec<u8>),
    /// The request ran and failed; it may have had side effects.
    Failed,
    /// The executor is lost, and the request may have run.
    InDoubt,
}

/// The attempt that holds a key: a request at an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reservation {
    /// The member whose backend runs the request.
    pub executor: NodeId,
    /// The request's number at that executor.
    pub request: RequestId,
}

/// Total order of a key's reservations: by view, then by the sequence in which the view's primary accepted them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReservationOrder {
    /// The view of the primary that accepted the reservation.
    pub view: ViewNumber,
    /// Sequence number assigned by the primary, counted over all its keys.
    pub sequence: u64,
}

/// Source of an outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OutcomeOrigin {
    /// The executor reported the outcome.
    #[default]
    Executor,
    /// A primary derived the outcome from the members' reports after a view change.
    Reconciliation,
}

/// Version of an outcome. If two outcomes of one reservation differ, the one with the higher version is valid.
///
/// Every later reconciliation sees an outcome that all replicas had stored, so a differing outcome of a lower version was
/// never answered to a client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutcomeVersion {
    /// The view under which the outcome was recorded.
    pub view: ViewNumber,
    /// The source of the outcome. Within a view, reconciliation takes precedence.
    pub origin: OutcomeOrigin,
}

/// Replicated state of a key, as members send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The attempt that holds the key.
    pub reservation: Reservation,
    /// The reservation's position in the order of the key's reservations.
    pub order: ReservationOrder,
    /// The members that had to confirm the reservation before the launch. Repair never changes this set: if one of these
    /// members has no record, the request was never launched.
    pub replica_set: Vec<NodeId>,
    /// The round of the reservation, by which confirmations of earlier rounds are recognized and ignored.
    pub round: Round,
    /// The outcome, once the request has completed.
    pub outcome: Option<Outcome>,
    /// Version of the outcome, which decides between two differing outcomes.
    pub outcome_version: OutcomeVersion,
    /// Remaining retention time in milliseconds. A duration, because the members' clocks differ.
    pub retention_ms: u64,
}

impl Record {
    pub(crate) fn version(&self) -> RecordVersion {
        RecordVersion {
            order: self.order,
            completed: self.outcome.is_some(),
            outcome_version: self.outcome_version,
        }
    }
}

/// Version of a record. Of two records of a key the one with the higher version replaces the other: the later reservation,
/// then the completed one, then the higher outcome version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordVersion {
    pub(crate) order: ReservationOrder,
    pub(crate) completed: bool,
    pub(crate) outcome_version: OutcomeVersion,
}
