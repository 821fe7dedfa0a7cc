//! One member's part in replication: the inputs, in the order in which a driver calls them, and what they lead to.
//!
//! The ordinary path of a keyed request:
//!
//! 1. [`Replicator::reserve`]: the executor asks the key's primary, which orders the reservation among others, stores it and
//!    passes it to the other replicas. All confirm it to the executor, which launches: one and a half round trips.
//! 2. [`Replicator::complete`]: the executor sends the outcome to all replicas. When all have confirmed it the backend
//!    answers: one round trip.
//!
//! Every message carries the view under which it is sent, and a member in another view drops it: of two views' replica sets
//! at most one can confirm. No lease is needed for that.
//!
//! After a change of view come [reconciliation](crate::reconciliation) and [repair](crate::repair); until then a suspected
//! replica is [skipped](crate::skipping). A member leaves by [handoff](crate::handoff).

use std::collections::BTreeSet;

use plovershelf_cluster::NodeId;

use crate::config::ReplicationConfig;
use crate::context::Context;
use crate::effects::{Actions, Effect, Effects};
use crate::executor::{Executor, RequestCounts, ReservedReply};
use crate::handoff::Handoff;
use crate::membership::Membership;
use crate::message::Message;
use crate::placement::{IdempotencyKey, Member};
use crate::primary::{Primary, ReserveRequest};
use crate::reconciliation::{resolve, Collected, Evidence, Reconciliation, ReportStatus, Resolution};
use crate::record::{Outcome, Record, RequestId, Reservation, ViewNumber};
use crate::repair::{Progress, Repair, RepairContent};
use crate::replica::{Expiry, OutcomeReport, Replica, Stored};
use crate::skipping::{SuspectedMembers, Update};

/// A timeout is never nearer than this, so that a driver makes progress. Milliseconds.
const MIN_TIMEOUT_MS: f64 = 1.0;

/// The state machine of one member: executor, primary and replica of any number of keys. Times are in milliseconds on the
/// driver's clock.
#[derive(Clone, Debug)]
pub struct Replicator {
    ctx: Context,
    executor: Executor,
    primary: Primary,
    replica: Replica,
    reconciliation: Reconciliation,
    repair: Repair,
    handoff: Handoff,
    actions: Actions,
}

impl Replicator {
    /// A member that knows no view yet, and so takes no reservation.
    pub fn new(local: NodeId, config: ReplicationConfig, now_ms: f64) -> Self {
        let membership = Membership::new(local, config.replication_factor);
        Replicator {
            ctx: Context { now_ms, config, membership, suspected: SuspectedMembers::default() },
            executor: Executor::default(),
            primary: Primary::default(),
            replica: Replica::default(),
            reconciliation: Reconciliation::new(now_ms),
            repair: Repair::default(),
            handoff: Handoff::default(),
            actions: Actions::default(),
        }
    }

    // ---- inputs of the local backend -----------------------------------------------------------------

    /// A keyed request was admitted: it may be launched once its reservation is replicated, until `deadline_ms`. Its outcome is
    /// kept for `retention_ms`. What becomes of the returned request is told by [`Event`](crate::Event)s; exactly one of them ends it.
    pub fn reserve(
        &mut self,
        now_ms: f64,
        key: IdempotencyKey,
        deadline_ms: f64,
        retention_ms: f64,
    ) -> RequestId {
        self.ctx.now_ms = now_ms;
        let (request, effects) = self.executor.reserve(&self.ctx, key, deadline_ms, retention_ms);
        self.apply(effects);
        request
    }

    /// The backend's run of a request ended.
    pub fn complete(&mut self, now_ms: f64, request: RequestId, outcome: Outcome) {
        self.ctx.now_ms = now_ms;
        let effects = self.executor.complete(&self.ctx, request, outcome);
        self.apply(effects);
    }

    /// A request that was to be launched surely was not: it is released.
    pub fn cancel_launch(&mut self, now_ms: f64, request: RequestId) {
        self.ctx.now_ms = now_ms;
        let effects = self.executor.cancel_launch(&self.ctx, request);
        self.apply(effects);
    }

    /// The client is gone, or the deadline has come: a request that was not launched is released. A launched one is not changed.
    pub fn cancel(&mut self, now_ms: f64, request: RequestId) {
        self.ctx.now_ms = now_ms;
        let effects = self.executor.cancel(&self.ctx, request);
        self.apply(effects);
    }

    /// The local member leaves: it asks all others whether they have their replicas without it.
    pub fn start_handoff(&mut self, now_ms: f64) {
        self.ctx.now_ms = now_ms;
        self.handoff.start(now_ms);
    }

    // ---- inputs of the group -------------------------------------------------------------------------

    /// These members may be gone; reservations that wait for one of them are begun anew with others.
    pub fn update_suspected(&mut self, now_ms: f64, suspected: BTreeSet<NodeId>) {
        self.ctx.now_ms = now_ms;
        if self.ctx.suspected.update(suspected) == Update::Unchanged {
            return;
        }
        for request in self.executor.reserving_requests() {
            self.transmit(request);
        }
    }

    /// A view was agreed on. One that is not newer than the current one is ignored.
    pub fn update_view(&mut self, now_ms: f64, view: ViewNumber, members: Vec<Member>) {
        self.ctx.now_ms = now_ms;
        let current = self.ctx.view();
        if view <= current {
            return;
        }
        self.reconciliation.handle_view_change(current.is_followed_by(view));
        self.ctx.membership.update(view, members);
        self.repair.handle_view_change();
        self.executor.handle_view_change(now_ms);
        self.handoff.handle_view_change(now_ms);
        self.collect_local_report();
        let Self { ctx, reconciliation, replica, executor, .. } = self;
        let effects = reconciliation.sender.handle_view_change(ctx, replica, executor);
        self.apply(effects);
        for request in self.executor.all_requests() {
            self.transmit(request);
        }
        self.reconcile();
    }

    /// A message of another member has come.
    pub fn handle_message(&mut self, now_ms: f64, from: NodeId, message: Message) {
        self.ctx.now_ms = now_ms;
        // The fence between views: the sender sends it again under the view that both are in.
        if message.view() != self.ctx.view() || !self.ctx.membership.contains(from) {
            return;
        }
        self.dispatch(from, message);
    }

    /// The time of [`poll_timeout`](Self::poll_timeout) has come, or any other.
    pub fn handle_timeout(&mut self, now_ms: f64) {
        self.ctx.now_ms = now_ms;
        for request in self.executor.due_requests(now_ms) {
            let effects = self.executor.handle_timeout(&self.ctx, request);
            self.apply(effects);
        }
        let Self { ctx, reconciliation, replica, executor, .. } = self;
        let effects = reconciliation.sender.handle_timeout(ctx, replica, executor);
        self.apply(effects);
        self.handle_key_timers();
        let effects = self.handoff.handle_timeout(&self.ctx);
        self.apply(effects);
    }

    // ---- what the driver asks ------------------------------------------------------------------------

    /// When [`handle_timeout`](Self::handle_timeout) is due at the latest.
    pub fn poll_timeout(&self) -> f64 {
        [
            self.executor.poll_timeout(),
            self.reconciliation.sender.poll_timeout(),
            self.repair.poll_timeout(),
            self.replica.next_expiry(),
            self.handoff.poll_timeout(),
        ]
        .into_iter()
        .fold(f64::INFINITY, f64::min)
        .max(self.ctx.now_ms + MIN_TIMEOUT_MS)
    }

    /// What is to be carried out since the last call.
    pub fn poll_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// The current view; 0 before the first one.
    pub fn view(&self) -> ViewNumber {
        self.ctx.view()
    }

    /// The settings.
    pub fn config(&self) -> &ReplicationConfig {
        &self.ctx.config
    }

    /// Whether this member orders all keys whose primary it is, or still waits for others' reports.
    pub fn is_reconciled(&self) -> bool {
        self.reconciliation.collector.is_reconciled()
    }

    /// Whether this member leaves and may go: its requests have ended and all others have their replicas without it.
    pub fn is_handoff_complete(&self) -> bool {
        self.executor.is_idle() && self.handoff.is_permitted(&self.ctx)
    }

    /// Records stored here.
    pub fn record_count(&self) -> usize {
        self.replica.len()
    }

    /// Bytes that their outcomes are counted with.
    pub fn outcome_bytes(&self) -> usize {
        self.replica.outcome_bytes()
    }

    /// Keys whose primary this member is and that lack replicas.
    pub fn under_replicated_count(&self) -> usize {
        self.repair.len()
    }

    /// The requests of the local backend.
    pub fn request_counts(&self) -> RequestCounts {
        self.executor.counts()
    }

    /// Where the current view places a key, its primary in front.
    pub fn replica_set(&self, key: IdempotencyKey) -> Vec<NodeId> {
        self.ctx.membership.replica_set(key)
    }

    /// Who holds a key by what is stored here, and how it ended.
    pub fn find(&self, key: IdempotencyKey) -> Option<(Reservation, Option<&Outcome>)> {
        self.replica.get(key).map(|stored| (stored.reservation, stored.outcome.as_ref()))
    }

    /// What is stored of a key here.
    pub fn record(&self, key: IdempotencyKey) -> Option<Record> {
        self.replica.record(key, self.ctx.now_ms)
    }

    // ---- steps ---------------------------------------------------------------------------------------

    /// Carries effects out in order. A message to the local member is handled at once, before the effects that follow it.
    fn apply(&mut self, effects: Effects) {
        for effect in effects.0 {
            match effect {
                Effect::Emit(event) => self.actions.events.push(event),
                Effect::Send(to, message) if to == self.ctx.local() => {
                    self.handle_message(self.ctx.now_ms, to, message);
                }
                Effect::Send(to, message) => self.actions.messages.push((to, message)),
            }
        }
    }

    /// To the role that a message is for.
    fn dispatch(&mut self, from: NodeId, message: Message) {
        let Self { ctx, executor, replica, .. } = self;
        let effects = match message {
            Message::Reserve { key, reservation, round, retention_ms, .. } => {
                self.handle_reserve(from, ReserveRequest { key, reservation, round, retention_ms })
            }
            Message::Replicate { key, record, .. } => replica.handle_replicate(ctx, from, key, record),
            Message::Reserved { key, reservation, round, replica_set, .. } => {
                executor.handle_reserved(ctx, from, ReservedReply { key, reservation, round, replica_set })
            }
            Message::HeldByAnother { key, reservation, outcome, .. } => {
                executor.handle_held_by_another(ctx, from, (key, reservation), outcome)
            }
            Message::Released { key, .. } => executor.handle_released(ctx, from, key),
            Message::RecordOutcome { key, reservation, outcome, retention_ms, .. } => {
                let report = OutcomeReport { key, reservation, outcome, retention_ms };
                replica.handle_record_outcome(ctx, from, report)
            }
            Message::OutcomeRecorded { key, reservation, outcome, .. } => {
                self.handle_outcome_recorded(from, key, reservation, outcome)
            }
            Message::OutcomeReplicated { key, reservation, .. } => {
                self.handle_outcome_replicated(from, key, reservation)
            }
            Message::Release { key, reservation, .. } => self.handle_release(from, key, reservation),
            Message::ProbeReservation { key, reservation, .. } => {
                executor.handle_probe(ctx, from, key, reservation)
            }
            Message::Report { records, active, .. } => {
                let status = self.reconciliation.collector.handle_report(from, records, active);
                return self.acknowledge_report(from, status);
            }
            Message::ReportComplete { count, .. } => {
                let status = self.reconciliation.collector.handle_report_complete(from, count);
                return self.acknowledge_report(from, status);
            }
            Message::ReportAcknowledged { .. } => {
                return self.reconciliation.sender.handle_acknowledged(from);
            }
            Message::Repair { records, .. } => replica.handle_repair(ctx, from, records),
            Message::Repaired { keys, .. } => self.handle_repaired(from, keys),
            Message::RequestLeave { .. } => self.handle_request_leave(from),
            Message::PermitLeave { .. } => return self.handoff.handle_permit(from),
        };
        self.apply(effects);
    }

    fn transmit(&mut self, request: RequestId) {
        let effects = self.executor.transmit(&self.ctx, request);
        self.apply(effects);
    }

    fn handle_reserve(&mut self, from: NodeId, request: ReserveRequest) -> Effects {
        let Self { ctx, primary, replica, reconciliation, repair, .. } = self;
        let valid = ctx.membership.is_primary(request.key) && request.reservation.executor == from;
        if !valid || !reconciliation.may_order(&ctx.membership, request.key) {
            return Effects::default();
        }
        primary.handle_reserve(ctx, request, replica, repair)
    }

    /// An executor says that all replicas have its outcome.
    fn handle_outcome_replicated(
        &mut self,
        from: NodeId,
        key: IdempotencyKey,
        reservation: Reservation,
    ) -> Effects {
        let stored = self.replica.get(key).is_some_and(|stored| stored.reservation == reservation);
        if !stored || reservation.executor != from {
            return Effects::default();
        }
        self.primary.handle_outcome_replicated(&self.ctx, key, &mut self.replica)
    }

    fn handle_release(&mut self, from: NodeId, key: IdempotencyKey, reservation: Reservation) -> Effects {
        if self.replica.may_release(from, key, reservation) {
            self.release(key)
        } else {
            Effects::default()
        }
    }

    /// A key is free again: those that wait are told.
    fn release(&mut self, key: IdempotencyKey) -> Effects {
        let mut effects = Effects::default();
        self.replica.remove(key);
        self.repair.forget(key);
        for waiter in self.primary.forget(key) {
            effects.send(waiter.executor, Message::Released { view: self.ctx.view(), key });
        }
        effects
    }

    /// A replica stores an outcome: the local executor may have asked for it, or the repair of a key.
    fn handle_outcome_recorded(
        &mut self,
        from: NodeId,
        key: IdempotencyKey,
        reservation: Reservation,
        outcome: Outcome,
    ) -> Effects {
        let is_stored_here = self.replica.get(key).is_some_and(|stored| {
            stored.reservation == reservation && stored.outcome.as_ref() == Some(&outcome)
        });
        let mut effects = self.executor.handle_outcome_recorded(&self.ctx, from, (key, reservation), outcome);
        if is_stored_here {
            let progress = self.repair.handle_outcome_recorded(from, key);
            effects.append(self.after_repair(key, progress));
        }
        effects
    }

    fn handle_repaired(&mut self, from: NodeId, keys: Vec<IdempotencyKey>) -> Effects {
        let mut effects = Effects::default();
        for key in keys {
            let progress = self.repair.handle_repaired(from, key);
            effects.append(self.after_repair(key, progress));
        }
        effects
    }

    /// Only the confirmation of an outcome lets others be answered with it.
    fn after_repair(&mut self, key: IdempotencyKey, progress: Progress) -> Effects {
        if progress == Progress::Complete(RepairContent::Outcome) {
            self.primary.handle_outcome_replicated(&self.ctx, key, &mut self.replica)
        } else {
            Effects::default()
        }
    }

    /// Another member leaves: it may go once all keys whose primary the local member is have their replicas without it.
    fn handle_request_leave(&mut self, from: NodeId) -> Effects {
        let may_hold_records = self.ctx.membership.accepts_records(from);
        if may_hold_records || !self.reconciliation.is_complete() || self.repair.len() > 0 {
            return Effects::default();
        }
        Effects::message(from, Message::PermitLeave { view: self.ctx.view() })
    }

    /// What the local member stores of its own keys, and all that it executes.
    fn collect_local_report(&mut self) {
        let Self { ctx, reconciliation, replica, executor, .. } = self;
        let own = replica.keys().filter(|key| ctx.membership.is_primary(*key));
        let records = own.filter_map(|key| Some((key, replica.record(key, ctx.now_ms)?))).collect();
        let active = executor.active(&executor.keys().collect());
        reconciliation.collector.add_local(ctx.local(), records, active);
    }

    fn acknowledge_report(&mut self, from: NodeId, status: ReportStatus) {
        if status == ReportStatus::Complete {
            self.apply(Effects::message(from, Message::ReportAcknowledged { view: self.ctx.view() }));
            self.reconcile();
        }
    }

    /// Once all members have reported: each key is resolved, and those with fewest replicas left are repaired first.
    fn reconcile(&mut self) {
        let Some(collected) = self.reconciliation.collector.finish(&self.ctx.membership) else { return };
        let Collected { records, active } = collected;
        let mut records: Vec<(IdempotencyKey, Vec<(NodeId, Record)>)> = records.into_iter().collect();
        records.sort_by_key(|(_, reports)| reports.len());
        let interval_ms = self.ctx.config.batch_interval_ms() / self.ctx.config.batch_size as f64;
        for (place, (key, reports)) in records.into_iter().enumerate() {
            let stored = self.replica.record(key, self.ctx.now_ms);
            let evidence = Evidence { key, reports: &reports, stored: stored.as_ref(), active: &active };
            match resolve(&self.ctx, evidence) {
                Resolution::Unchanged => {}
                Resolution::Release => {
                    let effects = self.release(key);
                    self.apply(effects);
                }
                Resolution::Store(record) => {
                    self.start_repair(key, record, self.ctx.now_ms + interval_ms * place as f64);
                }
            }
        }
    }

    /// Stores what a key was resolved to, and has its other replicas store it from `at_ms` on.
    fn start_repair(&mut self, key: IdempotencyKey, record: Record, at_ms: f64) {
        let content = RepairContent::of(&record);
        if self.replica.store(&self.ctx, key, record) == Stored::Full {
            return;
        }
        let lacking = self.ctx.remote(self.ctx.membership.replica_set(key));
        let is_only_replica = lacking.is_empty();
        self.repair.start(key, content, lacking);
        self.repair.schedule(at_ms, key);
        if is_only_replica {
            let effects = self.primary.handle_outcome_replicated(&self.ctx, key, &mut self.replica);
            self.apply(effects);
        }
    }

    /// Repairs and expiries that are due, in the order of their times and no more than a batch.
    fn handle_key_timers(&mut self) {
        for _ in 0..self.ctx.config.batch_size {
            let (repair_at_ms, expiry_at_ms) = (self.repair.poll_timeout(), self.replica.next_expiry());
            if repair_at_ms.min(expiry_at_ms) > self.ctx.now_ms {
                return;
            }
            let effects = if repair_at_ms <= expiry_at_ms { self.send_repair() } else { self.expire() };
            self.apply(effects);
        }
    }

    fn send_repair(&mut self) -> Effects {
        let Some(key) = self.repair.pop_due() else { return Effects::default() };
        match self.replica.record(key, self.ctx.now_ms) {
            Some(record) => self.repair.send(&self.ctx, key, &record),
            None => Effects::default(),
        }
    }

    fn expire(&mut self) -> Effects {
        let Some(key) = self.replica.pop_expiry() else { return Effects::default() };
        match self.replica.handle_expiry(&self.ctx, key) {
            Expiry::Kept(effects) => effects,
            Expiry::Forgotten => {
                self.primary.forget(key);
                self.repair.forget(key);
                Effects::default()
            }
        }
    }
}
