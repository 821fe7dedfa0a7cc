//! The client's side of the protocol: encodes messages to a backend and decodes those from it.

use super::binary_protocol::{
    FrameError, Header, Reader, Writer, BOOL, CALL, EXCEPTION, I32, MAP, MAX_NESTED, ONEWAY, REPLY, STRING,
    STRUCT,
};
pub use super::decode_first;
use super::{ExceptionKind, ServerSignals};
use crate::lines::non_negative;
use crate::AttemptId;

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt<'a> {
    /// Name of the request class.
    pub class: &'a str,
    /// Id of the attempt, unique to each attempt.
    pub id: AttemptId,
    /// Time at which the client sends the attempt, in Unix milliseconds.
    pub sent_ms: u64,
    /// Number that identifies the client.
    pub caller: u32,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Timeout of the attempt in milliseconds, counted from `sent_ms`.
    pub timeout_ms: Option<f64>,
    /// Memory to reserve for the request in KiB, more than 0 and less than 2,000.
    pub memory_kb: f64,
    /// Priority, from 0 to less than 1.
    pub rank: f64,
    /// Key of the data that a read accesses.
    pub object: Option<u64>,
    /// Key by which a retry of the request is recognized.
    pub idempotency_key: Option<&'a str>,
    /// Core time that the request is expected to need, in milliseconds.
    pub work_hint_ms: Option<f64>,
    /// Whether the attempt is a retry. Backends that do not know the field ignore it.
    pub marked_retry: bool,
    /// Input of the run.
    pub body: &'a [u8],
}

/// Message from a backend.
#[derive(Debug, PartialEq)]
pub enum Response<'a> {
    /// The request succeeded.
    Succeeded {
        /// Sequence number of the request.
        seqid: i32,
        /// Result of the run.
        result: &'a [u8],
        /// Signals of the backend.
        signals: ServerSignals,
    },
    /// The attempt was rejected and did not run.
    Rejected {
        /// Sequence number of the request.
        seqid: i32,
        /// Signals of the backend.
        signals: ServerSignals,
    },
    /// The attempt failed and may have taken effect.
    Failed {
        /// Sequence number of the request.
        seqid: i32,
        /// Signals of the backend.
        signals: ServerSignals,
    },
    /// The backend does not accept the message.
    Exception {
        /// Sequence number of the message.
        seqid: i32,
        /// Whether every other backend would respond with the same exception.
        permanent: bool,
        /// Text of the exception.
        message: &'a [u8],
    },
    /// Response to a health check.
    Health {
        /// Sequence number of the health check.
        seqid: i32,
        /// Whether the backend is ready for requests.
        ready: bool,
        /// Signals of the backend.
        signals: ServerSignals,
    },
    /// The backend reads no more requests on the connection.
    Closing,
    /// An unknown one-way message, which is ignored.
    Other,
}

/// Encodes an attempt as a complete frame.
pub fn dispatch(seqid: i32, attempt: &Attempt<'_>) -> Vec<u8> {
    let mut writer = Writer::message(CALL, "dispatch", seqid);
    let sent = attempt.sent_ms.to_string();
    let caller = attempt.caller.to_string();
    let memory = format!("{:.1}", attempt.memory_kb.clamp(0.1, 1999.9));
    let rank = format!("{:.4}", attempt.rank.clamp(0.0, 0.9999));
    // Rounded down, so that the backend's deadline is never later than the client's.
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

/// Encodes the cancellation of the request with this sequence number.
pub fn cancel(seqid: i32) -> Vec<u8> {
    let mut writer = Writer::message(ONEWAY, "cancelRequest", 0);
    writer.field(I32, 1);
    writer.i32(seqid);
    writer.finish(1)
}

/// Encodes a health check.
pub fn alive(seqid: i32) -> Vec<u8> {
    let mut writer = Writer::message(CALL, "alive", seqid);
    writer.field(BOOL, 1);
    writer.u8(1);
    writer.finish(1)
}

/// Decodes a backend's message from a frame without its length prefix.
///
/// # Errors
/// Returns an error if the frame is malformed or is not a message that a backend sends.
pub fn decode_response(frame: &[u8]) -> Result<Response<'_>, FrameError> {
    let mut reader = Reader::new(frame);
    let Header { message_type, method, seqid } = reader.header()?;
    match (message_type, method) {
        (REPLY, b"dispatch") => read_dispatch_reply(&mut reader, seqid),
        (REPLY, b"alive") => match read_reply(&mut reader)? {
            Reply { number: 0, flag, signals, .. } => Ok(Response::Health { seqid, ready: flag, signals }),
            _ => Err(FrameError::HealthCheckException),
        },
        (EXCEPTION, _) => read_exception(&mut reader, seqid),
        (ONEWAY, b"closing") => Ok(Response::Closing),
        (ONEWAY, _) => Ok(Response::Other),
        _ => Err(FrameError::UnexpectedMessage),
    }
}

/// The result struct or declared exception in a reply.
#[derive(Default)]
struct Reply<'a> {
    /// Field number in the method's definition: 0 for the result, others for declared exceptions.
    number: i16,
    result: Option<&'a [u8]>,
    signals: ServerSignals,
    /// Success of a request, or readiness in the response to a health check.
    flag: bool,
}

fn read_dispatch_reply<'a>(reader: &mut Reader<'a>, seqid: i32) -> Result<Response<'a>, FrameError> {
    let Reply { number, result, signals, .. } = read_reply(reader)?;
    match (number, result) {
        (0, Some(result)) => Ok(Response::Succeeded { seqid, result, signals }),
        (0, None) => Err(FrameError::MissingResult),
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
            (BOOL, 3, 0) => reply.flag = reader.u8()? != 0,
            _ => reader.skip(value_type, MAX_NESTED)?,
        }
    }
    Ok(reply)
}

fn read_signals(reader: &mut Reader<'_>) -> Result<ServerSignals, FrameError> {
    let mut signals = ServerSignals::default();
    for (name, value) in reader.text_map()? {
        match name {
            b"v" => signals.backpressure = non_negative(value),
            b"w" => signals.retry_after_ms = non_negative(value),
            b"l" => signals.no_retry_elsewhere = value == b"1",
            _ => {}
        }
    }
    Ok(signals)
}

fn read_exception<'a>(reader: &mut Reader<'a>, seqid: i32) -> Result<Response<'a>, FrameError> {
    let (mut message, mut kind) = (&b""[..], 0);
    while let Some((value_type, field)) = reader.field()? {
        match (value_type, field) {
            (STRING, 1) => message = reader.binary()?,
            (I32, 2) => kind = reader.i32()?,
            _ => reader.skip(value_type, MAX_NESTED)?,
        }
    }
    let permanent_kinds = [ExceptionKind::UnknownMethod, ExceptionKind::WrongType, ExceptionKind::Protocol];
    let permanent = permanent_kinds.iter().any(|permanent_kind| *permanent_kind as i32 == kind);
    Ok(Response::Exception { seqid, permanent, message })
}

#[cfg(test)]
mod tests;
