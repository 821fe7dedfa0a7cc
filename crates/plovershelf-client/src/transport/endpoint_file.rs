//! An endpoint file that is reloaded when it changes.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use crate::endpoint_list::{EndpointList, EndpointListError};

/// Interval between two checks of the file. A change is loaded once two consecutive checks find the same
/// version.
const CHECK_INTERVAL_MS: f64 = 250.0;

/// Reason why an endpoint file could not be loaded. The message includes the path.
#[derive(Debug, thiserror::Error)]
pub enum EndpointFileError {
    /// The file cannot be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the error.
        source: std::io::Error,
    },
    /// The file is not UTF-8.
    #[error("{}: the file is not valid UTF-8", .path.display())]
    NotUtf8 {
        /// Path of the file.
        path: PathBuf,
    },
    /// The file is not a valid endpoint list.
    #[error("{}: {source}", .path.display())]
    List {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the error.
        source: EndpointListError,
    },
}

/// Metadata by which a change of the file is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    modified: Option<SystemTime>,
    bytes: u64,
}

#[derive(Debug)]
pub(crate) struct EndpointFile {
    path: PathBuf,
    max_endpoints: usize,
    /// Version that was loaded last; `None` if the file did not exist.
    loaded: Option<FileVersion>,
    /// Version that the last check found; `None` if the file did not exist.
    checked: Option<FileVersion>,
    next_check_ms: f64,
}

impl EndpointFile {
    /// Loads the file.
    pub(crate) fn open(
        path: PathBuf,
        max_endpoints: usize,
    ) -> Result<(Self, EndpointList), EndpointFileError> {
        let list = read_list(&path, max_endpoints)?;
        let version = version(&path);
        let next_check_ms = CHECK_INTERVAL_MS;
        Ok((EndpointFile { path, max_endpoints, loaded: version, checked: version, next_check_ms }, list))
    }

    pub(crate) fn next_check_ms(&self) -> f64 {
        self.next_check_ms
    }

    /// Checks the file if that is due, and reloads it if it has changed. A change is loaded only once two
    /// consecutive checks find the same version, because the file may still be being written. Returns `None`
    /// if nothing was loaded.
    pub(crate) fn check(&mut self, now_ms: f64) -> Option<Result<EndpointList, EndpointFileError>> {
        if self.next_check_ms > now_ms {
            return None;
        }
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        let found = version(&self.path);
        let is_stable = found == self.checked;
        self.checked = found;
        if !is_stable || found == self.loaded {
            return None;
        }
        self.loaded = found;
        Some(read_list(&self.path, self.max_endpoints))
    }
}

fn version(path: &Path) -> Option<FileVersion> {
    let metadata = fs::metadata(path).ok()?;
    Some(FileVersion { modified: metadata.modified().ok(), bytes: metadata.len() })
}

fn read_list(path: &Path, max_endpoints: usize) -> Result<EndpointList, EndpointFileError> {
    let path_buf = || path.to_path_buf();
    let bytes = fs::read(path).map_err(|source| EndpointFileError::Read { path: path_buf(), source })?;
    let text = String::from_utf8(bytes).map_err(|_| EndpointFileError::NotUtf8 { path: path_buf() })?;
    let list = EndpointList::parse(&text, max_endpoints);
    list.map_err(|source| EndpointFileError::List { path: path_buf(), source })
}
