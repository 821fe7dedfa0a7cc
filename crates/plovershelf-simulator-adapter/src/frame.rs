//! Frames of the wire format: a length, a header, fixed-size records, and a tail with data that the records refer to.
//! All numbers are little-endian.

use std::io::{Read, Write};

use crate::error::{FrameError, RecordError};

pub(crate) const EVENT_BYTES: usize = 64;
pub(crate) const ACTION_BYTES: usize = 24;
/// Size of the batch header: clock and number of records.
const BATCH_HEADER_BYTES: usize = 12;
/// Size of the reply header: number of records.
const REPLY_HEADER_BYTES: usize = 4;
/// Maximum frame length. Batches are far smaller, so a greater length is a malformed frame.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// Events of one point in time.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) now_ms: f64,
    body: Vec<u8>,
    records: usize,
}

/// One event record, and the tail that it refers to.
#[derive(Clone, Copy)]
pub(crate) struct Record<'a> {
    bytes: &'a [u8],
    tail: &'a [u8],
    /// Index of the record in the frame.
    pub(crate) index: usize,
}

/// Reads one batch; returns `None` if the input ended between frames.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, FrameError> {
    let Some(length) = read_length(input)? else { return Ok(None) };
    let mut body = Vec::new();
    let received = input.by_ref().take(length as u64).read_to_end(&mut body).map_err(FrameError::ReadBody)?;
    if received < length {
        return Err(FrameError::BodyCutShort { received, length });
    }
    let now_ms = f64::from_le_bytes(field(&body, 0));
    let records = u32::from_le_bytes(field(&body, 8)) as usize;
    if records > (length - BATCH_HEADER_BYTES) / EVENT_BYTES {
        return Err(FrameError::TooManyRecords { length, records });
    }
    if !now_ms.is_finite() {
        return Err(FrameError::ClockNotANumber);
    }
    Ok(Some(Batch { now_ms, body, records }))
}

fn read_length(input: &mut impl Read) -> Result<Option<usize>, FrameError> {
    let mut length = Vec::with_capacity(4);
    input.by_ref().take(4).read_to_end(&mut length).map_err(FrameError::ReadLength)?;
    if length.is_empty() {
        return Ok(None);
    }
    let length: [u8; 4] = length.try_into().map_err(|_| FrameError::LengthCutShort)?;
    let length = u32::from_le_bytes(length) as usize;
    if !(BATCH_HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::LengthOutOfRange { length });
    }
    Ok(Some(length))
}

fn field<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    bytes[offset..offset + N].try_into().expect("a slice of N bytes")
}

impl Batch {
    pub(crate) fn records(&self) -> impl Iterator<Item = Record<'_>> {
        let (records, tail) = self.body[BATCH_HEADER_BYTES..].split_at(self.records * EVENT_BYTES);
        let records = records.chunks_exact(EVENT_BYTES).enumerate();
        records.map(move |(index, bytes)| Record { bytes, tail, index })
    }
}

impl<'a> Record<'a> {
    pub(crate) fn u8(&self, offset: usize) -> u8 {
        self.bytes[offset]
    }

    pub(crate) fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(field(self.bytes, offset))
    }

    pub(crate) fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(field(self.bytes, offset))
    }

    pub(crate) fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(field(self.bytes, offset))
    }

    pub(crate) fn f32(&self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(field(self.bytes, offset)))
    }

    pub(crate) fn f64(&self, offset: usize) -> f64 {
        f64::from_le_bytes(field(self.bytes, offset))
    }

    /// Returns text from the tail; the record has its start and length at `offset`.
    pub(crate) fn text(&self, offset: usize) -> Result<&'a str, RecordError> {
        let start = self.u32(offset) as usize;
        let length = self.u32(offset + 4) as usize;
        let (record, tail) = (self.index, self.tail.len());
        let bytes = start.checked_add(length).and_then(|end| self.tail.get(start..end));
        let bytes = bytes.ok_or(RecordError::TextOutsideTail { record, start, length, tail })?;
        std::str::from_utf8(bytes).map_err(|_| RecordError::TextNotUtf8 { record })
    }
}

/// An action record under construction.
pub(crate) struct ActionRecord {
    bytes: [u8; ACTION_BYTES],
}

impl ActionRecord {
    pub(crate) fn new(code: u16, instance: u32) -> Self {
        ActionRecord { bytes: [0; ACTION_BYTES] }.with(0, code.to_le_bytes()).with(2, instance.to_le_bytes())
    }

    pub(crate) fn with<const N: usize>(mut self, offset: usize, value: [u8; N]) -> Self {
        self.bytes[offset..offset + N].copy_from_slice(&value);
        self
    }
}

/// A reply under construction.
#[derive(Default)]
pub(crate) struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    pub(crate) fn push(&mut self, action: ActionRecord) {
        self.records.extend_from_slice(&action.bytes);
    }

    /// Adds an action with a text in the tail, whose start and length are stored at `offset`.
    pub(crate) fn push_with_text(&mut self, action: ActionRecord, offset: usize, text: &str) {
        let start = self.tail.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        let length = text.len() as u32;
        self.push(action.with(offset, start.to_le_bytes()).with(offset + 4, length.to_le_bytes()));
    }

    /// Returns the encoded frame of the reply.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        let length = REPLY_HEADER_BYTES + self.records.len() + self.tail.len();
        let records = self.records.len() / ACTION_BYTES;
        let mut bytes = Vec::with_capacity(4 + length);
        bytes.extend_from_slice(&(length as u32).to_le_bytes());
        bytes.extend_from_slice(&(records as u32).to_le_bytes());
        bytes.extend_from_slice(&self.records);
        bytes.extend_from_slice(&self.tail);
        bytes
    }
}

/// Writes a reply and flushes it, because the simulator waits for it.
pub(crate) fn write_reply(output: &mut impl Write, reply: &[u8]) -> Result<(), FrameError> {
    output.write_all(reply).and_then(|()| output.flush()).map_err(FrameError::WriteReply)
}
