//! A file that lists endpoints, watched for changes.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use crate::endpoint_list::{EndpointList, EndpointListError};

/// Interval between two checks; a change counts when two checks agree on it.
const CHECK_INTERVAL_MS: f64 = 250.0;

/// Why an endpoint file is not used. The text names the file.
#[derive(Debug, thiserror::Error)]
pub enum EndpointFileError {
    /// It can't be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// It is not text.
    #[error("{}: it is not UTF-8", .path.display())]
    NotUtf8 {
        /// The file.
        path: PathBuf,
    },
    /// It is no list of endpoints.
    #[error("{}: {source}", .path.display())]
    List {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: EndpointListError,
    },
}

/// What tells one state of a file from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    modified: Option<SystemTime>,
    bytes: u64,
}

#[derive(Debug)]
pub(crate) struct EndpointFile {
    path: PathBuf,
    max_endpoints: usize,
    /// The version that was read last, and that of the last check; `None` while there is no such file.
    read: Option<FileVersion>,
    seen: Option<FileVersion>,
    next_check_ms: f64,
}

impl EndpointFile {
    /// Reads the file for the first time.
    pub(crate) fn open(
        path: PathBuf,
        max_endpoints: usize,
    ) -> Result<(Self, EndpointList), EndpointFileError> {
        let list = read_list(&path, max_endpoints)?;
        let version = version(&path);
        let next_check_ms = CHECK_INTERVAL_MS;
        Ok((EndpointFile { path, max_endpoints, read: version, seen: version, next_check_ms }, list))
    }

    pub(crate) fn next_check_ms(&self) -> f64 {
        self.next_check_ms
    }

    /// Reads the file again if it has changed and two checks agree, so that one that is being written counts only once it is
    /// whole; `None` where there is nothing new.
    pub(crate) fn check(&mut self, now_ms: f64) -> Option<Result<EndpointList, EndpointFileError>> {
        if self.next_check_ms > now_ms {
            return None;
        }
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        let seen = version(&self.path);
        let is_settled = seen == self.seen;
        self.seen = seen;
        if !is_settled || seen == self.read {
            return None;
        }
        self.read = seen;
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
