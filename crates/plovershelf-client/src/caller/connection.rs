//! State of a connection to an endpoint.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Connecting` | established; the endpoint is healthy | `Open` |
//! | `Connecting` | established; the endpoint was lost or ejected | `HealthChecking` |
//! | `HealthChecking` | response to the health check received | `Open` |
//! | `Open` | another connection of the endpoint violated the protocol | `HealthChecking` |
//! | any but `Connecting` | `closing` received | `Closing` |
//! | any | closed by either side; connect timeout; health check timeout | removed |
//!
//! A connection takes attempts only while it is `Open`. The client closes a `Closing` connection once it has
//! no attempt in flight.

use std::collections::{BTreeMap, BTreeSet};

use super::action::CallId;
use super::endpoint::EndpointId;
use crate::config::ClientConfig;

/// Number of cancelled attempts that a connection records, to distinguish a late response from one that
/// matches no attempt.
const MAX_CANCELLED: usize = 256;
/// Highest sequence number. A connection that has reached it takes no more attempts.
const MAX_SEQUENCE: i32 = 1 << 30;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Connecting,
    /// The endpoint was lost or failed, so a health check must succeed before the connection takes attempts.
    /// Otherwise calls would fail at an endpoint that is still unavailable.
    HealthChecking,
    Open,
    Closing,
}

/// An attempt that waits for its response.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    pub(super) call: CallId,
    pub(super) sent_ms: f64,
}

/// The attempt that a response belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) enum AnsweredAttempt {
    InFlight(SentAttempt),
    Cancelled,
    /// No attempt with this sequence number was sent, or a response to it was already received.
    Unknown,
}

/// A health check that waits for its response.
#[derive(Clone, Copy, Debug)]
struct Probe {
    sequence: i32,
    sent_ms: f64,
}

/// Result of a periodic check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionCheck {
    Ok,
    ConnectTimedOut,
    /// Nothing was received for too long while attempts are in flight.
    ProbeDue,
    ProbeTimedOut,
    /// The connection has had no attempt in flight for `for_ms`.
    Unused {
        for_ms: f64,
    },
}

#[derive(Debug)]
pub(super) struct Connection {
    endpoint: EndpointId,
    state: ConnectionState,
    state_since_ms: f64,
    /// Attempts without a response, by sequence number.
    in_flight: BTreeMap<i32, SentAttempt>,
    /// Sequence numbers of the latest cancelled attempts.
    cancelled: BTreeSet<i32>,
    last_sequence: i32,
    /// When the last message was received, in milliseconds.
    last_received_ms: f64,
    /// When an attempt was last sent, answered or cancelled, in milliseconds.
    last_used_ms: f64,
    closing_received_ms: Option<f64>,
    probe: Option<Probe>,
    /// Whether the endpoint has responded to an attempt or a health check.
    has_responded: bool,
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
            last_received_ms: now_ms,
            last_used_ms: now_ms,
            closing_received_ms: None,
            probe: None,
            has_responded: false,
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

    pub(super) fn last_used_ms(&self) -> f64 {
        self.last_used_ms
    }

    pub(super) fn has_responded(&self) -> bool {
        self.has_responded
    }

    pub(super) fn closing_received_ms(&self) -> Option<f64> {
        self.closing_received_ms
    }

    pub(super) fn is_idle(&self) -> bool {
        self.state == ConnectionState::Open && self.in_flight.is_empty()
    }

    /// Returns whether the connection is closing and has no attempt in flight.
    pub(super) fn is_drained(&self) -> bool {
        self.state == ConnectionState::Closing && self.in_flight.is_empty()
    }

    pub(super) fn has_capacity(&self, config: &ClientConfig) -> bool {
        self.state == ConnectionState::Open
            && self.in_flight.len() < config.max_in_flight_per_connection
            && self.last_sequence < MAX_SEQUENCE
    }

    /// Opens the connection once it is established.
    pub(super) fn set_established(&mut self, now_ms: f64) {
        self.state = ConnectionState::Open;
        (self.state_since_ms, self.last_received_ms, self.last_used_ms) = (now_ms, now_ms, now_ms);
    }

    /// Stops taking attempts until the response to a health check is received.
    pub(super) fn require_health_check(&mut self) {
        self.state = ConnectionState::HealthChecking;
    }

    /// Records that the endpoint sent `closing`.
    pub(super) fn record_closing(&mut self, now_ms: f64) {
        self.closing_received_ms = self.closing_received_ms.or(Some(now_ms));
        self.state = ConnectionState::Closing;
    }

    /// Records that a message was received.
    pub(super) fn record_received(&mut self, now_ms: f64) {
        self.last_received_ms = now_ms;
    }

    /// Records an attempt as in flight and returns its sequence number.
    pub(super) fn send(&mut self, now_ms: f64, call: CallId) -> i32 {
        self.last_sequence += 1;
        self.in_flight.insert(self.last_sequence, SentAttempt { call, sent_ms: now_ms });
        self.last_used_ms = now_ms;
        self.last_sequence
    }

    /// Removes and returns the attempt that a response belongs to.
    pub(super) fn take_answered(&mut self, now_ms: f64, sequence: i32) -> AnsweredAttempt {
        if let Some(attempt) = self.in_flight.remove(&sequence) {
            (self.last_used_ms, self.has_responded) = (now_ms, true);
            AnsweredAttempt::InFlight(attempt)
        } else if self.cancelled.remove(&sequence) {
            AnsweredAttempt::Cancelled
        } else {
            AnsweredAttempt::Unknown
        }
    }

    /// Cancels an attempt. Returns false if it was not in flight.
    pub(super) fn cancel(&mut self, now_ms: f64, sequence: i32) -> bool {
        if self.in_flight.remove(&sequence).is_none() {
            return false;
        }
        self.cancelled.insert(sequence);
        if self.cancelled.len() > MAX_CANCELLED {
            self.cancelled.pop_first();
        }
        self.last_used_ms = now_ms;
        true
    }

    /// Starts a health check and returns its sequence number, or `None` if no sequence number is left.
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

    /// Ends the pending health check and reopens the connection. Returns false if the sequence number does
    /// not match it.
    pub(super) fn complete_probe(&mut self, sequence: i32) -> bool {
        if self.probe.is_none_or(|probe| probe.sequence != sequence) {
            return false;
        }
        (self.probe, self.has_responded) = (None, true);
        if self.state == ConnectionState::HealthChecking {
            self.state = ConnectionState::Open;
        }
        true
    }

    /// Returns whether the connection has reached a timeout or needs a health check.
    pub(super) fn check(&mut self, now_ms: f64, config: &ClientConfig) -> ConnectionCheck {
        if self.state == ConnectionState::Connecting {
            let in_time = now_ms - self.state_since_ms < config.connect_timeout_ms;
            return if in_time { ConnectionCheck::Ok } else { ConnectionCheck::ConnectTimedOut };
        }
        // On an idle connection, any message received after the health check shows that the endpoint
        // responds.
        if self.probe.is_some_and(|probe| self.last_received_ms > probe.sent_ms) && self.is_idle() {
            self.probe = None;
        }
        if let Some(probe) = self.probe {
            let is_unresponsive =
                self.last_received_ms < probe.sent_ms || self.state == ConnectionState::HealthChecking;
            let timed_out = now_ms - probe.sent_ms >= config.probe_timeout_ms && is_unresponsive;
            return if timed_out { ConnectionCheck::ProbeTimedOut } else { ConnectionCheck::Ok };
        }
        if let Some(oldest) = self.in_flight.values().next() {
            let without_message_ms = now_ms - self.last_received_ms.max(oldest.sent_ms);
            let probe_due = without_message_ms >= config.probe_after_ms;
            return if probe_due { ConnectionCheck::ProbeDue } else { ConnectionCheck::Ok };
        }
        ConnectionCheck::Unused { for_ms: now_ms - self.last_used_ms }
    }

    /// Returns the attempts in flight by sequence number.
    pub(super) fn into_in_flight(self) -> BTreeMap<i32, SentAttempt> {
        self.in_flight
    }

    #[cfg(test)]
    pub(super) fn cancelled_is_bounded(&self) -> bool {
        self.cancelled.len() <= MAX_CANCELLED
    }
}

#[cfg(test)]
mod tests;
