//! The primary's role: the first member of a key's replica set orders the attempts to reserve it.
//!
//! | key | event | next |
//! | --- | --- | --- |
//! | free | `Reserve` | reserved: `Replicate` to the other replicas |
//! | reserved | `Reserve` of the same attempt | the same; under a new view or in a new round with a new place in the order |
//! | reserved | `Reserve` of another attempt | that one waits: `HeldByAnother` |
//! | reserved | released | free: `Released` to all that wait |
//! | completed | `Reserve` of another attempt | that one waits; repair asks the replicas whether all have the outcome |
//! | completed | `OutcomeReplicated` by its executor, or repaired | replicated: `HeldByAnother` with the outcome to all that wait |
//! | replicated | `Reserve` of another attempt | `HeldByAnother` with the outcome |
//!
//! An outcome is told to others only when all replicas have it. Before that the loss of machines could still take it along,
//! and a later reconciliation settle on another. What exactly each confirmation is word of stands in [`message`](crate::message).

use std::collections::BTreeMap;

use crate::context::Context;
use crate::effects::Effects;
use crate::message::Message;
use crate::placement::IdempotencyKey;
use crate::record::{OutcomeVersion, Record, Reservation, ReservationOrder, Round};
use crate::repair::{Repair, RepairContent};
use crate::replica::{Replica, Stored};

/// Attempts that wait for one key; further ones ask again by themselves.
const MAX_WAITERS: usize = 64;

/// An executor's attempt to reserve a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReserveRequest {
    pub(crate) key: IdempotencyKey,
    pub(crate) reservation: Reservation,
    pub(crate) round: Round,
    pub(crate) retention_ms: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Primary {
    /// By key, the attempts that wait for another's.
    waiters: BTreeMap<IdempotencyKey, Vec<Reservation>>,
    last_sequence: u64,
}

impl Primary {
    /// Orders an attempt of a key whose primary the local member is, and of which it knows all earlier reservations.
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
            self.refuse(ctx, request, replica, repair)
        }
    }

    /// All replicas have a key's outcome: those that wait are told.
    pub(crate) fn handle_outcome_replicated(
        &mut self,
        ctx: &Context,
        key: IdempotencyKey,
        replica: &mut Replica,
    ) -> Effects {
        let mut effects = Effects::default();
        let Some(outcome) = replica.mark_outcome_replicated(key) else { return effects };
        for reservation in self.forget(key) {
            let outcome = Some(outcome.clone());
            let message = Message::HeldByAnother { view: ctx.view(), key, reservation, outcome };
            effects.send(reservation.executor, message);
        }
        effects
    }

    /// A key's record is gone, or its outcome is told. Its waiters, in the order in which they came.
    pub(crate) fn forget(&mut self, key: IdempotencyKey) -> Vec<Reservation> {
        self.waiters.remove(&key).unwrap_or_default()
    }

    // ---- steps ---------------------------------------------------------------------------------------

    fn next_order(&mut self, ctx: &Context) -> ReservationOrder {
        self.last_sequence += 1;
        ReservationOrder { view: ctx.view(), sequence: self.last_sequence }
    }

    /// What finds no room here is not confirmed, so it is not launched.
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
            Stored::Yes => replicate(ctx, request.key, replica),
            Stored::Full => Effects::default(),
        }
    }

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

    fn refuse(
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
        // Against an outcome that stays unknown because the executor's message that all have it was lost, or the executor is.
        if is_completed && outcome.is_none() && !repair.is_repairing_outcome(key) {
            repair.start(
                key,
                RepairContent::Outcome,
                ctx.remote(ctx.suspected.replica_set(&ctx.membership, key)),
            );
            repair.schedule(ctx.now_ms + ctx.config.retransmit_interval_ms, key);
        }
        let message = Message::HeldByAnother { view: ctx.view(), key, reservation, outcome };
        Effects::message(reservation.executor, message)
    }
}

/// The reservation to the other replicas; all confirm to the executor, the local one at once.
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
