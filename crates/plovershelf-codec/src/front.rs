//! What sidecars and backends say to each other: Thrift's strict binary protocol in frames.

use crate::{attempt_id, AttemptId};

pub mod client;

/// Bounds on what one frame may hold, beside the frame's own size.
const MOST_NESTED: u32 = 16;
const MOST_FIELDS: usize = 64;
const LONGEST_TICKET: usize = 128;

const STRICT: u32 = 0x8001_0000;
const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;

const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

/// Kinds of application exceptions, as the protocol numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceptionKind {
    UnknownMethod = 1,
    WrongType = 2,
    Internal = 6,
    Protocol = 7,
}

/// An invocation as its caller describes it.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    pub class: &'a str,
    pub id: AttemptId,
    pub sent_ms: f64,
    pub tenant: &'a str,
    /// How long the caller waits for this try.
    pub timeout_ms: Option<f64>,
    pub memory_kb: f64,
    /// What a read is about; 0 for nothing.
    pub object: u64,
    /// The mark by which repeats of a ticketed invocation are known.
    pub idempotency_key: Option<&'a str>,
    pub work_hint_ms: Option<f64>,
    pub marked_retry: bool,
    pub body: &'a [u8],
}

#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    Dispatch {
        seqid: i32,
        request: Request<'a>,
    },
    Cancel {
        seqid: i32,
    },
    Alive {
        seqid: i32,
    },
    /// A message that wants no answer and is not known.
    Other,
}

/// A frame that can't be taken.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// What is said can't be told apart from noise: the connection is no good.
    Malformed(&'static str),
    /// It is a call, and its caller is told what is wrong.
    Rejected { seqid: i32, method: String, kind: ExceptionKind, what: String },
}

/// The length of the frame that the bytes begin with, or `None` while its four bytes are not all there.
pub fn frame_length(read: &[u8], most: usize) -> Result<Option<usize>, &'static str> {
    let Some(head) = read.first_chunk::<4>() else { return Ok(None) };
    match usize::try_from(i32::from_be_bytes(*head)) {
        Ok(length) if length <= most => Ok(Some(length)),
        Ok(_) => Err("a frame is too long"),
        Err(_) => Err("a frame has a negative length"),
    }
}

/// A field's name and its value.
type Pair<'a> = (&'a [u8], &'a [u8]);

struct Input<'a> {
    left: &'a [u8],
}

const SHORT: &str = "the frame ends inside a value";

impl<'a> Input<'a> {
    fn bytes(&mut self, length: usize) -> Result<&'a [u8], &'static str> {
        let (taken, left) = self.left.split_at_checked(length).ok_or(SHORT)?;
        self.left = left;
        Ok(taken)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], &'static str> {
        let (taken, left) = self.left.split_first_chunk::<N>().ok_or(SHORT)?;
        self.left = left;
        Ok(*taken)
    }
    fn u8(&mut self) -> Result<u8, &'static str> {
        Ok(self.array::<1>()?[0])
    }
    fn i32(&mut self) -> Result<i32, &'static str> {
        Ok(i32::from_be_bytes(self.array()?))
    }
    fn count(&mut self) -> Result<usize, &'static str> {
        usize::try_from(self.i32()?).map_err(|_| "a negative length")
    }
    fn binary(&mut self) -> Result<&'a [u8], &'static str> {
        let length = self.count()?;
        self.bytes(length)
    }
    /// The type and number of the next field, or `None` at the end of the struct.
    fn field(&mut self) -> Result<Option<(u8, i16)>, &'static str> {
        match self.u8()? {
            STOP => Ok(None),
            kind => Ok(Some((kind, i16::from_be_bytes(self.array()?)))),
        }
    }
    fn skip(&mut self, kind: u8, depth: u32) -> Result<(), &'static str> {
        if depth == 0 {
            return Err("values are nested too deep");
        }
        match kind {
            BOOL | 3 => self.bytes(1).map(drop),
            6 => self.bytes(2).map(drop),
            I32 => self.bytes(4).map(drop),
            4 | 10 => self.bytes(8).map(drop),
            STRING => self.binary().map(drop),
            STRUCT => {
                while let Some((kind, _)) = self.field()? {
                    self.skip(kind, depth - 1)?;
                }
                Ok(())
            }
            MAP => {
                let (key, value) = (self.u8()?, self.u8()?);
                for _ in 0..self.count()? {
                    self.skip(key, depth - 1)?;
                    self.skip(value, depth - 1)?;
                }
                Ok(())
            }
            14 | 15 => {
                let of = self.u8()?;
                for _ in 0..self.count()? {
                    self.skip(of, depth - 1)?;
                }
                Ok(())
            }
            _ => Err("a value of an unknown type"),
        }
    }
    fn text_map(&mut self) -> Result<Vec<Pair<'a>>, &'static str> {
        let kinds = (self.u8()?, self.u8()?);
        let count = self.count()?;
        if count > 0 && kinds != (STRING, STRING) {
            return Err("the fields are not text");
        }
        if count > MOST_FIELDS {
            return Err("too many fields");
        }
        (0..count).map(|_| Ok((self.binary()?, self.binary()?))).collect()
    }
}

/// Takes the message out of one whole frame, without its length.
pub fn decode(frame: &[u8]) -> Result<Message<'_>, DecodeError> {
    let mut input = Input { left: frame };
    let (kind, method, seqid) = head(&mut input).map_err(DecodeError::Malformed)?;
    if kind != CALL && kind != ONEWAY {
        return Err(DecodeError::Malformed("not a call"));
    }
    let refused = |kind: ExceptionKind, what: String| DecodeError::Rejected {
        seqid,
        method: String::from_utf8_lossy(&method[..method.len().min(64)]).into_owned(),
        kind,
        what,
    };
    match (method, kind) {
        (b"dispatch", CALL) => match dispatch(&mut input) {
            Ok(request) => Ok(Message::Dispatch { seqid, request }),
            Err(what) => Err(refused(ExceptionKind::Protocol, what)),
        },
        (b"cancelRequest", _) => match cancel(&mut input) {
            Ok(of) => Ok(Message::Cancel { seqid: of }),
            Err(_) if kind == ONEWAY => Ok(Message::Other),
            Err(what) => Err(refused(ExceptionKind::Protocol, what.to_string())),
        },
        (b"alive", CALL) => match input.skip(STRUCT, MOST_NESTED) {
            Ok(()) => Ok(Message::Alive { seqid }),
            Err(what) => Err(refused(ExceptionKind::Protocol, what.to_string())),
        },
        (b"dispatch" | b"alive", _) => {
            Err(refused(ExceptionKind::WrongType, "this is no oneway message".into()))
        }
        (_, ONEWAY) => Ok(Message::Other),
        _ => Err(refused(ExceptionKind::UnknownMethod, "no such method".into())),
    }
}

fn head<'a>(input: &mut Input<'a>) -> Result<(u8, &'a [u8], i32), &'static str> {
    let version = u32::from_be_bytes(input.array()?);
    if version & 0xffff_0000 != STRICT {
        return Err("not the strict binary protocol");
    }
    let method = input.binary()?;
    Ok((version as u8, method, input.i32()?))
}

fn cancel(input: &mut Input<'_>) -> Result<i32, &'static str> {
    let mut of = None;
    while let Some((kind, number)) = input.field()? {
        match (kind, number) {
            (I32, 1) => of = Some(input.i32()?),
            _ => input.skip(kind, MOST_NESTED)?,
        }
    }
    of.ok_or("no sequence number is named")
}

fn dispatch<'a>(input: &mut Input<'a>) -> Result<Request<'a>, String> {
    let (mut fields, mut body) = (None, None);
    while let Some((kind, number)) = input.field()? {
        match (kind, number) {
            (MAP, 1) => fields = Some(input.text_map()?),
            (STRING, 2) => body = Some(input.binary()?),
            _ => input.skip(kind, MOST_NESTED)?,
        }
    }
    let fields = fields.ok_or("no fields are there")?;
    let body = body.ok_or("no body is there")?;
    let find = |name: &str| fields.iter().find(|(key, _)| *key == name.as_bytes()).map(|(_, value)| *value);
    let text = |name: &str| match find(name).map(std::str::from_utf8) {
        Some(Ok(value)) => Ok(Some(value)),
        None => Ok(None),
        Some(Err(_)) => Err(format!("field {name:?} is not UTF-8")),
    };
    let needed = |name: &str| text(name)?.ok_or_else(|| format!("field {name:?} is missing"));
    let measure = |name: &str| match text(name)? {
        None => Ok(None),
        Some(value) => match value.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
            _ => Err(format!("field {name:?} is no measure")),
        },
    };
    let needed_measure = |name: &str| measure(name)?.ok_or_else(|| format!("field {name:?} is missing"));
    let id = attempt_id(needed("i")?.as_bytes()).ok_or("field \"i\" is not 16 hex digits")?;
    if needed_measure("p")? >= 1.0 {
        return Err("field \"p\" is not under 1".into());
    }
    let memory_kb = needed_measure("m")?;
    if memory_kb <= 0.0 || memory_kb >= 2000.0 {
        return Err("field \"m\" is out of bounds".into());
    }
    let object = match text("o")? {
        None => 0,
        Some(hex) => u64::from_str_radix(hex, 16).map_err(|_| "field \"o\" is not hex")?,
    };
    let idempotency_key = text("k")?;
    if idempotency_key.is_some_and(|idempotency_key| idempotency_key.len() > LONGEST_TICKET) {
        return Err("field \"k\" is too long".into());
    }
    Ok(Request {
        class: needed("c")?,
        id,
        sent_ms: needed_measure("s")?,
        tenant: text("t")?.unwrap_or(""),
        timeout_ms: measure("d")?,
        memory_kb,
        object,
        idempotency_key,
        work_hint_ms: measure("h")?.filter(|hint| *hint > 0.0),
        marked_retry: find("r").is_some_and(|value| value != b"0"),
        body,
    })
}

// ---- what a backend says ----------------------------------------------------------------------------

/// What a backend says of itself beside an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// The free value that callers may go by.
    pub backpressure: Option<f64>,
    /// Stay away for so long.
    pub retry_after_ms: Option<f64>,
    /// Trying another backend would not help.
    pub no_retry_elsewhere: bool,
}

struct Output(Vec<u8>);

impl Output {
    fn message(kind: u8, method: &str, seqid: i32) -> Self {
        let mut out = Output(vec![0; 4]);
        out.0.extend_from_slice(&(STRICT | u32::from(kind)).to_be_bytes());
        out.binary(method.as_bytes());
        out.0.extend_from_slice(&seqid.to_be_bytes());
        out
    }
    fn binary(&mut self, value: &[u8]) {
        self.0.extend_from_slice(&(value.len() as u32).to_be_bytes());
        self.0.extend_from_slice(value);
    }
    fn field(&mut self, kind: u8, number: i16) {
        self.0.push(kind);
        self.0.extend_from_slice(&number.to_be_bytes());
    }
    fn words(&mut self, number: i16, signals: &ServerSignals) {
        let told = [
            signals.backpressure.map(|value| ("v", format!("{value:.4}"))),
            signals.retry_after_ms.map(|span| ("w", format!("{}", span.ceil() as u64))),
            signals.no_retry_elsewhere.then(|| ("l", "1".to_string())),
        ];
        self.field(MAP, number);
        self.0.extend_from_slice(&[STRING, STRING]);
        self.0.extend_from_slice(&(told.iter().flatten().count() as u32).to_be_bytes());
        for (name, value) in told.iter().flatten() {
            self.binary(name.as_bytes());
            self.binary(value.as_bytes());
        }
    }
    /// Ends the structs that are open and writes the frame's length.
    fn finish(mut self, open: usize) -> Vec<u8> {
        self.0.resize(self.0.len() + open, STOP);
        let length = (self.0.len() - 4) as u32;
        self.0[..4].copy_from_slice(&length.to_be_bytes());
        self.0
    }
}

fn answer(method: &str, seqid: i32, result: &[u8], signals: &ServerSignals, good: bool) -> Vec<u8> {
    let mut out = Output::message(REPLY, method, seqid);
    out.field(STRUCT, 0);
    out.field(STRING, 1);
    out.binary(result);
    out.words(2, signals);
    out.field(BOOL, 3);
    out.0.push(u8::from(good));
    out.finish(2)
}

/// The result that a run made, as it came.
pub fn succeeded(seqid: i32, result: &[u8], signals: &ServerSignals) -> Vec<u8> {
    answer("dispatch", seqid, result, signals, true)
}

pub fn health(seqid: i32, ready: bool, signals: &ServerSignals) -> Vec<u8> {
    answer("alive", seqid, b"", signals, ready)
}

fn thrown(seqid: i32, number: i16, signals: &ServerSignals) -> Vec<u8> {
    let mut out = Output::message(REPLY, "dispatch", seqid);
    out.field(STRUCT, number);
    out.words(1, signals);
    out.finish(2)
}

/// This try never ran.
pub fn rejected(seqid: i32, signals: &ServerSignals) -> Vec<u8> {
    thrown(seqid, 1, signals)
}

pub fn failed(seqid: i32, signals: &ServerSignals) -> Vec<u8> {
    thrown(seqid, 2, signals)
}

pub fn exception(seqid: i32, method: &str, kind: ExceptionKind, what: &str) -> Vec<u8> {
    let mut out = Output::message(EXCEPTION, method, seqid);
    out.field(STRING, 1);
    out.binary(what.as_bytes());
    out.field(I32, 2);
    out.0.extend_from_slice(&(kind as i32).to_be_bytes());
    out.finish(1)
}

/// No new invocation is to come on this connection.
pub fn closing() -> Vec<u8> {
    Output::message(ONEWAY, "closing", 0).finish(1)
}

#[cfg(test)]
mod tests;
