//! The callers' side of the front: what they write, and what they hear from a backend.

use super::{frame_length, head, Input, Output, Words, BOOL, CALL, EXCEPTION, I32, MAP, MOST_NESTED, ONEWAY};
use super::{REPLY, STRING, STRUCT};
use crate::TryId;

/// One try of an invocation, as a caller describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try<'a> {
    pub offering: &'a str,
    /// New with every try.
    pub id: TryId,
    /// When this try was handed over, in Unix milliseconds.
    pub came_ms: u64,
    /// The caller's number.
    pub caller: u32,
    pub tenant: &'a str,
    /// How long the caller waits for this try, from `came_ms`.
    pub waits_ms: Option<f64>,
    /// Memory to book for it, above 0 and under 2,000.
    pub footprint_kb: f64,
    /// From 0 to under 1.
    pub rank: f64,
    /// What a read is about.
    pub subject: Option<u64>,
    pub ticket: Option<&'a str>,
    pub work_hint_ms: Option<f64>,
    /// It is not the first try. Backends that do not know the field skip it.
    pub marked_repeat: bool,
    pub body: &'a [u8],
}

/// What a backend says.
#[derive(Debug, PartialEq)]
pub enum Heard<'a> {
    Succeeded {
        seqid: i32,
        result: &'a [u8],
        words: Words,
    },
    /// This try never ran.
    Dismissed {
        seqid: i32,
        words: Words,
    },
    Scrapped {
        seqid: i32,
        words: Words,
    },
    /// The backend can't take what was sent. `ours` says that it would be the same anywhere.
    Complaint {
        seqid: i32,
        ours: bool,
        what: &'a [u8],
    },
    Health {
        seqid: i32,
        fit: bool,
        words: Words,
    },
    /// No new invocation is to come on this connection.
    Closing,
    /// A message that wants no answer and is not known.
    Other,
}

/// A whole frame with a try; its length stands before it.
pub fn dispatch(seqid: i32, one: &Try<'_>) -> Vec<u8> {
    let mut out = Output::message(CALL, "dispatch", seqid);
    let came = one.came_ms.to_string();
    let caller = one.caller.to_string();
    let booked = format!("{:.1}", one.footprint_kb.clamp(0.1, 1999.9));
    let rank = format!("{:.4}", one.rank.clamp(0.0, 0.9999));
    // Rounded down, so that a backend never believes in more time than there is.
    let waits = one.waits_ms.map(|waits| format!("{}", waits.max(0.0).floor() as u64));
    let hint = one.work_hint_ms.map(|hint| format!("{hint:.1}"));
    let subject = one.subject.map(|subject| format!("{subject:016x}"));
    let told: [Option<(&str, &[u8])>; 12] = [
        Some(("c", one.offering.as_bytes())),
        Some(("i", &one.id)),
        Some(("s", came.as_bytes())),
        Some(("f", caller.as_bytes())),
        Some(("t", one.tenant.as_bytes())),
        waits.as_ref().map(|waits| ("d", waits.as_bytes())),
        Some(("m", booked.as_bytes())),
        Some(("p", rank.as_bytes())),
        subject.as_ref().map(|subject| ("o", subject.as_bytes())),
        one.ticket.map(|ticket| ("k", ticket.as_bytes())),
        hint.as_ref().map(|hint| ("h", hint.as_bytes())),
        one.marked_repeat.then_some(("r", b"1")),
    ];
    out.field(MAP, 1);
    out.0.extend_from_slice(&[STRING, STRING]);
    out.0.extend_from_slice(&(told.iter().flatten().count() as u32).to_be_bytes());
    for (name, value) in told.iter().flatten() {
        out.binary(name.as_bytes());
        out.binary(value);
    }
    out.field(STRING, 2);
    out.binary(one.body);
    out.finish(1)
}

/// The caller of this sequence number waits no longer.
pub fn cancel(of: i32) -> Vec<u8> {
    let mut out = Output::message(ONEWAY, "cancelRequest", 0);
    out.field(I32, 1);
    out.0.extend_from_slice(&of.to_be_bytes());
    out.finish(1)
}

pub fn alive(seqid: i32) -> Vec<u8> {
    let mut out = Output::message(CALL, "alive", seqid);
    out.field(BOOL, 1);
    out.0.push(1);
    out.finish(1)
}

/// The first whole frame of what was read, without its length, and the bytes it takes; `None` until it is whole.
pub fn take(read: &[u8], most: usize) -> Result<Option<(&[u8], usize)>, &'static str> {
    let Some(length) = frame_length(read, most)? else { return Ok(None) };
    Ok(read.get(4..4 + length).map(|frame| (frame, 4 + length)))
}

/// Takes what a backend says out of one whole frame, without its length.
pub fn hear(frame: &[u8]) -> Result<Heard<'_>, &'static str> {
    let mut input = Input { left: frame };
    let (kind, method, seqid) = head(&mut input)?;
    match (kind, method) {
        (REPLY, b"dispatch") => dispatched(&mut input, seqid),
        (REPLY, b"alive") => match result(&mut input)? {
            (0, answer) => Ok(Heard::Health { seqid, fit: answer.good, words: answer.words }),
            _ => Err("a health check is answered with an exception"),
        },
        (EXCEPTION, _) => complaint(&mut input, seqid),
        (ONEWAY, b"closing") => Ok(Heard::Closing),
        (ONEWAY, _) => Ok(Heard::Other),
        _ => Err("no answer to anything"),
    }
}

#[derive(Default)]
struct Answered<'a> {
    body: Option<&'a [u8]>,
    words: Words,
    good: bool,
}

fn dispatched<'a>(input: &mut Input<'a>, seqid: i32) -> Result<Heard<'a>, &'static str> {
    let (number, answer) = result(input)?;
    let words = answer.words;
    match (number, answer.body) {
        (0, Some(result)) => Ok(Heard::Succeeded { seqid, result, words }),
        (0, None) => Err("an answer without a result"),
        (1, _) => Ok(Heard::Dismissed { seqid, words }),
        _ => Ok(Heard::Scrapped { seqid, words }),
    }
}

/// The struct that a reply holds, and its field number: 0 the answer, else an exception.
fn result<'a>(input: &mut Input<'a>) -> Result<(i16, Answered<'a>), &'static str> {
    let mut found = None;
    while let Some((kind, number)) = input.field()? {
        match (kind, number) {
            (STRUCT, 0..=2) if found.is_none() => {
                let mut answer = Answered::default();
                while let Some((kind, field)) = input.field()? {
                    match (kind, field, number) {
                        (STRING, 1, 0) => answer.body = Some(input.binary()?),
                        (MAP, 2, 0) | (MAP, 1, 1 | 2) => answer.words = words(input)?,
                        (BOOL, 3, 0) => answer.good = input.u8()? != 0,
                        _ => input.skip(kind, MOST_NESTED)?,
                    }
                }
                found = Some((number, answer));
            }
            _ => input.skip(kind, MOST_NESTED)?,
        }
    }
    found.ok_or("a reply holds nothing")
}

fn words(input: &mut Input<'_>) -> Result<Words, &'static str> {
    let mut words = Words::default();
    for (name, value) in input.text_map()? {
        let measure = || std::str::from_utf8(value).ok().and_then(|value| value.parse::<f64>().ok());
        let measure = || measure().filter(|value| value.is_finite() && *value >= 0.0);
        match name {
            b"v" => words.advice = measure(),
            b"w" => words.cool_down_ms = measure(),
            b"l" => words.last = value == b"1",
            _ => {}
        }
    }
    Ok(words)
}

fn complaint<'a>(input: &mut Input<'a>, seqid: i32) -> Result<Heard<'a>, &'static str> {
    let (mut what, mut number) = (&b""[..], 0);
    while let Some((kind, field)) = input.field()? {
        match (kind, field) {
            (STRING, 1) => what = input.binary()?,
            (I32, 2) => number = input.i32()?,
            _ => input.skip(kind, MOST_NESTED)?,
        }
    }
    // Unknown method, wrong type, protocol error: another backend would say the same.
    Ok(Heard::Complaint { seqid, ours: matches!(number, 1 | 2 | 7), what })
}

#[cfg(test)]
mod tests;
