//! The state machine of one member: its inputs from the local backend and from the cluster, and their dispatch to the
//! roles.
//!
//! Normal path of a keyed request:
//!
//! 1. [`Replicator::reserve`]: the executor sends `Reserve` to the key's primary, which orders and stores the reservation and
//!    replicates it. All replicas confirm it to the executor, which launches the request after one and a half round trips.
//! 2. [`Replicator::complete`]: the executor sends the outcome to all replicas. The backend answers once all have confirmed
//!    it, after one round trip.
//!
//! Every message includes the sender's view, and a member in a different view drops it. Therefore at most one view's replica
//! set can confirm a reservation or an outcome, without leases.
//!
//! A view change triggers [reconciliation](crate::reconciliation) and [repair](crate::repair). Before the view changes,
//! suspected replicas are [replaced](crate::replica_substitution). A member leaves by [handoff](crate::handoff).

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
use crate::reconciliation::{resolve, CollectedReports, KeyState, Reconciliation, ReportStatus, Resolution};
use crate::record::{Outcome, Record, RequestId, Reservation, ViewNumber};
use crate::repair::{Progress, Repair, RepairContent};
use crate::replica::{Expiry, RecordOutcomeRequest, Replica, StoreResult};
use crate::replica_substitution::{SuspectedMembers, Update};

/// Minimum delay in milliseconds until the next timeout, so that the driver's clock advances between two timeouts.
const MIN_TIMEOUT_MS: f64 = 1.0;

/// Replication state machine of one member, which acts as executor, primary and replica for any number of keys. All times are
/// in milliseconds on the driver's clock.
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
    /// Creates a member without a view. It rejects all reservations until [`update_view`](Self::update_view) is called.
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

    // ---- inputs from the local backend ---------------------------------------------------------------

    /// Starts the reservation of an admitted request's key and returns the request's id. The request may be launched once the
    /// reservation is replicated, at the latest at `deadline_ms`. Its outcome is retained for `retention_ms`. Progress is
    /// reported by [`Event`](crate::Event)s, exactly one of which ends the request.
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

    /// Records the outcome of the backend's run of a request and starts replicating it.
    pub fn complete(&mut self, now_ms: f64, request: RequestId, outcome: Outcome) {
        self.ctx.now_ms = now_ms;
        let effects = self.executor.complete(&self.ctx, request, outcome);
        self.apply(effects);
    }

    /// Releases a request that was reported as `Launch` but that the backend did not launch.
    pub fn cancel_launch(&mut self, now_ms: f64, request: RequestId) {
        self.ctx.now_ms = now_ms;
        let effects = self.executor.cancel_launch(&self.ctx, request);
        self.apply(effects);
    }

    /// Cancels a request whose client disconnected or whose deadline passed. It is released unless it was launched; a
    /// launched request is not affected.
    pub fn cancel(&mut self, now_ms: f64, request: RequestId) {
        self.ctx.now_ms = now_ms;
        let effects = self.executor.cancel(&self.ctx, request);
        self.apply(effects);
    }

    /// Starts the handoff of the local member, which requests permission to leave from all other members.
    pub fn start_handoff(&mut self, now_ms: f64) {
        self.ctx.now_ms = now_ms;
        self.handoff.start(now_ms);
    }

    // ---- inputs from the cluster, and timeouts -------------------------------------------------------

    /// Updates the suspected members. Reservations that wait for one of them are restarted with other replicas.
    pub fn update_suspected(&mut self, now_ms: f64, suspected: BTreeSet<NodeId>) {
        self.ctx.now_ms = now_ms;
        if self.ctx.suspected.update(suspected) == Update::Unchanged {
            return;
        }
        for request in self.executor.reserving_requests() {
            self.transmit(request);
        }
    }

    /// Installs a view committed by the cluster. Views that are not newer than the current one are ignored.
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

    /// Handles a message from another member.
    pub fn handle_message(&mut self, now_ms: f64, from: NodeId, message: Message) {
        self.ctx.now_ms = now_ms;
        // Drops messages of other views; the sender retransmits once both members are in the same view.
        if message.view() != self.ctx.view() || !self.ctx.membership.contains(from) {
            return;
        }
        self.dispatch(from, message);
    }

    /// Handles all due timeouts. It may be called at any time, at the latest when [`poll_timeout`](Self::poll_timeout) is due.
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

    // ---- outputs and queries -------------------------------------------------------------------------

    /// Returns the latest time at which [`handle_timeout`](Self::handle_timeout) must be called.
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

    /// Returns the actions produced since the last call.
    pub fn poll_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// Returns the current view; 0 before the first one.
    pub fn view(&self) -> ViewNumber {
        self.ctx.view()
    }

    /// Returns the settings.
    pub fn config(&self) -> &ReplicationConfig {
        &self.ctx.config
    }

    /// Returns whether this member has received all members' reports and orders reservations of all keys whose primary it is.
    pub fn is_reconciled(&self) -> bool {
        self.reconciliation.collector.is_reconciled()
    }

    /// Returns whether this member is leaving and may stop: its requests have ended and all other members permitted it.
    pub fn is_handoff_complete(&self) -> bool {
        self.executor.is_idle() && self.handoff.is_permitted(&self.ctx)
    }

    /// Returns the number of locally stored records.
    pub fn record_count(&self) -> usize {
        self.replica.len()
    }

    /// Returns the accounted size of the locally stored outcomes, in bytes.
    pub fn outcome_bytes(&self) -> usize {
        self.replica.outcome_bytes()
    }

    /// Returns the number of keys whose primary this member is and whose repair is not complete.
    pub fn under_replicated_count(&self) -> usize {
        self.repair.len()
    }

    /// Returns the number of the local backend's requests in each phase.
    pub fn request_counts(&self) -> RequestCounts {
        self.executor.counts()
    }

    /// Returns a key's replicas in the current view, the primary first.
    pub fn replica_set(&self, key: IdempotencyKey) -> Vec<NodeId> {
        self.ctx.membership.replica_set(key)
    }

    /// Returns the locally stored reservation of a key and its outcome, if any.
    pub fn find(&self, key: IdempotencyKey) -> Option<(Reservation, Option<&Outcome>)> {
        self.replica.get(key).map(|stored| (stored.reservation, stored.outcome.as_ref()))
    }

    /// Returns the locally stored record of a key.
    pub fn record(&self, key: IdempotencyKey) -> Option<Record> {
        self.replica.record(key, self.ctx.now_ms)
    }

    // ---- internal steps ------------------------------------------------------------------------------

    /// Applies effects in order. A message to the local member is handled immediately, before the effects that follow it.
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

    /// Passes a message to the role that handles it.
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
                let request = RecordOutcomeRequest { key, reservation, outcome, retention_ms };
                replica.handle_record_outcome(ctx, from, request)
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

    /// Handles an executor's confirmation that all replicas have stored its outcome.
    fn handle_outcome_replicated(
        &mut self,
        from: NodeId,
        key: IdempotencyKey,
        reservation: Reservation,
    ) -> Effects {
        let is_stored = self.replica.get(key).is_some_and(|stored| stored.reservation == reservation);
        if !is_stored || reservation.executor != from {
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

    /// Removes the record of a key and notifies the attempts that wait for it.
    fn release(&mut self, key: IdempotencyKey) -> Effects {
        let mut effects = Effects::default();
        self.replica.remove(key);
        self.repair.cancel(key);
        for waiter in self.primary.take_waiters(key) {
            effects.send(waiter.executor, Message::Released { view: self.ctx.view(), key });
        }
        effects
    }

    /// Handles a replica's confirmation of an outcome, for the local executor and for an ongoing repair.
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
            effects.append(self.handle_repair_progress(key, progress));
        }
        effects
    }

    fn handle_repaired(&mut self, from: NodeId, keys: Vec<IdempotencyKey>) -> Effects {
        let mut effects = Effects::default();
        for key in keys {
            let progress = self.repair.handle_repaired(from, key);
            effects.append(self.handle_repair_progress(key, progress));
        }
        effects
    }

    /// Sends an outcome to waiting attempts once its repair is complete. A completed repair of a reservation has no effect.
    fn handle_repair_progress(&mut self, key: IdempotencyKey, progress: Progress) -> Effects {
        if progress == Progress::Complete(RepairContent::Outcome) {
            self.primary.handle_outcome_replicated(&self.ctx, key, &mut self.replica)
        } else {
            Effects::default()
        }
    }

    /// Permits another member to leave once all keys whose primary is the local member are replicated without it.
    fn handle_request_leave(&mut self, from: NodeId) -> Effects {
        let may_store_records = self.ctx.membership.accepts_records(from);
        if may_store_records || !self.reconciliation.is_complete() || self.repair.len() > 0 {
            return Effects::default();
        }
        Effects::message(from, Message::PermitLeave { view: self.ctx.view() })
    }

    /// Adds the local member's own report to the collector: its records of the keys whose primary it is, and its active
    /// requests.
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

    /// Resolves each reported key once all members have reported, and repairs the keys with the fewest replicas first.
    fn reconcile(&mut self) {
        let Some(collected) = self.reconciliation.collector.finish(&self.ctx.membership) else { return };
        let CollectedReports { records, active } = collected;
        let mut records: Vec<(IdempotencyKey, Vec<(NodeId, Record)>)> = records.into_iter().collect();
        records.sort_by_key(|(_, reports)| reports.len());
        let interval_ms = self.ctx.config.batch_interval_ms() / self.ctx.config.batch_size as f64;
        for (index, (key, reports)) in records.into_iter().enumerate() {
            let stored = self.replica.record(key, self.ctx.now_ms);
            let state = KeyState { key, reports: &reports, stored: stored.as_ref(), active: &active };
            match resolve(&self.ctx, state) {
                Resolution::Unchanged => {}
                Resolution::Release => {
                    let effects = self.release(key);
                    self.apply(effects);
                }
                Resolution::Store(record) => {
                    self.start_repair(key, record, self.ctx.now_ms + interval_ms * index as f64);
                }
            }
        }
    }

    /// Stores the resolved record of a key and schedules its repair on the other replicas for `at_ms`.
    fn start_repair(&mut self, key: IdempotencyKey, record: Record, at_ms: f64) {
        let content = RepairContent::from_record(&record);
        if self.replica.store(&self.ctx, key, record) == StoreResult::Full {
            return;
        }
        let others = self.ctx.remote_replicas(self.ctx.membership.replica_set(key));
        let is_only_replica = others.is_empty();
        self.repair.start(key, content, others);
        self.repair.schedule(at_ms, key);
        if is_only_replica {
            let effects = self.primary.handle_outcome_replicated(&self.ctx, key, &mut self.replica);
            self.apply(effects);
        }
    }

    /// Handles due repairs and record expiries in order of time, at most one batch per call.
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
            Expiry::Retained(effects) => effects,
            Expiry::Removed => {
                self.primary.take_waiters(key);
                self.repair.cancel(key);
                Effects::default()
            }
        }
    }
}
