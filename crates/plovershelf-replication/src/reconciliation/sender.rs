//! What the local member reports to each primary after a change of view: in batches at a bounded rate, so that reports do not
//! take the links from service, and again as a whole until the primary has acknowledged it.

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;

use super::collector::reported_keys;
use crate::context::Context;
use crate::effects::Effects;
use crate::executor::Executor;
use crate::message::Message;
use crate::placement::IdempotencyKey;
use crate::record::Record;
use crate::replica::Replica;

/// A report that is not acknowledged is sent again after this many retransmit intervals.
const RESEND_INTERVALS: f64 = 4.0;
/// Batches that were not sent while there was nothing to send may be made up for this long.
const MAX_BURST_MS: f64 = 1000.0;

/// A report on its way to one primary.
#[derive(Clone, Debug, Default)]
struct PendingReport {
    keys: Vec<IdempotencyKey>,
    sent: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct ReportSender {
    pending: BTreeMap<NodeId, PendingReport>,
    unacknowledged: BTreeSet<NodeId>,
    next_batch_at_ms: f64,
    resend_at_ms: f64,
}

impl ReportSender {
    pub(crate) fn new(now_ms: f64) -> Self {
        ReportSender {
            pending: BTreeMap::new(),
            unacknowledged: BTreeSet::new(),
            next_batch_at_ms: now_ms,
            resend_at_ms: now_ms,
        }
    }

    pub(crate) fn is_acknowledged(&self) -> bool {
        self.unacknowledged.is_empty()
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        let batch = if self.pending.is_empty() { f64::INFINITY } else { self.next_batch_at_ms };
        let resend = if self.unacknowledged.is_empty() { f64::INFINITY } else { self.resend_at_ms };
        batch.min(resend)
    }

    /// All other members of a new view are owed a report.
    pub(crate) fn handle_view_change(
        &mut self,
        ctx: &Context,
        replica: &Replica,
        executor: &Executor,
    ) -> Effects {
        self.unacknowledged = ctx.membership.others().collect();
        self.restart(ctx, replica, executor)
    }

    pub(crate) fn handle_acknowledged(&mut self, from: NodeId) {
        self.unacknowledged.remove(&from);
    }

    pub(crate) fn handle_timeout(
        &mut self,
        ctx: &Context,
        replica: &Replica,
        executor: &Executor,
    ) -> Effects {
        let mut effects = self.send_batches(ctx, replica, executor);
        if !self.unacknowledged.is_empty() && self.resend_at_ms <= ctx.now_ms {
            effects.append(self.restart(ctx, replica, executor));
        }
        effects
    }

    /// Begins the report to each member that has not acknowledged one: the keys whose primary it is.
    fn restart(&mut self, ctx: &Context, replica: &Replica, executor: &Executor) -> Effects {
        self.resend_at_ms = ctx.now_ms + RESEND_INTERVALS * ctx.config.retransmit_interval_ms;
        self.pending = self.unacknowledged.iter().map(|id| (*id, PendingReport::default())).collect();
        let known: BTreeSet<IdempotencyKey> = replica.keys().chain(executor.keys()).collect();
        for key in known {
            let primary = ctx.membership.primary(key);
            if let Some(report) = primary.and_then(|primary| self.pending.get_mut(&primary)) {
                report.keys.push(key);
            }
        }
        self.send_batches(ctx, replica, executor)
    }

    fn send_batches(&mut self, ctx: &Context, replica: &Replica, executor: &Executor) -> Effects {
        let mut effects = Effects::default();
        self.next_batch_at_ms = self.next_batch_at_ms.max(ctx.now_ms - MAX_BURST_MS);
        let receivers: Vec<NodeId> = self.pending.keys().copied().collect();
        for to in receivers {
            while self.next_batch_at_ms <= ctx.now_ms && self.pending.contains_key(&to) {
                effects.append(self.send_batch(ctx, to, replica, executor));
            }
        }
        effects
    }

    /// One batch to one member; after the last one the count of all, and the report is no longer pending.
    fn send_batch(&mut self, ctx: &Context, to: NodeId, replica: &Replica, executor: &Executor) -> Effects {
        let mut effects = Effects::default();
        let Some(report) = self.pending.get_mut(&to) else { return effects };
        let view = ctx.view();
        let batch: Vec<IdempotencyKey> =
            report.keys.drain(..report.keys.len().min(ctx.config.batch_size)).collect();
        let records: Vec<(IdempotencyKey, Record)> =
            batch.iter().filter_map(|key| Some((*key, replica.record(*key, ctx.now_ms)?))).collect();
        let active = executor.active(&batch.into_iter().collect());
        let reported = reported_keys(&records, &active).len() as u64;
        report.sent += reported;
        let (count, is_last) = (report.sent, report.keys.is_empty());
        if reported > 0 {
            self.next_batch_at_ms += ctx.config.batch_interval_ms();
            effects.send(to, Message::Report { view, records, active });
        }
        if is_last {
            self.pending.remove(&to);
            effects.send(to, Message::ReportComplete { view, count });
        }
        effects
    }
}

#[cfg(test)]
mod tests;
