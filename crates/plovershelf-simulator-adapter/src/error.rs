//! Errors that stop the adapter.

use std::io;

use plovershelf_settings::SettingsError;
use thiserror::Error;

/// Error while reading a frame or writing a reply.
#[derive(Debug, Error)]
pub(crate) enum FrameError {
    #[error("reading a frame's length: {0}")]
    ReadLength(#[source] io::Error),
    #[error("input ended inside a frame's length")]
    LengthCutShort,
    #[error("frame length {length} is out of range")]
    LengthOutOfRange { length: usize },
    #[error("reading a frame: {0}")]
    ReadBody(#[source] io::Error),
    #[error("input ended inside a frame: {received} of {length} bytes")]
    BodyCutShort { received: usize, length: usize },
    #[error("frame of {length} bytes can't hold {records} records")]
    TooManyRecords { length: usize, records: usize },
    #[error("the clock of a frame is not a number")]
    ClockNotANumber,
    #[error("writing a reply: {0}")]
    WriteReply(#[source] io::Error),
}

/// Error in a record. Records are numbered from 0 within their frame.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    #[error("record {record}: text at {start} of {length} bytes lies outside the tail of {tail}")]
    TextOutsideTail { record: usize, start: usize, length: usize, tail: usize },
    #[error("record {record}: text is not UTF-8")]
    TextNotUtf8 { record: usize },
    #[error("record {record}, instance {instance}: {source}")]
    Settings { record: usize, instance: u32, source: SettingsError },
    #[error("record {record}: event {code} for instance {instance}, which does not exist")]
    UnknownInstance { record: usize, code: u16, instance: u32 },
    #[error("record {record}: class {class} is not in the settings")]
    UnknownClass { record: usize, class: usize },
    #[error("record {record}: unknown event code {code}")]
    UnknownEvent { record: usize, code: u16 },
}

/// Error that stops the adapter before the end of its input.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Record(#[from] RecordError),
}
