//! Validation and deduplication of a request before the backend decides, and its entry into the table of open
//! requests.

use std::ops::Range;

use plovershelf::api::{Idempotency, Request};
use plovershelf_codec::front::{self, ServerSignals};
use thiserror::Error;

use super::open_request::{LaunchState, OpenRequest, OutboundCall};
use super::replication::ReplicationStage;
use super::Driver;
use crate::broken;
use crate::deduplication::{body_hash, DeduplicationKey, Lookup, LookupResult, NO_OBJECT};
use crate::event::ConnectionId;

/// The reason for which the driver rejects a request before the backend decides on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RejectReason {
    /// The settings have no class of this name.
    #[error("no such class")]
    UnknownClass,
    /// The settings have no tenant of this name.
    #[error("no such tenant")]
    UnknownTenant,
    /// The connection has too many unanswered requests.
    #[error("too many are open on this connection")]
    TooManyOpen,
    /// The body is longer than the configured maximum.
    #[error("the body is too long")]
    BodyTooLong,
    /// Another open request has the same attempt id.
    #[error("the id is in use")]
    AttemptInUse,
    /// The agent is not up yet.
    #[error("not started yet")]
    NotStarted,
    /// The sent time is too far from the current time. Without this check a single request could distort the measured
    /// time in receive buffers.
    #[error("field \"s\" is out of bounds")]
    SentOutOfBounds,
    /// The key belongs to a request with another body, and that request has run.
    #[error("the key is another request's")]
    KeyInUse,
    /// The key belongs to a request with another body that has not run, so either of the two may be the faulty one.
    #[error("the key is another request's")]
    KeyReserved,
    /// The deduplication table is full, and a keyed request must not run without an entry in it.
    #[error("the deduplication table is full")]
    DeduplicationTableFull,
}

impl RejectReason {
    /// Returns whether the rejection may have a cause other than a fault of this client.
    pub(super) fn may_be_other_clients_fault(self) -> bool {
        matches!(
            self,
            RejectReason::AttemptInUse
                | RejectReason::NotStarted
                | RejectReason::KeyInUse
                | RejectReason::KeyReserved
        )
    }
}

/// A request frame received from a client.
pub(super) struct RequestFrame {
    pub(super) connection: ConnectionId,
    pub(super) seqid: i32,
    pub(super) attempt: plovershelf_codec::AttemptId,
    pub(super) frame: Vec<u8>,
    /// Range of the body within `frame`.
    pub(super) body: Range<usize>,
}

/// A validated request for the backend, with its deduplication key.
pub(super) struct CheckedRequest {
    request: Request,
    key: Option<DeduplicationKey>,
    body_hash: u64,
}

/// Result of looking a request up in the deduplication records.
struct Deduplicated {
    key: Option<DeduplicationKey>,
    body_hash: u64,
    duplicate_of: Option<u32>,
}

impl Driver {
    /// Validates a request and converts it into the backend's form.
    pub(super) fn check_request(
        &self,
        connection: ConnectionId,
        request: &front::Request<'_>,
    ) -> Result<CheckedRequest, RejectReason> {
        let class = self.startup.classes.place(request.class).ok_or(RejectReason::UnknownClass)?;
        let tenant = match self.startup.tenants.place(request.tenant) {
            Some(tenant) => tenant,
            None if self.startup.tenants.is_empty() => 0,
            None => return Err(RejectReason::UnknownTenant),
        };
        if self.connections[&connection].open_requests() >= self.limits.max_requests_per_connection {
            return Err(RejectReason::TooManyOpen);
        }
        if request.body.len() > self.limits.max_request_bytes {
            return Err(RejectReason::BodyTooLong);
        }
        if self.request_by_attempt.contains_key(&request.id) {
            return Err(RejectReason::AttemptInUse);
        }
        if self.backend.is_none() {
            return Err(RejectReason::NotStarted);
        }
        let max_age_ms = self.limits.max_request_age_ms;
        if !(self.now_ms - max_age_ms..=self.now_ms + max_age_ms).contains(&request.sent_ms) {
            return Err(RejectReason::SentOutOfBounds);
        }
        let arrived_ms = request.sent_ms.min(self.now_ms);
        let Deduplicated { key, body_hash, duplicate_of } = self.deduplicate(class, request, arrived_ms)?;
        let timeout_ms = request.timeout_ms.map(|timeout_ms| timeout_ms.min(self.limits.max_timeout_ms));
        let request = Request {
            id: 0,
            class,
            tenant,
            key: request.object,
            deadline_ms: timeout_ms.map(|timeout_ms| arrived_ms + timeout_ms),
            work_hint_ms: request.work_hint_ms,
            memory_kb: request.memory_kb,
            marked_retry: request.marked_retry,
            writes: request.object == NO_OBJECT,
            unread_ms: self.now_ms - arrived_ms,
            duplicate_of,
        };
        Ok(CheckedRequest { request, key, body_hash })
    }

    fn deduplicate(
        &self,
        class: usize,
        request: &front::Request<'_>,
        arrived_ms: f64,
    ) -> Result<Deduplicated, RejectReason> {
        let idempotency = self.startup.config.classes[class].idempotency;
        let is_keyed = idempotency == Idempotency::Keyed;
        let key = DeduplicationKey::new(class, idempotency, request.idempotency_key, request.object);
        let body_hash = key.as_ref().map_or(0, |_| body_hash(request.body));
        let max_age_ms = self.startup.config.shared_response_ms;
        let lookup = Lookup { body_hash, arrived_ms, is_keyed, max_age_ms };
        let lookup_key = key.as_ref().filter(|_| !broken::ignores_keys());
        let found = lookup_key.map(|key| self.deduplication.lookup(key, lookup));
        let (key, duplicate_of) = match found {
            Some(LookupResult::NoRecord) if self.deduplication.is_full() && is_keyed => {
                return Err(RejectReason::DeduplicationTableFull);
            }
            Some(LookupResult::NoRecord) if self.deduplication.is_full() => (None, None),
            None | Some(LookupResult::NoRecord) => (key, None),
            Some(LookupResult::DuplicateOf(owner)) => (key, Some(owner)),
            // A read with another body is unrelated to the recorded one: it runs without sharing a result.
            Some(LookupResult::OtherBody { .. }) if !is_keyed => (None, None),
            // Rejecting the request prevents a wrong response: the recorded result belongs to another body.
            Some(LookupResult::OtherBody { ran: true }) => return Err(RejectReason::KeyInUse),
            Some(LookupResult::OtherBody { ran: false }) => return Err(RejectReason::KeyReserved),
        };
        Ok(Deduplicated { key, body_hash, duplicate_of })
    }

    /// Adds a request to the table of open requests and requests the backend's decision.
    pub(super) fn open_request(&mut self, frame: RequestFrame, checked: CheckedRequest) {
        let RequestFrame { connection, seqid, attempt, frame, body } = frame;
        let CheckedRequest { mut request, key, body_hash } = checked;
        let bytes = frame.len() + self.limits.request_overhead_bytes;
        if self.open_bytes + bytes > self.limits.max_open_bytes {
            self.log_peer_error("open requests exceed the memory limit");
            self.send(connection, front::rejected(seqid, &ServerSignals::default()));
            return;
        }
        request.id = self.next_request_id();
        self.open_bytes += bytes;
        self.request_by_attempt.insert(attempt, request.id);
        if let Some(client) = self.connections.get_mut(&connection) {
            client.add_request(seqid, request.id);
        }
        let open = OpenRequest {
            attempt,
            connection,
            seqid,
            class: request.class,
            frame,
            body,
            arrived_ms: self.now_ms,
            is_answered: false,
            launch: LaunchState::None,
            is_run_reported: false,
            is_unacknowledged: false,
            call: OutboundCall::default(),
            result: Vec::new(),
            key,
            body_hash,
            replication: ReplicationStage::default(),
            provisional_outcome: None,
            is_failure_reported: false,
        };
        self.requests.insert(request.id, open);
        self.count_demand(request.class, request.work_hint_ms);
        self.decide(|backend, now_ms| backend.handle_request(now_ms, request));
    }

    fn next_request_id(&mut self) -> u32 {
        loop {
            self.last_request_id = self.last_request_id.wrapping_add(1);
            if self.last_request_id != 0 && !self.requests.contains_key(&self.last_request_id) {
                return self.last_request_id;
            }
        }
    }

    /// Counts demand for the cluster's traffic plan: core time per priority band, where a class's band follows from
    /// its value relative to the highest value of any class.
    fn count_demand(&mut self, class: usize, work_hint_ms: Option<f64>) {
        if self.heartbeat.is_none() {
            return;
        }
        let classes = &self.startup.config.classes;
        let max_value = classes.iter().map(|class| class.value).fold(0.0, f64::max);
        let rank = if max_value > 0.0 { classes[class].value / max_value } else { 0.0 };
        self.counters.demand_ms[plovershelf_failover::priority_band(rank)] +=
            work_hint_ms.unwrap_or(self.work_ms);
    }
}
