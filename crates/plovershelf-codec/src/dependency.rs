//! Lines exchanged with the dependency that all backends share.

use crate::lines::{malformed, push_body, take_body, take_line, words, MalformedLine};
use crate::{attempt_id, AttemptId};

/// What the dependency replies to a call.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// It executed the call; the result.
    Done(&'a [u8]),
    /// It rejected the call, which never executed.
    Rejected,
    /// The call failed and may have taken effect.
    Failed,
    /// The call timed out or its run has ended; it may have taken effect.
    Expired,
    /// No run waits for the call, which never executed.
    NoWaitingRun,
}

/// Decodes the first reply: the call's attempt, the reply, and the bytes it takes; `None` until it is complete.
///
/// # Errors
/// A line that is no reply, or a body longer than `max_body` bytes.
pub fn decode_first(
    read: &[u8],
    max_body: usize,
) -> Result<Option<(AttemptId, Reply<'_>, usize)>, MalformedLine> {
    let Some((line, used)) = take_line(read)? else { return Ok(None) };
    let parts: Vec<&[u8]> = words(line).take(4).collect();
    let (id, reply) = match parts[..] {
        [id, b"DONE", length] => {
            let Some(id) = attempt_id(id) else { return malformed("an answer names no call", line) };
            let body = take_body(read, line, used, length, max_body)?;
            return Ok(body.map(|(result, end)| (id, Reply::Done(result), end)));
        }
        [id, b"WAIT"] => (id, Reply::Rejected),
        [id, b"ERROR"] => (id, Reply::Failed),
        [id, b"PAST"] => (id, Reply::Expired),
        [id, b"EMPTY"] => (id, Reply::NoWaitingRun),
        _ => return malformed("not an answer", line),
    };
    match attempt_id(id) {
        Some(id) => Ok(Some((id, reply, used))),
        None => malformed("an answer names no call", line),
    }
}

/// Places a call; its time-out is sent in whole milliseconds, at least one.
pub fn call(id: &AttemptId, timeout_ms: f64, body: &[u8]) -> Vec<u8> {
    let timeout = format!(" {}", timeout_ms.max(1.0).floor() as u64);
    let mut line = [b"OP ", &id[..], timeout.as_bytes()].concat();
    push_body(&mut line, body);
    line
}

/// Tells the dependency that nobody waits for a call any more.
pub fn abandon(id: &AttemptId) -> Vec<u8> {
    [b"UNOP ", &id[..], b"\r\n"].concat()
}
