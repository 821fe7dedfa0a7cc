//! Repair: the primary sends under-replicated records to their replicas until each replica has confirmed.
//!
//! Repair restores the replication factor before a further failure can reduce the number of replicas again. It starts after
//! a view change for each key whose primary is the local member, and for an outcome that some replicas may not have stored.
//! A view change stops all repairs: the next primary reconciles and starts its own.
//!
//! A `Repaired` message names a key but not the stored contents. It therefore confirms no more than the least complete
//! `Repair` sent for that key in the current view. If one of them had no outcome, the outcome is additionally sent as
//! `RecordOutcome`, whose reply contains the stored outcome.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;

use crate::context::Context;
use crate::effects::Effects;
use crate::message::Message;
use crate::placement::IdempotencyKey;
use crate::record::{Outcome, Record};
use crate::timers::KeyTimers;

/// Interval between retransmissions of a repair, in retransmit intervals. More than one, as a repair contains a whole record.
const RESEND_INTERVALS: f64 = 2.0;

/// The part of a record that all replicas must confirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RepairContent {
    /// The reservation; the record had no outcome when the repair started.
    Reservation,
    /// The outcome of the completed request.
    Outcome,
}

impl RepairContent {
    pub(crate) fn from_record(record: &Record) -> Self {
        if record.outcome.is_some() {
            RepairContent::Outcome
        } else {
            RepairContent::Reservation
        }
    }
}

/// Progress of a key's repair after a confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Some replicas have not confirmed, or the key is not under repair.
    Incomplete,
    /// The last replica has just confirmed this content.
    Complete(RepairContent),
}

/// An ongoing repair of a key.
#[derive(Clone, Debug)]
struct KeyRepair {
    content: RepairContent,
    /// The replicas that have not confirmed yet; never empty.
    unconfirmed: BTreeSet<NodeId>,
}

/// The local member's ongoing repairs of the keys whose primary it is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repair {
    repairs: BTreeMap<IdempotencyKey, KeyRepair>,
    /// Keys for which a `Repaired` in the current view does not prove that the current outcome is stored: a `Repair` was
    /// sent without an outcome, or the record was removed during its repair.
    ambiguous: BTreeSet<IdempotencyKey>,
    timers: KeyTimers,
}

impl Repair {
    /// Returns the number of keys under repair.
    pub(crate) fn len(&self) -> usize {
        self.repairs.len()
    }

    pub(crate) fn is_repairing_outcome(&self, key: IdempotencyKey) -> bool {
        self.repairs.get(&key).is_some_and(|repair| repair.content == RepairContent::Outcome)
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        self.timers.poll_timeout()
    }

    /// Starts a repair in which `replicas` must confirm `content` of a key's record; replaces an ongoing one.
    pub(crate) fn start(&mut self, key: IdempotencyKey, content: RepairContent, replicas: BTreeSet<NodeId>) {
        if replicas.is_empty() {
            self.repairs.remove(&key);
        } else {
            self.repairs.insert(key, KeyRepair { content, unconfirmed: replicas });
        }
    }

    pub(crate) fn schedule(&mut self, at_ms: f64, key: IdempotencyKey) {
        self.timers.schedule(at_ms, key);
    }

    /// Drops all repairs. Confirmations from the previous view are ignored from now on, so no key stays ambiguous.
    pub(crate) fn handle_view_change(&mut self) {
        self.repairs.clear();
        self.ambiguous.clear();
    }

    pub(crate) fn pop_due(&mut self) -> Option<IdempotencyKey> {
        self.timers.pop()
    }

    /// Sends a key's record to the replicas that have not confirmed it and schedules the retransmission.
    pub(crate) fn send(&mut self, ctx: &Context, key: IdempotencyKey, record: &Record) -> Effects {
        let mut effects = Effects::default();
        let Some(repair) = self.repairs.get(&key) else { return effects };
        if record.outcome.is_none() {
            self.ambiguous.insert(key);
        }
        let outcome_to_confirm = record.outcome.as_ref().filter(|_| self.is_ambiguous(key, repair.content));
        for to in &repair.unconfirmed {
            let records = vec![(key, record.clone())];
            effects.send(*to, Message::Repair { view: ctx.view(), records });
            if let Some(outcome) = outcome_to_confirm {
                effects.send(*to, record_outcome_message(ctx, key, record, outcome.clone()));
            }
        }
        let interval_ms = RESEND_INTERVALS * ctx.config.retransmit_interval_ms;
        self.timers.schedule(ctx.now_ms + interval_ms, key);
        effects
    }

    /// Handles a replica's confirmation that it stores a record of this key.
    pub(crate) fn handle_repaired(&mut self, from: NodeId, key: IdempotencyKey) -> Progress {
        match self.repairs.get(&key) {
            Some(repair) if !self.is_ambiguous(key, repair.content) => self.confirm(from, key),
            _ => Progress::Incomplete,
        }
    }

    /// Handles a replica's confirmation that it stores the same outcome as the local member.
    pub(crate) fn handle_outcome_recorded(&mut self, from: NodeId, key: IdempotencyKey) -> Progress {
        self.confirm(from, key)
    }

    /// Stops a key's repair because its record was removed.
    pub(crate) fn cancel(&mut self, key: IdempotencyKey) {
        if self.repairs.remove(&key).is_some() {
            self.ambiguous.insert(key);
        }
    }

    // ---- internal steps ------------------------------------------------------------------------------

    fn is_ambiguous(&self, key: IdempotencyKey, content: RepairContent) -> bool {
        content == RepairContent::Outcome && self.ambiguous.contains(&key)
    }

    fn confirm(&mut self, from: NodeId, key: IdempotencyKey) -> Progress {
        let Some(repair) = self.repairs.get_mut(&key) else { return Progress::Incomplete };
        if !repair.unconfirmed.remove(&from) || !repair.unconfirmed.is_empty() {
            return Progress::Incomplete;
        }
        let content = repair.content;
        self.repairs.remove(&key);
        Progress::Complete(content)
    }
}

fn record_outcome_message(ctx: &Context, key: IdempotencyKey, record: &Record, outcome: Outcome) -> Message {
    let Record { reservation, retention_ms, .. } = *record;
    Message::RecordOutcome { view: ctx.view(), key, reservation, outcome, retention_ms }
}

#[cfg(test)]
mod tests;
