//! The callers' side of the front: what they write, and what they hear from a backend.

use super::{
    frame_length, head, Input, Output, ServerSignals, BOOL, CALL, EXCEPTION, I32, MAP, MOST_NESTED, ONEWAY,
};
use super::{REPLY, STRING, STRUCT};
use crate::AttemptId;

/// One try of an invocation, as a caller describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt<'a> {
    pub class: &'a str,
    /// New with every try.
    pub id: AttemptId,
    /// When this try was handed over, in Unix milliseconds.
    pub sent_ms: u64,
    /// The caller's number.
    pub caller: u32,
    pub tenant: &'a str,
    /// How long the caller waits for this try, from `came_ms`.
    pub timeout_ms: Option<f64>,
    /// Memory to book for it, above 0 and under 2,000.
    pub memory_kb: f64,
    /// From 0 to under 1.
    pub rank: f64,
    /// What a read is about.
    pub object: Option<u64>,
    pub idempotency_key: Option<&'a str>,
    pub work_hint_ms: Option<f64>,
    /// It is not the first try. Backends that do not know the field skip it.
    pub marked_retry: bool,
    pub body: &'a [u8],
}

/// What a backend says.
#[derive(Debug, PartialEq)]
pub enum Response<'a> {
    Succeeded {
        seqid: i32,
        result: &'a [u8],
        signals: ServerSignals,
    },
    /// This try never ran.
    Rejected {
        seqid: i32,
        signals: ServerSignals,
    },
    Failed {
        seqid: i32,
        signals: ServerSignals,
    },
    /// The backend can't take what was sent. `ours` says that it would be the same anywhere.
    Exception {
        seqid: i32,
        permanent: bool,
        what: &'a [u8],
    },
    Health {
        seqid: i32,
        ready: bool,
        signals: ServerSignals,
    },
    /// No new invocation is to come on this connection.
    Closing,
    /// A message that wants no answer and is not known.
    Other,
}

/// A whole frame with a try; its length stands before it.
pub fn dispatch(seqid: i32, one: &Attempt<'_>) -> Vec<u8> {
    let mut out = Output::message(CALL, "dispatch", seqid);
    let came = one.sent_ms.to_string();
    let caller = one.caller.to_string();
    let booked = format!("{:.1}", one.memory_kb.clamp(0.1, 1999.9));
    let rank = format!("{:.4}", one.rank.clamp(0.0, 0.9999));
    // Rounded down, so that a backend never believes in more time than there is.
    let waits = one.timeout_ms.map(|waits| format!("{}", waits.max(0.0).floor() as u64));
    let hint = one.work_hint_ms.map(|hint| format!("{hint:.1}"));
    let object = one.object.map(|object| format!("{object:016x}"));
    let told: [Option<(&str, &[u8])>; 12] = [
        Some(("c", one.class.as_bytes())),
        Some(("i", &one.id)),
        Some(("s", came.as_bytes())),
        Some(("f", caller.as_bytes())),
        Some(("t", one.tenant.as_bytes())),
        waits.as_ref().map(|waits| ("d", waits.as_bytes())),
        Some(("m", booked.as_bytes())),
        Some(("p", rank.as_bytes())),
        object.as_ref().map(|object| ("o", object.as_bytes())),
        one.idempotency_key.map(|idempotency_key| ("k", idempotency_key.as_bytes())),
        hint.as_ref().map(|hint| ("h", hint.as_bytes())),
        one.marked_retry.then_some(("r", b"1")),
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
pub fn decode_first(read: &[u8], most: usize) -> Result<Option<(&[u8], usize)>, &'static str> {
    let Some(length) = frame_length(read, most)? else { return Ok(None) };
    Ok(read.get(4..4 + length).map(|frame| (frame, 4 + length)))
}

/// Takes what a backend says out of one whole frame, without its length.
pub fn decode_response(frame: &[u8]) -> Result<Response<'_>, &'static str> {
    let mut input = Input { left: frame };
    let (kind, method, seqid) = head(&mut input)?;
    match (kind, method) {
        (REPLY, b"dispatch") => dispatched(&mut input, seqid),
        (REPLY, b"alive") => match result(&mut input)? {
            (0, answer) => Ok(Response::Health { seqid, ready: answer.good, signals: answer.signals }),
            _ => Err("a health check is answered with an exception"),
        },
        (EXCEPTION, _) => exception(&mut input, seqid),
        (ONEWAY, b"closing") => Ok(Response::Closing),
        (ONEWAY, _) => Ok(Response::Other),
        _ => Err("no answer to anything"),
    }
}

#[derive(Default)]
struct Answered<'a> {
    body: Option<&'a [u8]>,
    signals: ServerSignals,
    good: bool,
}

fn dispatched<'a>(input: &mut Input<'a>, seqid: i32) -> Result<Response<'a>, &'static str> {
    let (number, answer) = result(input)?;
    let signals = answer.signals;
    match (number, answer.body) {
        (0, Some(result)) => Ok(Response::Succeeded { seqid, result, signals }),
        (0, None) => Err("an answer without a result"),
        (1, _) => Ok(Response::Rejected { seqid, signals }),
        _ => Ok(Response::Failed { seqid, signals }),
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
                        (MAP, 2, 0) | (MAP, 1, 1 | 2) => answer.signals = read_signals(input)?,
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

fn read_signals(input: &mut Input<'_>) -> Result<ServerSignals, &'static str> {
    let mut signals = ServerSignals::default();
    for (name, value) in input.text_map()? {
        let measure = || std::str::from_utf8(value).ok().and_then(|value| value.parse::<f64>().ok());
        let measure = || measure().filter(|value| value.is_finite() && *value >= 0.0);
        match name {
            b"v" => signals.backpressure = measure(),
            b"w" => signals.retry_after_ms = measure(),
            b"l" => signals.no_retry_elsewhere = value == b"1",
            _ => {}
        }
    }
    Ok(signals)
}

fn exception<'a>(input: &mut Input<'a>, seqid: i32) -> Result<Response<'a>, &'static str> {
    let (mut what, mut number) = (&b""[..], 0);
    while let Some((kind, field)) = input.field()? {
        match (kind, field) {
            (STRING, 1) => what = input.binary()?,
            (I32, 2) => number = input.i32()?,
            _ => input.skip(kind, MOST_NESTED)?,
        }
    }
    // Unknown method, wrong type, protocol error: another backend would say the same.
    Ok(Response::Exception { seqid, permanent: matches!(number, 1 | 2 | 7), what })
}

#[cfg(test)]
mod tests;
