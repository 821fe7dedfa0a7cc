//! The table of an origin, kept in a folder, so that it is there when all origins start at once.
//!
//! The file holds a frame with version and digest, then one frame for each chunk of the table. It is written beside the
//! old one and renamed, so that a crash leaves the one or the other.

use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

use plovershelf_cluster::wire::{decode, encode_payload, frame, read_frame, FrameError};
use plovershelf_config_distribution::{Chunk, Entry, QuotaTable, SnapshotBuilder, SnapshotError, Version};

/// Of the file: the longest table with room to spare.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Why a file can't be used, in one line.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// Longer than any table.
    #[error("{}: longer than {max} bytes", path.display(), max = MAX_FILE_BYTES)]
    TooLong {
        /// The file.
        path: PathBuf,
    },
    /// It can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// It is corrupt or truncated.
    #[error("{}: {source}; move it away to begin from the others' content", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: CorruptTable,
    },
}

/// What is wrong with the bytes of a file.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum CorruptTable {
    /// A frame or what stands in it is corrupt.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The last frame is not whole.
    #[error("it ends too early")]
    Truncated,
    /// The entries are not valid, or not those of the first frame's digest.
    #[error(transparent)]
    Table(#[from] SnapshotError),
}

/// The table that an earlier start stored.
///
/// # Errors
///
/// The file is there and can't be used.
pub(super) fn load(path: &Path) -> Result<Option<QuotaTable>, StorageError> {
    let cannot_read = |source| StorageError::Read { path: path.to_path_buf(), source };
    let bytes = match std::fs::metadata(path) {
        Ok(file) if file.len() > MAX_FILE_BYTES => {
            return Err(StorageError::TooLong { path: path.to_path_buf() });
        }
        Ok(_) => std::fs::read(path).map_err(cannot_read)?,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(cannot_read(error)),
    };
    let table = decode_table(&bytes);
    table.map(Some).map_err(|source| StorageError::Corrupt { path: path.to_path_buf(), source })
}

fn decode_table(mut bytes: &[u8]) -> Result<QuotaTable, CorruptTable> {
    let mut next_frame = || {
        let (content, used) = read_frame(bytes)?.ok_or(CorruptTable::Truncated)?;
        bytes = &bytes[used..];
        Ok::<_, CorruptTable>((content, bytes.is_empty()))
    };
    let (version, digest): (Version, u128) = decode(next_frame()?.0)?;
    let mut builder = SnapshotBuilder::new(version, digest);
    loop {
        let (content, is_last) = next_frame()?;
        builder.add_entries(decode::<Vec<Entry>>(content)?)?;
        if is_last {
            return Ok(builder.finish()?);
        }
    }
}

/// Where an origin's table is stored.
pub(super) struct TableFile {
    path: PathBuf,
    /// The last attempt failed, which is logged once.
    fails: bool,
}

impl TableFile {
    pub(crate) fn new(path: PathBuf) -> Self {
        TableFile { path, fails: false }
    }

    pub(super) fn store(&mut self, table: &QuotaTable) {
        match write(&self.path, table) {
            Ok(()) => self.fails = false,
            Err(error) if !self.fails => {
                self.fails = true;
                let file = self.path.display();
                tracing::error!(
                    event = "config_not_persisted",
                    "{file}: {error}; what is in force is held in memory alone"
                );
            }
            Err(_) => {}
        }
    }
}

fn write(path: &Path, table: &QuotaTable) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(&frame(&encode_payload(&(table.version(), table.digest()))))?;
    let mut after = None::<String>;
    loop {
        let Chunk { entries, is_last } = table.chunk(after.as_deref());
        file.write_all(&frame(&encode_payload(&entries)))?;
        if is_last {
            break;
        }
        after = entries.last().map(|entry| entry.tenant.clone()).or(after);
    }
    file.sync_all()?;
    std::fs::rename(&beside, path)
}

#[cfg(test)]
mod tests;
