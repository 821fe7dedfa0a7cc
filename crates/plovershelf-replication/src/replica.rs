//! The replica's role: it stores records, confirms them to executors, and forgets them when their time is over.
//!
//! | record | event | next |
//! | --- | --- | --- |
//! | none | `Replicate`, `Repair`; a reservation that the local primary accepts | reserved |
//! | reserved | its executor's `RecordOutcome`, or a record with an outcome | completed |
//! | reserved | its executor's `Release` | none |
//! | reserved | its time is over | reserved; the executor is probed |
//! | completed | its time is over | none |
//! | any | a record of a higher version | that one |

use std::collections::BTreeMap;

use plovershelf_cluster::NodeId;

use crate::broken::{self, Broken};
use crate::context::Context;
use crate::effects::Effects;
use crate::message::Message;
use crate::placement::IdempotencyKey;
use crate::record::{
    Outcome, OutcomeOrigin, OutcomeVersion, Record, RecordVersion, Reservation, ReservationOrder, Round,
};
use crate::timers::KeyTimers;

/// Bytes that a record is counted with beside its result.
const RECORD_OVERHEAD_BYTES: usize = 160;

#[derive(Clone, Debug)]
pub(crate) struct StoredRecord {
    pub(crate) reservation: Reservation,
    pub(crate) order: ReservationOrder,
    pub(crate) replica_set: Vec<NodeId>,
    pub(crate) round: Round,
    pub(crate) outcome: Option<Outcome>,
    outcome_version: OutcomeVersion,
    /// All replicas have the outcome, as the primary learnt. It holds of this outcome only and goes with the record.
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

    /// A record of a higher version takes this one's place.
    fn replace(&mut self, record: Record, expires_at_ms: f64) {
        let same_outcome = record.reservation == self.reservation && record.outcome == self.outcome;
        let outcome_replicated = self.outcome_replicated && same_outcome;
        *self = StoredRecord { outcome_replicated, ..StoredRecord::new(record, expires_at_ms) };
    }

    /// The outcome, once all replicas have it.
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

    /// The primary accepts the same reservation again, under a new view or in a further round.
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

/// Whether a record found room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum Stored {
    Yes,
    Full,
}

/// What became of a record whose time is over.
#[derive(Clone, Debug)]
#[must_use]
pub(crate) enum Expiry {
    /// It is kept, for now.
    Kept(Effects),
    Forgotten,
}

/// An executor's word of how a reservation ended.
#[derive(Clone, Debug)]
pub(crate) struct OutcomeReport {
    pub(crate) key: IdempotencyKey,
    pub(crate) reservation: Reservation,
    pub(crate) outcome: Outcome,
    pub(crate) retention_ms: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Replica {
    records: BTreeMap<IdempotencyKey, StoredRecord>,
    outcome_bytes: usize,
    expiries: KeyTimers,
}

impl Replica {
    // ---- what others may know ------------------------------------------------------------------------

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

    /// All replicas have the outcome that is stored of a key; returns it.
    pub(crate) fn mark_outcome_replicated(&mut self, key: IdempotencyKey) -> Option<&Outcome> {
        let stored = self.records.get_mut(&key)?;
        stored.outcome_replicated = stored.outcome.is_some();
        stored.outcome.as_ref()
    }

    /// As it is sent to others.
    pub(crate) fn record(&self, key: IdempotencyKey, now_ms: f64) -> Option<Record> {
        Some(self.records.get(&key)?.to_record(now_ms))
    }

    pub(crate) fn next_expiry(&self) -> f64 {
        self.expiries.poll_timeout()
    }

    // ---- what happens to it --------------------------------------------------------------------------

    /// The primary's reservation. What is stored here is confirmed: that may be a later round already.
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
        if self.store(ctx, key, record) == Stored::Full {
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

    /// The outcome, from its executor or, after a change of view, from the primary. What is stored here is confirmed, whatever was
    /// sent. Of another reservation nothing is: its executor learns that it is in doubt, a primary learns nothing.
    pub(crate) fn handle_record_outcome(
        &mut self,
        ctx: &Context,
        from: NodeId,
        report: OutcomeReport,
    ) -> Effects {
        let OutcomeReport { key, reservation, outcome, retention_ms } = report;
        let (view, local) = (ctx.view(), ctx.local());
        let stored = self.records.get_mut(&key);
        let is_replica = ctx.membership.replica_set(key).contains(&local)
            || stored.as_ref().is_some_and(|stored| stored.replica_set.contains(&local));
        let from_executor = reservation.executor == from;
        if !is_replica || !from_executor && ctx.membership.primary(key) != Some(from) {
            return Effects::default();
        }
        let Some(stored) = stored else {
            if broken::is(Broken::BlankReplicaConfirms) {
                return Effects::message(from, Message::OutcomeRecorded { view, key, reservation, outcome });
            }
            return Effects::default();
        };
        let same = stored.reservation == reservation;
        if !same && !from_executor {
            return Effects::default();
        }
        if stored.outcome.is_none() && same {
            self.outcome_bytes -= counted_bytes(&stored.outcome);
            stored.outcome = Some(outcome);
            stored.outcome_version = OutcomeVersion { view, origin: OutcomeOrigin::Executor };
            stored.expires_at_ms = ctx.now_ms + retention_ms as f64;
            self.outcome_bytes += counted_bytes(&stored.outcome);
        }
        let outcome = stored.outcome.clone().filter(|_| same).unwrap_or(Outcome::InDoubt);
        Effects::message(from, Message::OutcomeRecorded { view, key, reservation, outcome })
    }

    /// Records that a primary has stored here anew; those that found room are confirmed.
    pub(crate) fn handle_repair(
        &mut self,
        ctx: &Context,
        from: NodeId,
        records: Vec<(IdempotencyKey, Record)>,
    ) -> Effects {
        let mut keys = Vec::new();
        for (key, record) in records {
            if ctx.membership.primary(key) == Some(from) && self.store(ctx, key, record) == Stored::Yes {
                keys.push(key);
            }
        }
        Effects::message(from, Message::Repaired { view: ctx.view(), keys })
    }

    pub(crate) fn pop_expiry(&mut self) -> Option<IdempotencyKey> {
        self.expiries.pop()
    }

    /// An outcome whose time is over is forgotten; a reservation that should have ended is asked about.
    pub(crate) fn handle_expiry(&mut self, ctx: &Context, key: IdempotencyKey) -> Expiry {
        let Some(stored) = self.records.get(&key) else { return Expiry::Kept(Effects::default()) };
        if stored.expires_at_ms > ctx.now_ms {
            self.expiries.schedule(stored.expires_at_ms, key);
            return Expiry::Kept(Effects::default());
        }
        if stored.outcome.is_some() {
            self.remove(key);
            return Expiry::Forgotten;
        }
        let reservation = stored.reservation;
        self.expiries.schedule(ctx.now_ms + ctx.config.reservation_grace_ms, key);
        let probe = Message::ProbeReservation { view: ctx.view(), key, reservation };
        Expiry::Kept(Effects::message(reservation.executor, probe))
    }

    /// Whether an executor may release what is stored of a key: its own reservation, which has not ended.
    pub(crate) fn may_release(&self, from: NodeId, key: IdempotencyKey, reservation: Reservation) -> bool {
        self.records.get(&key).is_some_and(|stored| {
            stored.reservation == reservation && reservation.executor == from && stored.outcome.is_none()
        })
    }

    /// Stores a record, unless one of a higher version is there or there is no room.
    pub(crate) fn store(&mut self, ctx: &Context, key: IdempotencyKey, record: Record) -> Stored {
        let expires_at_ms = ctx.now_ms + record.retention_ms as f64;
        match self.records.get_mut(&key) {
            Some(stored) => {
                let expires_at_ms = stored.expires_at_ms.max(expires_at_ms);
                if record.version() > stored.version() {
                    let before = counted_bytes(&stored.outcome);
                    stored.replace(record, expires_at_ms);
                    self.outcome_bytes = self.outcome_bytes + counted_bytes(&stored.outcome) - before;
                } else {
                    stored.expires_at_ms = expires_at_ms;
                }
            }
            None => {
                let bytes = counted_bytes(&record.outcome);
                if self.records.len() >= ctx.config.max_records
                    || self.outcome_bytes + bytes > ctx.config.max_outcome_bytes
                {
                    return Stored::Full;
                }
                self.outcome_bytes += bytes;
                self.records.insert(key, StoredRecord::new(record, expires_at_ms));
                self.expiries.schedule(expires_at_ms, key);
            }
        }
        Stored::Yes
    }

    pub(crate) fn remove(&mut self, key: IdempotencyKey) {
        if let Some(stored) = self.records.remove(&key) {
            self.outcome_bytes -= counted_bytes(&stored.outcome);
        }
    }
}

fn counted_bytes(outcome: &Option<Outcome>) -> usize {
    match outcome {
        Some(Outcome::Succeeded(result)) => result.len() + RECORD_OVERHEAD_BYTES,
        _ => RECORD_OVERHEAD_BYTES,
    }
}

#[cfg(test)]
mod tests;
