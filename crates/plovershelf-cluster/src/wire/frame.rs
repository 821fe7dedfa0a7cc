//! Frames, which consist of length, checksum and payload. A payload is decoded only after its length and checksum have
//! been verified.

use serde::{de::DeserializeOwned, Serialize};

/// Maximum length of a payload. The whole state of two thousand members takes about 160 KiB.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Size of the frame header: length and checksum, both 32 bits in big-endian order.
const HEADER_BYTES: usize = 8;

/// An error in reading or decoding a frame.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is above [`MAX_FRAME_BYTES`].
    #[error("a frame longer than the maximum length")]
    TooLong,
    /// The payload does not match the checksum.
    #[error("a frame with a wrong checksum")]
    Checksum,
    /// The payload does not decode.
    #[error("a frame whose payload does not decode")]
    Payload,
}

/// Returns a frame with the given payload.
pub fn frame(payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend((payload.len() as u32).to_be_bytes());
    frame.extend(crc32fast::hash(payload).to_be_bytes());
    frame.extend(payload);
    frame
}

/// Returns the payload of the first frame and the length of the frame, or `None` if the frame is incomplete.
///
/// # Errors
///
/// Returns an error if the frame is too long or its checksum is wrong.
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

/// Encodes a value as a frame.
pub fn encode_frame<T: Serialize>(value: &T) -> Vec<u8> {
    frame(&encode_payload(value))
}

/// Returns the length of a value's frame without encoding it.
pub fn frame_size<T: Serialize>(value: &T) -> usize {
    HEADER_BYTES + postcard::experimental::serialized_size(value).unwrap_or_default()
}

/// Encodes a value without a frame, for use as the payload of one.
pub fn encode_payload<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value that [`encode_payload`] encoded.
///
/// # Errors
///
/// Returns an error if the bytes do not encode such a value.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, FrameError> {
    postcard::from_bytes(payload).map_err(|_| FrameError::Payload)
}
