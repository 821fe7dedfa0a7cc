//! The group's folder: one file of records, appended to and brought to the disk before anything is said of them.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use plovershelf_cluster::council::{Id, Kept, Record};
use plovershelf_cluster::decided::Decided;
use plovershelf_cluster::store::{self, Identity};
use plovershelf_config::group::Group as Setup;
use rustix::fs::{flock, FlockOperation};

use crate::entropy::random_u64;

/// A file is written anew when it has grown over this and over four times what it was then.
const GROWN: u64 = 256 << 10;
/// No more of a file is read; one that is longer is none of ours.
const LONGEST: u64 = 64 << 20;

pub struct Folder {
    path: PathBuf,
    file: File,
    length: u64,
    written_length: u64,
    identity: Identity,
}

type Opened = (Option<Folder>, Identity, Option<Kept<Decided>>);

impl Folder {
    /// What the folder holds, or a new memory in it; without a folder a new memory alone.
    ///
    /// Errors: it can't be used, in one line. One that is spoilt is put aside and told of.
    pub fn open(setup: &Setup, name: &str, born: u64) -> Result<Opened, String> {
        let fresh = Identity {
            magic: store::MAGIC,
            major: store::MAJOR,
            group: setup.name.clone(),
            name: name.to_string(),
            id: Id(random_u64()),
            born,
        };
        let Some(folder) = &setup.folder else { return Ok((None, fresh, None)) };
        let path = folder.join("group.log");
        let wrong = |error: io::Error| format!("the group's folder {}: {error}", folder.display());
        fs::create_dir_all(folder).map_err(wrong)?;
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(wrong)?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| format!("the group's folder {}: another process uses it", folder.display()))?;
        let mut bytes = Vec::new();
        (&mut file).take(LONGEST + 1).read_to_end(&mut bytes).map_err(wrong)?;
        if bytes.len() as u64 > LONGEST {
            return Err(format!("{}: longer than any that this program writes", path.display()));
        }
        let mut folder = Folder { path, file, length: 0, written_length: 0, identity: fresh };
        if !bytes.is_empty() {
            match store::read(&bytes, &setup.name, name) {
                store::Read::Kept { identity, kept, whole } => {
                    folder.identity = identity.clone();
                    folder.length = whole as u64;
                    folder.written_length = whole as u64;
                    if whole < bytes.len() {
                        tracing::warn!(
                            event = "folder_torn",
                            bytes = bytes.len() - whole,
                            "{}: its last record was not whole and is left out",
                            folder.path.display()
                        );
                    }
                    folder.file.set_len(whole as u64).map_err(wrong)?;
                    return Ok((Some(folder), identity, Some(*kept)));
                }
                store::Read::Spoilt(why) => {
                    let aside = folder.path.with_extension(format!("spoilt-{born}"));
                    fs::copy(&folder.path, &aside).map_err(wrong)?;
                    tracing::error!(
                        event = "folder_spoilt",
                        "{}: {why}; kept aside as {}, this member begins anew",
                        folder.path.display(),
                        aside.display()
                    );
                }
                store::Read::NotOurs(why) => return Err(format!("{}: {why}", folder.path.display())),
            }
        }
        folder.rewrite(&Kept::nothing(Decided::default())).map_err(wrong)?;
        let identity = folder.identity.clone();
        Ok((Some(folder), identity, None))
    }

    /// Records at the end of the file, on the disk when this returns. What could not be written whole is taken back.
    pub fn append(&mut self, records: &[Record<Decided>], kept: &Kept<Decided>) -> io::Result<()> {
        if self.length > GROWN.max(4 * self.written_length) {
            return self.rewrite(kept);
        }
        let bytes: Vec<u8> = records.iter().flat_map(store::record).collect();
        self.takes()?;
        use std::os::unix::fs::FileExt;
        let written = self.file.write_all_at(&bytes, self.length).and_then(|()| self.file.sync_data());
        match written {
            Ok(()) => {
                self.length += bytes.len() as u64;
                Ok(())
            }
            Err(error) => {
                let _ = self.file.set_len(self.length);
                Err(error)
            }
        }
    }

    /// A test tells by a file that the disk is full.
    fn takes(&self) -> io::Result<()> {
        let full =
            std::env::var_os("PLOVERSHELF_TEST_FOLDER_FULL").is_some_and(|path| Path::new(&path).exists());
        if full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// All of it anew, beside the old file and then in its place.
    pub fn rewrite(&mut self, kept: &Kept<Decided>) -> io::Result<()> {
        self.takes()?;
        let bytes = store::written(&self.identity, kept);
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
        (self.length, self.written_length) = (bytes.len() as u64, bytes.len() as u64);
        Ok(())
    }
}
