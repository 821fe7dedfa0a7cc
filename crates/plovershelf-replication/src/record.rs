//! What is replicated of one idempotency key: who reserved it, the reservation's place in the order, and the outcome.

use plovershelf_cluster::NodeId;
use serde::{Deserialize, Serialize};

/// The number of a view: the group's agreed list of members. A later view has a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewNumber(pub u64);

impl ViewNumber {
    /// Whether another view is the one right after this one. Number 0 stands for no view.
    pub(crate) fn is_followed_by(self, next: ViewNumber) -> bool {
        self.0 > 0 && next.0 == self.0 + 1
    }
}

/// The number that an executor gives to a request of its backend; it names the request in calls and [`Event`](crate::Event)s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// How often an executor has begun its reservation anew with other replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Round(pub u32);

impl Round {
    pub(crate) fn next(self) -> Self {
        Round(self.0 + 1)
    }
}

/// How a request ended, for every attempt of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It succeeded with this result.
    Succeeded(Vec<u8>),
    /// It ran and failed; it may have had its effect.
    Failed,
    /// Its executor is gone, and it may have run.
    InDoubt,
}

/// Which attempt holds a key: a request at an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reservation {
    /// The member whose backend runs the request.
    pub executor: NodeId,
    /// The request's number there.
    pub request: RequestId,
}

/// The order of a key's reservations: by view, then in the order in which the view's primary accepted them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReservationOrder {
    /// The view of the primary that accepted the reservation.
    pub view: ViewNumber,
    /// The primary's running number, over all of its keys.
    pub sequence: u64,
}

/// Where an outcome comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OutcomeOrigin {
    /// Its executor sent it.
    #[default]
    Executor,
    /// A primary determined it from what members reported after a change of view.
    Reconciliation,
}

/// Of two outcomes of one reservation the one with the higher version counts.
///
/// An outcome that all replicas had is known to every later reconciliation, so an older one that differs from it was never
/// answered to anybody.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutcomeVersion {
    /// The view under which the outcome was recorded.
    pub view: ViewNumber,
    /// Where it comes from; within a view reconciliation wins.
    pub origin: OutcomeOrigin,
}

/// What members send each other of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Which attempt holds the key.
    pub reservation: Reservation,
    /// The reservation's place among the key's reservations.
    pub order: ReservationOrder,
    /// Who had to confirm the reservation before anything was launched. Repair never changes it: that one of these members
    /// has no record proves that nothing was launched.
    pub replica_set: Vec<NodeId>,
    /// The round of the reservation, so that a confirmation of an earlier round is recognized.
    pub round: Round,
    /// How it ended, once it has.
    pub outcome: Option<Outcome>,
    /// Which of two outcomes counts.
    pub outcome_version: OutcomeVersion,
    /// How long the record is kept from now on, in milliseconds; a duration, since clocks differ.
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

/// Of two records of one key the one with the higher version counts: the later reservation, then the completed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordVersion {
    pub(crate) order: ReservationOrder,
    pub(crate) completed: bool,
    pub(crate) outcome_version: OutcomeVersion,
}
