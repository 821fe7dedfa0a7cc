//! Decides what the end of a connection means for the attempts that were in flight on it.
//!
//! Inputs: the connection with when each attempt was written and when `closing` was received, in milliseconds.
//!
//! Rule: an attempt that was written less than the closing race before `closing` was received, or after it, was never read.
//! Any other may have run.
//!
//! Why: an endpoint reads nothing more once it has written `closing`, which takes up to the closing race to arrive. Without the rule,
//! safe work would be given up at each orderly shutdown; with a race that is too long, work could run twice.

use super::action::{CallId, ConnectionId};
use super::call::InFlightAttempt;
use super::connection::Connection;
use super::retry_policy::AttemptEnd;

/// An attempt whose connection has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostAttempt {
    pub(super) call: CallId,
    pub(super) attempt: InFlightAttempt,
    pub(super) end: AttemptEnd,
}

/// Whether attempts may have crossed a `closing`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClosingRace {
    /// Those written this long before it was received did, and were never read.
    Within { race_ms: f64 },
    /// The endpoint is not believed.
    Ignored,
}

/// The attempts of a connection that has ended.
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
