//! Repair: records that lack replicas are sent to them until each has confirmed.
//!
//! Against a second loss that finds fewer replicas than the first one did. It begins after a change of view for each key
//! whose primary the local member is, and for an outcome of which the primary does not know whether all replicas have it.
//! A new view ends it: the next primary reconciles and begins anew.
//!
//! A `Repaired` names a key and not what is stored of it. So it confirms no more than each `Repair` of that key carried under
//! this view: where one had no outcome, the outcome is asked for by `RecordOutcome`, whose answer names it.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;

use crate::context::Context;
use crate::effects::Effects;
use crate::message::Message;
use crate::placement::IdempotencyKey;
use crate::record::{Outcome, Record};
use crate::timers::KeyTimers;

/// Resent after this many retransmit intervals: a repair carries a whole record.
const RESEND_INTERVALS: f64 = 2.0;

/// What of a record all replicas are to confirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RepairContent {
    /// The reservation; it had no outcome when the repair began.
    Reservation,
    /// The outcome.
    Outcome,
}

impl RepairContent {
    pub(crate) fn of(record: &Record) -> Self {
        if record.outcome.is_some() {
            RepairContent::Outcome
        } else {
            RepairContent::Reservation
        }
    }
}

/// Whether a key still lacks replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    Lacking,
    /// The last one has just confirmed this.
    Complete(RepairContent),
}

/// One key's repair.
#[derive(Clone, Debug)]
struct KeyRepair {
    content: RepairContent,
    /// The replicas that have not confirmed; never empty.
    lacking: BTreeSet<NodeId>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Repair {
    under_way: BTreeMap<IdempotencyKey, KeyRepair>,
    /// Keys whose `Repaired` under this view may answer for less than the outcome of now: a repair had no outcome, or the
    /// record was forgotten while its repair was under way.
    unclear: BTreeSet<IdempotencyKey>,
    timers: KeyTimers,
}

impl Repair {
    /// Keys that lack replicas.
    pub(crate) fn len(&self) -> usize {
        self.under_way.len()
    }

    pub(crate) fn is_repairing_outcome(&self, key: IdempotencyKey) -> bool {
        self.under_way.get(&key).is_some_and(|repair| repair.content == RepairContent::Outcome)
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        self.timers.poll_timeout()
    }

    /// These replicas are to store a key's record and to confirm this of it.
    pub(crate) fn start(&mut self, key: IdempotencyKey, content: RepairContent, replicas: BTreeSet<NodeId>) {
        if replicas.is_empty() {
            self.under_way.remove(&key);
        } else {
            self.under_way.insert(key, KeyRepair { content, lacking: replicas });
        }
    }

    pub(crate) fn schedule(&mut self, at_ms: f64, key: IdempotencyKey) {
        self.timers.schedule(at_ms, key);
    }

    /// A message of the view before is dropped, so what was unclear is no longer.
    pub(crate) fn handle_view_change(&mut self) {
        self.under_way.clear();
        self.unclear.clear();
    }

    pub(crate) fn pop_due(&mut self) -> Option<IdempotencyKey> {
        self.timers.pop()
    }

    /// Sends a key's record to those that have not confirmed it, and does so again after a while.
    pub(crate) fn send(&mut self, ctx: &Context, key: IdempotencyKey, record: &Record) -> Effects {
        let mut effects = Effects::default();
        let Some(repair) = self.under_way.get(&key) else { return effects };
        if record.outcome.is_none() {
            self.unclear.insert(key);
        }
        let asked_outcome = record.outcome.as_ref().filter(|_| self.is_unclear(key, repair.content));
        for to in &repair.lacking {
            let records = vec![(key, record.clone())];
            effects.send(*to, Message::Repair { view: ctx.view(), records });
            if let Some(outcome) = asked_outcome {
                effects.send(*to, record_outcome_message(ctx, key, record, outcome.clone()));
            }
        }
        let again_ms = RESEND_INTERVALS * ctx.config.retransmit_interval_ms;
        self.timers.schedule(ctx.now_ms + again_ms, key);
        effects
    }

    /// A replica says that it stores a record of this key.
    pub(crate) fn handle_repaired(&mut self, from: NodeId, key: IdempotencyKey) -> Progress {
        match self.under_way.get(&key) {
            Some(repair) if !self.is_unclear(key, repair.content) => self.confirm(from, key),
            _ => Progress::Lacking,
        }
    }

    /// A replica says that it stores the very outcome that the local member does.
    pub(crate) fn handle_outcome_recorded(&mut self, from: NodeId, key: IdempotencyKey) -> Progress {
        self.confirm(from, key)
    }

    /// The record is gone.
    pub(crate) fn forget(&mut self, key: IdempotencyKey) {
        if self.under_way.remove(&key).is_some() {
            self.unclear.insert(key);
        }
    }

    // ---- steps ---------------------------------------------------------------------------------------

    fn is_unclear(&self, key: IdempotencyKey, content: RepairContent) -> bool {
        content == RepairContent::Outcome && self.unclear.contains(&key)
    }

    fn confirm(&mut self, from: NodeId, key: IdempotencyKey) -> Progress {
        let Some(repair) = self.under_way.get_mut(&key) else { return Progress::Lacking };
        if !repair.lacking.remove(&from) || !repair.lacking.is_empty() {
            return Progress::Lacking;
        }
        let content = repair.content;
        self.under_way.remove(&key);
        Progress::Complete(content)
    }
}

fn record_outcome_message(ctx: &Context, key: IdempotencyKey, record: &Record, outcome: Outcome) -> Message {
    let Record { reservation, retention_ms, .. } = *record;
    Message::RecordOutcome { view: ctx.view(), key, reservation, outcome, retention_ms }
}

#[cfg(test)]
mod tests;
