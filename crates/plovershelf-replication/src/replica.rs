//! The replica role: stores records, confirms them to executors, and removes them when their retention time has expired.
//!
//! | record | event | next |
//! | --- | --- | --- |
//! | none | `Replicate` or `Repair`, or a reservation accepted by the local primary | reserved |
//! | reserved | `RecordOutcome`, or a record with an outcome | completed |
//! | reserved | `Release` from the executor | none |
//! | reserved | retention expires | reserved; the executor is probed |
//! | completed | retention expires | none |
//! | any | a record of a higher version | replaced by that record |

use std::collections::BTreeMap;

use plovershelf_cluster::NodeId;

use crate::broken::{self, BrokenRule};
use crate::context::Context;
use crate::effects::Effects;
use crate::message::Message;
use crate::placement::IdempotencyKey;
use crate::record::{
    Outcome, OutcomeOrigin, OutcomeVersion, Record, RecordVersion, Reservation, ReservationOrder, Round,
};
use crate::timers::KeyTimers;

/// Size in bytes that a record is accounted with in addition to its result.
const RECORD_OVERHEAD_BYTES: usize = 160;

/// A locally stored record.
#[derive(Clone, Debug)]
pub(crate) struct StoredRecord {
    pub(crate) reservation: Reservation,
    pub(crate) order: ReservationOrder,
    pub(crate) replica_set: Vec<NodeId>,
    pub(crate) round: Round,
    pub(crate) outcome: Option<Outcome>,
    outcome_version: OutcomeVersion,
    /// Whether all replicas are known to have stored this outcome. Only the primary learns this. The flag applies to this
    /// outcome alone and is discarded with the record.
    outcome_replicated: bool,
    expires_at_ms: f64,
}

impl StoredRecord {
    fn new(record: Record, expires_at_ms: f64) -> Self {
        StoredRecord {
            reservation: record.reservation,
            order: record.order,
            replica_set: record.replica_set,
            round: record.round,
            outcome: record.outcome,
            outcome_version: record.outcome_version,
            outcome_replicated: false,
            expires_at_ms,
        }
    }

    /// Replaces this record by one of a higher version. `outcome_replicated` is preserved if the outcome is the same.
    fn replace(&mut self, record: Record, expires_at_ms: f64) {
        let same_outcome = record.reservation == self.reservation && record.outcome == self.outcome;
        let outcome_replicated = self.outcome_replicated && same_outcome;
        *self = StoredRecord { outcome_replicated, ..StoredRecord::new(record, expires_at_ms) };
    }

    /// Returns the outcome if all replicas are known to have stored it.
    pub(crate) fn replicated_outcome(&self) -> Option<&Outcome> {
        self.outcome.as_ref().filter(|_| self.outcome_replicated)
    }

    fn version(&self) -> RecordVersion {
        RecordVersion {
            order: self.order,
            completed: self.outcome.is_some(),
            outcome_version: self.outcome_version,
        }
    }

    /// Updates the order and replica set when the primary accepts the same reservation in a new view or round.
    pub(crate) fn reorder(&mut self, order: ReservationOrder, replica_set: Vec<NodeId>, round: Round) {
        (self.order, self.replica_set) = (order, replica_set);
        self.round = self.round.max(round);
    }

    fn to_record(&self, now_ms: f64) -> Record {
        Record {
            reservation: self.reservation,
            order: self.order,
            replica_set: self.replica_set.clone(),
            round: self.round,
            outcome: self.outcome.clone(),
            outcome_version: self.outcome_version,
            retention_ms: (self.expires_at_ms - now_ms).max(0.0) as u64,
        }
    }
}

/// Result of storing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum StoreResult {
    /// The record, or one of a higher version, is stored.
    Stored,
    /// A limit of the replica is reached; the record was dropped.
    Full,
}

/// Result of an expired timer of a record.
#[derive(Clone, Debug)]
#[must_use]
pub(crate) enum Expiry {
    /// The record is retained and its timer rescheduled.
    Retained(Effects),
    /// The record was removed.
    Removed,
}

/// Contents of a `RecordOutcome` message.
#[derive(Clone, Debug)]
pub(crate) struct RecordOutcomeRequest {
    pub(crate) key: IdempotencyKey,
    pub(crate) reservation: Reservation,
    pub(crate) outcome: Outcome,
    pub(crate) retention_ms: u64,
}

/// Replica role of the local member: the records that it stores.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replica {
    records: BTreeMap<IdempotencyKey, StoredRecord>,
    outcome_bytes: usize,
    expiries: KeyTimers,
}

impl Replica {
    // ---- queries -------------------------------------------------------------------------------------

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn outcome_bytes(&self) -> usize {
        self.outcome_bytes
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = IdempotencyKey> + '_ {
        self.records.keys().copied()
    }

    pub(crate) fn get(&self, key: IdempotencyKey) -> Option<&StoredRecord> {
        self.records.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: IdempotencyKey) -> Option<&mut StoredRecord> {
        self.records.get_mut(&key)
    }

    /// Marks a key's stored outcome as stored by all replicas and returns it.
    pub(crate) fn mark_outcome_replicated(&mut self, key: IdempotencyKey) -> Option<&Outcome> {
        let stored = self.records.get_mut(&key)?;
        stored.outcome_replicated = stored.outcome.is_some();
        stored.outcome.as_ref()
    }

    /// Returns the record of a key in the form sent to other members.
    pub(crate) fn record(&self, key: IdempotencyKey, now_ms: f64) -> Option<Record> {
        Some(self.records.get(&key)?.to_record(now_ms))
    }

    pub(crate) fn next_expiry(&self) -> f64 {
        self.expiries.poll_timeout()
    }

    // ---- inputs --------------------------------------------------------------------------------------

    /// Stores a reservation sent by the primary and confirms the stored round, which may be later than the received one.
    pub(crate) fn handle_replicate(
        &mut self,
        ctx: &Context,
        from: NodeId,
        key: IdempotencyKey,
        record: Record,
    ) -> Effects {
        if ctx.membership.primary(key) != Some(from) || !record.replica_set.contains(&ctx.local()) {
            return Effects::default();
        }
        let (view, reservation) = (ctx.view(), record.reservation);
        if self.store(ctx, key, record) == StoreResult::Full {
            return Effects::default();
        }
        match self.records.get(&key) {
            Some(stored) if stored.reservation == reservation && stored.order.view == view => {
                let (round, replica_set) = (stored.round, stored.replica_set.clone());
                let reply = Message::Reserved { view, key, reservation, round, replica_set };
                Effects::message(reservation.executor, reply)
            }
            _ => Effects::default(),
        }
    }

    /// Stores an outcome sent by its executor or, during a repair, by the primary. The reply contains the stored outcome,
    /// which may differ from the received one. If the stored record belongs to another reservation, an executor
    /// receives `Outcome::InDoubt`, and a primary receives no reply.
    pub(crate) fn handle_record_outcome(
        &mut self,
        ctx: &Context,
        from: NodeId,
        request: RecordOutcomeRequest,
    ) -> Effects {
        let RecordOutcomeRequest { key, reservation, outcome, retention_ms } = request;
        let (view, local) = (ctx.view(), ctx.local());
        let stored = self.records.get_mut(&key);
        let is_replica = ctx.membership.replica_set(key).contains(&local)
            || stored.as_ref().is_some_and(|stored| stored.replica_set.contains(&local));
        let from_executor = reservation.executor == from;
        if !is_replica || !from_executor && ctx.membership.primary(key) != Some(from) {
            return Effects::default();
        }
        let Some(stored) = stored else {
            if broken::is(BrokenRule::EmptyReplicaConfirms) {
                return Effects::message(from, Message::OutcomeRecorded { view, key, reservation, outcome });
            }
            return Effects::default();
        };
        let same_reservation = stored.reservation == reservation;
        if !same_reservation && !from_executor {
            return Effects::default();
        }
        if stored.outcome.is_none() && same_reservation {
            self.outcome_bytes -= accounted_bytes(&stored.outcome);
            stored.outcome = Some(outcome);
            stored.outcome_version = OutcomeVersion { view, origin: OutcomeOrigin::Executor };
            stored.expires_at_ms = ctx.now_ms + retention_ms as f64;
            self.outcome_bytes += accounted_bytes(&stored.outcome);
        }
        let outcome = stored.outcome.clone().filter(|_| same_reservation).unwrap_or(Outcome::InDoubt);
        Effects::message(from, Message::OutcomeRecorded { view, key, reservation, outcome })
    }

    /// Stores records sent by their primary and confirms those that fit within the limits.
    pub(crate) fn handle_repair(
        &mut self,
        ctx: &Context,
        from: NodeId,
        records: Vec<(IdempotencyKey, Record)>,
    ) -> Effects {
        let mut keys = Vec::new();
        for (key, record) in records {
            if ctx.membership.primary(key) == Some(from)
                && self.store(ctx, key, record) == StoreResult::Stored
            {
                keys.push(key);
            }
        }
        Effects::message(from, Message::Repaired { view: ctx.view(), keys })
    }

    pub(crate) fn pop_expiry(&mut self) -> Option<IdempotencyKey> {
        self.expiries.pop()
    }

    /// Handles a due expiry timer: removes a record with an outcome, or probes the executor of an overdue reservation.
    pub(crate) fn handle_expiry(&mut self, ctx: &Context, key: IdempotencyKey) -> Expiry {
        let Some(stored) = self.records.get(&key) else { return Expiry::Retained(Effects::default()) };
        if stored.expires_at_ms > ctx.now_ms {
            self.expiries.schedule(stored.expires_at_ms, key);
            return Expiry::Retained(Effects::default());
        }
        if stored.outcome.is_some() {
            self.remove(key);
            return Expiry::Removed;
        }
        let reservation = stored.reservation;
        self.expiries.schedule(ctx.now_ms + ctx.config.reservation_grace_ms, key);
        let probe = Message::ProbeReservation { view: ctx.view(), key, reservation };
        Expiry::Retained(Effects::message(reservation.executor, probe))
    }

    /// Returns whether an executor may release a key: it holds the stored reservation, which has no outcome.
    pub(crate) fn may_release(&self, from: NodeId, key: IdempotencyKey, reservation: Reservation) -> bool {
        self.records.get(&key).is_some_and(|stored| {
            stored.reservation == reservation && reservation.executor == from && stored.outcome.is_none()
        })
    }

    /// Stores a record unless one of a higher version is stored already or a limit is reached.
    pub(crate) fn store(&mut self, ctx: &Context, key: IdempotencyKey, record: Record) -> StoreResult {
        let expires_at_ms = ctx.now_ms + record.retention_ms as f64;
        match self.records.get_mut(&key) {
            Some(stored) => {
                let expires_at_ms = stored.expires_at_ms.max(expires_at_ms);
                if record.version() > stored.version() {
                    let previous_bytes = accounted_bytes(&stored.outcome);
                    stored.replace(record, expires_at_ms);
                    self.outcome_bytes =
                        self.outcome_bytes + accounted_bytes(&stored.outcome) - previous_bytes;
                } else {
                    stored.expires_at_ms = expires_at_ms;
                }
            }
            None => {
                let bytes = accounted_bytes(&record.outcome);
                if self.records.len() >= ctx.config.max_records
                    || self.outcome_bytes + bytes > ctx.config.max_outcome_bytes
                {
                    return StoreResult::Full;
                }
                self.outcome_bytes += bytes;
                self.records.insert(key, StoredRecord::new(record, expires_at_ms));
                self.expiries.schedule(expires_at_ms, key);
            }
        }
        StoreResult::Stored
    }

    pub(crate) fn remove(&mut self, key: IdempotencyKey) {
        if let Some(stored) = self.records.remove(&key) {
            self.outcome_bytes -= accounted_bytes(&stored.outcome);
        }
    }
}

/// Returns the size in bytes that a record with this outcome is accounted with.
fn accounted_bytes(outcome: &Option<Outcome>) -> usize {
    match outcome {
        Some(Outcome::Succeeded(result)) => result.len() + RECORD_OVERHEAD_BYTES,
        _ => RECORD_OVERHEAD_BYTES,
    }
}

#[cfg(test)]
mod tests;
