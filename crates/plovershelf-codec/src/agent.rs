//! Lines exchanged with the agent that owns the cores: commands to it, notices from it.

use crate::lines::{malformed, measure, number, push_body, take_body, take_line, words, MalformedLine};
use crate::{attempt_id, AttemptId};

/// Gauges that one sample may hold.
const MAX_GAUGES: usize = 16;
/// Words of a notice beside the gauges of a sample.
const MAX_WORDS: usize = 8;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// It returned a result.
    Succeeded,
    /// It returned an error.
    Failed,
    /// It was cancelled.
    Interrupted,
    /// It never started, which proves that it had no effect.
    NotStarted,
}

/// What the agent reports. Notices with a number come once each, and again on a new connection.
#[derive(Debug, PartialEq)]
pub enum Notice<'a> {
    /// The agent is up.
    Greeting {
        /// The cores have just started.
        fresh: bool,
        /// For how long the agent has been up.
        up_for_ms: f64,
    },
    /// A run has ended.
    RunEnded {
        /// Place in the order of notices.
        number: u64,
        /// The attempt that ran.
        id: AttemptId,
        /// How it ended.
        over: RunResult,
        /// What it returned.
        result: &'a [u8],
    },
    /// A run waits for an outbound call.
    CallRequested {
        /// Place in the order of notices.
        number: u64,
        /// The attempt that runs.
        id: AttemptId,
        /// What it asks of the dependency.
        call: &'a [u8],
    },
    /// The reply to `sample`.
    Sampled {
        /// The tag of the command.
        tag: &'a [u8],
        /// The gauges, in the order of the settings.
        gauges: Vec<f64>,
    },
    /// The agent did not carry out a command.
    CommandRejected {
        /// The command's first word.
        command: &'a [u8],
        /// What it was about: an attempt, or the tag of a sample.
        about: &'a [u8],
    },
    /// A notice that says nothing to this version.
    Skipped {
        /// Place in the order of notices.
        number: u64,
    },
}

/// Decodes the first notice and the bytes it takes; `None` until it is complete.
///
/// # Errors
/// A line that is no notice, or a body longer than `max_body` bytes.
pub fn decode_first(read: &[u8], max_body: usize) -> Result<Option<(Notice<'_>, usize)>, MalformedLine> {
    let Some((line, used)) = take_line(read)? else { return Ok(None) };
    let parts: Vec<&[u8]> = words(line).take(MAX_WORDS + MAX_GAUGES).collect();
    let notice = match parts[..] {
        [b"greeting", state, up_for] => greeting(state, up_for),
        [b"outcome", n, id, over, _, length] => {
            let (Some(number), Some(id), Some(over)) = (number(n), attempt_id(id), run_result(over)) else {
                return malformed("an outcome does not parse", line);
            };
            let body = take_body(read, line, used, length, max_body)?;
            return Ok(body.map(|(result, end)| (Notice::RunEnded { number, id, over, result }, end)));
        }
        [b"request", n, id, length] => {
            let (Some(number), Some(id)) = (number(n), attempt_id(id)) else {
                return malformed("a call does not parse", line);
            };
            let body = take_body(read, line, used, length, max_body)?;
            return Ok(body.map(|(call, end)| (Notice::CallRequested { number, id, call }, end)));
        }
        [b"sampled", tag, ref values @ ..] if values.len() <= MAX_GAUGES => {
            let gauges: Option<Vec<f64>> = values.iter().map(|value| measure(value)).collect();
            gauges.map(|gauges| Notice::Sampled { tag, gauges })
        }
        [b"refusal", command, about] => Some(Notice::CommandRejected { command, about }),
        [b"aside", n, ..] => number(n).map(|number| Notice::Skipped { number }),
        _ => None,
    };
    match notice {
        Some(notice) => Ok(Some((notice, used))),
        None => malformed("not a notice", line),
    }
}

fn greeting<'a>(state: &[u8], up_for: &[u8]) -> Option<Notice<'a>> {
    let fresh = match state {
        b"booting" => true,
        b"steady" => false,
        _ => return None,
    };
    measure(up_for).map(|up_for_ms| Notice::Greeting { fresh, up_for_ms })
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

/// Asks for all notices after this number.
pub fn subscribe(last_read: u64) -> Vec<u8> {
    format!("subscribe {last_read}\r\n").into_bytes()
}

/// Starts a run.
pub fn launch(id: &AttemptId, class: &str, body: &[u8]) -> Vec<u8> {
    let mut line = [b"launch ", &id[..], b" ", class.as_bytes()].concat();
    push_body(&mut line, body);
    line
}

/// Cancels a run.
pub fn cancel_run(id: &AttemptId) -> Vec<u8> {
    [b"freeze ", &id[..], b"\r\n"].concat()
}

/// Continues a run without the call that it waits for, where the site allows that.
pub fn skip_call(id: &AttemptId) -> Vec<u8> {
    [b"forgo ", &id[..], b"\r\n"].concat()
}

/// Hands a run the reply to its call.
pub fn deliver(id: &AttemptId, reply: &[u8]) -> Vec<u8> {
    let mut line = [b"deliver ", &id[..]].concat();
    push_body(&mut line, reply);
    line
}

/// Asks for the gauges; the answer carries the tag.
pub fn sample(tag: u64) -> Vec<u8> {
    format!("sample {tag}\r\n").into_bytes()
}
