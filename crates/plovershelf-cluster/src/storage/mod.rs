//! A node's file as bytes: records, each in a frame, the first of them the header.
//!
//! A file whose last record is truncated was being written when the process ended: what it says was never confirmed, so it
//! is left out. One that is corrupt before its end is not believed at all: its node is a new one, as if its disk were lost.

use serde::{Deserialize, Serialize};

use crate::consensus::{PersistentState, Record};
use crate::identity::NodeId;
use crate::state::ClusterState;
use crate::wire::{encode_frame, read_frame};

/// What the header begins with.
pub const MAGIC: [u8; 4] = *b"plvk";
/// Version of the file's format.
pub const VERSION: u16 = 2;

/// The first record: whose file it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileHeader {
    /// [`MAGIC`].
    pub magic: [u8; 4],
    /// Version of the file's format.
    pub version: u16,
    /// The cluster's name.
    pub cluster: String,
    /// The node's name.
    pub name: String,
    /// The node's id.
    pub id: NodeId,
    /// When the id was drawn, in Unix milliseconds.
    pub created_at_ms: u64,
}

/// Why a file is not believed. Its node begins anew under another id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// A record that others follow is damaged.
    #[error("a record in the middle does not fit its checksum")]
    Checksum,
    /// The format is an older one.
    #[error("an older version wrote it")]
    OlderVersion,
    /// The first record is something else.
    #[error("the first record is no identity")]
    NoHeader,
    /// A record does not decode, or leaves a gap in the log.
    #[error("a record does not follow on the one before")]
    Sequence,
    /// Not even the header is complete.
    #[error("it has no whole record")]
    Empty,
}

/// Why a file is left as it is and the start can't go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForeignFile {
    /// It is something else.
    #[error("it is no file of a group")]
    OtherFormat,
    /// The format is a newer one.
    #[error("a newer version ({found}) wrote it, this one reads up to {}", VERSION)]
    NewerVersion {
        /// Its version.
        found: u16,
    },
    /// It belongs to another node.
    #[error("it belongs to {name:?} of the group {cluster:?}")]
    OtherNode {
        /// That node's name.
        name: String,
        /// That node's cluster.
        cluster: String,
    },
}

/// What a file comes to.
#[derive(Debug, PartialEq)]
pub enum ReadOutcome {
    /// A node's state. After `valid_bytes` the file was truncated while it was written.
    Restored {
        /// Whose it is.
        header: FileHeader,
        /// The state.
        persistent: Box<PersistentState<ClusterState>>,
        /// How much of the file is complete.
        valid_bytes: usize,
    },
    /// Not to be believed.
    Corrupt(Corruption),
    /// Not this node's.
    Foreign(ForeignFile),
}

/// Reads the file of a node.
pub fn read_file(bytes: &[u8], cluster: &str, name: &str) -> ReadOutcome {
    let mut at = 0;
    let mut header: Option<FileHeader> = None;
    let mut persistent = PersistentState::empty(ClusterState::default());
    while at < bytes.len() {
        let (payload, length) = match read_frame(&bytes[at..]) {
            Ok(Some(found)) => found,
            Ok(None) => break,
            // Where nothing valid follows, the last write was cut short; where something does, the middle is corrupt.
            Err(_) if header.is_some() && !contains_frame(&bytes[at + 1..]) => break,
            Err(_) => return ReadOutcome::Corrupt(Corruption::Checksum),
        };
        if header.is_none() {
            match read_header(payload, cluster, name) {
                Ok(found) => header = Some(found),
                Err(outcome) => return outcome,
            }
        } else {
            match postcard::from_bytes::<Record<ClusterState>>(payload) {
                Ok(record) if follows(&persistent, &record) => persistent.apply(record),
                _ => return ReadOutcome::Corrupt(Corruption::Sequence),
            }
        }
        at += length;
    }
    match header {
        Some(header) => ReadOutcome::Restored { header, persistent: Box::new(persistent), valid_bytes: at },
        None => ReadOutcome::Corrupt(Corruption::Empty),
    }
}

fn read_header(payload: &[u8], cluster: &str, name: &str) -> Result<FileHeader, ReadOutcome> {
    let Ok(header) = postcard::from_bytes::<FileHeader>(payload) else {
        return Err(ReadOutcome::Corrupt(Corruption::NoHeader));
    };
    if header.magic != MAGIC {
        return Err(ReadOutcome::Foreign(ForeignFile::OtherFormat));
    }
    if header.version > VERSION {
        return Err(ReadOutcome::Foreign(ForeignFile::NewerVersion { found: header.version }));
    }
    if header.version < VERSION {
        return Err(ReadOutcome::Corrupt(Corruption::OlderVersion));
    }
    if header.cluster != cluster || header.name != name {
        let (name, cluster) = (header.name, header.cluster);
        return Err(ReadOutcome::Foreign(ForeignFile::OtherNode { name, cluster }));
    }
    Ok(header)
}

/// A frame whose checksum fits stands somewhere in these bytes.
fn contains_frame(bytes: &[u8]) -> bool {
    let is_frame =
        |at: usize| matches!(read_frame(&bytes[at..]), Ok(Some((payload, _))) if !payload.is_empty());
    (0..bytes.len()).any(is_frame)
}

fn follows(persistent: &PersistentState<ClusterState>, record: &Record<ClusterState>) -> bool {
    match record {
        Record::Append { from, .. } => {
            *from > persistent.snapshot.last.index && *from <= persistent.last().index + 1
        }
        Record::HardState { .. } | Record::Snapshot(_) | Record::PromisedEpoch(_) => true,
    }
}

/// A whole file of a state: short again, as it is after many records.
pub fn encode_file(header: &FileHeader, persistent: &PersistentState<ClusterState>) -> Vec<u8> {
    let mut records = vec![
        Record::Snapshot(persistent.snapshot.clone()),
        Record::HardState { epoch: persistent.epoch, term: persistent.term, vote: persistent.vote },
    ];
    if persistent.promised_epoch != crate::identity::Epoch::NONE {
        records.push(Record::PromisedEpoch(persistent.promised_epoch));
    }
    if !persistent.log.is_empty() {
        let from = persistent.snapshot.last.index + 1;
        records.push(Record::Append { from, entries: persistent.log.clone() });
    }
    let mut file = encode_frame(header);
    records.iter().for_each(|record| file.extend(encode_record(record)));
    file
}

/// A record as it is appended to the file.
pub fn encode_record(record: &Record<ClusterState>) -> Vec<u8> {
    encode_frame(record)
}
