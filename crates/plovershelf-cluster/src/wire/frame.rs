//! Envelopes to frames and back: length, checksum, version, then the envelope. Nothing is believed before its length and
//! checksum are.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::council::Id;
use crate::group::{Envelope, VERSION};
use crate::status::{Answer, Question};

/// The longest frame. A whole state of two thousand members takes about 160 KiB.
pub const FRAME_MOST: usize = 1 << 20;
const HEAD: usize = 8;

/// The first frame of a link, each way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub magic: [u8; 4],
    pub major: u16,
    pub minor: u16,
    pub group: String,
    pub build: String,
}

pub const MAGIC: [u8; 4] = *b"plvg";

impl Hello {
    pub fn of(group: &str) -> Self {
        let build = env!("CARGO_PKG_VERSION").to_string();
        Hello { magic: MAGIC, major: VERSION.0, minor: VERSION.1, group: group.to_string(), build }
    }

    /// Whether one that says this may be talked to; else what is wrong, in one line.
    pub fn check(&self, group: &str) -> Result<(), String> {
        if self.magic != MAGIC {
            return Err("speaks something else".into());
        }
        if self.major != VERSION.0 {
            return Err(format!(
                "speaks version {}.{} of the group's protocol, here it is {}.{}",
                self.major, self.minor, VERSION.0, VERSION.1
            ));
        }
        if self.group != group {
            return Err(format!("belongs to the group {:?}, not to {group:?}", self.group));
        }
        Ok(())
    }
}

#[derive(Debug, PartialEq, Eq)]
pub enum Spoilt {
    TooLong,
    Checksum,
    Content,
}

impl std::fmt::Display for Spoilt {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(match self {
            Spoilt::TooLong => "a frame longer than any may be",
            Spoilt::Checksum => "a frame whose checksum does not fit",
            Spoilt::Content => "a frame that is no message",
        })
    }
}

/// Bytes to what goes on a stream or into a file: their length and checksum before them.
pub fn framed(content: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD + content.len());
    out.extend((content.len() as u32).to_be_bytes());
    out.extend(crc32fast::hash(content).to_be_bytes());
    out.extend(content);
    out
}

/// The content of the first frame and how many bytes it took; `None` while it is not whole.
pub fn unframed(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, Spoilt> {
    let Some((head, rest)) = bytes.split_at_checked(HEAD) else { return Ok(None) };
    let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let length = word(0) as usize;
    if length > FRAME_MOST {
        return Err(Spoilt::TooLong);
    }
    let Some(content) = rest.get(..length) else { return Ok(None) };
    if crc32fast::hash(content) != word(4) {
        return Err(Spoilt::Checksum);
    }
    Ok(Some((content, HEAD + length)))
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    framed(&postcard::to_stdvec(value).unwrap_or_default())
}

/// How long the frame would be, without writing it.
pub fn size<T: Serialize>(value: &T) -> usize {
    HEAD + postcard::experimental::serialized_size(value).unwrap_or_default()
}

/// Without length and checksum, for what stands in a frame.
pub fn plain<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

pub fn decode<T: serde::de::DeserializeOwned>(content: &[u8]) -> Result<T, Spoilt> {
    postcard::from_bytes(content).map_err(|_| Spoilt::Content)
}

/// What follows the hello on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wire {
    Say(Envelope),
    Ask(Question),
    Answer(Box<Answer>),
    /// What another part of the product says to its like: whose memory says it, for whose.
    Part {
        from: Id,
        to: Id,
        bytes: Vec<u8>,
    },
    /// A message of those that carry changes: its sender is reached at `at`.
    Carried {
        at: SocketAddr,
        bytes: Vec<u8>,
    },
}
