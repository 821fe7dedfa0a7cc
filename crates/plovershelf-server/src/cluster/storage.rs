//! The node's storage: one file of records, appended to and brought to the disk before anything is sent of them.

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

/// The file within the folder.
const FILE_NAME: &str = "group.log";
/// A file is rewritten when it has grown over this and over [`REWRITE_GROWTH`] times what it was then.
const REWRITE_BYTES: u64 = 256 << 10;
const REWRITE_GROWTH: u64 = 4;
/// A file that is longer is not this program's.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// Why the storage can't be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum StorageError {
    /// The system says so.
    #[error("the group's folder {}: {source}", folder.display())]
    Io { folder: PathBuf, source: io::Error },
    /// Another process has it.
    #[error("the group's folder {}: another process uses it", folder.display())]
    InUse { folder: PathBuf },
    /// The file is none that this program wrote.
    #[error("{}: longer than any that this program writes", path.display())]
    TooLong { path: PathBuf },
    /// The file is another's.
    #[error("{}: {source}", path.display())]
    Foreign { path: PathBuf, source: ForeignFile },
}

/// A node's file, open and locked.
pub(super) struct Storage {
    path: PathBuf,
    file: File,
    length: u64,
    /// How long it was when it was rewritten last.
    rewritten_length: u64,
    header: FileHeader,
}

/// What a node starts with. Without a folder nothing is kept, and each start is a new node.
pub(super) struct Opened {
    pub(super) storage: Option<Storage>,
    pub(super) header: FileHeader,
    pub(super) persistent: Option<PersistentState<ClusterState>>,
}

/// What the folder holds, or a new node in it. A file that is corrupt is put aside.
///
/// Errors: the folder can't be used, or the file is another's.
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
                storage.keep_valid(valid_bytes, bytes.len()).map_err(failed)?;
                storage.header = header.clone();
                return Ok(Opened { storage: Some(storage), header, persistent: Some(*persistent) });
            }
            ReadOutcome::Corrupt(why) => storage.put_aside(created_at_ms, &why).map_err(failed)?,
            ReadOutcome::Foreign(source) => return Err(StorageError::Foreign { path: storage.path, source }),
        }
    }
    storage.rewrite(&PersistentState::empty(ClusterState::default())).map_err(failed)?;
    Ok(Opened { header: storage.header.clone(), storage: Some(storage), persistent: None })
}

impl Storage {
    /// Opens the file for this process alone, and reads it.
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

    /// Drops a last record that was not written whole.
    fn keep_valid(&mut self, valid_bytes: usize, all_bytes: usize) -> io::Result<()> {
        (self.length, self.rewritten_length) = (valid_bytes as u64, valid_bytes as u64);
        if valid_bytes < all_bytes {
            tracing::warn!(
                event = "storage_truncated",
                bytes = all_bytes - valid_bytes,
                "{}: its last record was not whole and is left out",
                self.path.display()
            );
        }
        self.file.set_len(valid_bytes as u64)
    }

    fn put_aside(&self, created_at_ms: u64, why: &storage::Corruption) -> io::Result<()> {
        let aside = self.path.with_extension(format!("spoilt-{created_at_ms}"));
        fs::copy(&self.path, &aside)?;
        tracing::error!(
            event = "storage_corrupt",
            "{}: {why}; kept aside as {}, this member begins anew",
            self.path.display(),
            aside.display()
        );
        Ok(())
    }

    /// Appends records, which are on the disk when this returns. What could not be written whole is taken back.
    ///
    /// Errors: the system says so; nothing was kept.
    pub(super) fn append(
        &mut self,
        records: &[Record<ClusterState>],
        persistent: &PersistentState<ClusterState>,
    ) -> io::Result<()> {
        if self.length > REWRITE_BYTES.max(REWRITE_GROWTH * self.rewritten_length) {
            return self.rewrite(persistent);
        }
        let bytes: Vec<u8> = records.iter().flat_map(storage::encode_record).collect();
        check_test_full()?;
        let written = self.file.write_all_at(&bytes, self.length).and_then(|()| self.file.sync_data());
        match written {
            Ok(()) => self.length += bytes.len() as u64,
            Err(_) => drop(self.file.set_len(self.length)),
        }
        written
    }

    /// Writes a whole file beside the old one, which it then replaces.
    ///
    /// Errors: the system says so; the old file is still there.
    pub(super) fn rewrite(&mut self, persistent: &PersistentState<ClusterState>) -> io::Result<()> {
        check_test_full()?;
        let bytes = storage::encode_file(&self.header, persistent);
        let beside = self.path.with_extension("new");
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&beside)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        fs::rename(&beside, &self.path)?;
        if let Some(folder) = self.path.parent() {
            File::open(folder)?.sync_all()?;
        }
        self.file = file;
        (self.length, self.rewritten_length) = (bytes.len() as u64, bytes.len() as u64);
        Ok(())
    }
}

/// A test says by a file that the disk is full.
fn check_test_full() -> io::Result<()> {
    let full = std::env::var_os("PLOVERSHELF_TEST_FOLDER_FULL").is_some_and(|path| Path::new(&path).exists());
    if full {
        return Err(io::ErrorKind::StorageFull.into());
    }
    Ok(())
}
