//! Sender of the local member's reports to each primary after a view change.
//!
//! Reports are sent in batches at a bounded rate, so that they do not displace request traffic on the network, and are
//! retransmitted in full until the primary has acknowledged them.

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

/// Interval between retransmissions of an unacknowledged report, in retransmit intervals.
const RESEND_INTERVALS: f64 = 4.0;
/// Maximum idle time, in milliseconds, whose unused batch quota may be used in one burst.
const MAX_BURST_MS: f64 = 1000.0;

/// Unsent part of a report to one primary.
#[derive(Clone, Debug, Default)]
struct PendingReport {
    keys: Vec<IdempotencyKey>,
    sent_count: u64,
}

/// Reports that the local member has not finished sending or that are not acknowledged. Times are in milliseconds.
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

    /// Starts the reports to all other members of a new view.
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

    /// Restarts the report to each member that has not acknowledged one. A report covers the keys whose primary is that
    /// member.
    fn restart(&mut self, ctx: &Context, replica: &Replica, executor: &Executor) -> Effects {
        self.resend_at_ms = ctx.now_ms + RESEND_INTERVALS * ctx.config.retransmit_interval_ms;
        self.pending = self.unacknowledged.iter().map(|id| (*id, PendingReport::default())).collect();
        let local_keys: BTreeSet<IdempotencyKey> = replica.keys().chain(executor.keys()).collect();
        for key in local_keys {
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

    /// Sends the next batch to a member. The last batch is followed by the total count, which ends the report.
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
        report.sent_count += reported;
        let (count, is_last) = (report.sent_count, report.keys.is_empty());
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
