//! Storage of the node: one file of records, which are synced to disk before any message that depends on them is
//! sent.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use plovershelf_cluster::consensus::{PersistentState, Record};
use plovershelf_cluster::storage::{self, FileHeader, ForeignFile, ReadOutcome};
use plovershelf_cluster::{ClusterState, NodeId};
use plovershelf_config::group::Group as Setup;
use rustix::fs::{flock, FlockOperation};

use crate::entropy::random_id;

/// Name of the file in the folder.
const FILE_NAME: &str = "group.log";
/// Size in bytes above which a file is rewritten, if it also exceeds [`REWRITE_GROWTH`] times its size after the last
/// rewrite.
const REWRITE_BYTES: u64 = 256 << 10;
/// Ratio of a file's size to its size after the last rewrite above which it is rewritten, if it also exceeds
/// [`REWRITE_BYTES`].
const REWRITE_GROWTH: u64 = 4;
/// Size above which a file can't have been written by this program.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// Error of opening the storage.
#[derive(Debug, thiserror::Error)]
pub(super) enum StorageError {
    /// An I/O operation failed.
    #[error("the group's folder {}: {source}", folder.display())]
    Io { folder: PathBuf, source: io::Error },
    /// Another process has locked the file.
    #[error("the group's folder {}: another process uses it", folder.display())]
    InUse { folder: PathBuf },
    /// The file is longer than any that this program writes.
    #[error("{}: longer than any that this program writes", path.display())]
    TooLong { path: PathBuf },
    /// The file belongs to another node or cluster.
    #[error("{}: {source}", path.display())]
    Foreign { path: PathBuf, source: ForeignFile },
}

/// The node's file, open and locked.
pub(super) struct Storage {
    path: PathBuf,
    file: File,
    length: u64,
    /// Size of the file after the last rewrite, in bytes.
    rewritten_length: u64,
    header: FileHeader,
}

/// State with which a node starts. Without a folder nothing is persisted, and each start is a new node.
pub(super) struct Opened {
    pub(super) storage: Option<Storage>,
    pub(super) header: FileHeader,
    pub(super) persistent: Option<PersistentState<ClusterState>>,
}

/// Restores the node from its folder, or creates a new one. A corrupt file is copied aside first.
///
/// # Errors
/// Returns an error if the folder can't be used or the file belongs to another node.
pub(super) fn open(setup: &Setup, name: &str, created_at_ms: u64) -> Result<Opened, StorageError> {
    let header = FileHeader {
        magic: storage::MAGIC,
        version: storage::VERSION,
        cluster: setup.name.clone(),
        name: name.to_string(),
        id: NodeId(random_id()),
        created_at_ms,
    };
    let Some(folder) = &setup.folder else {
        return Ok(Opened { storage: None, header, persistent: None });
    };
    let failed = |source: io::Error| StorageError::Io { folder: folder.clone(), source };
    let (mut storage, bytes) = Storage::lock(folder, header)?;
    if !bytes.is_empty() {
        match storage::read_file(&bytes, &setup.name, name) {
            ReadOutcome::Restored { header, persistent, valid_bytes } => {
                storage.truncate_to_valid(valid_bytes, bytes.len()).map_err(failed)?;
                storage.header = header.clone();
                return Ok(Opened { storage: Some(storage), header, persistent: Some(*persistent) });
            }
            ReadOutcome::Corrupt(reason) => storage.copy_aside(created_at_ms, &reason).map_err(failed)?,
            ReadOutcome::Foreign(source) => return Err(StorageError::Foreign { path: storage.path, source }),
        }
    }
    storage.rewrite(&PersistentState::empty(ClusterState::default())).map_err(failed)?;
    Ok(Opened { header: storage.header.clone(), storage: Some(storage), persistent: None })
}

impl Storage {
    /// Opens and locks the file, and reads its content.
    fn lock(folder: &Path, header: FileHeader) -> Result<(Self, Vec<u8>), StorageError> {
        let failed = |source: io::Error| StorageError::Io { folder: folder.to_path_buf(), source };
        let path = folder.join(FILE_NAME);
        fs::create_dir_all(folder).map_err(failed)?;
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        let mut file = options.open(&path).map_err(failed)?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| StorageError::InUse { folder: folder.to_path_buf() })?;
        let mut bytes = Vec::new();
        (&mut file).take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(failed)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(StorageError::TooLong { path });
        }
        Ok((Storage { path, file, length: 0, rewritten_length: 0, header }, bytes))
    }

    /// Truncates the file to its valid records, dropping an incomplete last one.
    fn truncate_to_valid(&mut self, valid_bytes: usize, all_bytes: usize) -> io::Result<()> {
        (self.length, self.rewritten_length) = (valid_bytes as u64, valid_bytes as u64);
        if valid_bytes < all_bytes {
            tracing::warn!(
                event = "storage_truncated",
                bytes = all_bytes - valid_bytes,
                "{}: dropped an incomplete last record",
                self.path.display()
            );
        }
        self.file.set_len(valid_bytes as u64)
    }

    fn copy_aside(&self, created_at_ms: u64, reason: &storage::Corruption) -> io::Result<()> {
        let copy_path = self.path.with_extension(format!("spoilt-{created_at_ms}"));
        fs::copy(&self.path, &copy_path)?;
        tracing::error!(
            event = "storage_corrupt",
            "{}: {reason}; copied to {}, this member starts as a new node",
            self.path.display(),
            copy_path.display()
        );
        Ok(())
    }

    /// Appends records and syncs them to disk. A partial write is truncated.
    ///
    /// # Errors
    /// Returns the I/O error; no record was appended then.
    pub(super) fn append(
        &mut self,
        records: &[Record<ClusterState>],
        persistent: &PersistentState<ClusterState>,
    ) -> io::Result<()> {
        if self.length > REWRITE_BYTES.max(REWRITE_GROWTH * self.rewritten_length) {
            return self.rewrite(persistent);
        }
        let bytes: Vec<u8> = records.iter().flat_map(storage::encode_record).collect();
        simulate_full_disk()?;
        let written = self.file.write_all_at(&bytes, self.length).and_then(|()| self.file.sync_data());
        match written {
            Ok(()) => self.length += bytes.len() as u64,
            Err(_) => drop(self.file.set_len(self.length)),
        }
        written
    }

    /// Writes a new file and replaces the old one with it.
    ///
    /// # Errors
    /// Returns the I/O error; the old file remains in place then.
    pub(super) fn rewrite(&mut self, persistent: &PersistentState<ClusterState>) -> io::Result<()> {
        simulate_full_disk()?;
        let bytes = storage::encode_file(&self.header, persistent);
        let new_path = self.path.with_extension("new");
        let mut file =
            OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&new_path)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        fs::rename(&new_path, &self.path)?;
        if let Some(folder) = self.path.parent() {
            File::open(folder)?.sync_all()?;
        }
        self.file = file;
        (self.length, self.rewritten_length) = (bytes.len() as u64, bytes.len() as u64);
        Ok(())
    }
}

/// Simulates a full disk while the file that `PLOVERSHELF_TEST_FOLDER_FULL` names exists.
fn simulate_full_disk() -> io::Result<()> {
    let full = std::env::var_os("PLOVERSHELF_TEST_FOLDER_FULL").is_some_and(|path| Path::new(&path).exists());
    if full {
        return Err(io::ErrorKind::StorageFull.into());
    }
    Ok(())
}
