//! Decides whether attempts that were in flight on an ended connection may have run.
//!
//! Inputs: the times at which each attempt was sent and at which `closing` was received, in milliseconds.
//!
//! Rule: the endpoint never read an attempt that was sent at most `closing_race_ms` before `closing` was
//! received, or later. Any other attempt may have run.
//!
//! Rationale: an endpoint reads nothing after it has written `closing`, and `closing` arrives within
//! `closing_race_ms`. Without the rule, every orderly shutdown would fail calls that are safe to retry. With
//! a longer race, a request could run twice.

use super::action::{CallId, ConnectionId};
use super::call::InFlightAttempt;
use super::connection::Connection;
use super::retry_policy::AttemptEnd;

/// An attempt that was in flight when its connection ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostAttempt {
    pub(super) call: CallId,
    pub(super) attempt: InFlightAttempt,
    pub(super) end: AttemptEnd,
}

/// How to treat attempts that were sent at about the time at which `closing` was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClosingRace {
    /// The endpoint never read attempts that were sent from `race_ms` before `closing` was received.
    Within { race_ms: f64 },
    /// The endpoint violated the protocol, so its `closing` proves nothing.
    Ignored,
}

/// Returns the attempts that were in flight on an ended connection, each with whether it may have run.
pub(super) fn lost_attempts(id: ConnectionId, connection: Connection, race: ClosingRace) -> Vec<LostAttempt> {
    let (endpoint, closing_ms) = (connection.endpoint(), connection.closing_received_ms());
    let unread_from_ms = match (closing_ms, race) {
        (Some(closing_ms), ClosingRace::Within { race_ms }) => closing_ms - race_ms,
        _ => f64::INFINITY,
    };
    let in_flight = connection.into_in_flight().into_iter();
    let lost = in_flight.map(|(sequence, sent)| {
        let is_unread = sent.sent_ms >= unread_from_ms;
        let end = if is_unread { AttemptEnd::Unread } else { AttemptEnd::ConnectionLost };
        LostAttempt { call: sent.call, attempt: InFlightAttempt { connection: id, sequence, endpoint }, end }
    });
    lost.collect()
}

#[cfg(test)]
mod tests;
