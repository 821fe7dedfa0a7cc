//! The folder's one file as bytes: records, each with length and checksum, the first of them the identity.
//!
//! A file whose last record is not whole was being written when the process ended: what it says was never confirmed, so
//! it is left out. One that is spoilt before its end is not believed at all: its member is someone new, as if its folder
//! were lost.

use serde::{Deserialize, Serialize};

use crate::council::{Id, Kept, Record};
use crate::decided::Decided;
use crate::frames::{encode, unframed};

/// The first record: whose memory it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub magic: [u8; 4],
    pub major: u16,
    pub group: String,
    pub name: String,
    pub id: Id,
    pub born: u64,
}

pub const MAGIC: [u8; 4] = *b"plvk";
pub const MAJOR: u16 = 2;

/// What a file came to.
#[derive(Debug, PartialEq)]
pub enum Read {
    /// `whole` bytes of it are good; what follows was cut off while it was written.
    Kept { identity: Identity, kept: Box<Kept<Decided>>, whole: usize },
    /// Not to be believed, and why. The member begins anew under another memory.
    Spoilt(&'static str),
    /// Written by a newer version or for another: it is left as it is, and the start can't go on.
    NotOurs(String),
}

pub fn read(bytes: &[u8], group: &str, name: &str) -> Read {
    let mut at = 0;
    let mut identity: Option<Identity> = None;
    let mut kept = Kept::nothing(Decided::default());
    while at < bytes.len() {
        let (content, length) = match unframed(&bytes[at..]) {
            Ok(Some(found)) => found,
            Ok(None) => break,
            // Where nothing good follows, the last write was torn; where something does, the middle is spoilt.
            Err(_) if identity.is_some() && !good_follows(&bytes[at + 1..]) => break,
            Err(_) => return Read::Spoilt("a record in the middle does not fit its checksum"),
        };
        if identity.is_none() {
            match postcard::from_bytes::<Identity>(content) {
                Ok(found) if found.magic != MAGIC => return Read::NotOurs("it is no file of a group".into()),
                Ok(found) if found.major > MAJOR => {
                    return Read::NotOurs(format!(
                        "a newer version ({}) wrote it, this one reads up to {MAJOR}",
                        found.major
                    ))
                }
                Ok(found) if found.major < MAJOR => return Read::Spoilt("an older version wrote it"),
                Ok(found) if found.group != group || found.name != name => {
                    return Read::NotOurs(format!(
                        "it belongs to {:?} of the group {:?}",
                        found.name, found.group
                    ))
                }
                Ok(found) => identity = Some(found),
                Err(_) => return Read::Spoilt("the first record is no identity"),
            }
        } else {
            match postcard::from_bytes::<Record<Decided>>(content) {
                Ok(record) if fits(&kept, &record) => kept.take(record),
                _ => return Read::Spoilt("a record does not follow on the one before"),
            }
        }
        at += length;
    }
    match identity {
        Some(identity) => Read::Kept { identity, kept: Box::new(kept), whole: at },
        None => Read::Spoilt("it has no whole record"),
    }
}

/// A record whose checksum fits stands somewhere in these bytes.
fn good_follows(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|at| matches!(unframed(&bytes[at..]), Ok(Some((content, _))) if !content.is_empty()))
}

fn fits(kept: &Kept<Decided>, record: &Record<Decided>) -> bool {
    match record {
        Record::Entries { from, .. } => *from > kept.base.at.index && *from <= kept.last().index + 1,
        Record::Term { .. } | Record::Whole(_) | Record::Promised(_) => true,
    }
}

/// A file made anew from what is kept: short again, as it is after many records.
pub fn written(identity: &Identity, kept: &Kept<Decided>) -> Vec<u8> {
    let mut out = encode(identity);
    let term = Record::Term { era: kept.era, term: kept.term, voted: kept.voted };
    let first = kept.base.at.index + 1;
    let whole: Record<Decided> = Record::Whole(kept.base.clone());
    out.extend(encode(&whole));
    out.extend(encode::<Record<Decided>>(&term));
    if kept.promised != 0 {
        out.extend(encode::<Record<Decided>>(&Record::Promised(kept.promised)));
    }
    if !kept.log.is_empty() {
        out.extend(encode(&Record::<Decided>::Entries { from: first, entries: kept.log.clone() }));
    }
    out
}

pub fn record(record: &Record<Decided>) -> Vec<u8> {
    encode(record)
}
