//! Messages between clients and a backend: Thrift's strict binary protocol in frames. This is the backend's side.

use thiserror::Error;

use crate::{attempt_id, AttemptId};

mod binary_protocol;
pub mod client;

pub use binary_protocol::{FrameError, LENGTH_BYTES};
use binary_protocol::{
    Header, Reader, TextField, Writer, BOOL, CALL, EXCEPTION, I32, MAP, MAX_NESTED, ONEWAY, REPLY, STRING,
    STRUCT,
};

/// The longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Memory that one request may claim, in KiB; below this.
pub const MEMORY_LIMIT_KB: f64 = 2000.0;
/// As much of an unknown method's name as its exception repeats, in bytes.
const SHOWN_OF_METHOD: usize = 64;

/// Kinds of application exceptions, as the protocol numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceptionKind {
    /// There is no such method.
    UnknownMethod = 1,
    /// The message is of another type than its method's.
    WrongType = 2,
    /// The backend refuses the request as it is: its class, tenant, size, time or key; or it has not started yet.
    Internal = 6,
    /// What the message holds is malformed.
    Protocol = 7,
}

/// A request as its client describes it.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    /// Name of the request class.
    pub class: &'a str,
    /// The client's name for this attempt.
    pub id: AttemptId,
    /// When the client handed it over, in Unix milliseconds.
    pub sent_ms: f64,
    /// Name of the tenant; empty where there are none.
    pub tenant: &'a str,
    /// How long the client waits for this attempt.
    pub timeout_ms: Option<f64>,
    /// Memory while it is queued, in KiB.
    pub memory_kb: f64,
    /// What a read is about; 0 for nothing.
    pub object: u64,
    /// By what a retry of a keyed request is recognised.
    pub idempotency_key: Option<&'a str>,
    /// Core time that the client expects it to need.
    pub work_hint_ms: Option<f64>,
    /// The client has marked it as a retry.
    pub marked_retry: bool,
    /// What the run is given.
    pub body: &'a [u8],
}

/// What a client sends.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// A request.
    Dispatch {
        /// Sequence number, which the response repeats.
        seqid: i32,
        /// The request.
        request: Request<'a>,
    },
    /// The client no longer waits for this request.
    Cancel {
        /// Sequence number of the request.
        seqid: i32,
    },
    /// A health check.
    Alive {
        /// Sequence number, which the response repeats.
        seqid: i32,
    },
    /// An unknown message that wants no answer.
    Other,
}

/// A frame that is not accepted.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// It can't be told apart from noise: the connection is no good.
    #[error("{0}")]
    Malformed(FrameError),
    /// It is a call, and its client is told what is wrong.
    #[error("{reason}")]
    Rejected {
        /// Sequence number, which the exception repeats.
        seqid: i32,
        /// The method, cut to a length that can be repeated.
        method: String,
        /// Kind of the exception.
        kind: ExceptionKind,
        /// What is wrong.
        reason: RejectReason,
    },
}

/// What is wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// Its bytes are malformed.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// It has no map of fields.
    #[error("no fields are there")]
    NoFields,
    /// It has no body.
    #[error("no body is there")]
    NoBody,
    /// A field is missing.
    #[error("field {0:?} is missing")]
    MissingField(&'static str),
    /// A field is not text.
    #[error("field {0:?} is not UTF-8")]
    NotUtf8(&'static str),
    /// A field is not a finite number of at least 0.
    #[error("field {0:?} is no measure")]
    NotAMeasure(&'static str),
    /// The attempt's name has another form.
    #[error("field \"i\" is not 16 hex digits")]
    BadAttemptId,
    /// The priority is 1 or more.
    #[error("field \"p\" is not under 1")]
    PriorityTooHigh,
    /// The memory is 0 or more than any request may claim.
    #[error("field \"m\" is out of bounds")]
    MemoryOutOfBounds,
    /// The object is no number.
    #[error("field \"o\" is not hex")]
    BadObject,
    /// The idempotency key is too long.
    #[error("field \"k\" is too long")]
    KeyTooLong,
    /// A call was sent as a one-way message.
    #[error("this is no oneway message")]
    NotOneway,
    /// There is no such method.
    #[error("no such method")]
    UnknownMethod,
}

/// Length of the frame that the bytes begin with, or `None` while its four bytes are not complete.
///
/// # Errors
/// The length is negative or above `max_length`.
pub fn frame_length(read: &[u8], max_length: usize) -> Result<Option<usize>, FrameError> {
    let Some(head) = read.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    match usize::try_from(i32::from_be_bytes(*head)) {
        Ok(length) if length <= max_length => Ok(Some(length)),
        Ok(_) => Err(FrameError::TooLong),
        Err(_) => Err(FrameError::NegativeFrameLength),
    }
}

/// The first complete frame without its length, and the bytes it takes; `None` until it is complete.
///
/// # Errors
/// The frame's length is negative or above `max_length`.
pub fn decode_first(read: &[u8], max_length: usize) -> Result<Option<(&[u8], usize)>, FrameError> {
    let Some(length) = frame_length(read, max_length)? else { return Ok(None) };
    let end = LENGTH_BYTES + length;
    Ok(read.get(LENGTH_BYTES..end).map(|frame| (frame, end)))
}

/// Decodes a client's message out of one frame without its length.
///
/// # Errors
/// The frame is malformed, or a call that its client has to be told about.
pub fn decode(frame: &[u8]) -> Result<Message<'_>, DecodeError> {
    let mut reader = Reader::new(frame);
    let Header { message_type, method, seqid } = reader.header().map_err(DecodeError::Malformed)?;
    if message_type != CALL && message_type != ONEWAY {
        return Err(DecodeError::Malformed(FrameError::NotACall));
    }
    let rejected = |kind: ExceptionKind, reason: RejectReason| DecodeError::Rejected {
        seqid,
        method: String::from_utf8_lossy(&method[..method.len().min(SHOWN_OF_METHOD)]).into_owned(),
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
        (b"dispatch" | b"alive", _) => Err(rejected(ExceptionKind::WrongType, RejectReason::NotOneway)),
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
    seqid.ok_or(FrameError::NoSequenceNumber)
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
    let fields = Fields(fields.ok_or(RejectReason::NoFields)?);
    request(&fields, body.ok_or(RejectReason::NoBody)?)
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

    fn measure(&self, name: &'static str) -> Result<Option<f64>, RejectReason> {
        match self.text(name)?.map(str::parse::<f64>) {
            None => Ok(None),
            Some(Ok(number)) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
            Some(_) => Err(RejectReason::NotAMeasure(name)),
        }
    }

    fn required_measure(&self, name: &'static str) -> Result<f64, RejectReason> {
        self.measure(name)?.ok_or(RejectReason::MissingField(name))
    }
}

fn request<'a>(fields: &Fields<'a>, body: &'a [u8]) -> Result<Request<'a>, RejectReason> {
    let id = attempt_id(fields.required_text("i")?.as_bytes()).ok_or(RejectReason::BadAttemptId)?;
    if fields.required_measure("p")? >= 1.0 {
        return Err(RejectReason::PriorityTooHigh);
    }
    let memory_kb = fields.required_measure("m")?;
    if memory_kb <= 0.0 || memory_kb >= MEMORY_LIMIT_KB {
        return Err(RejectReason::MemoryOutOfBounds);
    }
    let object = match fields.text("o")? {
        None => 0,
        Some(hex) => u64::from_str_radix(hex, 16).map_err(|_| RejectReason::BadObject)?,
    };
    let idempotency_key = fields.text("k")?;
    if idempotency_key.is_some_and(|key| key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        return Err(RejectReason::KeyTooLong);
    }
    Ok(Request {
        class: fields.required_text("c")?,
        id,
        sent_ms: fields.required_measure("s")?,
        tenant: fields.text("t")?.unwrap_or(""),
        timeout_ms: fields.measure("d")?,
        memory_kb,
        object,
        idempotency_key,
        work_hint_ms: fields.measure("h")?.filter(|hint| *hint > 0.0),
        marked_retry: fields.find("r").is_some_and(|value| value != b"0"),
        body,
    })
}

// ---- responses --------------------------------------------------------------------------------------

/// What a backend says of itself beside a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// The backpressure level; the settings say how clients interpret it.
    pub backpressure: Option<f64>,
    /// Send nothing here for this long.
    pub retry_after_ms: Option<f64>,
    /// A retry at another backend would not help.
    pub no_retry_elsewhere: bool,
}

impl ServerSignals {
    fn write(&self, writer: &mut Writer, number: i16) {
        let fields = [
            self.backpressure.map(|level| ("v", format!("{level:.4}"))),
            self.retry_after_ms.map(|span| ("w", format!("{}", span.ceil() as u64))),
            self.no_retry_elsewhere.then(|| ("l", "1".to_string())),
        ];
        let encoded =
            fields.each_ref().map(|field| field.as_ref().map(|(name, value)| (*name, value.as_bytes())));
        writer.text_map(number, &encoded);
    }
}

fn response(method: &str, seqid: i32, result: &[u8], signals: &ServerSignals, good: bool) -> Vec<u8> {
    let mut writer = Writer::message(REPLY, method, seqid);
    writer.field(STRUCT, 0);
    writer.field(STRING, 1);
    writer.binary(result);
    signals.write(&mut writer, 2);
    writer.field(BOOL, 3);
    writer.u8(u8::from(good));
    writer.finish(2)
}

/// The result that a run returned, unchanged.
pub fn succeeded(seqid: i32, result: &[u8], signals: &ServerSignals) -> Vec<u8> {
    response("dispatch", seqid, result, signals, true)
}

/// The answer to a health check.
pub fn health(seqid: i32, ready: bool, signals: &ServerSignals) -> Vec<u8> {
    response("alive", seqid, b"", signals, ready)
}

/// A declared exception, by its number in the method's definition.
fn declared_exception(seqid: i32, number: i16, signals: &ServerSignals) -> Vec<u8> {
    let mut writer = Writer::message(REPLY, "dispatch", seqid);
    writer.field(STRUCT, number);
    signals.write(&mut writer, 1);
    writer.finish(2)
}

/// The attempt never ran.
pub fn rejected(seqid: i32, signals: &ServerSignals) -> Vec<u8> {
    declared_exception(seqid, 1, signals)
}

/// The attempt failed and may have taken effect.
pub fn failed(seqid: i32, signals: &ServerSignals) -> Vec<u8> {
    declared_exception(seqid, 2, signals)
}

/// An application exception: the backend does not accept the message.
pub fn exception(seqid: i32, method: &str, kind: ExceptionKind, what: &str) -> Vec<u8> {
    let mut writer = Writer::message(EXCEPTION, method, seqid);
    writer.field(STRING, 1);
    writer.binary(what.as_bytes());
    writer.field(I32, 2);
    writer.i32(kind as i32);
    writer.finish(1)
}

/// No new request is to come on this connection.
pub fn closing() -> Vec<u8> {
    Writer::message(ONEWAY, "closing", 0).finish(1)
}

#[cfg(test)]
mod tests;
