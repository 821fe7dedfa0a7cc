//! State of a single request of the local backend, from reservation to answer.

use std::collections::BTreeSet;

use plovershelf_cluster::NodeId;

use crate::context::Context;
use crate::message::Message;
use crate::placement::IdempotencyKey;
use crate::record::{Outcome, Reservation, Round, ViewNumber};

/// Phase of a request. The transition table is in [`executor`](super).
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The reservation is being replicated; `confirmed` lists the replicas that have confirmed it.
    Reserving { confirmed: BTreeSet<NodeId> },
    /// Another attempt holds the key.
    Waiting,
    /// The request was launched.
    Running,
    /// The request ended with `outcome`; `confirmed` lists the replicas that have confirmed it.
    Completing { outcome: Outcome, confirmed: BTreeSet<NodeId> },
}

impl Phase {
    pub(super) fn reserving() -> Self {
        Phase::Reserving { confirmed: BTreeSet::new() }
    }

    pub(super) fn completing(outcome: Outcome) -> Self {
        Phase::Completing { outcome, confirmed: BTreeSet::new() }
    }

    /// Returns whether the request has not been launched yet.
    pub(super) fn is_unlaunched(&self) -> bool {
        matches!(self, Phase::Reserving { .. } | Phase::Waiting)
    }
}

/// The replica set that the primary assigned to a reservation, and the view in which it is valid.
#[derive(Clone, Debug)]
struct AssignedReplicas {
    view: ViewNumber,
    replica_set: Vec<NodeId>,
}

/// Time limits that the backend sets for a request, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deadlines {
    /// Latest time at which the request may be launched.
    pub(super) deadline_ms: f64,
    /// Retention time of the outcome.
    pub(super) retention_ms: f64,
}

/// A request of the local backend. Times are in milliseconds.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) key: IdempotencyKey,
    pub(super) reservation: Reservation,
    pub(super) phase: Phase,
    /// Latest launch time; while completing, the time until which the outcome is retransmitted.
    deadline_ms: f64,
    reserve_by_ms: f64,
    retention_ms: f64,
    retransmit_at_ms: f64,
    round: Round,
    assigned: Option<AssignedReplicas>,
    provisional_reported: bool,
}

impl Request {
    pub(super) fn new(
        ctx: &Context,
        key: IdempotencyKey,
        reservation: Reservation,
        deadlines: Deadlines,
    ) -> Self {
        Request {
            key,
            reservation,
            phase: Phase::reserving(),
            deadline_ms: deadlines.deadline_ms,
            reserve_by_ms: ctx.now_ms + ctx.config.reservation_timeout_ms,
            retention_ms: deadlines.retention_ms,
            retransmit_at_ms: ctx.now_ms,
            round: Round::default(),
            assigned: None,
            provisional_reported: false,
        }
    }

    pub(super) fn round(&self) -> Round {
        self.round
    }

    /// Returns the time at which the request is aborted in its current phase.
    pub(super) fn expires_at_ms(&self) -> f64 {
        match self.phase {
            Phase::Reserving { .. } => self.deadline_ms.min(self.reserve_by_ms),
            _ => self.deadline_ms,
        }
    }

    pub(super) fn next_timeout_ms(&self) -> f64 {
        self.retransmit_at_ms.min(self.expires_at_ms())
    }

    /// Returns the replicas that must confirm the current phase: those assigned to the reservation in the current view, or
    /// else those of the view's placement.
    pub(super) fn replica_set(&self, ctx: &Context) -> Vec<NodeId> {
        match &self.assigned {
            Some(assigned) if assigned.view == ctx.view() => assigned.replica_set.clone(),
            _ => ctx.membership.replica_set(self.key),
        }
    }

    /// Returns all replicas that may store a record of this request.
    pub(super) fn possible_replicas(&self, ctx: &Context) -> Vec<NodeId> {
        let mut replicas = ctx.membership.replica_set(self.key);
        replicas.extend(self.replica_set(ctx));
        replicas.sort();
        replicas.dedup();
        replicas
    }

    pub(super) fn assign(&mut self, view: ViewNumber, replica_set: Vec<NodeId>) {
        self.assigned = Some(AssignedReplicas { view, replica_set });
    }

    /// Restarts the reservation with a full timeout after the key became free.
    pub(super) fn restart_reservation(&mut self, ctx: &Context) {
        self.phase = Phase::reserving();
        self.reserve_by_ms = ctx.now_ms + ctx.config.reservation_timeout_ms;
    }

    /// Enters the completing phase. From now on the deadline is the end of the retention time: the outcome is sent until all
    /// replicas have confirmed it or no client can request it any more.
    pub(super) fn start_completing(&mut self, now_ms: f64, phase: Phase) {
        self.phase = phase;
        self.retransmit_at_ms = now_ms;
        self.deadline_ms = now_ms + self.retention_ms;
    }

    /// Discards all confirmations after a view change, as only those of the current view count. A running request continues
    /// and is reported to the new primary.
    pub(super) fn discard_confirmations(&mut self, now_ms: f64) {
        self.retransmit_at_ms = now_ms;
        if let Phase::Reserving { confirmed } | Phase::Completing { confirmed, .. } = &mut self.phase {
            confirmed.clear();
        }
    }

    pub(super) fn postpone_retransmission(&mut self, ctx: &Context) {
        self.retransmit_at_ms = ctx.now_ms + ctx.config.retransmit_interval_ms;
    }

    /// Returns the outcome, only once, if it has to be retransmitted although enough replicas have confirmed it to answer
    /// with it at the deadline.
    pub(super) fn provisional_outcome(&mut self, min_replicas: usize) -> Option<Outcome> {
        let Phase::Completing { outcome, confirmed } = &self.phase else { return None };
        let first =
            confirmed.len() >= min_replicas && !std::mem::replace(&mut self.provisional_reported, true);
        first.then(|| outcome.clone())
    }

    /// Starts a new round with other replicas if the reservation waits for a suspected replica. Confirmations of the previous
    /// round do not count, so at most one round's replica set can ever be complete.
    pub(super) fn restart_round_if_blocked(&mut self, ctx: &Context) {
        let Phase::Reserving { confirmed } = &mut self.phase else { return };
        let blocked = self.assigned.as_ref().is_some_and(|assigned| {
            assigned.view == ctx.view() && ctx.suspected.blocks(&assigned.replica_set, confirmed)
        });
        if blocked {
            confirmed.clear();
            self.round = self.round.next();
            self.assigned = None;
        }
    }

    pub(super) fn reserve_message(&self, ctx: &Context) -> Message {
        let until_deadline_ms = (self.deadline_ms - ctx.now_ms).max(0.0) as u64;
        Message::Reserve {
            view: ctx.view(),
            key: self.key,
            reservation: self.reservation,
            round: self.round,
            retention_ms: until_deadline_ms + ctx.config.reservation_grace_ms as u64,
        }
    }

    pub(super) fn record_outcome_message(&self, ctx: &Context, outcome: Outcome) -> Message {
        Message::RecordOutcome {
            view: ctx.view(),
            key: self.key,
            reservation: self.reservation,
            outcome,
            retention_ms: self.retention_ms as u64,
        }
    }

    pub(super) fn release_message(&self, ctx: &Context) -> Message {
        Message::Release { view: ctx.view(), key: self.key, reservation: self.reservation }
    }
}
