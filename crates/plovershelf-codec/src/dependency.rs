//! Protocol of the dependency that all backends share: calls to it and replies from it, as lines of text.

use crate::lines::{malformed, push_body, take_body, take_line, words, MalformedLine};
use crate::{attempt_id, AttemptId};

/// Error text of a reply whose first word is not an attempt id.
const INVALID_ATTEMPT_ID: &str = "the reply has no valid attempt id";

/// Reply of the dependency to a call.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// The dependency executed the call and returned this result.
    Done(&'a [u8]),
    /// The dependency rejected the call without executing it.
    Rejected,
    /// The call failed and may have taken effect.
    Failed,
    /// The call timed out or its run has ended; the call may have taken effect.
    Expired,
    /// No run waits for the call, so the dependency did not execute it.
    NoWaitingRun,
}

/// Decodes the first reply and returns the id of its attempt, the reply and its length in bytes, or `None` if
/// it is not complete yet.
///
/// # Errors
/// Returns an error if the line is not a reply or if the body is longer than `max_body` bytes.
pub fn decode_first(
    read: &[u8],
    max_body: usize,
) -> Result<Option<(AttemptId, Reply<'_>, usize)>, MalformedLine> {
    let Some((line, used)) = take_line(read)? else { return Ok(None) };
    let parts: Vec<&[u8]> = words(line).take(4).collect();
    let (id, reply) = match parts[..] {
        [id, b"DONE", length] => {
            let Some(id) = attempt_id(id) else { return malformed(INVALID_ATTEMPT_ID, line) };
            let body = take_body(read, line, used, length, max_body)?;
            return Ok(body.map(|(result, end)| (id, Reply::Done(result), end)));
        }
        [id, b"WAIT"] => (id, Reply::Rejected),
        [id, b"ERROR"] => (id, Reply::Failed),
        [id, b"PAST"] => (id, Reply::Expired),
        [id, b"EMPTY"] => (id, Reply::NoWaitingRun),
        _ => return malformed("malformed or unknown reply", line),
    };
    match attempt_id(id) {
        Some(id) => Ok(Some((id, reply, used))),
        None => malformed(INVALID_ATTEMPT_ID, line),
    }
}

/// Encodes a call. Its timeout is rounded down to whole milliseconds, but to at least one.
pub fn call(id: &AttemptId, timeout_ms: f64, body: &[u8]) -> Vec<u8> {
    let timeout = format!(" {}", timeout_ms.max(1.0).floor() as u64);
    let mut line = [b"OP ", &id[..], timeout.as_bytes()].concat();
    push_body(&mut line, body);
    line
}

/// Encodes the cancellation of a call.
pub fn abandon(id: &AttemptId) -> Vec<u8> {
    [b"UNOP ", &id[..], b"\r\n"].concat()
}
