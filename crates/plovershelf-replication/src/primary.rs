//! The primary role: the first member of a key's replica set orders the attempts to reserve the key.
//!
//! | key | event | next |
//! | --- | --- | --- |
//! | free | `Reserve` | reserved: `Replicate` to the other replicas |
//! | reserved | `Reserve` from the same attempt | reserved; reordered if the view or the round has changed |
//! | reserved | `Reserve` from another attempt | reserved; the other attempt waits: `HeldByAnother` |
//! | reserved | `Release` | free: `Released` to all waiting attempts |
//! | completed | `Reserve` from another attempt | completed; the other attempt waits while repair has all replicas confirm the outcome |
//! | completed | `OutcomeReplicated` from the executor, or repair complete | replicated: `HeldByAnother` with the outcome to all waiting attempts |
//! | replicated | `Reserve` from another attempt | replicated; `HeldByAnother` with the outcome |
//!
//! The primary sends an outcome to other attempts only after all replicas have stored it. Before that, machine failures
//! could still lose it, and a later reconciliation could choose a different outcome. [`message`](crate::message) lists what
//! each confirmation guarantees.

use std::collections::BTreeMap;

use crate::context::Context;
use crate::effects::Effects;
use crate::message::Message;
use crate::placement::IdempotencyKey;
use crate::record::{OutcomeVersion, Record, Reservation, ReservationOrder, Round};
use crate::repair::{Repair, RepairContent};
use crate::replica::{Replica, StoreResult};

/// Maximum number of waiting attempts recorded per key. Further attempts retransmit their `Reserve` periodically.
const MAX_WAITERS: usize = 64;

/// An executor's attempt to reserve a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReserveRequest {
    pub(crate) key: IdempotencyKey,
    pub(crate) reservation: Reservation,
    pub(crate) round: Round,
    pub(crate) retention_ms: u64,
}

/// Primary role of the local member for all keys whose primary it is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Primary {
    /// Per key, the attempts that wait for another attempt's outcome, in order of arrival.
    waiters: BTreeMap<IdempotencyKey, Vec<Reservation>>,
    last_sequence: u64,
}

impl Primary {
    /// Orders an attempt to reserve a key. The local member must be the key's primary and know all earlier reservations.
    pub(crate) fn handle_reserve(
        &mut self,
        ctx: &Context,
        request: ReserveRequest,
        replica: &mut Replica,
        repair: &mut Repair,
    ) -> Effects {
        let Some(stored) = replica.get(request.key) else { return self.accept(ctx, request, replica) };
        if stored.reservation == request.reservation && stored.outcome.is_none() {
            self.accept_again(ctx, request, replica)
        } else {
            self.answer_held_by_another(ctx, request, replica, repair)
        }
    }

    /// Marks a key's outcome as stored by all replicas and sends it to all waiting attempts.
    pub(crate) fn handle_outcome_replicated(
        &mut self,
        ctx: &Context,
        key: IdempotencyKey,
        replica: &mut Replica,
    ) -> Effects {
        let mut effects = Effects::default();
        let Some(outcome) = replica.mark_outcome_replicated(key) else { return effects };
        for reservation in self.take_waiters(key) {
            let outcome = Some(outcome.clone());
            let message = Message::HeldByAnother { view: ctx.view(), key, reservation, outcome };
            effects.send(reservation.executor, message);
        }
        effects
    }

    /// Removes and returns the attempts that wait for a key, in order of arrival.
    pub(crate) fn take_waiters(&mut self, key: IdempotencyKey) -> Vec<Reservation> {
        self.waiters.remove(&key).unwrap_or_default()
    }

    // ---- internal steps ------------------------------------------------------------------------------

    fn next_order(&mut self, ctx: &Context) -> ReservationOrder {
        self.last_sequence += 1;
        ReservationOrder { view: ctx.view(), sequence: self.last_sequence }
    }

    /// Stores a new reservation. If the local replica is full, nothing is replicated, so the request is never launched.
    fn accept(&mut self, ctx: &Context, request: ReserveRequest, replica: &mut Replica) -> Effects {
        let record = Record {
            reservation: request.reservation,
            order: self.next_order(ctx),
            replica_set: ctx.suspected.replica_set(&ctx.membership, request.key),
            round: request.round,
            outcome: None,
            outcome_version: OutcomeVersion::default(),
            retention_ms: request.retention_ms,
        };
        match replica.store(ctx, request.key, record) {
            StoreResult::Stored => replicate(ctx, request.key, replica),
            StoreResult::Full => Effects::default(),
        }
    }

    /// Replicates a stored reservation again, with a new order if its view or round is outdated.
    fn accept_again(&mut self, ctx: &Context, request: ReserveRequest, replica: &mut Replica) -> Effects {
        let key = request.key;
        let outdated =
            |order: ReservationOrder, round: Round| order.view != ctx.view() || request.round > round;
        if let Some(stored) = replica.get_mut(key).filter(|stored| outdated(stored.order, stored.round)) {
            let replica_set = ctx.suspected.replica_set(&ctx.membership, key);
            stored.reorder(self.next_order(ctx), replica_set, request.round);
        }
        replicate(ctx, key, replica)
    }

    /// Answers an attempt with `HeldByAnother`, and records it as waiting unless the outcome is already replicated.
    fn answer_held_by_another(
        &mut self,
        ctx: &Context,
        request: ReserveRequest,
        replica: &Replica,
        repair: &mut Repair,
    ) -> Effects {
        let ReserveRequest { key, reservation, .. } = request;
        let stored = replica.get(key);
        let is_completed = stored.is_some_and(|stored| stored.outcome.is_some());
        let outcome = stored.and_then(|stored| stored.replicated_outcome()).cloned();
        if outcome.is_none() {
            let waiters = self.waiters.entry(key).or_default();
            if !waiters.contains(&reservation) && waiters.len() < MAX_WAITERS {
                waiters.push(reservation);
            }
        }
        // Without this repair the outcome would stay unconfirmed if the executor failed or its `OutcomeReplicated` was lost.
        if is_completed && outcome.is_none() && !repair.is_repairing_outcome(key) {
            repair.start(
                key,
                RepairContent::Outcome,
                ctx.remote_replicas(ctx.suspected.replica_set(&ctx.membership, key)),
            );
            repair.schedule(ctx.now_ms + ctx.config.retransmit_interval_ms, key);
        }
        let message = Message::HeldByAnother { view: ctx.view(), key, reservation, outcome };
        Effects::message(reservation.executor, message)
    }
}

/// Sends a reservation to the other replicas, and the local replica's confirmation to the executor.
fn replicate(ctx: &Context, key: IdempotencyKey, replica: &Replica) -> Effects {
    let (view, mut effects) = (ctx.view(), Effects::default());
    let Some(record) = replica.record(key, ctx.now_ms) else { return effects };
    let Reservation { executor, .. } = record.reservation;
    for to in &record.replica_set {
        if *to == ctx.local() {
            let (reservation, round) = (record.reservation, record.round);
            let replica_set = record.replica_set.clone();
            effects.send(executor, Message::Reserved { view, key, reservation, round, replica_set });
        } else {
            effects.send(*to, Message::Replicate { view, key, record: record.clone() });
        }
    }
    effects
}

#[cfg(test)]
mod tests;
