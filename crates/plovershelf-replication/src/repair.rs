//! Repair: records that lack replicas are sent to them until each has confirmed.
//!
//! Against a second loss that finds fewer replicas than the first one did. It begins after a change of view for each key
//! whose primary the local member is, and for an outcome of which the primary does not know whether all replicas have it.
//! A new view ends it: the next primary reconciles and begins anew.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;

use crate::context::Context;
use crate::effects::Effects;
use crate::message::Message;
use crate::placement::IdempotencyKey;
use crate::record::Record;
use crate::timers::KeyTimers;

/// Resent after this many retransmit intervals: a repair carries a whole record.
const RESEND_INTERVALS: f64 = 2.0;

/// Whether a key still lacks replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    Lacking,
    /// The last one has just confirmed.
    Complete,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Repair {
    /// By key, the replicas that have not confirmed. A key that lacks none is not in it.
    lacking: BTreeMap<IdempotencyKey, BTreeSet<NodeId>>,
    timers: KeyTimers,
}

impl Repair {
    /// Keys that lack replicas.
    pub(crate) fn len(&self) -> usize {
        self.lacking.len()
    }

    pub(crate) fn is_under_way(&self, key: IdempotencyKey) -> bool {
        self.lacking.contains_key(&key)
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        self.timers.poll_timeout()
    }

    /// These replicas are to store a key's record and to confirm it.
    pub(crate) fn start(&mut self, key: IdempotencyKey, replicas: BTreeSet<NodeId>) {
        if replicas.is_empty() {
            self.lacking.remove(&key);
        } else {
            self.lacking.insert(key, replicas);
        }
    }

    pub(crate) fn schedule(&mut self, at_ms: f64, key: IdempotencyKey) {
        self.timers.schedule(at_ms, key);
    }

    pub(crate) fn handle_view_change(&mut self) {
        self.lacking.clear();
    }

    pub(crate) fn pop_due(&mut self) -> Option<IdempotencyKey> {
        self.timers.pop()
    }

    /// Sends a key's record to those that have not confirmed it, and does so again after a while.
    pub(crate) fn send(&mut self, ctx: &Context, key: IdempotencyKey, record: &Record) -> Effects {
        let mut effects = Effects::default();
        let Some(lacking) = self.lacking.get(&key) else { return effects };
        for to in lacking {
            let records = vec![(key, record.clone())];
            effects.send(*to, Message::Repair { view: ctx.view(), records });
        }
        let again_ms = RESEND_INTERVALS * ctx.config.retransmit_interval_ms;
        self.timers.schedule(ctx.now_ms + again_ms, key);
        effects
    }

    pub(crate) fn handle_repaired(&mut self, from: NodeId, key: IdempotencyKey) -> Progress {
        let Some(lacking) = self.lacking.get_mut(&key) else { return Progress::Lacking };
        if !lacking.remove(&from) || !lacking.is_empty() {
            return Progress::Lacking;
        }
        self.lacking.remove(&key);
        Progress::Complete
    }

    /// The record is gone.
    pub(crate) fn forget(&mut self, key: IdempotencyKey) {
        self.lacking.remove(&key);
    }
}

#[cfg(test)]
mod tests;
