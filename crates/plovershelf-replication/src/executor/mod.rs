//! The executor role: drives each keyed request of the local backend from reservation to answer.
//!
//! The executor launches a request only after *all* replicas have confirmed its reservation and answers it only after all
//! have confirmed its outcome. Therefore a replica without a record proves that the request was never launched, and an
//! answered outcome survives the loss of all replicas but one.
//!
//! | phase | event | next |
//! | --- | --- | --- |
//! | reserving | all replicas have confirmed | running, `Launch` |
//! | reserving | a replica that has not confirmed is suspected | reserving, in the next round |
//! | reserving | another attempt holds the key | waiting |
//! | reserving, waiting | another attempt's outcome arrives | ended, `AlreadyCompleted` |
//! | reserving, waiting | cancelled or expired | ended, released, `Rejected` |
//! | waiting | the key is free, or a retransmitted `Reserve` was accepted | reserving |
//! | running | the backend's run ended | completing |
//! | running | a replica reports an outcome chosen by reconciliation | completing with that outcome |
//! | running | launch cancelled | ended, released, `Rejected` |
//! | completing | a replica reports a different outcome | completing with that outcome; confirmations are discarded |
//! | completing | retransmission after `min_replicas` have confirmed | completing, `OutcomeProvisional` |
//! | completing | all replicas have confirmed | ended, `OutcomeReplicated` |
//! | completing | the retention time has expired | ended, `OutcomeReplicated` with `Outcome::InDoubt` |
//! | reserving, completing | view change | the same phase; confirmations are discarded |

mod request;

use std::collections::{BTreeMap, BTreeSet};

use plovershelf_cluster::NodeId;

use self::request::{Deadlines, Phase, Request};
use crate::broken::{self, BrokenRule};
use crate::context::Context;
use crate::effects::{Effects, Event};
use crate::message::Message;
use crate::placement::IdempotencyKey;
use crate::record::{Outcome, RequestId, Reservation, Round};

/// Number of the local backend's requests in each phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests whose reservation is being replicated.
    pub reserving: u64,
    /// Requests that wait for another attempt's outcome.
    pub waiting: u64,
    /// Requests that were launched and have not ended.
    pub running: u64,
    /// Requests whose outcome is being replicated.
    pub completing: u64,
}

/// Contents of a replica's `Reserved` message.
#[derive(Clone, Debug)]
pub(crate) struct ReservedReply {
    pub(crate) key: IdempotencyKey,
    pub(crate) reservation: Reservation,
    pub(crate) round: Round,
    pub(crate) replica_set: Vec<NodeId>,
}

/// Executor role of the local member: the requests of its backend.
#[derive(Clone, Debug, Default)]
pub(crate) struct Executor {
    requests: BTreeMap<RequestId, Request>,
    by_key: BTreeMap<IdempotencyKey, BTreeSet<RequestId>>,
    last_request: u64,
}

impl Executor {
    // ---- queries -------------------------------------------------------------------------------------

    pub(crate) fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn counts(&self) -> RequestCounts {
        let mut counts = RequestCounts::default();
        for request in self.requests.values() {
            match request.phase {
                Phase::Reserving { .. } => counts.reserving += 1,
                Phase::Waiting => counts.waiting += 1,
                Phase::Running => counts.running += 1,
                Phase::Completing { .. } => counts.completing += 1,
            }
        }
        counts
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = IdempotencyKey> + '_ {
        self.requests.values().map(|request| request.key)
    }

    /// Returns the reservations of the given keys that are reserving, running or completing; waiting ones are excluded.
    pub(crate) fn active(&self, keys: &BTreeSet<IdempotencyKey>) -> Vec<(IdempotencyKey, Reservation)> {
        let active = |request: &&Request| request.phase != Phase::Waiting && keys.contains(&request.key);
        self.requests.values().filter(active).map(|request| (request.key, request.reservation)).collect()
    }

    pub(crate) fn all_requests(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    pub(crate) fn reserving_requests(&self) -> Vec<RequestId> {
        let reserving = |request: &Request| matches!(request.phase, Phase::Reserving { .. });
        self.requests.iter().filter(|(_, request)| reserving(request)).map(|(id, _)| *id).collect()
    }

    pub(crate) fn due_requests(&self, now_ms: f64) -> Vec<RequestId> {
        let due = |request: &Request| request.next_timeout_ms() <= now_ms;
        self.requests.iter().filter(|(_, request)| due(request)).map(|(id, _)| *id).collect()
    }

    pub(crate) fn poll_timeout(&self) -> f64 {
        self.requests.values().map(Request::next_timeout_ms).fold(f64::INFINITY, f64::min)
    }

    // ---- inputs from the local backend ---------------------------------------------------------------

    pub(crate) fn reserve(
        &mut self,
        ctx: &Context,
        key: IdempotencyKey,
        deadline_ms: f64,
        retention_ms: f64,
    ) -> (RequestId, Effects) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let reservation = Reservation { executor: ctx.local(), request: id };
        let request = Request::new(ctx, key, reservation, Deadlines { deadline_ms, retention_ms });
        self.requests.insert(id, request);
        self.by_key.entry(key).or_default().insert(id);
        let has_enough_replicas = ctx.membership.replica_set(key).len() >= ctx.config.required_replicas();
        let effects =
            if has_enough_replicas { self.transmit(ctx, id) } else { self.finish(id, Event::Rejected(id)) };
        (id, effects)
    }

    pub(crate) fn complete(&mut self, ctx: &Context, id: RequestId, outcome: Outcome) -> Effects {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.phase == Phase::Running)
        else {
            return Effects::default();
        };
        request.start_completing(ctx.now_ms, Phase::completing(outcome));
        self.transmit(ctx, id)
    }

    /// Releases a request that was reported as `Launch` but that the backend did not launch.
    pub(crate) fn cancel_launch(&mut self, ctx: &Context, id: RequestId) -> Effects {
        match self.requests.get_mut(&id) {
            Some(request) if request.phase == Phase::Running => {
                request.phase = Phase::Waiting;
                self.abort(ctx, id)
            }
            _ => Effects::default(),
        }
    }

    /// Releases a request whose client no longer waits for it. Launched requests are not affected.
    pub(crate) fn cancel(&mut self, ctx: &Context, id: RequestId) -> Effects {
        match self.requests.get(&id) {
            Some(request) if request.phase.is_unlaunched() => self.abort(ctx, id),
            _ => Effects::default(),
        }
    }

    // ---- inputs from the cluster, and timeouts -------------------------------------------------------

    pub(crate) fn handle_view_change(&mut self, now_ms: f64) {
        for request in self.requests.values_mut() {
            request.discard_confirmations(now_ms);
        }
    }

    pub(crate) fn handle_timeout(&mut self, ctx: &Context, id: RequestId) -> Effects {
        let expired =
            |request: &Request| request.expires_at_ms() <= ctx.now_ms && request.phase != Phase::Running;
        if self.requests.get(&id).is_some_and(expired) {
            self.abort(ctx, id)
        } else {
            self.transmit(ctx, id)
        }
    }

    /// Records a replica's confirmation of a reservation and launches the request once all replicas have confirmed.
    pub(crate) fn handle_reserved(&mut self, ctx: &Context, from: NodeId, reply: ReservedReply) -> Effects {
        let ReservedReply { key, reservation, round, replica_set } = reply;
        let valid =
            replica_set.contains(&from) && replica_set.first() == ctx.membership.primary(key).as_ref();
        let Some(id) = self.find_request(ctx, key, reservation).filter(|_| valid) else {
            return Effects::default();
        };
        let Some(request) = self.requests.get_mut(&id) else { return Effects::default() };
        if round != request.round() || !request.phase.is_unlaunched() {
            return Effects::default();
        }
        request.assign(ctx.view(), replica_set.clone());
        // The `Released` message was lost, and the primary accepted a retransmitted `Reserve` after the key became free.
        if request.phase == Phase::Waiting {
            request.phase = Phase::reserving();
        }
        let Phase::Reserving { confirmed } = &mut request.phase else { return Effects::default() };
        confirmed.insert(from);
        if is_confirmed(&replica_set, confirmed, BrokenRule::LaunchBeforeReserved) {
            request.phase = Phase::Running;
            return Effects::event(Event::Launch(id));
        }
        Effects::default()
    }

    /// Ends a request with the other attempt's outcome, or lets it wait while that attempt holds the key.
    pub(crate) fn handle_held_by_another(
        &mut self,
        ctx: &Context,
        from: NodeId,
        (key, reservation): (IdempotencyKey, Reservation),
        outcome: Option<Outcome>,
    ) -> Effects {
        let from_primary = ctx.membership.primary(key) == Some(from);
        let Some(id) = self.find_request(ctx, key, reservation).filter(|_| from_primary) else {
            return Effects::default();
        };
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.phase.is_unlaunched()) else {
            return Effects::default();
        };
        match outcome {
            Some(outcome) => self.finish(id, Event::AlreadyCompleted(id, outcome)),
            None => {
                request.phase = Phase::Waiting;
                Effects::default()
            }
        }
    }

    /// Restarts the reservation of all local requests that wait for a key that is now free.
    pub(crate) fn handle_released(&mut self, ctx: &Context, from: NodeId, key: IdempotencyKey) -> Effects {
        let mut effects = Effects::default();
        if ctx.membership.primary(key) != Some(from) {
            return effects;
        }
        let ids: Vec<RequestId> = self.by_key.get(&key).into_iter().flatten().copied().collect();
        for id in ids {
            if let Some(request) =
                self.requests.get_mut(&id).filter(|request| request.phase == Phase::Waiting)
            {
                request.restart_reservation(ctx);
                effects.append(self.transmit(ctx, id));
            }
        }
        effects
    }

    /// Records a replica's confirmation of an outcome. If the confirmed outcome differs from the local one, reconciliation
    /// chose it while this member was outside the view, and it replaces the local outcome.
    pub(crate) fn handle_outcome_recorded(
        &mut self,
        ctx: &Context,
        from: NodeId,
        (key, reservation): (IdempotencyKey, Reservation),
        recorded: Outcome,
    ) -> Effects {
        let Some(id) = self.find_request(ctx, key, reservation) else { return Effects::default() };
        let Some(request) = self.requests.get_mut(&id) else { return Effects::default() };
        let replica_set = request.replica_set(ctx);
        if !replica_set.contains(&from) {
            return Effects::default();
        }
        match &mut request.phase {
            Phase::Completing { outcome, confirmed } => {
                if *outcome != recorded {
                    (*outcome, *confirmed) = (recorded, BTreeSet::new());
                }
                confirmed.insert(from);
                if !is_confirmed(&replica_set, confirmed, BrokenRule::AnswerBeforeReplicated) {
                    return Effects::default();
                }
                let event = Event::OutcomeReplicated(id, outcome.clone());
                let mut effects = self.finish(id, event);
                if let Some(primary) = replica_set.first().copied() {
                    effects.send(primary, Message::OutcomeReplicated { view: ctx.view(), key, reservation });
                }
                effects
            }
            Phase::Running => {
                let confirmed = BTreeSet::from([from]);
                request.start_completing(ctx.now_ms, Phase::Completing { outcome: recorded, confirmed });
                Effects::default()
            }
            Phase::Reserving { .. } | Phase::Waiting => Effects::default(),
        }
    }

    /// Answers a replica's probe with `Release` if the request no longer exists.
    pub(crate) fn handle_probe(
        &self,
        ctx: &Context,
        from: NodeId,
        key: IdempotencyKey,
        reservation: Reservation,
    ) -> Effects {
        if reservation.executor == ctx.local() && self.find_request(ctx, key, reservation).is_none() {
            Effects::message(from, Message::Release { view: ctx.view(), key, reservation })
        } else {
            Effects::default()
        }
    }

    /// Sends the message of a request's current phase to the members that have not confirmed it.
    pub(crate) fn transmit(&mut self, ctx: &Context, id: RequestId) -> Effects {
        let mut effects = Effects::default();
        let Some(request) = self.requests.get_mut(&id) else { return effects };
        request.postpone_retransmission(ctx);
        if let Some(outcome) = request.provisional_outcome(ctx.config.min_replicas) {
            effects.emit(Event::OutcomeProvisional(id, outcome));
        }
        request.restart_round_if_blocked(ctx);
        match &request.phase {
            Phase::Reserving { .. } | Phase::Waiting => {
                if let Some(primary) = ctx.membership.primary(request.key) {
                    effects.send(primary, request.reserve_message(ctx));
                }
            }
            Phase::Running => {}
            Phase::Completing { outcome, confirmed } => {
                for replica in request.replica_set(ctx).into_iter().filter(|id| !confirmed.contains(id)) {
                    effects.send(replica, request.record_outcome_message(ctx, outcome.clone()));
                }
            }
        }
        effects
    }

    // ---- internal steps ------------------------------------------------------------------------------

    /// Returns the local request that a reservation belongs to, if it still exists.
    fn find_request(
        &self,
        ctx: &Context,
        key: IdempotencyKey,
        reservation: Reservation,
    ) -> Option<RequestId> {
        let request = self.requests.get(&reservation.request)?;
        let matches =
            reservation.executor == ctx.local() && request.key == key && request.reservation == reservation;
        matches.then_some(reservation.request)
    }

    /// Ends a request that expired or was cancelled. An unlaunched request is released at all replicas.
    fn abort(&mut self, ctx: &Context, id: RequestId) -> Effects {
        let Some(request) = self.requests.get(&id) else { return Effects::default() };
        match request.phase {
            Phase::Reserving { .. } | Phase::Waiting => {
                let (replicas, release) = (request.possible_replicas(ctx), request.release_message(ctx));
                let mut effects = self.finish(id, Event::Rejected(id));
                for replica in replicas {
                    effects.send(replica, release.clone());
                }
                effects
            }
            // Not all replicas confirmed within the retention time, after which no client requests the outcome.
            Phase::Completing { .. } => self.finish(id, Event::OutcomeReplicated(id, Outcome::InDoubt)),
            Phase::Running => Effects::default(),
        }
    }

    /// Removes a request and emits its final event. All removals go through here, so each request ends with exactly one event.
    fn finish(&mut self, id: RequestId, event: Event) -> Effects {
        let Some(request) = self.requests.remove(&id) else { return Effects::default() };
        if let Some(ids) = self.by_key.get_mut(&request.key) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_key.remove(&request.key);
            }
        }
        Effects::event(event)
    }
}

/// Returns whether all replicas have confirmed. If a test violates `rule`, the primary's confirmation suffices.
fn is_confirmed(replica_set: &[NodeId], confirmed: &BTreeSet<NodeId>, rule: BrokenRule) -> bool {
    let by_primary = || replica_set.first().is_some_and(|primary| confirmed.contains(primary));
    replica_set.iter().all(|replica| confirmed.contains(replica)) || broken::is(rule) && by_primary()
}

#[cfg(test)]
mod tests;
