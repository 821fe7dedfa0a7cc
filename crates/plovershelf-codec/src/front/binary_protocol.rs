//! Reader and writer of Thrift's strict binary protocol, limited to what clients and backends exchange.
//!
//! Source: the Thrift binary protocol specification ("Message", "Struct", "List and Set", "Map").

use thiserror::Error;

/// Maximum nesting depth of values. It bounds the recursion, which the length of the frame does not.
pub(super) const MAX_NESTED: u32 = 16;
/// Maximum number of entries of a map of fields.
const MAX_FIELDS: usize = 64;

/// Version word of a strict message. Its lowest byte contains the message type.
const STRICT_VERSION: u32 = 0x8001_0000;
const STRICT_MASK: u32 = 0xffff_0000;

/// Message types.
pub(super) const CALL: u8 = 1;
pub(super) const REPLY: u8 = 2;
pub(super) const EXCEPTION: u8 = 3;
pub(super) const ONEWAY: u8 = 4;

/// Value types.
const STOP: u8 = 0;
pub(super) const BOOL: u8 = 2;
const BYTE: u8 = 3;
const DOUBLE: u8 = 4;
const I16: u8 = 6;
pub(super) const I32: u8 = 8;
const I64: u8 = 10;
pub(super) const STRING: u8 = 11;
pub(super) const STRUCT: u8 = 12;
pub(super) const MAP: u8 = 13;
const SET: u8 = 14;
const LIST: u8 = 15;

/// Length of a frame's length prefix, in bytes.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Error of a malformed frame or of a message that the peer must not send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame is longer than the limit.
    #[error("a frame is too long")]
    TooLong,
    /// The length of the frame is negative.
    #[error("a frame has a negative length")]
    NegativeFrameLength,
    /// The frame ends inside a value.
    #[error("the frame ends inside a value")]
    Truncated,
    /// The length of a value is negative.
    #[error("a negative length")]
    NegativeLength,
    /// Values are nested deeper than the limit.
    #[error("values are nested too deep")]
    NestedTooDeep,
    /// The type of a value is unknown.
    #[error("a value of an unknown type")]
    UnknownType,
    /// The keys or values of a map of fields are not strings.
    #[error("the fields are not text")]
    FieldsNotText,
    /// A map of fields has more entries than the limit.
    #[error("too many fields")]
    TooManyFields,
    /// The first word is not the version of the strict protocol.
    #[error("not the strict binary protocol")]
    UnsupportedVersion,
    /// A client sent a message that is neither a call nor a one-way message.
    #[error("not a call")]
    NotACall,
    /// A cancellation has no sequence number.
    #[error("no sequence number is named")]
    MissingSequenceNumber,
    /// A backend responded to a health check with a declared exception.
    #[error("the response to a health check is an exception")]
    HealthCheckException,
    /// A backend sent a message that is not a known response or one-way message.
    #[error("unexpected message")]
    UnexpectedMessage,
    /// A response has no result.
    #[error("the response has no result")]
    MissingResult,
    /// A reply has neither a result nor an exception.
    #[error("the reply is empty")]
    EmptyReply,
}

/// Name and value of a field.
pub(super) type TextField<'a> = (&'a [u8], &'a [u8]);

/// Header of a message.
pub(super) struct Header<'a> {
    pub(super) message_type: u8,
    pub(super) method: &'a [u8],
    pub(super) seqid: i32,
}

/// Reads the values of one frame.
pub(super) struct Reader<'a> {
    unread: &'a [u8],
}

impl<'a> Reader<'a> {
    pub(super) fn new(frame: &'a [u8]) -> Self {
        Reader { unread: frame }
    }

    fn bytes(&mut self, length: usize) -> Result<&'a [u8], FrameError> {
        let (taken, unread) = self.unread.split_at_checked(length).ok_or(FrameError::Truncated)?;
        self.unread = unread;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let (taken, unread) = self.unread.split_first_chunk::<N>().ok_or(FrameError::Truncated)?;
        self.unread = unread;
        Ok(*taken)
    }

    pub(super) fn u8(&mut self) -> Result<u8, FrameError> {
        Ok(self.array::<1>()?[0])
    }

    pub(super) fn i32(&mut self) -> Result<i32, FrameError> {
        Ok(i32::from_be_bytes(self.array()?))
    }

    fn count(&mut self) -> Result<usize, FrameError> {
        usize::try_from(self.i32()?).map_err(|_| FrameError::NegativeLength)
    }

    pub(super) fn binary(&mut self) -> Result<&'a [u8], FrameError> {
        let length = self.count()?;
        self.bytes(length)
    }

    pub(super) fn header(&mut self) -> Result<Header<'a>, FrameError> {
        let version = u32::from_be_bytes(self.array()?);
        if version & STRICT_MASK != STRICT_VERSION {
            return Err(FrameError::UnsupportedVersion);
        }
        let method = self.binary()?;
        Ok(Header { message_type: version as u8, method, seqid: self.i32()? })
    }

    /// Returns the type and number of the next field, or `None` at the end of the struct.
    pub(super) fn field(&mut self) -> Result<Option<(u8, i16)>, FrameError> {
        match self.u8()? {
            STOP => Ok(None),
            value_type => Ok(Some((value_type, i16::from_be_bytes(self.array()?)))),
        }
    }

    /// Skips a value. `depth` is the remaining nesting depth; without the limit, a deeply nested frame would
    /// overflow the stack.
    pub(super) fn skip(&mut self, value_type: u8, depth: u32) -> Result<(), FrameError> {
        if depth == 0 {
            return Err(FrameError::NestedTooDeep);
        }
        match value_type {
            BOOL | BYTE => self.bytes(1).map(drop),
            I16 => self.bytes(2).map(drop),
            I32 => self.bytes(4).map(drop),
            DOUBLE | I64 => self.bytes(8).map(drop),
            STRING => self.binary().map(drop),
            STRUCT => {
                while let Some((field_type, _)) = self.field()? {
                    self.skip(field_type, depth - 1)?;
                }
                Ok(())
            }
            MAP => {
                let (key_type, value_type) = (self.u8()?, self.u8()?);
                for _ in 0..self.count()? {
                    self.skip(key_type, depth - 1)?;
                    self.skip(value_type, depth - 1)?;
                }
                Ok(())
            }
            SET | LIST => {
                let element_type = self.u8()?;
                for _ in 0..self.count()? {
                    self.skip(element_type, depth - 1)?;
                }
                Ok(())
            }
            _ => Err(FrameError::UnknownType),
        }
    }

    /// Reads a map of strings to strings.
    pub(super) fn text_map(&mut self) -> Result<Vec<TextField<'a>>, FrameError> {
        let types = (self.u8()?, self.u8()?);
        let count = self.count()?;
        if count > 0 && types != (STRING, STRING) {
            return Err(FrameError::FieldsNotText);
        }
        if count > MAX_FIELDS {
            return Err(FrameError::TooManyFields);
        }
        (0..count).map(|_| Ok((self.binary()?, self.binary()?))).collect()
    }
}

/// Writes the values of one frame.
pub(super) struct Writer {
    frame: Vec<u8>,
}

impl Writer {
    /// Starts a frame with the header of a message.
    pub(super) fn message(message_type: u8, method: &str, seqid: i32) -> Self {
        let mut writer = Writer { frame: vec![0; LENGTH_PREFIX_BYTES] };
        writer.raw(&(STRICT_VERSION | u32::from(message_type)).to_be_bytes());
        writer.binary(method.as_bytes());
        writer.i32(seqid);
        writer
    }

    fn raw(&mut self, bytes: &[u8]) {
        self.frame.extend_from_slice(bytes);
    }

    pub(super) fn u8(&mut self, value: u8) {
        self.frame.push(value);
    }

    pub(super) fn i32(&mut self, value: i32) {
        self.raw(&value.to_be_bytes());
    }

    pub(super) fn binary(&mut self, value: &[u8]) {
        self.raw(&(value.len() as u32).to_be_bytes());
        self.raw(value);
    }

    pub(super) fn field(&mut self, value_type: u8, number: i16) {
        self.u8(value_type);
        self.raw(&number.to_be_bytes());
    }

    /// Writes a map field with the entries that are not `None`.
    pub(super) fn text_map(&mut self, number: i16, fields: &[Option<(&str, &[u8])>]) {
        self.field(MAP, number);
        self.raw(&[STRING, STRING]);
        self.raw(&(fields.iter().flatten().count() as u32).to_be_bytes());
        for (name, value) in fields.iter().flatten() {
            self.binary(name.as_bytes());
            self.binary(value);
        }
    }

    /// Ends the open structs, sets the length prefix and returns the frame.
    pub(super) fn finish(mut self, open_structs: usize) -> Vec<u8> {
        self.frame.resize(self.frame.len() + open_structs, STOP);
        let length = (self.frame.len() - LENGTH_PREFIX_BYTES) as u32;
        self.frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
        self.frame
    }
}
