//! Frames of the wire: a length, a header, fixed records and a tail.

use std::io::Read;

pub const EVENT_BYTES: usize = 64;
pub const ACTION_BYTES: usize = 24;
const BATCH_HEADER: usize = 12;
/// No batch is near this; a length beyond it is damage, not data.
const LARGEST_FRAME: usize = 1 << 30;

pub struct Batch {
    pub now_ms: f64,
    body: Vec<u8>,
    records: usize,
}

/// One event record with the tail that its references point into.
#[derive(Clone, Copy)]
pub struct Event<'a> {
    bytes: &'a [u8],
    tail: &'a [u8],
    pub place: usize,
}

/// Reads one batch, or `None` when the input ended between frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut length = Vec::with_capacity(4);
    input.by_ref().take(4).read_to_end(&mut length).map_err(|e| format!("reading a frame's length: {e}"))?;
    if length.is_empty() {
        return Ok(None);
    }
    let length: [u8; 4] = length.try_into().map_err(|_| "input ended inside a frame's length".to_string())?;
    let length = u32::from_le_bytes(length) as usize;
    if !(BATCH_HEADER..=LARGEST_FRAME).contains(&length) {
        return Err(format!("frame length {length} is out of range"));
    }
    let mut body = Vec::new();
    let got = input
        .by_ref()
        .take(length as u64)
        .read_to_end(&mut body)
        .map_err(|e| format!("reading a frame: {e}"))?;
    if got < length {
        return Err(format!("input ended inside a frame: {got} of {length} bytes"));
    }
    let now_ms = f64::from_le_bytes(body[0..8].try_into().expect("eight bytes"));
    let records = u32::from_le_bytes(body[8..12].try_into().expect("four bytes")) as usize;
    if records > (length - BATCH_HEADER) / EVENT_BYTES {
        return Err(format!("frame of {length} bytes can't hold {records} records"));
    }
    if !now_ms.is_finite() {
        return Err("the clock of a frame is not a number".to_string());
    }
    Ok(Some(Batch { now_ms, body, records }))
}

impl Batch {
    pub fn events(&self) -> impl Iterator<Item = Event<'_>> {
        let (rows, tail) = self.body[BATCH_HEADER..].split_at(self.records * EVENT_BYTES);
        rows.chunks_exact(EVENT_BYTES).enumerate().map(move |(place, bytes)| Event { bytes, tail, place })
    }
}

impl<'a> Event<'a> {
    fn at<const N: usize>(&self, offset: usize) -> [u8; N] {
        self.bytes[offset..offset + N].try_into().expect("a field inside the record")
    }
    pub fn u8(&self, offset: usize) -> u8 {
        self.bytes[offset]
    }
    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.at(offset))
    }
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.at(offset))
    }
    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.at(offset))
    }
    pub fn f32(&self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.at(offset)))
    }
    pub fn f64(&self, offset: usize) -> f64 {
        f64::from_le_bytes(self.at(offset))
    }
    pub fn text(&self, offset: usize) -> Result<&'a str, String> {
        let start = self.u32(offset) as usize;
        let length = self.u32(offset + 4) as usize;
        let bytes = start.checked_add(length).and_then(|end| self.tail.get(start..end)).ok_or_else(|| {
            format!(
                "record {}: text at {start} of {length} bytes lies outside the tail of {}",
                self.place,
                self.tail.len()
            )
        })?;
        std::str::from_utf8(bytes).map_err(|_| format!("record {}: text is not UTF-8", self.place))
    }
}

/// A reply as it grows.
pub struct Reply {
    rows: Vec<u8>,
    tail: Vec<u8>,
    records: u32,
}

pub struct Action {
    bytes: [u8; ACTION_BYTES],
}

impl Action {
    pub fn new(code: u16, instance: u32) -> Self {
        let mut bytes = [0; ACTION_BYTES];
        bytes[0..2].copy_from_slice(&code.to_le_bytes());
        bytes[2..6].copy_from_slice(&instance.to_le_bytes());
        Action { bytes }
    }
    pub fn put<const N: usize>(mut self, offset: usize, value: [u8; N]) -> Self {
        self.bytes[offset..offset + N].copy_from_slice(&value);
        self
    }
}

impl Reply {
    pub fn new() -> Self {
        Reply { rows: Vec::new(), tail: Vec::new(), records: 0 }
    }
    pub fn push(&mut self, action: Action) {
        self.rows.extend_from_slice(&action.bytes);
        self.records += 1;
    }
    pub fn push_text(&mut self, action: Action, text: &str) {
        let start = self.tail.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.push(action.put(6, start.to_le_bytes()).put(10, (text.len() as u32).to_le_bytes()));
    }
    pub fn finish(self) -> Vec<u8> {
        let length = 4 + self.rows.len() + self.tail.len();
        let mut out = Vec::with_capacity(4 + length);
        out.extend_from_slice(&(length as u32).to_le_bytes());
        out.extend_from_slice(&self.records.to_le_bytes());
        out.extend_from_slice(&self.rows);
        out.extend_from_slice(&self.tail);
        out
    }
}
