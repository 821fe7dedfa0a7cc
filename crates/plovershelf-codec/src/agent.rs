//! Protocol of the agent that owns the cores: commands to the agent and notices from it, as lines of text.

use crate::lines::{malformed, non_negative, number, push_body, take_body, take_line, words, MalformedLine};
use crate::{attempt_id, AttemptId};

/// Maximum number of gauges in a sample.
const MAX_GAUGES: usize = 16;
/// Maximum number of words of a notice, not counting the gauges of a sample.
const MAX_WORDS: usize = 8;

/// Result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The run returned a result.
    Succeeded,
    /// The run returned an error.
    Failed,
    /// The run was cancelled.
    Interrupted,
    /// The run never started, so it certainly had no effect.
    NotStarted,
}

/// Message from the agent. The agent sends each numbered notice once per connection and repeats it on a new
/// connection.
#[derive(Debug, PartialEq)]
pub enum Notice<'a> {
    /// First notice on a connection.
    Greeting {
        /// Whether the cores have just started.
        fresh: bool,
        /// Uptime of the agent in milliseconds.
        uptime_ms: f64,
    },
    /// A run has ended.
    RunEnded {
        /// Sequence number of the notice.
        number: u64,
        /// Attempt that the run belongs to.
        id: AttemptId,
        /// Result of the run.
        over: RunResult,
        /// Bytes that the run returned.
        result: &'a [u8],
    },
    /// A run waits for the reply to a call of the dependency.
    CallRequested {
        /// Sequence number of the notice.
        number: u64,
        /// Attempt that the run belongs to.
        id: AttemptId,
        /// Body of the call.
        call: &'a [u8],
    },
    /// Response to a `sample` command.
    Sampled {
        /// Tag of the command.
        tag: &'a [u8],
        /// Values of the gauges, in the order of the settings.
        gauges: Vec<f64>,
    },
    /// The agent rejected a command.
    CommandRejected {
        /// First word of the command.
        command: &'a [u8],
        /// Subject of the command: an attempt id, or the tag of a sample.
        about: &'a [u8],
    },
    /// A numbered notice without information for this version.
    Skipped {
        /// Sequence number of the notice.
        number: u64,
    },
}

/// Decodes the first notice and returns it with its length in bytes, or `None` if it is not complete yet.
///
/// # Errors
/// Returns an error if the line is not a notice or if the body is longer than `max_body` bytes.
pub fn decode_first(read: &[u8], max_body: usize) -> Result<Option<(Notice<'_>, usize)>, MalformedLine> {
    let Some((line, used)) = take_line(read)? else { return Ok(None) };
    let parts: Vec<&[u8]> = words(line).take(MAX_WORDS + MAX_GAUGES).collect();
    let notice = match parts[..] {
        [b"greeting", state, uptime] => greeting(state, uptime),
        [b"outcome", n, id, over, _, length] => {
            let (Some(number), Some(id), Some(over)) = (number(n), attempt_id(id), run_result(over)) else {
                return malformed("malformed outcome notice", line);
            };
            let body = take_body(read, line, used, length, max_body)?;
            return Ok(body.map(|(result, end)| (Notice::RunEnded { number, id, over, result }, end)));
        }
        [b"request", n, id, length] => {
            let (Some(number), Some(id)) = (number(n), attempt_id(id)) else {
                return malformed("malformed request notice", line);
            };
            let body = take_body(read, line, used, length, max_body)?;
            return Ok(body.map(|(call, end)| (Notice::CallRequested { number, id, call }, end)));
        }
        [b"sampled", tag, ref values @ ..] if values.len() <= MAX_GAUGES => {
            let gauges: Option<Vec<f64>> = values.iter().map(|value| non_negative(value)).collect();
            gauges.map(|gauges| Notice::Sampled { tag, gauges })
        }
        [b"refusal", command, about] => Some(Notice::CommandRejected { command, about }),
        [b"aside", n, ..] => number(n).map(|number| Notice::Skipped { number }),
        _ => None,
    };
    match notice {
        Some(notice) => Ok(Some((notice, used))),
        None => malformed("malformed or unknown notice", line),
    }
}

fn greeting<'a>(state: &[u8], uptime: &[u8]) -> Option<Notice<'a>> {
    let fresh = match state {
        b"booting" => true,
        b"steady" => false,
        _ => return None,
    };
    non_negative(uptime).map(|uptime_ms| Notice::Greeting { fresh, uptime_ms })
}

fn run_result(word: &[u8]) -> Option<RunResult> {
    Some(match word {
        b"success" => RunResult::Succeeded,
        b"failure" => RunResult::Failed,
        b"interrupted" => RunResult::Interrupted,
        b"nothing" => RunResult::NotStarted,
        _ => return None,
    })
}

/// Encodes the command that requests all notices with a number above `last_read`.
pub fn subscribe(last_read: u64) -> Vec<u8> {
    format!("subscribe {last_read}\r\n").into_bytes()
}

/// Encodes the command that starts a run of an attempt.
pub fn launch(id: &AttemptId, class: &str, body: &[u8]) -> Vec<u8> {
    let mut line = [b"launch ", &id[..], b" ", class.as_bytes()].concat();
    push_body(&mut line, body);
    line
}

/// Encodes the command that cancels a run.
pub fn cancel_run(id: &AttemptId) -> Vec<u8> {
    [b"freeze ", &id[..], b"\r\n"].concat()
}

/// Encodes the command that continues a run without the call that it waits for. Not all deployments allow
/// this.
pub fn skip_call(id: &AttemptId) -> Vec<u8> {
    [b"forgo ", &id[..], b"\r\n"].concat()
}

/// Encodes the command that passes the reply to its call to a run.
pub fn deliver(id: &AttemptId, reply: &[u8]) -> Vec<u8> {
    let mut line = [b"deliver ", &id[..]].concat();
    push_body(&mut line, reply);
    line
}

/// Encodes the command that requests the gauges. The response contains the tag.
pub fn sample(tag: u64) -> Vec<u8> {
    format!("sample {tag}\r\n").into_bytes()
}
