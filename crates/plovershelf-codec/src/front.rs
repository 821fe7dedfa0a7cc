//! Messages between clients and a backend, in Thrift's framed strict binary protocol. This module is the
//! backend's side.

use thiserror::Error;

use crate::{attempt_id, AttemptId};

mod binary_protocol;
pub mod client;

pub use binary_protocol::{FrameError, LENGTH_PREFIX_BYTES};
use binary_protocol::{
    Header, Reader, TextField, Writer, BOOL, CALL, EXCEPTION, I32, MAP, MAX_NESTED, ONEWAY, REPLY, STRING,
    STRUCT,
};

/// Maximum length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Exclusive upper bound of the memory of one request, in KiB.
pub const MEMORY_LIMIT_KB: f64 = 2000.0;
/// Maximum number of bytes of a rejected call's method name that its exception repeats.
const MAX_METHOD_BYTES: usize = 64;

/// Kind of an application exception, with its number in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceptionKind {
    /// The method is unknown.
    UnknownMethod = 1,
    /// The message type is not that of the method.
    WrongType = 2,
    /// The backend rejects the request because of its class, tenant, size, time or key, or because it has not
    /// started yet.
    Internal = 6,
    /// The content of the message is malformed.
    Protocol = 7,
}

/// A request as received from a client.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    /// Name of the request class.
    pub class: &'a str,
    /// Id of the attempt.
    pub id: AttemptId,
    /// Time at which the client sent the attempt, in Unix milliseconds.
    pub sent_ms: f64,
    /// Name of the tenant; empty if there are no tenants.
    pub tenant: &'a str,
    /// Timeout of the attempt in milliseconds, if the client set one.
    pub timeout_ms: Option<f64>,
    /// Memory that the request occupies while it is queued, in KiB.
    pub memory_kb: f64,
    /// Key of the data that a read accesses, or 0 if there is none.
    pub object: u64,
    /// Key by which a retry of the request is recognized.
    pub idempotency_key: Option<&'a str>,
    /// Core time that the client expects the request to need, in milliseconds.
    pub work_hint_ms: Option<f64>,
    /// Whether the client marked the attempt as a retry.
    pub marked_retry: bool,
    /// Input of the run.
    pub body: &'a [u8],
}

/// Message from a client.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// A request.
    Dispatch {
        /// Sequence number, which the response repeats.
        seqid: i32,
        /// The decoded request.
        request: Request<'a>,
    },
    /// The client cancels a request.
    Cancel {
        /// Sequence number of the request.
        seqid: i32,
    },
    /// A health check.
    Alive {
        /// Sequence number, which the response repeats.
        seqid: i32,
    },
    /// An unknown one-way message, which is ignored.
    Other,
}

/// Error of a frame from a client.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The header is malformed or the message is not a call. No exception can be sent, and the connection
    /// must be closed.
    #[error("{0}")]
    Malformed(FrameError),
    /// The frame is an invalid call, which must be answered with an exception.
    #[error("{reason}")]
    Rejected {
        /// Sequence number, which the exception repeats.
        seqid: i32,
        /// Name of the method, truncated to the length that the exception repeats.
        method: String,
        /// Kind of the exception.
        kind: ExceptionKind,
        /// Reason of the rejection.
        reason: RejectReason,
    },
}

/// Reason why a call is invalid. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The bytes of the call are malformed.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The call has no map of fields.
    #[error("no fields are there")]
    MissingFields,
    /// The call has no body.
    #[error("no body is there")]
    MissingBody,
    /// A field is missing.
    #[error("field {0:?} is missing")]
    MissingField(&'static str),
    /// A field is not UTF-8.
    #[error("field {0:?} is not UTF-8")]
    NotUtf8(&'static str),
    /// A field is not a finite number of at least 0.
    #[error("field {0:?} is no measure")]
    InvalidNumber(&'static str),
    /// The attempt id does not have 16 hexadecimal digits.
    #[error("field \"i\" is not 16 hex digits")]
    InvalidAttemptId,
    /// The priority is 1 or more.
    #[error("field \"p\" is not under 1")]
    PriorityTooHigh,
    /// The memory is 0 or not below [`MEMORY_LIMIT_KB`].
    #[error("field \"m\" is out of bounds")]
    MemoryOutOfBounds,
    /// The object is not a hexadecimal number.
    #[error("field \"o\" is not hex")]
    InvalidObject,
    /// The idempotency key is longer than [`MAX_IDEMPOTENCY_KEY_BYTES`].
    #[error("field \"k\" is too long")]
    KeyTooLong,
    /// A method that needs a response was sent as a one-way message.
    #[error("this is no oneway message")]
    UnexpectedOneway,
    /// The method is unknown.
    #[error("no such method")]
    UnknownMethod,
}

/// Returns the length of the first frame, or `None` if its length prefix is not complete yet.
///
/// # Errors
/// Returns an error if the length is negative or above `max_length`.
pub fn frame_length(read: &[u8], max_length: usize) -> Result<Option<usize>, FrameError> {
    let Some(prefix) = read.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    match usize::try_from(i32::from_be_bytes(*prefix)) {
        Ok(length) if length <= max_length => Ok(Some(length)),
        Ok(_) => Err(FrameError::TooLong),
        Err(_) => Err(FrameError::NegativeFrameLength),
    }
}

/// Returns the first frame without its length prefix, and its length in bytes with it, or `None` if it is not
/// complete yet.
///
/// # Errors
/// Returns an error if the length is negative or above `max_length`.
pub fn decode_first(read: &[u8], max_length: usize) -> Result<Option<(&[u8], usize)>, FrameError> {
    let Some(length) = frame_length(read, max_length)? else { return Ok(None) };
    let end = LENGTH_PREFIX_BYTES + length;
    Ok(read.get(LENGTH_PREFIX_BYTES..end).map(|frame| (frame, end)))
}

/// Decodes a client's message from a frame without its length prefix.
///
/// # Errors
/// Returns an error if the frame is malformed or is an invalid call.
pub fn decode(frame: &[u8]) -> Result<Message<'_>, DecodeError> {
    let mut reader = Reader::new(frame);
    let Header { message_type, method, seqid } = reader.header().map_err(DecodeError::Malformed)?;
    if message_type != CALL && message_type != ONEWAY {
        return Err(DecodeError::Malformed(FrameError::NotACall));
    }
    let rejected = |kind: ExceptionKind, reason: RejectReason| DecodeError::Rejected {
        seqid,
        method: String::from_utf8_lossy(&method[..method.len().min(MAX_METHOD_BYTES)]).into_owned(),
        kind,
        reason,
    };
    match (method, message_type) {
        (b"dispatch", CALL) => match dispatch(&mut reader) {
            Ok(request) => Ok(Message::Dispatch { seqid, request }),
            Err(reason) => Err(rejected(ExceptionKind::Protocol, reason)),
        },
        (b"cancelRequest", _) => match cancel(&mut reader) {
            Ok(seqid) => Ok(Message::Cancel { seqid }),
            Err(_) if message_type == ONEWAY => Ok(Message::Other),
            Err(error) => Err(rejected(ExceptionKind::Protocol, error.into())),
        },
        (b"alive", CALL) => match reader.skip(STRUCT, MAX_NESTED) {
            Ok(()) => Ok(Message::Alive { seqid }),
            Err(error) => Err(rejected(ExceptionKind::Protocol, error.into())),
        },
        (b"dispatch" | b"alive", _) => {
            Err(rejected(ExceptionKind::WrongType, RejectReason::UnexpectedOneway))
        }
        (_, ONEWAY) => Ok(Message::Other),
        _ => Err(rejected(ExceptionKind::UnknownMethod, RejectReason::UnknownMethod)),
    }
}

fn cancel(reader: &mut Reader<'_>) -> Result<i32, FrameError> {
    let mut seqid = None;
    while let Some((value_type, number)) = reader.field()? {
        match (value_type, number) {
            (I32, 1) => seqid = Some(reader.i32()?),
            _ => reader.skip(value_type, MAX_NESTED)?,
        }
    }
    seqid.ok_or(FrameError::MissingSequenceNumber)
}

fn dispatch<'a>(reader: &mut Reader<'a>) -> Result<Request<'a>, RejectReason> {
    let (mut fields, mut body) = (None, None);
    while let Some((value_type, number)) = reader.field()? {
        match (value_type, number) {
            (MAP, 1) => fields = Some(reader.text_map()?),
            (STRING, 2) => body = Some(reader.binary()?),
            _ => reader.skip(value_type, MAX_NESTED)?,
        }
    }
    let fields = Fields(fields.ok_or(RejectReason::MissingFields)?);
    request(&fields, body.ok_or(RejectReason::MissingBody)?)
}

/// The named fields of a request.
struct Fields<'a>(Vec<TextField<'a>>);

impl<'a> Fields<'a> {
    fn find(&self, name: &str) -> Option<&'a [u8]> {
        self.0.iter().find(|(key, _)| *key == name.as_bytes()).map(|(_, value)| *value)
    }

    fn text(&self, name: &'static str) -> Result<Option<&'a str>, RejectReason> {
        match self.find(name).map(std::str::from_utf8) {
            Some(Ok(value)) => Ok(Some(value)),
            None => Ok(None),
            Some(Err(_)) => Err(RejectReason::NotUtf8(name)),
        }
    }

    fn required_text(&self, name: &'static str) -> Result<&'a str, RejectReason> {
        self.text(name)?.ok_or(RejectReason::MissingField(name))
    }

    /// Returns a field as a finite number that is not negative.
    fn number(&self, name: &'static str) -> Result<Option<f64>, RejectReason> {
        match self.text(name)?.map(str::parse::<f64>) {
            None => Ok(None),
            Some(Ok(number)) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
            Some(_) => Err(RejectReason::InvalidNumber(name)),
        }
    }

    fn required_number(&self, name: &'static str) -> Result<f64, RejectReason> {
        self.number(name)?.ok_or(RejectReason::MissingField(name))
    }
}

/// Validates the fields of a request.
fn request<'a>(fields: &Fields<'a>, body: &'a [u8]) -> Result<Request<'a>, RejectReason> {
    let id = attempt_id(fields.required_text("i")?.as_bytes()).ok_or(RejectReason::InvalidAttemptId)?;
    if fields.required_number("p")? >= 1.0 {
        return Err(RejectReason::PriorityTooHigh);
    }
    let memory_kb = fields.required_number("m")?;
    if memory_kb <= 0.0 || memory_kb >= MEMORY_LIMIT_KB {
        return Err(RejectReason::MemoryOutOfBounds);
    }
    let object = match fields.text("o")? {
        None => 0,
        Some(hex) => u64::from_str_radix(hex, 16).map_err(|_| RejectReason::InvalidObject)?,
    };
    let idempotency_key = fields.text("k")?;
    if idempotency_key.is_some_and(|key| key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        return Err(RejectReason::KeyTooLong);
    }
    Ok(Request {
        class: fields.required_text("c")?,
        id,
        sent_ms: fields.required_number("s")?,
        tenant: fields.text("t")?.unwrap_or(""),
        timeout_ms: fields.number("d")?,
        memory_kb,
        object,
        idempotency_key,
        work_hint_ms: fields.number("h")?.filter(|hint| *hint > 0.0),
        marked_retry: fields.find("r").is_some_and(|value| value != b"0"),
        body,
    })
}

// ---- responses --------------------------------------------------------------------------------------

/// Signals of a backend to a client, included in each response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// Backpressure level. The client's settings define its meaning.
    pub backpressure: Option<f64>,
    /// Retry-After: time for which the client must not send requests to this backend, in milliseconds.
    pub retry_after_ms: Option<f64>,
    /// Whether other backends would reject a retry as well.
    pub no_retry_elsewhere: bool,
}

impl ServerSignals {
    /// Writes the signals as a map field with this field number.
    fn write(&self, writer: &mut Writer, number: i16) {
        let fields = [
            self.backpressure.map(|level| ("v", format!("{level:.4}"))),
            self.retry_after_ms.map(|retry_after| ("w", format!("{}", retry_after.ceil() as u64))),
            self.no_retry_elsewhere.then(|| ("l", "1".to_string())),
        ];
        let encoded =
            fields.each_ref().map(|field| field.as_ref().map(|(name, value)| (*name, value.as_bytes())));
        writer.text_map(number, &encoded);
    }
}

fn response(method: &str, seqid: i32, result: &[u8], signals: &ServerSignals, flag: bool) -> Vec<u8> {
    let mut writer = Writer::message(REPLY, method, seqid);
    writer.field(STRUCT, 0);
    writer.field(STRING, 1);
    writer.binary(result);
    signals.write(&mut writer, 2);
    writer.field(BOOL, 3);
    writer.u8(u8::from(flag));
    writer.finish(2)
}

/// Encodes the response to a request that succeeded. `result` is sent unchanged.
pub fn succeeded(seqid: i32, result: &[u8], signals: &ServerSignals) -> Vec<u8> {
    response("dispatch", seqid, result, signals, true)
}

/// Encodes the response to a health check.
pub fn health(seqid: i32, ready: bool, signals: &ServerSignals) -> Vec<u8> {
    response("alive", seqid, b"", signals, ready)
}

/// Encodes a declared exception. `number` is its field number in the method's result struct.
fn declared_exception(seqid: i32, number: i16, signals: &ServerSignals) -> Vec<u8> {
    let mut writer = Writer::message(REPLY, "dispatch", seqid);
    writer.field(STRUCT, number);
    signals.write(&mut writer, 1);
    writer.finish(2)
}

/// Encodes the response to an attempt that was rejected and did not run.
pub fn rejected(seqid: i32, signals: &ServerSignals) -> Vec<u8> {
    declared_exception(seqid, 1, signals)
}

/// Encodes the response to an attempt that failed and may have taken effect.
pub fn failed(seqid: i32, signals: &ServerSignals) -> Vec<u8> {
    declared_exception(seqid, 2, signals)
}

/// Encodes an application exception, the response to a message that the backend does not accept.
pub fn exception(seqid: i32, method: &str, kind: ExceptionKind, message: &str) -> Vec<u8> {
    let mut writer = Writer::message(EXCEPTION, method, seqid);
    writer.field(STRING, 1);
    writer.binary(message.as_bytes());
    writer.field(I32, 2);
    writer.i32(kind as i32);
    writer.finish(1)
}

/// Encodes the one-way message that announces that the backend reads no more requests on the connection.
pub fn closing() -> Vec<u8> {
    Writer::message(ONEWAY, "closing", 0).finish(1)
}

#[cfg(test)]
mod tests;
