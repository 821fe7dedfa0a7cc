//! Format of a node's storage file: a sequence of framed records, of which the first is the header.
//!
//! A truncated record at the end is the result of a write that the end of the process interrupted. It was never
//! acknowledged, so it is ignored. A file with a corrupt record before its end is rejected as a whole, and the node
//! gets a new id as if its disk were lost.

use serde::{Deserialize, Serialize};

use crate::consensus::{PersistentState, Record};
use crate::identity::NodeId;
use crate::state::ClusterState;
use crate::wire::{encode_frame, read_frame};

/// Magic bytes at the start of the header.
pub const MAGIC: [u8; 4] = *b"plvk";
/// Version of the file format.
pub const VERSION: u16 = 2;

/// The header, which is the first record and identifies the node that the file belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileHeader {
    /// Magic bytes, [`MAGIC`].
    pub magic: [u8; 4],
    /// Version of the file format.
    pub version: u16,
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the node.
    pub name: String,
    /// Id of the node.
    pub id: NodeId,
    /// Creation time of the id, in Unix milliseconds.
    pub created_at_ms: u64,
}

/// The reason to reject a file as corrupt. The node starts with empty state under a new id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// A record that is followed by others does not match its checksum.
    #[error("a record before the end does not match its checksum")]
    Checksum,
    /// The file has an older format version.
    #[error("the file has an older format version")]
    OlderVersion,
    /// The first record is not a header.
    #[error("the first record is not a file header")]
    NoHeader,
    /// A record does not decode or leaves a gap in the log.
    #[error("a record does not follow the one before it")]
    Sequence,
    /// The file does not even contain a complete header.
    #[error("the file has no complete record")]
    Empty,
}

/// The reason to leave a file unchanged and fail the start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForeignFile {
    /// The file has another format.
    #[error("it is not the file of a group member")]
    OtherFormat,
    /// The file has a newer format version.
    #[error("it has format version {found}, this build reads versions up to {}", VERSION)]
    NewerVersion {
        /// Format version of the file.
        found: u16,
    },
    /// The file belongs to another node.
    #[error("it belongs to {name:?} of the group {cluster:?}")]
    OtherNode {
        /// Name of that node.
        name: String,
        /// Cluster of that node.
        cluster: String,
    },
}

/// The result of reading a file.
#[derive(Debug, PartialEq)]
pub enum ReadOutcome {
    /// The file contains the state of this node. A record after `valid_bytes` is truncated and ignored.
    Restored {
        /// Header of the file.
        header: FileHeader,
        /// State after all complete records.
        persistent: Box<PersistentState<ClusterState>>,
        /// Length of the complete records, in bytes.
        valid_bytes: usize,
    },
    /// The file is corrupt or of an older version.
    Corrupt(Corruption),
    /// The file belongs to another node, has another format or a newer version.
    Foreign(ForeignFile),
}

/// Reads the storage file of a node.
pub fn read_file(bytes: &[u8], cluster: &str, name: &str) -> ReadOutcome {
    let mut offset = 0;
    let mut header: Option<FileHeader> = None;
    let mut persistent = PersistentState::empty(ClusterState::default());
    while offset < bytes.len() {
        let (payload, length) = match read_frame(&bytes[offset..]) {
            Ok(Some(frame)) => frame,
            Ok(None) => break,
            // If no valid frame follows, the last write was interrupted. Otherwise a record before the end is corrupt.
            Err(_) if header.is_some() && !contains_frame(&bytes[offset + 1..]) => break,
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
        offset += length;
    }
    match header {
        Some(header) => {
            ReadOutcome::Restored { header, persistent: Box::new(persistent), valid_bytes: offset }
        }
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

/// Returns whether the bytes contain a valid frame at any offset.
fn contains_frame(bytes: &[u8]) -> bool {
    let is_frame =
        |offset: usize| matches!(read_frame(&bytes[offset..]), Ok(Some((payload, _))) if !payload.is_empty());
    (0..bytes.len()).any(is_frame)
}

/// Returns whether a record can be applied to the state without leaving a gap in the log.
fn follows(persistent: &PersistentState<ClusterState>, record: &Record<ClusterState>) -> bool {
    match record {
        Record::Append { from, .. } => {
            *from > persistent.snapshot.last.index && *from <= persistent.last().index + 1
        }
        Record::HardState { .. } | Record::Snapshot(_) | Record::PromisedEpoch(_) => true,
    }
}

/// Encodes a state as a whole file, which is shorter than a file to which many records were appended.
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

/// Encodes a record to be appended to the file.
pub fn encode_record(record: &Record<ClusterState>) -> Vec<u8> {
    encode_frame(record)
}
