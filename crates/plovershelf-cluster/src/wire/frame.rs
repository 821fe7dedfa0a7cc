//! Frames: length, checksum, payload. Nothing of a payload is believed before its length and checksum are.

use serde::{de::DeserializeOwned, Serialize};

/// The longest payload. The whole state of two thousand members takes about 160 KiB.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Length and checksum, both big-endian.
const HEADER_BYTES: usize = 8;

/// Why bytes are no frame.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Its length is above [`MAX_FRAME_BYTES`].
    #[error("a frame longer than any may be")]
    TooLong,
    /// Its checksum is not its payload's.
    #[error("a frame whose checksum does not fit")]
    Checksum,
    /// Its payload does not decode.
    #[error("a frame that is no message")]
    Payload,
}

/// Puts length and checksum before a payload.
pub fn frame(payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend((payload.len() as u32).to_be_bytes());
    frame.extend(crc32fast::hash(payload).to_be_bytes());
    frame.extend(payload);
    frame
}

/// The payload of the first frame and how many bytes the frame took; `None` while it is incomplete.
///
/// Errors: it is too long, or its checksum does not fit.
pub fn read_frame(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, FrameError> {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else { return Ok(None) };
    let number = |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let length = number(0) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    let Some(payload) = rest.get(..length) else { return Ok(None) };
    if crc32fast::hash(payload) != number(4) {
        return Err(FrameError::Checksum);
    }
    Ok(Some((payload, HEADER_BYTES + length)))
}

/// A value in a frame.
pub fn encode_frame<T: Serialize>(value: &T) -> Vec<u8> {
    frame(&encode_payload(value))
}

/// How long a value's frame would be, without encoding it.
pub fn frame_size<T: Serialize>(value: &T) -> usize {
    HEADER_BYTES + postcard::experimental::serialized_size(value).unwrap_or_default()
}

/// A value without a frame, for what travels inside of one.
pub fn encode_payload<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes what [`encode_payload`] encodes.
///
/// Errors: the bytes are no such value.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, FrameError> {
    postcard::from_bytes(payload).map_err(|_| FrameError::Payload)
}
