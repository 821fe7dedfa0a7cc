//! The lines spoken with the ledger that all backends share.

use crate::lines::{bad, push_body, take_body, take_line, words, BadLine};
use crate::{attempt_id, AttemptId};

#[derive(Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    Done(&'a [u8]),
    /// Turned away: it never ran.
    Rejected,
    /// It failed and may have had its effect.
    Failed,
    /// It ran out of time or its run has ended; it may have had its effect.
    Expired,
    /// No run waits for it: it never ran.
    NoWaitingRun,
}

/// The first answer of what was read and the bytes it takes; `None` until it is whole.
pub fn decode_first(read: &[u8], most_body: usize) -> Result<Option<(AttemptId, Reply<'_>, usize)>, BadLine> {
    let Some((line, used)) = take_line(read)? else { return Ok(None) };
    let parts: Vec<&[u8]> = words(line).take(4).collect();
    let (id, answer) = match parts[..] {
        [id, b"DONE", length] => {
            let Some(id) = attempt_id(id) else { return bad("an answer names no call", line) };
            let body = take_body(read, line, used, length, most_body)?;
            return Ok(body.map(|(reply, end)| (id, Reply::Done(reply), end)));
        }
        [id, b"WAIT"] => (id, Reply::Rejected),
        [id, b"ERROR"] => (id, Reply::Failed),
        [id, b"PAST"] => (id, Reply::Expired),
        [id, b"EMPTY"] => (id, Reply::NoWaitingRun),
        _ => return bad("not an answer", line),
    };
    match attempt_id(id) {
        Some(id) => Ok(Some((id, answer, used))),
        None => bad("an answer names no call", line),
    }
}

/// Places a call; the wait is told in whole milliseconds, one at least.
pub fn call(id: &AttemptId, within_ms: f64, body: &[u8]) -> Vec<u8> {
    let wait = format!(" {}", within_ms.max(1.0).floor() as u64);
    let mut line = [b"OP ", &id[..], wait.as_bytes()].concat();
    push_body(&mut line, body);
    line
}

pub fn abandon(id: &AttemptId) -> Vec<u8> {
    [b"UNOP ", &id[..], b"\r\n"].concat()
}
