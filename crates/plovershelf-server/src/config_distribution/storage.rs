//! File with the table of an origin, so that the table survives a simultaneous restart of all origins.
//!
//! The file contains a frame with version and digest, followed by one frame per chunk of the table. A new file is
//! written beside the old one and renamed over it, so that a crash leaves one of the two intact.

use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

use plovershelf_cluster::wire::{decode, encode_payload, frame, read_frame, FrameError};
use plovershelf_config_distribution::{Chunk, Entry, QuotaTable, SnapshotBuilder, SnapshotError, Version};

/// Largest accepted file: the longest table with a margin.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Error of loading a table.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The file is longer than any table.
    #[error("{}: longer than {max} bytes", path.display(), max = MAX_FILE_BYTES)]
    TooLong {
        /// Path of the file.
        path: PathBuf,
    },
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is corrupt or truncated.
    #[error("{}: {source}; move it away to begin from the others' content", path.display())]
    Corrupt {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the corruption.
        source: CorruptTable,
    },
}

/// Reason for which the content of a file is invalid.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum CorruptTable {
    /// A frame or its content is corrupt.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The last frame is incomplete.
    #[error("it ends too early")]
    Truncated,
    /// The entries are invalid or don't match the digest of the first frame.
    #[error(transparent)]
    Table(#[from] SnapshotError),
}

/// Loads the stored table. Returns `None` if there is no file.
///
/// # Errors
///
/// Returns an error if the file exists and can't be used.
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

/// File in which an origin's table is stored.
pub(super) struct TableFile {
    path: PathBuf,
    /// True if the last write failed, so that further failures are not logged.
    has_failed: bool,
}

impl TableFile {
    pub(crate) fn new(path: PathBuf) -> Self {
        TableFile { path, has_failed: false }
    }

    pub(super) fn store(&mut self, table: &QuotaTable) {
        match write(&self.path, table) {
            Ok(()) => self.has_failed = false,
            Err(error) if !self.has_failed => {
                self.has_failed = true;
                let file = self.path.display();
                tracing::error!(
                    event = "config_not_persisted",
                    "{file}: {error}; the configuration in force is only in memory"
                );
            }
            Err(_) => {}
        }
    }
}

fn write(path: &Path, table: &QuotaTable) -> io::Result<()> {
    let new_path = path.with_extension("new");
    let mut file = File::create(&new_path)?;
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
    std::fs::rename(&new_path, path)
}

#[cfg(test)]
mod tests;
