//! Files and addresses of sources of changes, for those that start them as processes, and what a process that changes are
//! carried to is asked from outside. The answers are bytes here, as the words are the asker's.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::free_address;

/// Three that vote and hand out changes.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Their `group.ini`s; the file's stem is the name.
    pub files: Vec<PathBuf>,
    /// Where they are reached for changes.
    pub at: Vec<SocketAddr>,
}

pub const SOURCES: usize = 3;

/// As an INI file lists them.
pub fn list(of: &[SocketAddr]) -> String {
    of.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ")
}

impl Sources {
    /// Writes their files, and the list of tenants that all begin from.
    ///
    /// Errors: as of writing files.
    pub fn write(folder: &Path, group: &str, tenants: &str) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let addresses = || (0..SOURCES).map(|_| free_address()).collect::<io::Result<Vec<_>>>();
        let (members, at) = (addresses()?, addresses()?);
        let first = folder.join("tenants.ini");
        std::fs::write(&first, format!("[tenants]\n{tenants}"))?;
        let mut files = Vec::new();
        for (place, listen) in at.iter().enumerate() {
            let others: Vec<SocketAddr> = at.iter().copied().filter(|other| other != listen).collect();
            let name = format!("c{}", place + 1);
            let file = folder.join(format!("{name}.ini"));
            let text = format!(
                "[group]\nname = {group}\nlisten = {}\nseeds = {}\ncouncil = c1, c2, c3\nfolder = {}\n\
                 [changes]\nlisten = {listen}\nsources = {}\ntenants = {}\n",
                members[place],
                list(&members),
                folder.join(&name).display(),
                list(&others),
                first.display()
            );
            std::fs::write(&file, text)?;
            files.push(file);
        }
        Ok(Sources { files, at })
    }
}

/// Sends these bytes on a link of its own. `first` finds what came back in the bytes that did; none where the link is closed or
/// nothing more comes.
pub fn say<T>(at: SocketAddr, bytes: &[u8], first: impl Fn(&[u8]) -> Option<T>) -> Option<T> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    stream.write_all(bytes).ok()?;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(answer) = first(&bytes) {
            return Some(answer);
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}
