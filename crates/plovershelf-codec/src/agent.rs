//! The lines spoken with the agent that owns the cores: commands to it, notices from it.

use crate::lines::{bad, measure, number, push_body, take_body, take_line, words, BadLine};
use crate::{attempt_id, AttemptId};

/// Gauges that one answer may hold.
const MOST_GAUGES: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    Succeeded,
    Failed,
    Interrupted,
    NotFound,
}

/// What the agent says. Numbered notices come once each and are told again on a new link.
#[derive(Debug, PartialEq)]
pub enum Notice<'a> {
    Greeting {
        fresh: bool,
        up_for_ms: f64,
    },
    RunEnded {
        number: u64,
        id: AttemptId,
        over: RunResult,
        result: &'a [u8],
    },
    CallRequested {
        number: u64,
        id: AttemptId,
        call: &'a [u8],
    },
    Sampled {
        tag: &'a [u8],
        gauges: Vec<f64>,
    },
    /// What it was about: a try's name, or the tag of a sample.
    CommandRejected {
        command: &'a [u8],
        about: &'a [u8],
    },
    Skipped {
        number: u64,
    },
}

/// The first notice of what was read and the bytes it takes; `None` until it is whole. Bytes that belong to a
/// notice are at most `most_body`.
pub fn decode_first(read: &[u8], most_body: usize) -> Result<Option<(Notice<'_>, usize)>, BadLine> {
    let Some((line, used)) = take_line(read)? else { return Ok(None) };
    let parts: Vec<&[u8]> = words(line).take(8 + MOST_GAUGES).collect();
    let notice = match parts[..] {
        [b"greeting", state, up_for] => greeting(state, up_for),
        [b"outcome", n, id, over, _, length] => {
            let (Some(number), Some(id), Some(over)) = (number(n), attempt_id(id), run_over(over)) else {
                return bad("an outcome does not parse", line);
            };
            let body = take_body(read, line, used, length, most_body)?;
            return Ok(body.map(|(result, end)| (Notice::RunEnded { number, id, over, result }, end)));
        }
        [b"request", n, id, length] => {
            let (Some(number), Some(id)) = (number(n), attempt_id(id)) else {
                return bad("a call does not parse", line);
            };
            let body = take_body(read, line, used, length, most_body)?;
            return Ok(body.map(|(call, end)| (Notice::CallRequested { number, id, call }, end)));
        }
        [b"sampled", tag, ref values @ ..] if values.len() <= MOST_GAUGES => {
            let gauges: Option<Vec<f64>> = values.iter().map(|v| measure(v)).collect();
            gauges.map(|gauges| Notice::Sampled { tag, gauges })
        }
        [b"refusal", command, about] => Some(Notice::CommandRejected { command, about }),
        [b"aside", n, ..] => number(n).map(|number| Notice::Skipped { number }),
        _ => None,
    };
    match notice {
        Some(notice) => Ok(Some((notice, used))),
        None => bad("not a notice", line),
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

fn run_over(word: &[u8]) -> Option<RunResult> {
    Some(match word {
        b"success" => RunResult::Succeeded,
        b"failure" => RunResult::Failed,
        b"interrupted" => RunResult::Interrupted,
        b"nothing" => RunResult::NotFound,
        _ => return None,
    })
}

pub fn subscribe(last_read: u64) -> Vec<u8> {
    format!("subscribe {last_read}\r\n").into_bytes()
}

pub fn launch(id: &AttemptId, class: &str, body: &[u8]) -> Vec<u8> {
    let mut line = [b"launch ", &id[..], b" ", class.as_bytes()].concat();
    push_body(&mut line, body);
    line
}

pub fn cancel_run(id: &AttemptId) -> Vec<u8> {
    [b"freeze ", &id[..], b"\r\n"].concat()
}

/// Go on without the call that the run waits for, where the site allows that.
pub fn skip_call(id: &AttemptId) -> Vec<u8> {
    [b"forgo ", &id[..], b"\r\n"].concat()
}

pub fn deliver(id: &AttemptId, reply: &[u8]) -> Vec<u8> {
    let mut line = [b"deliver ", &id[..]].concat();
    push_body(&mut line, reply);
    line
}

pub fn sample(tag: u64) -> Vec<u8> {
    format!("sample {tag}\r\n").into_bytes()
}
