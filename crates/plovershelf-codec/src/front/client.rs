//! The clients' side of the front: what they send, and what they receive from a backend.

use super::binary_protocol::{
    FrameError, Header, Reader, Writer, BOOL, CALL, EXCEPTION, I32, MAP, MAX_NESTED, ONEWAY, REPLY, STRING,
    STRUCT,
};
pub use super::decode_first;
use super::{ExceptionKind, ServerSignals};
use crate::lines::measure;
use crate::AttemptId;

/// One attempt of a request, as its client describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt<'a> {
    /// Name of the request class.
    pub class: &'a str,
    /// New with every attempt.
    pub id: AttemptId,
    /// When this attempt was handed over, in Unix milliseconds.
    pub sent_ms: u64,
    /// The client's number.
    pub caller: u32,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// How long the client waits for this attempt, from `sent_ms` on.
    pub timeout_ms: Option<f64>,
    /// Memory to book for it in KiB, above 0 and under 2,000.
    pub memory_kb: f64,
    /// Priority, from 0 to under 1.
    pub rank: f64,
    /// What a read is about.
    pub object: Option<u64>,
    /// By what a retry of a keyed request is recognised.
    pub idempotency_key: Option<&'a str>,
    /// Core time that it is expected to need.
    pub work_hint_ms: Option<f64>,
    /// It is not the first attempt. Backends that do not know the field skip it.
    pub marked_retry: bool,
    /// What the run is given.
    pub body: &'a [u8],
}

/// What a backend sends.
#[derive(Debug, PartialEq)]
pub enum Response<'a> {
    /// The result of a run.
    Succeeded {
        /// Sequence number of the request.
        seqid: i32,
        /// The result.
        result: &'a [u8],
        /// What the backend says of itself.
        signals: ServerSignals,
    },
    /// The attempt never ran.
    Rejected {
        /// Sequence number of the request.
        seqid: i32,
        /// What the backend says of itself.
        signals: ServerSignals,
    },
    /// The attempt failed and may have taken effect.
    Failed {
        /// Sequence number of the request.
        seqid: i32,
        /// What the backend says of itself.
        signals: ServerSignals,
    },
    /// The backend does not accept what was sent.
    Exception {
        /// Sequence number of the message.
        seqid: i32,
        /// Every other backend would say the same.
        permanent: bool,
        /// What is wrong.
        what: &'a [u8],
    },
    /// The answer to a health check.
    Health {
        /// Sequence number of the health check.
        seqid: i32,
        /// The backend is ready for requests.
        ready: bool,
        /// What the backend says of itself.
        signals: ServerSignals,
    },
    /// No new request is to come on this connection.
    Closing,
    /// An unknown message that wants no answer.
    Other,
}

/// Encodes a request as a complete frame.
pub fn dispatch(seqid: i32, attempt: &Attempt<'_>) -> Vec<u8> {
    let mut writer = Writer::message(CALL, "dispatch", seqid);
    let sent = attempt.sent_ms.to_string();
    let caller = attempt.caller.to_string();
    let memory = format!("{:.1}", attempt.memory_kb.clamp(0.1, 1999.9));
    let rank = format!("{:.4}", attempt.rank.clamp(0.0, 0.9999));
    // Rounded down, so that a backend never believes in more time than there is.
    let timeout = attempt.timeout_ms.map(|timeout| format!("{}", timeout.max(0.0).floor() as u64));
    let hint = attempt.work_hint_ms.map(|hint| format!("{hint:.1}"));
    let object = attempt.object.map(|object| format!("{object:016x}"));
    let fields: [Option<(&str, &[u8])>; 12] = [
        Some(("c", attempt.class.as_bytes())),
        Some(("i", &attempt.id)),
        Some(("s", sent.as_bytes())),
        Some(("f", caller.as_bytes())),
        Some(("t", attempt.tenant.as_bytes())),
        timeout.as_ref().map(|timeout| ("d", timeout.as_bytes())),
        Some(("m", memory.as_bytes())),
        Some(("p", rank.as_bytes())),
        object.as_ref().map(|object| ("o", object.as_bytes())),
        attempt.idempotency_key.map(|key| ("k", key.as_bytes())),
        hint.as_ref().map(|hint| ("h", hint.as_bytes())),
        attempt.marked_retry.then_some(("r", b"1")),
    ];
    writer.text_map(1, &fields);
    writer.field(STRING, 2);
    writer.binary(attempt.body);
    writer.finish(1)
}

/// The client no longer waits for the request of this sequence number.
pub fn cancel(seqid: i32) -> Vec<u8> {
    let mut writer = Writer::message(ONEWAY, "cancelRequest", 0);
    writer.field(I32, 1);
    writer.i32(seqid);
    writer.finish(1)
}

/// A health check.
pub fn alive(seqid: i32) -> Vec<u8> {
    let mut writer = Writer::message(CALL, "alive", seqid);
    writer.field(BOOL, 1);
    writer.u8(1);
    writer.finish(1)
}

/// Decodes a backend's message out of one frame without its length.
///
/// # Errors
/// The frame is no message of a backend.
pub fn decode_response(frame: &[u8]) -> Result<Response<'_>, FrameError> {
    let mut reader = Reader::new(frame);
    let Header { message_type, method, seqid } = reader.header()?;
    match (message_type, method) {
        (REPLY, b"dispatch") => read_dispatch_reply(&mut reader, seqid),
        (REPLY, b"alive") => match read_reply(&mut reader)? {
            Reply { number: 0, good, signals, .. } => Ok(Response::Health { seqid, ready: good, signals }),
            _ => Err(FrameError::HealthException),
        },
        (EXCEPTION, _) => read_exception(&mut reader, seqid),
        (ONEWAY, b"closing") => Ok(Response::Closing),
        (ONEWAY, _) => Ok(Response::Other),
        _ => Err(FrameError::NotAnAnswer),
    }
}

/// The struct that a reply holds.
#[derive(Default)]
struct Reply<'a> {
    /// Its number in the method's definition: 0 is the result, others are declared exceptions.
    number: i16,
    result: Option<&'a [u8]>,
    signals: ServerSignals,
    good: bool,
}

fn read_dispatch_reply<'a>(reader: &mut Reader<'a>, seqid: i32) -> Result<Response<'a>, FrameError> {
    let Reply { number, result, signals, .. } = read_reply(reader)?;
    match (number, result) {
        (0, Some(result)) => Ok(Response::Succeeded { seqid, result, signals }),
        (0, None) => Err(FrameError::NoResult),
        (1, _) => Ok(Response::Rejected { seqid, signals }),
        _ => Ok(Response::Failed { seqid, signals }),
    }
}

fn read_reply<'a>(reader: &mut Reader<'a>) -> Result<Reply<'a>, FrameError> {
    let mut found = None;
    while let Some((value_type, number)) = reader.field()? {
        match (value_type, number) {
            (STRUCT, 0..=2) if found.is_none() => found = Some(read_reply_struct(reader, number)?),
            _ => reader.skip(value_type, MAX_NESTED)?,
        }
    }
    found.ok_or(FrameError::EmptyReply)
}

fn read_reply_struct<'a>(reader: &mut Reader<'a>, number: i16) -> Result<Reply<'a>, FrameError> {
    let mut reply = Reply { number, ..Reply::default() };
    while let Some((value_type, field)) = reader.field()? {
        match (value_type, field, number) {
            (STRING, 1, 0) => reply.result = Some(reader.binary()?),
            (MAP, 2, 0) | (MAP, 1, 1 | 2) => reply.signals = read_signals(reader)?,
            (BOOL, 3, 0) => reply.good = reader.u8()? != 0,
            _ => reader.skip(value_type, MAX_NESTED)?,
        }
    }
    Ok(reply)
}

fn read_signals(reader: &mut Reader<'_>) -> Result<ServerSignals, FrameError> {
    let mut signals = ServerSignals::default();
    for (name, value) in reader.text_map()? {
        match name {
            b"v" => signals.backpressure = measure(value),
            b"w" => signals.retry_after_ms = measure(value),
            b"l" => signals.no_retry_elsewhere = value == b"1",
            _ => {}
        }
    }
    Ok(signals)
}

fn read_exception<'a>(reader: &mut Reader<'a>, seqid: i32) -> Result<Response<'a>, FrameError> {
    let (mut what, mut kind) = (&b""[..], 0);
    while let Some((value_type, field)) = reader.field()? {
        match (value_type, field) {
            (STRING, 1) => what = reader.binary()?,
            (I32, 2) => kind = reader.i32()?,
            _ => reader.skip(value_type, MAX_NESTED)?,
        }
    }
    let permanent = [ExceptionKind::UnknownMethod, ExceptionKind::WrongType, ExceptionKind::Protocol];
    let permanent = permanent.iter().any(|one| *one as i32 == kind);
    Ok(Response::Exception { seqid, permanent, what })
}

#[cfg(test)]
mod tests;
