//! One connection to an endpoint.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Connecting` | established, endpoint well | `Open` |
//! | `Connecting` | established, endpoint was lost or ejected | `Proving` |
//! | `Proving` | its health check is answered | `Open` |
//! | `Open` | another connection of the endpoint violated the protocol | `Proving` |
//! | any but `Connecting` | `closing` received | `Closing` |
//! | any | closed by either side; not established in time; health check not answered in time | gone |
//!
//! A connection takes attempts while it is `Open`, and is closed by the client once it is `Closing` and has none in flight.

use std::collections::{BTreeMap, BTreeSet};

use super::action::CallId;
use super::endpoint::EndpointId;
use crate::config::ClientConfig;

/// Cancelled attempts that are remembered, to tell a late answer from an answer to nothing.
const MAX_CANCELLED: usize = 256;
/// A connection takes no attempts beyond this number.
const MAX_SEQUENCE: i32 = 1 << 30;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Connecting,
    /// To an endpoint that was lost or failed: a health check comes first, so that no call has to find out.
    Proving,
    Open,
    Closing,
}

/// An attempt that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    pub(super) call: CallId,
    pub(super) sent_ms: f64,
}

/// What an answer belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) enum AnsweredAttempt {
    InFlight(SentAttempt),
    Cancelled,
    /// Nothing that was asked.
    Unknown,
}

/// A health check that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Probe {
    sequence: i32,
    sent_ms: f64,
}

/// What a periodic check finds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionCheck {
    InOrder,
    NotEstablishedInTime,
    ProbeDue,
    ProbeNotAnswered,
    Unused { for_ms: f64 },
}

#[derive(Debug)]
pub(super) struct Connection {
    endpoint: EndpointId,
    state: ConnectionState,
    state_since_ms: f64,
    in_flight: BTreeMap<i32, SentAttempt>,
    cancelled: BTreeSet<i32>,
    last_sequence: i32,
    received_ms: f64,
    used_ms: f64,
    closing_received_ms: Option<f64>,
    probe: Option<Probe>,
    has_answered: bool,
}

impl Connection {
    pub(super) fn new(endpoint: EndpointId, now_ms: f64) -> Self {
        Connection {
            endpoint,
            state: ConnectionState::Connecting,
            state_since_ms: now_ms,
            in_flight: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            last_sequence: 0,
            received_ms: now_ms,
            used_ms: now_ms,
            closing_received_ms: None,
            probe: None,
            has_answered: false,
        }
    }

    pub(super) fn endpoint(&self) -> EndpointId {
        self.endpoint
    }

    pub(super) fn state(&self) -> ConnectionState {
        self.state
    }

    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    pub(super) fn used_ms(&self) -> f64 {
        self.used_ms
    }

    pub(super) fn has_answered(&self) -> bool {
        self.has_answered
    }

    pub(super) fn closing_received_ms(&self) -> Option<f64> {
        self.closing_received_ms
    }

    pub(super) fn is_idle(&self) -> bool {
        self.state == ConnectionState::Open && self.in_flight.is_empty()
    }

    /// It is closing, and nothing is in flight any more.
    pub(super) fn is_drained(&self) -> bool {
        self.state == ConnectionState::Closing && self.in_flight.is_empty()
    }

    pub(super) fn has_capacity(&self, config: &ClientConfig) -> bool {
        self.state == ConnectionState::Open
            && self.in_flight.len() < config.max_in_flight_per_connection
            && self.last_sequence < MAX_SEQUENCE
    }

    pub(super) fn established(&mut self, now_ms: f64) {
        self.state = ConnectionState::Open;
        (self.state_since_ms, self.received_ms, self.used_ms) = (now_ms, now_ms, now_ms);
    }

    /// A health check has to be answered before it takes attempts.
    pub(super) fn require_proof(&mut self) {
        self.state = ConnectionState::Proving;
    }

    pub(super) fn closing_received(&mut self, now_ms: f64) {
        self.closing_received_ms = self.closing_received_ms.or(Some(now_ms));
        self.state = ConnectionState::Closing;
    }

    pub(super) fn received(&mut self, now_ms: f64) {
        self.received_ms = now_ms;
    }

    /// Puts an attempt in flight; hands back its sequence number.
    pub(super) fn send(&mut self, now_ms: f64, call: CallId) -> i32 {
        self.last_sequence += 1;
        self.in_flight.insert(self.last_sequence, SentAttempt { call, sent_ms: now_ms });
        self.used_ms = now_ms;
        self.last_sequence
    }

    pub(super) fn answered(&mut self, now_ms: f64, sequence: i32) -> AnsweredAttempt {
        if let Some(attempt) = self.in_flight.remove(&sequence) {
            (self.used_ms, self.has_answered) = (now_ms, true);
            AnsweredAttempt::InFlight(attempt)
        } else if self.cancelled.remove(&sequence) {
            AnsweredAttempt::Cancelled
        } else {
            AnsweredAttempt::Unknown
        }
    }

    /// Whether the attempt was in flight.
    pub(super) fn cancel(&mut self, now_ms: f64, sequence: i32) -> bool {
        if self.in_flight.remove(&sequence).is_none() {
            return false;
        }
        self.cancelled.insert(sequence);
        if self.cancelled.len() > MAX_CANCELLED {
            self.cancelled.pop_first();
        }
        self.used_ms = now_ms;
        true
    }

    /// The sequence number of a new health check, if one can be sent.
    pub(super) fn start_probe(&mut self, now_ms: f64) -> Option<i32> {
        if self.last_sequence >= MAX_SEQUENCE {
            return None;
        }
        self.last_sequence += 1;
        self.probe = Some(Probe { sequence: self.last_sequence, sent_ms: now_ms });
        Some(self.last_sequence)
    }

    pub(super) fn has_probe(&self) -> bool {
        self.probe.is_some()
    }

    /// Whether this is the answer to the health check that is waited for.
    pub(super) fn probe_answered(&mut self, sequence: i32) -> bool {
        if self.probe.is_none_or(|probe| probe.sequence != sequence) {
            return false;
        }
        (self.probe, self.has_answered) = (None, true);
        if self.state == ConnectionState::Proving {
            self.state = ConnectionState::Open;
        }
        true
    }

    pub(super) fn check(&mut self, now_ms: f64, config: &ClientConfig) -> ConnectionCheck {
        if self.state == ConnectionState::Connecting {
            let in_time = now_ms - self.state_since_ms < config.connect_timeout_ms;
            return if in_time { ConnectionCheck::InOrder } else { ConnectionCheck::NotEstablishedInTime };
        }
        // Anything received answers for an endpoint of which nothing is waited for.
        if self.probe.is_some_and(|probe| self.received_ms > probe.sent_ms) && self.is_idle() {
            self.probe = None;
        }
        if let Some(probe) = self.probe {
            let silent = self.received_ms < probe.sent_ms || self.state == ConnectionState::Proving;
            let overdue = now_ms - probe.sent_ms >= config.probe_timeout_ms && silent;
            return if overdue { ConnectionCheck::ProbeNotAnswered } else { ConnectionCheck::InOrder };
        }
        if let Some(oldest) = self.in_flight.values().next() {
            let silent_ms = now_ms - self.received_ms.max(oldest.sent_ms);
            let probe_due = silent_ms >= config.probe_after_ms;
            return if probe_due { ConnectionCheck::ProbeDue } else { ConnectionCheck::InOrder };
        }
        ConnectionCheck::Unused { for_ms: now_ms - self.used_ms }
    }

    /// What is in flight when it ends, by sequence number.
    pub(super) fn into_in_flight(self) -> BTreeMap<i32, SentAttempt> {
        self.in_flight
    }

    #[cfg(test)]
    pub(super) fn remembers_few_cancelled(&self) -> bool {
        self.cancelled.len() <= MAX_CANCELLED
    }
}

#[cfg(test)]
mod tests;
